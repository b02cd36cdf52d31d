"""Validation of callers' requests, and refusals made before one runs."""

import re

import msgspec

from plantainstage._decoding import decode_bytes
from plantainstage._errors import RefusalError
from plantainstage._messages.callers import QueryBody, RunState

MAX_BODY_BYTES = 1024 * 1024
MAX_PARTITIONS = 10_000
_CLAIMED_ID = re.compile(r"[0-9]{1,15}-[A-Za-z0-9_-]{8,64}")
_PLAIN_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.:-]{0,99}")
_decoder = msgspec.json.Decoder(QueryBody)


def malformed_body(error, page):
    """Returns the refusal of a body that does not have the documented format."""
    detail = str(error) or type(error).__name__
    return RefusalError(
        code="malformed",
        message=f"The request body is not valid: {detail}.",
        remedy=f"See {page} for the fields and their types.",
    )


def too_large(limit):
    """Returns the refusal of a body larger than the limit."""
    return RefusalError(
        code="too_large",
        message=f"The request body is larger than {limit} bytes.",
        remedy="Send a smaller query.",
        http_status=413,
    )


def parse_query(data):
    """Returns the QueryBody of an encoded request; raises RefusalError."""
    if len(data) > MAX_BODY_BYTES:
        raise too_large(MAX_BODY_BYTES)
    try:
        # The decoder leaves ``query`` raw, without validating its UTF-8.
        data.decode("utf-8")
        body = decode_bytes(_decoder, data)
    except (msgspec.MsgspecError, UnicodeError) as error:
        raise malformed_body(error, "docs/callers.md") from error
    _check_request_id(body)
    _check_partitions(body)
    return body


def _check_request_id(body):
    if not body.idempotent and not _CLAIMED_ID.fullmatch(body.request_id):
        raise RefusalError(
            code="bad_request_id",
            message=(
                "A non-idempotent request needs a request_id of the form "
                "<Unix milliseconds>-<8 to 64 characters of [A-Za-z0-9_-]>."
            ),
            remedy="Generate one id for the request and use it for each resend.",
        )
    if body.idempotent and body.request_id and not _PLAIN_ID.fullmatch(body.request_id):
        raise RefusalError(
            code="bad_request_id",
            message=(
                "A request_id is 1 to 100 characters of [A-Za-z0-9_.:-], the first "
                "a letter or a digit."
            ),
            remedy="Choose another request_id, or leave it out.",
        )


def _check_partitions(body):
    if len(body.partitions) > MAX_PARTITIONS:
        raise RefusalError(
            code="malformed",
            message=f"partitions lists more than {MAX_PARTITIONS} names.",
            remedy="Leave partitions out to search all of them.",
        )
    if len(set(body.partitions)) != len(body.partitions):
        raise RefusalError(
            code="malformed",
            message="partitions lists a name twice.",
            remedy="List each partition once.",
        )


def unknown_profile(name):
    """Returns the refusal of a request whose profile is not published."""
    return RefusalError(
        code="unknown_profile",
        message=f"No profile is published under the name {name!r}.",
        remedy="List the profiles with plantainstage-ctl profile list.",
        http_status=404,
    )


def unconfirmed_configuration():
    """Returns the refusal of a host that does not hold its lease."""
    return RefusalError(
        code="configuration_unconfirmed",
        message="This host cannot confirm its configuration at the moment.",
        remedy="Send the request to another entry host.",
        http_status=503,
    )


def stopping_host():
    """Returns the refusal of a host that no longer accepts requests."""
    return RefusalError(
        code="stopping",
        message="This host is being stopped.",
        remedy="Send the request to another entry host.",
        http_status=503,
    )


def internal_error():
    """Returns the refusal of a request that failed by an error of the program."""
    return RefusalError(
        code="internal_error",
        message="The request failed by an internal error, which has been logged.",
        remedy="Report the log line; send the request again if that is harmless.",
        run=RunState.UNKNOWN,
        http_status=500,
    )
