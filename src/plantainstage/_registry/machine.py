"""The replicated configuration: one document, the highest version wins."""

import msgspec


class PutConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A checked configuration document with its version."""

    version: int
    document: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PutConfiguration)


class ConfigurationMachine:
    """State machine that holds the newest configuration.

    A document whose version is not above the one held changes nothing: of two
    that race with one version the first to be committed stays.
    """

    def __init__(self):
        self.held = PutConfiguration(version=-1, document=b"")

    @staticmethod
    def command(*, version: int, document: bytes) -> bytes:
        """Returns the command that stores a document."""
        return _encoder.encode(PutConfiguration(version=version, document=document))

    def apply(self, *, index: int, command: bytes) -> int:
        """Applies a command; returns the version held afterwards."""
        put = _decoder.decode(command)
        if put.version > self.held.version:
            self.held = put
        return self.held.version

    def take_snapshot(self) -> bytes:
        """Returns the state."""
        return _encoder.encode(self.held)

    def restore(self, *, snapshot: bytes) -> None:
        """Replaces the state."""
        self.held = _decoder.decode(snapshot)
