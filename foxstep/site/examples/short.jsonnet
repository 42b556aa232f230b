// The fleet of morning.jsonnet with a slow channel and a low limit on the load of cold servers.
local fleet = import 'fleet.libsonnet';
(import 'morning.jsonnet') + {
  name: 'short',
  channel: fleet.channel(300, 0.6),
  rules+: { fall_multiple: 1 },
}
