"""Turns load reports and quota usage reports into calls on the host's intake. No I/O.

Source: envoy.config.endpoint.v3.ClusterStats (LRS) and envoy.service.rate_limit_quota.v3 (RLQS).
"""

LATENCY_METRIC = "foxstep.latency_us"  # named metric of a client: mean time of an acked op
METRIC_PREFIX = "named_metrics."
MAX_LATENCY_US = 600_000_000  # a mean time above this, or one that is not a number, is dropped
MAX_LOAD = 1_000_000  # values of a server's load above this are dropped: no server holds more
# Metric -> load value of the decision module.
LOAD_METRICS = {"waiting": "waiting", "holding": "holding", "busy": "busy", "cpu_utilization": "busy"}


def duration_us(duration):
    return duration.seconds * 1_000_000 + duration.nanos // 1000


def line_count(request):
    """Returns the number of lines of a load report, approximately."""
    return sum(len(stats.upstream_locality_stats) for stats in request.cluster_stats)


def valid_latency(mean):
    """Returns a mean time, or None if it is out of range or not a number, which would spoil the sums."""
    return mean if 0 <= mean <= MAX_LATENCY_US else None


def first_metric_latency(metrics):
    """Returns the mean time of an acked op, in microseconds, from the first of a line's metrics.

    This project's proxies put it first. Returns -1 if no op had a time, and None if the first metric is
    another one or the time is invalid.
    """
    for stats in metrics:
        if stats.metric_name != LATENCY_METRIC:
            return None
        count = stats.num_requests_finished_with_metric
        return valid_latency(stats.total_metric_value / count) if count else -1
    return None


def read_metrics(locality):
    """Returns (latency or None, whether the client reports latencies, load by the module's names or None).

    A missing field is unknown, not zero.
    """
    load, latency, reports_latency = None, None, False
    for stats in locality.load_metric_stats:
        name, count = stats.metric_name, stats.num_requests_finished_with_metric
        if name.startswith(METRIC_PREFIX):
            name = name[len(METRIC_PREFIX) :]
        if name == LATENCY_METRIC:
            reports_latency = True
            latency = valid_latency(stats.total_metric_value / count) if count else None
        elif count and name in LOAD_METRICS:
            load = load or {}
            load[LOAD_METRICS[name]] = stats.total_metric_value / count
    busy = locality.cpu_utilization
    if busy.num_requests_finished_with_metric:
        load = {**(load or {}), "busy": busy.total_metric_value / busy.num_requests_finished_with_metric}
    if load and not all(0 <= value <= MAX_LOAD for value in load.values()):
        load = {name: value for name, value in load.items() if 0 <= value <= MAX_LOAD} or None
    return latency, reports_latency, load


def read_tries(
    intake, now, ident, zone, request, op_types, usage_by_quotas, step=1, first=0, lost=0, record_latency=None
):
    """Reads a proxy's load report, of whose lines every `step`-th is used, beginning with `first`.

    `usage_by_quotas`: the proxy reports the ops it receives as quota usage, so they are not read here.
    `lost`: the number of its earlier reports that were dropped unread.
    `record_latency(op type, server, latency, acked)` is called for each line that has a latency.
    """
    lines, usage, max_window, offset, loaded = [], [], 0, 0, intake.servers_with_load
    for stats in request.cluster_stats:
        op_type, window, localities = (
            stats.cluster_name,
            duration_us(stats.load_report_interval),
            stats.upstream_locality_stats,
        )
        count, begin = len(localities), (first - offset) % step
        offset += count
        if op_type not in op_types:
            intake.refuse("op type", count)
            continue
        if not intake.is_valid((), window):
            continue
        max_window = max(max_window, window)
        ops, total_aborted = stats.total_dropped_requests, 0
        for locality in localities[begin::step] if step > 1 else localities:
            aborted, issued = locality.total_error_requests, locality.total_issued_requests
            tries = locality.total_successful_requests + aborted
            total_aborted += aborted * step
            # Older clients don't report issued requests; their finished ones are counted in place of them.
            ops += (issued or tries) * step
            if not tries:
                continue
            server, load = locality.locality.sub_zone, None
            # All proxies pass on the same ORCA report of a server, so it is read once a round.
            latency = None if server not in loaded else first_metric_latency(locality.load_metric_stats)
            if latency is None:
                latency, reports_latency, load = read_metrics(locality)
                if load:
                    loaded[server] = None
                # A client that reports no latencies: they are estimated from the requests in progress at the
                # end of the report by Little's law (in progress = rate x time). This is right in the mean
                # if zeros are included.
                if not reports_latency:
                    latency = valid_latency(locality.total_requests_in_progress * window / tries)
            elif latency == -1:
                latency = None
            lines.append((server, tries, aborted, latency, load, step))
            if record_latency and latency and tries > aborted:
                record_latency(op_type, server, latency, tries - aborted)
        if not usage_by_quotas and ops:
            usage.append((op_type, ops, min(total_aborted, ops)))
    if lines:
        intake.add_tries(now, ident, zone, lines, max_window, lost)
    if usage:
        intake.add_usage(now, ident, zone, usage, max_window, lost)


def read_usage(intake, now, ident, zone, report, op_types, lost=0):
    """Reads a proxy's RateLimitQuotaUsageReports."""
    lines, max_window = [], 0
    for usage in report.bucket_quota_usages:
        op_type = usage.bucket_id.bucket.get("op_type", "")
        if op_type not in op_types:
            intake.refuse("op type")
        elif usage.HasField("time_elapsed"):
            window = duration_us(usage.time_elapsed)
            if intake.is_valid((), window):
                max_window = max(max_window, window)
                lines.append((op_type, usage.num_requests_allowed + usage.num_requests_denied, 0))
    if lines:
        intake.add_usage(now, ident, zone, lines, max_window, lost)


def bucket_op_types(report, op_types):
    """Returns the known op types for which a quota usage report has buckets."""
    names = (usage.bucket_id.bucket.get("op_type", "") for usage in report.bucket_quota_usages)
    return [op_type for op_type in names if op_type in op_types]
