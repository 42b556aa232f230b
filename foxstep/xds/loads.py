"""Load reports and quota usage as they come in, turned into calls on the host's intake. No I/O.

Source: envoy.config.endpoint.v3.ClusterStats (LRS) and envoy.service.rate_limit_quota.v3 (RLQS).
"""

LATENCY = "foxstep.latency_us"   # mean time of a good answer, where a client tells it (a named metric)
WAITING, HOLDING = "waiting", "holding"


def micros(duration):
    return duration.seconds * 1_000_000 + duration.nanos // 1000


def mean(stats):
    return stats.total_metric_value / stats.num_requests_finished_with_metric


def load_of(locality):
    """The servers' own reports among the answers, under our names; a field left out is unknown."""
    load = {}
    for stats in locality.load_metric_stats:
        name = stats.metric_name.removeprefix("named_metrics.")
        if stats.num_requests_finished_with_metric:
            if name in (WAITING, HOLDING):
                load[name] = mean(stats)
            elif name in ("cpu_utilization", "busy"):
                load["busy"] = mean(stats)
    if locality.cpu_utilization.num_requests_finished_with_metric:
        load["busy"] = mean(locality.cpu_utilization)
    return load or None


def latency_of(locality, finished, window):
    """Mean time at a server. Where no client tells it, what stood in work at the report's end stands in for
    it (Little's law: in work = rate x time), which is right in the mean, zeros included."""
    for stats in locality.load_metric_stats:
        if stats.metric_name.removeprefix("named_metrics.") == LATENCY:
            return mean(stats) if stats.num_requests_finished_with_metric else None
    return locality.total_requests_in_progress * window / finished if finished else None


def read_stats(intake, ident, zone, cluster_stats, op_types, quotas_told):
    """One ClusterStats of a proxy. `quotas_told`: what came to the proxy is told by quota usage."""
    op_type, window = cluster_stats.cluster_name, micros(cluster_stats.load_report_interval)
    if op_type not in op_types:
        return intake.refuse("op type")
    came, aborted_in_all = cluster_stats.total_dropped_requests, 0
    for locality in cluster_stats.upstream_locality_stats:
        finished = locality.total_successful_requests + locality.total_error_requests
        aborted_in_all += locality.total_error_requests
        # Older clients leave out what they issued; then what they finished stands for it.
        came += locality.total_issued_requests or finished
        if finished:
            intake.tried(locality.locality.sub_zone, zone, finished, locality.total_error_requests,
                         latency_of(locality, finished, window), window, load_of(locality))
    if not quotas_told and came:
        intake.used(ident, op_type, came, min(aborted_in_all, came), window)
    return None


def read_usage(intake, ident, report, op_types):
    """One RateLimitQuotaUsageReports of a proxy; answers the op types it has buckets for."""
    told = []
    for usage in report.bucket_quota_usages:
        op_type = usage.bucket_id.bucket.get("op_type", "")
        if op_type not in op_types:
            intake.refuse("op type")
            continue
        told.append(op_type)
        if usage.HasField("time_elapsed"):
            intake.used(ident, op_type, usage.num_requests_allowed + usage.num_requests_denied, 0,
                        micros(usage.time_elapsed))
    return told
