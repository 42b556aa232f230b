// For `foxstep measure`: a given number of proxies, and a channel as fast as the largest fleets specify.
local fleet = import 'fleet.libsonnet';
{
  name: 'measured',
  zone: 'east',
  zones: ['east', 'west', 'south'],
  kinds: ['plain'],
  op_types: [
    fleet.op('look-up', 'retryable', 1, '800ms', '2s'),
    fleet.op('pay-out', 'once-only', 5, '800ms', '2s'),
  ],
  proxies: { count: std.parseInt(std.extVar('proxies')), standing: 6, usual_tries: 1, level: 'rate' },
  channel: fleet.channel(20000, 2),
  reports: { cycle: '1s', intake_per_s: 5000, by: 'none' },
  rules: fleet.rules,
}
