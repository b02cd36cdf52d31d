"""Counters of a control replica, sent to statsd over UDP."""

from statsd import StatsClient

METRIC_PREFIX = "plantainstage.control"


def make_counter(*, address, replica_id):
    """Returns a function ``count(name)`` that increments a counter.

    Without an address the function does nothing.
    """
    if not address:
        return lambda name: None
    host, _, port = address.rpartition(":")
    prefix = f"{METRIC_PREFIX}.{replica_id}"
    return StatsClient(host=host, port=int(port), prefix=prefix).incr
