// A fleet of about 20 servers near full load, for the long drills.
// Proxies retry once after any failure, as far as the effect of the op allows a repeat.
local fleet = import 'fleet.libsonnet';
{
  name: 'morning',
  zone: 'east',
  zones: ['east', 'west'],
  kinds: ['plain'],
  op_types: [
    fleet.op('look-up', 'retryable', 1, '1s', '3s'),
    fleet.op('note-down', 'deduplicated', 2, '1s', '3s', '3s'),
    fleet.op('pay-out', 'once-only', 5, '1s', '3s'),
  ],
  proxies: { count: 20, standing: 5, usual_tries: 2, level: 'rate', fails_to_shun: 3 },
  channel: fleet.channel(900, 1.5),
  reports: { cycle: '500ms', intake_per_s: 400, fields: ['busy', 'waiting'], by: 'answers', probes: true },
  rules: fleet.rules { cold_share: 0.1, ramp: '16s' },
}
