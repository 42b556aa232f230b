// Three hundred edge proxies, few messages to each, no further tries unless told.
local fleet = import 'fleet.libsonnet';
{
  name: 'docks',
  zone: 'centre',
  zones: ['centre', 'east', 'south'],
  kinds: ['plain'],
  op_types: [
    fleet.op('status', 'retryable', 1, '750ms', '2500ms'),
    fleet.op('report', 'retryable', 1, '800ms', '2500ms'),
    fleet.op('release', 'once-only', 2, '750ms', '2s'),
  ],
  proxies: { count: 300, standing: 6, usual_tries: 0, fails_to_shun: 5, level: 'rate' },
  channel: fleet.channel(6000, 1, 6, 20) { transit: '200ms', transit_most: '500ms' },
  reports: { cycle: '1s', intake_per_s: 200, fields: ['busy', 'waiting'], by: 'answers', probes: true },
  rules: fleet.rules { grace: '3s', ramp: '17s', fall: '2s' },
}
