"""Load reports and quota usage as they were read, turned into calls on the host's intake. No I/O.

Source: envoy.config.endpoint.v3.ClusterStats (LRS) and envoy.service.rate_limit_quota.v3 (RLQS).
"""

LATENCY = "foxstep.latency_us"  # mean time of a good answer, where a client tells it (a named metric)
PREFIX = "named_metrics."
LONGEST_TIME = 600_000_000  # microseconds: a longer mean time, or none that is a number, is no time
MOST_LOAD = 1_000_000  # and no server holds more than this
LOADS = {"waiting": "waiting", "holding": "holding", "busy": "busy", "cpu_utilization": "busy"}


def micros(duration):
    return duration.seconds * 1_000_000 + duration.nanos // 1000


def size(request):
    """Lines of a load report, about."""
    return sum(len(stats.upstream_locality_stats) for stats in request.cluster_stats)


def time_told(mean):
    """A mean time, or None where it is none: guards the sums against what is no number."""
    return mean if 0 <= mean <= LONGEST_TIME else None


def time_of(told):
    """Mean time of a good answer as the first of a line's metrics tells it, where our proxies put it, in
    microseconds; or -1 where no answer had one, None where the first metric is another."""
    for stats in told:
        if stats.metric_name != LATENCY:
            return None
        times = stats.num_requests_finished_with_metric
        return time_told(stats.total_metric_value / times) if times else -1
    return None


def read_metrics(locality):
    """(latency or None, whether it is told, load by our names or None): a field left out is unknown."""
    load, latency, told = None, None, False
    for stats in locality.load_metric_stats:
        name, times = stats.metric_name, stats.num_requests_finished_with_metric
        if name.startswith(PREFIX):
            name = name[len(PREFIX) :]
        if name == LATENCY:
            told, latency = True, time_told(stats.total_metric_value / times) if times else None
        elif times and name in LOADS:
            load = load or {}
            load[LOADS[name]] = stats.total_metric_value / times
    busy = locality.cpu_utilization
    if busy.num_requests_finished_with_metric:
        load = {**(load or {}), "busy": busy.total_metric_value / busy.num_requests_finished_with_metric}
    if load and not all(0 <= value <= MOST_LOAD for value in load.values()):
        load = {name: value for name, value in load.items() if 0 <= value <= MOST_LOAD} or None
    return latency, told, load


def read_tries(intake, now, ident, zone, request, op_types, quotas_told, step=1, first=0, lost=0, note=None):
    """One load report of a proxy, of whose lines every `step`-th is read from `first` on. `quotas_told`: what
    came to the proxy is told by quota usage; `lost`: reports of its before this one that were not read;
    `note(op type, server, latency, acked)` hears of each line."""
    lines, usage, longest, offset, loaded = [], [], 0, 0, intake.loaded
    for stats in request.cluster_stats:
        op_type, window, localities = (
            stats.cluster_name,
            micros(stats.load_report_interval),
            stats.upstream_locality_stats,
        )
        count, begin = len(localities), (first - offset) % step
        offset += count
        if op_type not in op_types:
            intake.refuse("op type", count)
            continue
        if not intake.sound((), window):
            continue
        longest = max(longest, window)
        came, aborted_in_all = stats.total_dropped_requests, 0
        for locality in localities[begin::step] if step > 1 else localities:
            aborted, issued = locality.total_error_requests, locality.total_issued_requests
            tries = locality.total_successful_requests + aborted
            aborted_in_all += aborted * step
            # Older clients leave out what they issued; then what they finished stands for it.
            came += (issued or tries) * step
            if not tries:
                continue
            server, load = locality.locality.sub_zone, None
            # A server's own report is the same by whomever it is told: one a round will do.
            latency = None if server not in loaded else time_of(locality.load_metric_stats)
            if latency is None:
                latency, told, load = read_metrics(locality)
                if load:
                    loaded[server] = None
                # Where no client tells times, what stood in work at the report's end stands in for it
                # (Little's law: in work = rate x time), which is right in the mean, zeros included.
                if not told:
                    latency = time_told(locality.total_requests_in_progress * window / tries)
            elif latency == -1:
                latency = None
            lines.append((server, tries, aborted, latency, load, step))
            if note and latency and tries > aborted:
                note(op_type, server, latency, tries - aborted)
        if not quotas_told and came:
            usage.append((op_type, came, min(aborted_in_all, came)))
    if lines:
        intake.tried(now, ident, zone, lines, longest, lost)
    if usage:
        intake.used(now, ident, zone, usage, longest, lost)


def read_usage(intake, now, ident, zone, report, op_types, lost=0):
    """One RateLimitQuotaUsageReports of a proxy."""
    lines, longest = [], 0
    for usage in report.bucket_quota_usages:
        op_type = usage.bucket_id.bucket.get("op_type", "")
        if op_type not in op_types:
            intake.refuse("op type")
        elif usage.HasField("time_elapsed"):
            window = micros(usage.time_elapsed)
            if intake.sound((), window):
                longest = max(longest, window)
                lines.append((op_type, usage.num_requests_allowed + usage.num_requests_denied, 0))
    if lines:
        intake.used(now, ident, zone, lines, longest, lost)


def buckets(report, op_types):
    """Op types that a quota report has buckets of."""
    told = (usage.bucket_id.bucket.get("op_type", "") for usage in report.bucket_quota_usages)
    return [op_type for op_type in told if op_type in op_types]
