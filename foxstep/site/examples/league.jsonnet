// 150 sidecars; levels are shares of each op type, and servers report their load in responses.
local fleet = import 'fleet.libsonnet';
{
  name: 'league',
  zone: 'hall-1',
  zones: ['hall-1', 'hall-2', 'hall-3'],
  kinds: ['new', 'old'],
  op_types: [
    fleet.op('view', 'retryable', 1, '700ms', '2s'),
    fleet.op('set', 'retryable', 4, '600ms', '2s'),
    fleet.op('trade', 'once-only', 7, '1200ms', '3s'),
  ],
  proxies: { count: 150, standing: 7, usual_tries: 1, fails_to_shun: 6, level: 'share' },
  channel: fleet.channel(5000, 1.5) { transit: '100ms', transit_most: '300ms' },
  reports: { cycle: '1s', intake_per_s: 500, fields: ['busy', 'holding', 'service'], by: 'answers', probes: true },
  rules: fleet.rules { ramp: '12s', fall: '2s' },
}
