// The morning's fleet on a channel that takes little, with cold servers that bear little.
local fleet = import 'fleet.libsonnet';
(import 'morning.jsonnet') + {
  name: 'short',
  channel: fleet.channel(300, 0.6),
  rules+: { fall_multiple: 1 },
}
