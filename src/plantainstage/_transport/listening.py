"""Starts to listen on addresses, also on one that an earlier process still holds."""

import asyncio
from collections.abc import Callable

import pynng
from tornado.httpserver import HTTPServer

from plantainstage._errors import ListenError

LISTEN_TIMEOUT_S = 5.0
LISTEN_INTERVAL_S = 0.1


def listen_on(server: HTTPServer, address: str):
    """Makes an HTTP server listen on ``IP:port``; raises OSError."""
    host, _, port = address.rpartition(":")
    server.listen(int(port), address=host)


async def listen_when_free(
    listen: Callable[[], None],
    *,
    setting: str,
    address: str,
    events,
    timeout_s: float = LISTEN_TIMEOUT_S,
):
    """Calls ``listen()`` until it succeeds; raises ListenError after ``timeout_s``.

    ``setting`` names the setting of the address in the error. For example::

        await listen_when_free(
            server.start, setting="listen", address="127.0.0.1:80", events=events
        )
    """
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + timeout_s
    waiting = False
    while True:
        try:
            listen()
            return
        except (OSError, pynng.NNGException) as error:
            if loop.time() >= give_up_at:
                raise ListenError(
                    flag=setting, address=address, detail=str(error)
                ) from error
            if not waiting:
                waiting = True
                events.log_event("address_in_use", address=address, reason=str(error))
        await asyncio.sleep(LISTEN_INTERVAL_S)
