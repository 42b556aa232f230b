// A small fleet on one machine, for `make demo` and the short drills.
local fleet = import 'fleet.libsonnet';
{
  name: 'loopback',
  zone: 'east',
  zones: ['east', 'west'],
  kinds: ['plain'],
  op_types: [
    fleet.op('look-up', 'retryable', 1, '400ms', '1500ms'),
    fleet.op('note-down', 'deduplicated', 2, '400ms', '1500ms', '2s'),
    fleet.op('pay-out', 'once-only', 5, '400ms', '1500ms'),
  ],
  proxies: { count: 20, standing: 5, usual_tries: 1, level: 'rate', fails_to_shun: 3 },
  channel: fleet.channel(1200, 1.5),
  reports: { cycle: '500ms', intake_per_s: 400, fields: ['busy', 'waiting'], by: 'answers', probes: true },
  rules: fleet.rules,
}
