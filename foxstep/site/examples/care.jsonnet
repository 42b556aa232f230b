// A fleet in two zones under two controllers. Servers report load only when probed; each proxy gets a rate.
local fleet = import 'fleet.libsonnet';
local place(name) = { zone: name, zones: ['north', 'south'] };
place('north') {
  name: 'care',
  kinds: ['large', 'small'],
  controllers: { count: 2, me: 0, peers: true },
  op_types: [
    fleet.op('read-plan', 'retryable', 1, '1500ms', '4s'),
    fleet.op('log-visit', 'deduplicated', 3, '900ms', '3s', '4s'),
    fleet.op('pay-fare', 'once-only', 9, '1200ms', '3s'),
  ],
  proxies: { count: 80, standing: 8, usual_tries: 1, fails_to_shun: 3, level: 'rate' },
  channel: fleet.channel(1500, 2) { transit: '150ms', transit_most: '400ms' },
  reports: { cycle: '500ms', intake_per_s: 300, fields: ['busy', 'waiting'], by: 'probe', probes: true },
  rules: fleet.rules { ramp: '20s' },
  goal: { whole: 0.6, worst_op_type: 0.2, worst_window: 0.2 },
}
