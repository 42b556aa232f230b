"""The report intake of the program's first version, kept as the baseline of `measure-intake`.

It handles each line of a report in a call of its own and sums by server and zone.
"""

from foxstep.xds.load_reports import duration_us

MINUTE_US = 60_000_000
MAX_COUNT = 10_000_000


def mean_value(stats):
    return stats.total_metric_value / stats.num_requests_finished_with_metric


def load_in(locality):
    load = {}
    for stats in locality.load_metric_stats:
        name = stats.metric_name.removeprefix("named_metrics.")
        if stats.num_requests_finished_with_metric:
            if name in ("waiting", "holding"):
                load[name] = mean_value(stats)
            elif name in ("cpu_utilization", "busy"):
                load["busy"] = mean_value(stats)
    if locality.cpu_utilization.num_requests_finished_with_metric:
        load["busy"] = mean_value(locality.cpu_utilization)
    return load or None


def latency_in(locality, finished, window):
    for stats in locality.load_metric_stats:
        if stats.metric_name.removeprefix("named_metrics.") == "foxstep.latency_us":
            return mean_value(stats) if stats.num_requests_finished_with_metric else None
    return locality.total_requests_in_progress * window / finished if finished else None


class BaselineIntake:
    """Sums reports by (server, zone); counts refused lines by reason. Windows are in microseconds."""

    def __init__(self, known_server):
        self.known_server = known_server
        self.sums = {}
        self.received = {}
        self.refused = {}

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def is_valid(self, counts, window):
        return 0 < window <= 10 * MINUTE_US and all(0 <= n <= MAX_COUNT for n in counts)

    def add_tries(self, server, zone, tries, aborted, latency, window, load=None):
        if not self.known_server(server) or not self.is_valid((tries, aborted), window) or aborted > tries:
            return self.refuse("invalid")
        sums = self.sums.setdefault((server, zone), [0, 0, 0, 0.0, 0, None])
        sums[0] += tries
        sums[1] += aborted
        if latency is not None and tries > aborted:
            sums[2] += tries - aborted
            sums[3] += latency * (tries - aborted)
        sums[4] = max(sums[4], window)
        if load:
            sums[5] = {**(sums[5] or {}), **load}
        return None

    def read_report(self, zone, request, op_types):
        for stats in request.cluster_stats:
            window = duration_us(stats.load_report_interval)
            if stats.cluster_name in op_types:
                for locality in stats.upstream_locality_stats:
                    finished = locality.total_successful_requests + locality.total_error_requests
                    if finished:
                        self.add_tries(
                            locality.locality.sub_zone,
                            zone,
                            finished,
                            locality.total_error_requests,
                            latency_in(locality, finished, window),
                            window,
                            load_in(locality),
                        )
