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
        self.on_change = None  # called after another document is held

    def adopt(self, *, version: int, document: bytes):
        """Holds a document that is known to be committed already.

        The log still has it or a higher one, so that replaying it changes nothing.
        """
        if version > self.held.version:
            self._hold(PutConfiguration(version=version, document=document))

    @staticmethod
    def command(*, version: int, document: bytes) -> bytes:
        """Returns the command that stores a document."""
        return _encoder.encode(PutConfiguration(version=version, document=document))

    def apply(self, *, index: int, command: bytes) -> int:
        """Applies a command; returns the version held afterwards."""
        put = _decoder.decode(command)
        if put.version > self.held.version:
            self._hold(put)
        return self.held.version

    def take_snapshot(self) -> bytes:
        """Returns the state."""
        return _encoder.encode(self.held)

    def restore(self, *, snapshot: bytes) -> None:
        """Takes the state of a snapshot, unless a later one is held."""
        put = _decoder.decode(snapshot)
        if put.version > self.held.version:
            self._hold(put)

    def _hold(self, put):
        self.held = put
        if self.on_change is not None:
            self.on_change()
