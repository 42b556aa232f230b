// Sidecars by the hundred, a share of each op type let in, load reports in the answers.
local fleet = import 'fleet.libsonnet';
{
  name: 'league',
  zone: 'hall-1',
  zones: ['hall-1', 'hall-2', 'hall-3'],
  kinds: ['new', 'old'],
  op_types: [
    fleet.op('view', 'retryable', 1, '1s', '2500ms'),
    fleet.op('set', 'retryable', 2, '800ms', '2500ms'),
    fleet.op('trade', 'once-only', 3, '1500ms', '4s'),
  ],
  proxies: { count: 60, standing: 5, usual_tries: 1, fails_to_shun: 8, level: 'share' },
  channel: fleet.channel(3400, 2) { transit: '150ms', transit_most: '400ms' },
  reports: { cycle: '1s', intake_per_s: 150, fields: ['busy', 'holding', 'service'], by: 'answers', probes: true },
  rules: fleet.rules { ramp: '18s', fall: '3s' },
}
