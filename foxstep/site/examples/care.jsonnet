// A fleet in two places under two controllers; servers tell their load only when probed, rates for each proxy.
local fleet = import 'fleet.libsonnet';
local place(name) = { zone: name, zones: ['north', 'south'] };
place('north') {
  name: 'care',
  kinds: ['large', 'small'],
  controllers: { count: 2, me: 0, peers: true },
  op_types: [
    fleet.op('read-plan', 'retryable', 2, '2s', '5s'),
    fleet.op('log-visit', 'deduplicated', 2, '1s', '2500ms', '2500ms'),
    fleet.op('pay-fare', 'once-only', 6, '1s', '2500ms'),
  ],
  proxies: { count: 100, standing: 6, usual_tries: 1, fails_to_shun: 3, level: 'rate' },
  channel: fleet.channel(1200, 1.5) { transit: '250ms', transit_most: '600ms' },
  reports: { cycle: '500ms', intake_per_s: 200, fields: ['busy', 'waiting'], by: 'probe', probes: true },
  rules: fleet.rules { ramp: '18s' },
  goal: { whole: 0.5, worst_op_type: 0.3, worst_window: 0.2 },
}
