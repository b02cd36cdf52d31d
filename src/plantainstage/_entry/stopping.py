"""Graceful stop of an entry host, which completes everything in flight."""

import asyncio

from loguru import logger

from plantainstage._entry.handlers import close_idle_connections
from plantainstage._errors import ControlUnavailableError
from plantainstage._messages import control

POLL_INTERVAL_S = 0.02
# How long the host waits for control to move its searchers to other hosts. This
# takes control a lease renewal of each host and a commit, about 1 s.
HANDOVER_TIMEOUT_S = 5.0
# Sub-requests end at their own deadlines; this is the longest deadline accepted.
FINISH_TIMEOUT_S = 120.0


async def stop_gracefully(host, *, drain_delay_s):
    """Stops an EntryHost; returns once everything in flight has finished."""
    logger.info("draining")
    host.draining = True
    host.session.draining = True
    host.session.renew_soon()
    # Requests are still accepted until the load balancer has seen the host unready.
    await asyncio.sleep(drain_delay_s)
    # The listening socket stays open, so that further requests get a refusal.
    # Closing it would reset the connections that wait to be accepted.
    host.queries.accepting = False
    await host.queries.wait_idle()
    await host.claims.finish()
    await host.quarantine_reporter.finish()
    await _wait_for_handover(host)
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


async def _wait_for_handover(host):
    """Waits until other hosts own the searchers or no host needs them any more.

    When all hosts stop, no host can take over the searchers. Each then serves the
    others until all of them have finished their requests.
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

    A host that has not applied the handover of a searcher still forwards its
    sub-requests to this host. They would be lost if this host closed its socket.
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
    logger.warning("handover not applied by all hosts in time")


async def _wait(condition, limit_s, what):
    """Polls a condition for at most ``limit_s`` seconds."""
    for _ in range(round(limit_s / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    logger.warning("not finished in time", what=what, limit_s=limit_s)
