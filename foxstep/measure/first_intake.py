"""The first version's intake, kept as the baseline of `measure-intake`: each line a call, sums by server."""

from foxstep.xds.load_reports import duration_us

MINUTE, MOST = 60_000_000, 10_000_000


def mean(stats):
    return stats.total_metric_value / stats.num_requests_finished_with_metric


def load_of(locality):
    load = {}
    for stats in locality.load_metric_stats:
        name = stats.metric_name.removeprefix("named_metrics.")
        if stats.num_requests_finished_with_metric:
            if name in ("waiting", "holding"):
                load[name] = mean(stats)
            elif name in ("cpu_utilization", "busy"):
                load["busy"] = mean(stats)
    if locality.cpu_utilization.num_requests_finished_with_metric:
        load["busy"] = mean(locality.cpu_utilization)
    return load or None


def latency_of(locality, finished, window):
    for stats in locality.load_metric_stats:
        if stats.metric_name.removeprefix("named_metrics.") == "foxstep.latency_us":
            return mean(stats) if stats.num_requests_finished_with_metric else None
    return locality.total_requests_in_progress * window / finished if finished else None


class FirstIntake:
    def __init__(self, known_server):
        self.known_server, self.met, self.came, self.refused = known_server, {}, {}, {}

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1

    def sound(self, counts, window):
        return 0 < window <= 10 * MINUTE and all(0 <= n <= MOST for n in counts)

    def tried(self, server, zone, tries, aborted, latency, window, load=None):
        if not self.known_server(server) or not self.sound((tries, aborted), window) or aborted > tries:
            return self.refuse("unsound")
        sums = self.met.setdefault((server, zone), [0, 0, 0, 0.0, 0, None])
        sums[0] += tries
        sums[1] += aborted
        if latency is not None and tries > aborted:
            sums[2] += tries - aborted
            sums[3] += latency * (tries - aborted)
        sums[4] = max(sums[4], window)
        if load:
            sums[5] = {**(sums[5] or {}), **load}
        return None

    def read(self, zone, request, op_types):
        for stats in request.cluster_stats:
            window = duration_us(stats.load_report_interval)
            if stats.cluster_name in op_types:
                for locality in stats.upstream_locality_stats:
                    finished = locality.total_successful_requests + locality.total_error_requests
                    if finished:
                        self.tried(
                            locality.locality.sub_zone,
                            zone,
                            finished,
                            locality.total_error_requests,
                            latency_of(locality, finished, window),
                            window,
                            load_of(locality),
                        )
