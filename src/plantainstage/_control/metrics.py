"""Counts of the control replica, sent by statsd over UDP."""

from statsd import StatsClient

METRIC_PREFIX = "plantainstage.control"


def make_counter(*, address, replica_id):
    """Returns ``count(name)``; without an address it does nothing."""
    if not address:
        return lambda name: None
    host, _, port = address.rpartition(":")
    prefix = f"{METRIC_PREFIX}.{replica_id}"
    return StatsClient(host=host, port=int(port), prefix=prefix).incr
