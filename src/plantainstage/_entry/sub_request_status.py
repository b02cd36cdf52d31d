"""Decoding of a searcher's reply to a status request (docs/upstreams.md)."""

import msgspec

from plantainstage._decoding import decode_bytes
from plantainstage._errors import ExchangeError
from plantainstage._messages.upstreams import StatusAnswer

_status_decoder = msgspec.json.Decoder(StatusAnswer)


def statuses_of(outcome, sub_request_ids):
    """Returns whether each sub-request is running, or None without a valid answer."""
    if isinstance(outcome, ExchangeError) or outcome.status != 200:
        return None
    try:
        running = decode_bytes(_status_decoder, outcome.body).running
    except msgspec.MsgspecError:
        return None
    return {key: key in running for key in sub_request_ids}
