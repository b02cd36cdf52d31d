"""Calls from operators' commands to the control replicas of routed requests."""

import asyncio
import json
import time
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from plantainstage._decoding import decode_bytes
from plantainstage._errors import ControlUnavailableError, PlantainstageError
from plantainstage._messages.account_rows import AccountReport
from plantainstage._registry.control_format import ControlFormat

ATTEMPT_TIMEOUT_S = 1.5
MAX_REDIRECTS = 2
RETRY_INTERVAL_S = 0.1
STATUS_REFUSED = 400
PATHS = ControlFormat()
_report_decoder = msgspec.json.Decoder(AccountReport)


@dataclass(kw_only=True, eq=False)
class ConfigurationRefusedError(PlantainstageError):
    """A replica refused a configuration; no part of it is in force."""

    detail: str

    def describe(self):
        return self.detail


@dataclass(kw_only=True, eq=False)
class EvacuationRefusedError(PlantainstageError):
    """A replica refused an order about an evacuation; nothing has changed."""

    detail: str

    def describe(self):
        return self.detail


async def put_configuration(document: bytes, *, addresses, timeout_s: float):
    """Sends a configuration until a replica acknowledges that a majority has it.

    Raises ConfigurationRefusedError or ControlUnavailableError. After the latter, the
    configuration may or may not be in force, and may be sent again.
    """
    response = await _call_any_replica(
        PATHS.put_configuration, "POST", document, addresses, timeout_s
    )
    if response.code == STATUS_REFUSED:
        detail = json.loads(response.body)["error"]
        raise ConfigurationRefusedError(detail=detail)


async def newest_configuration(*, addresses, timeout_s: float) -> bytes:
    """Returns the newest configuration; raises ControlUnavailableError."""
    response = await _call_any_replica(
        PATHS.get_configuration, "GET", None, addresses, timeout_s
    )
    return response.body


async def quarantined_requests(*, addresses, timeout_s: float) -> bytes:
    """Returns the suspected and quarantined requests of one replica, as JSON.

    Raises ControlUnavailableError.
    """
    response = await _call_any_replica(
        PATHS.list_quarantines, "GET", None, addresses, timeout_s
    )
    return response.body


async def lift_quarantine(fingerprint: str, *, addresses, timeout_s: float):
    """Ends the quarantine of a request; raises ControlUnavailableError."""
    path = PATHS.list_quarantines + f"/{fingerprint}/lift"
    await _call_any_replica(path, "POST", b"", addresses, timeout_s)


async def account_report(*, addresses, timeout_s: float) -> AccountReport:
    """Returns what the leader knows of client accounts.

    Raises ControlUnavailableError, also for a reply that cannot be read.
    """
    response = await _call_any_replica(
        PATHS.list_accounts, "GET", None, addresses, timeout_s
    )
    try:
        return decode_bytes(_report_decoder, response.body)
    except msgspec.MsgspecError as error:
        raise _unavailable(addresses, timeout_s, f"unreadable: {error}") from error


async def order_evacuation(
    data_centre: str, *, starts: bool, addresses, timeout_s: float
):
    """Starts or ends the evacuation of a data centre.

    Raises EvacuationRefusedError or ControlUnavailableError. After the latter, the
    order may or may not take effect, and may be sent again.
    """
    verb = "start" if starts else "end"
    path = f"{PATHS.list_evacuations}/{quote(data_centre, safe='')}/{verb}"
    response = await _call_any_replica(path, "POST", b"", addresses, timeout_s)
    if response.code == STATUS_REFUSED:
        raise EvacuationRefusedError(detail=json.loads(response.body)["error"])


async def list_evacuations(*, addresses, timeout_s: float) -> bytes:
    """Returns the evacuations in force as JSON; raises ControlUnavailableError."""
    response = await _call_any_replica(
        PATHS.list_evacuations, "GET", None, addresses, timeout_s
    )
    return response.body


async def _call_any_replica(path, method, body, addresses, timeout_s) -> HTTPResponse:
    """Calls the replicas in turn until one returns a success or a refusal."""
    client = SimpleAsyncHTTPClient(force_instance=True)
    deadline = time.monotonic() + timeout_s
    last_error = "no replica was called"
    try:
        while time.monotonic() < deadline:
            for address in addresses:
                try:
                    return await _send_request(
                        client, f"http://{address}{path}", method, body
                    )
                except (HTTPClientError, OSError) as error:
                    # Another replica may be the leader, or this one may restart soon.
                    last_error = f"{address}: {error}"
            await asyncio.sleep(RETRY_INTERVAL_S)
    finally:
        client.close()
    raise _unavailable(addresses, timeout_s, last_error)


def _unavailable(addresses, timeout_s, last_error):
    return ControlUnavailableError(
        addresses=tuple(addresses),
        waited_ms=round(timeout_s * 1000),
        last_error=last_error,
    )


async def _send_request(client, url, method, body) -> HTTPResponse:
    """Returns a success or a refusal; raises for any other outcome."""
    request = HTTPRequest(
        url,
        method=method,
        body=body,
        request_timeout=ATTEMPT_TIMEOUT_S,
        max_redirects=MAX_REDIRECTS,
    )
    try:
        return await client.fetch(request)
    except HTTPClientError as error:
        if error.code == STATUS_REFUSED:
            return error.response
        raise
