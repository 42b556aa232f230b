// Hundreds of proxies that report more than is read: what the drills of report storms run.
local fleet = import 'fleet.libsonnet';
(import 'crowd.jsonnet') + {
  name: 'storm',
  channel: fleet.channel(12000, 4) { transit: '20ms', transit_most: '150ms' },
  reports+: { intake_per_s: 1200 },
}
