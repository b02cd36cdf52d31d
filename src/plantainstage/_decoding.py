"""Decoding of bytes that another program has written."""

import msgspec


def decode_bytes(decoder, data: bytes):
    """Returns what a JSON or msgpack decoder of msgspec reads in ``data``.

    Raises msgspec.MsgspecError and nothing else, whatever the bytes are. Without it,
    nesting that is too deep raises RecursionError. For example::

        decode_bytes(msgspec.json.Decoder(), b"[" * 60_000)  # msgspec.DecodeError
    """
    try:
        return decoder.decode(data)
    except (UnicodeError, RecursionError) as error:
        raise msgspec.DecodeError(str(error)) from error
