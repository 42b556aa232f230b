// 300 edge proxies with few messages to each and no retries unless a controller orders them.
local fleet = import 'fleet.libsonnet';
{
  name: 'docks',
  zone: 'centre',
  zones: ['centre', 'east', 'south'],
  kinds: ['plain'],
  op_types: [
    fleet.op('status', 'retryable', 1, '500ms', '2s'),
    fleet.op('report', 'retryable', 2, '700ms', '2s'),
    fleet.op('release', 'once-only', 6, '900ms', '3s'),
  ],
  proxies: { count: 300, standing: 9, usual_tries: 0, fails_to_shun: 4, level: 'rate' },
  channel: fleet.channel(8000, 1, 5, 30) { transit: '120ms', transit_most: '350ms' },
  reports: { cycle: '1s', intake_per_s: 600, fields: ['busy', 'waiting'], by: 'answers', probes: true },
  rules: fleet.rules { grace: '4s', ramp: '25s' },
}
