// Many proxies on a channel of medium speed, for the rollback drills.
local fleet = import 'fleet.libsonnet';
(import 'morning.jsonnet') + {
  name: 'crowd',
  proxies+: { count: std.parseInt(std.extVar('proxies')) },
  channel: fleet.channel(1200, 1.7) { transit: '20ms', transit_most: '150ms' },
}
