// Hundreds of proxies that send more reports than are read, for the drills of report storms.
local fleet = import 'fleet.libsonnet';
(import 'crowd.jsonnet') + {
  name: 'storm',
  channel: fleet.channel(12000, 4) { transit: '20ms', transit_most: '150ms' },
  reports+: { intake_per_s: 1200 },
}
