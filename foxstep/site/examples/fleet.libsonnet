// Functions and rules shared by the example sites of small fleets; each adds its op types and its own values.
{
  op(name, effect, earnings, target, timeout, window='0s'):: {
    name: name,
    effect: effect,
    earnings: earnings,
    target_latency: target,
    op_timeout: timeout,
    window: window,
    late_part: 0.1,
  },

  // A channel that sends `per_s` lines per second and queues up to `seconds` seconds of them.
  channel(per_s, seconds, head=4, most=0):: {
    lines_per_s: per_s,
    backlog: per_s * seconds,
    head: head,
    messages_most: most,
  },

  rules:: {
    bare: '2.5s',
    grace: '2s',
    cold_share: 0.2,
    ramp: '15s',
    fall_multiple: 2.5,
    fall: '1.5s',
  },
}
