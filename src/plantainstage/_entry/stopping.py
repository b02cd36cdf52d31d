"""The planned stop of an entry host: nothing in flight is cut off."""

import asyncio

from loguru import logger

from plantainstage._entry.handlers import close_idle_connections
from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control

POLL_INTERVAL_S = 0.02
# How long the host waits for control to give its searchers to other hosts.
# Control needs a renewal of each host and a commit, about 1 s.
HANDOVER_TIMEOUT_S = 5.0
# Sub-requests end by their own deadlines; this is the longest one accepted.
FINISH_TIMEOUT_S = 120.0


async def stop_gracefully(host, *, drain_delay_s):
    """Stops an EntryHost; returns when everything is finished."""
    logger.info("draining")
    host.draining = True
    host.session.draining = True
    host.session.renew_soon()
    # Requests are still taken: the load balancer has to see the readiness.
    await asyncio.sleep(drain_delay_s)
    # The socket stays open: a request that still comes gets a refusal, while a
    # closed socket would reset the connections that wait to be accepted.
    host.queries.accepting = False
    await host.queries.wait_idle()
    await host.claims.finish()
    await host.quarantine_reporter.finish()
    await _hand_over(host)
    host.owners.release_all()
    await _wait(lambda: not host.owners.busy, FINISH_TIMEOUT_S, "sub-requests")
    await _wait(lambda: not host.owners.releasing(), FINISH_TIMEOUT_S, "searchers")
    await _wait(lambda: host.links.drained, HANDOVER_TIMEOUT_S, "links")
    host.server.stop()
    for task in host.tasks:
        task.cancel()
    await asyncio.gather(*host.tasks, return_exceptions=True)
    await host.session.release_lease()
    await host.links.stop()
    await close_idle_connections(host.server)
    host.close()


async def _hand_over(host):
    """Waits until other hosts own the searchers, or none needs them any more.

    When all hosts stop, no other one can take the searchers over. Each then serves
    the others until all have finished their requests.
    """
    host.notify_finished()
    await _wait(
        lambda: not (host.owners.owned and host.needed_by_peers()),
        HANDOVER_TIMEOUT_S,
        "handover",
    )
    if host.needed_by_peers():
        await _wait_until_handover_applied(host)


async def _wait_until_handover_applied(host):
    """Waits until no other host can still send sub-requests to this one.

    A host that has not applied the move of a searcher forwards to this host,
    and would lose what it sends to a closed socket.
    """
    loop = asyncio.get_running_loop()
    limit = loop.time() + HANDOVER_TIMEOUT_S
    request = control.QueryStatus(version=host.session.configuration.version)
    while (remaining := limit - loop.time()) > 0:
        try:
            status = await host.clients[1].call(request, timeout_s=remaining)
        except ControlUnavailableError as error:
            logger.warning("handover not confirmed", error=str(error))
            return
        if isinstance(status, control.Status) and not status.lacking:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.warning("handover not known to all hosts in time")


async def _wait(condition, limit_s, what):
    """Waits for a condition of other tasks, at most ``limit_s``."""
    for _ in range(round(limit_s / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.warning("not finished in time", what=what, limit_s=limit_s)
