"""The replicated configuration: one document, of which the highest version wins."""

import msgspec


class PutConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A validated configuration document with its version."""

    version: int
    document: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PutConfiguration)


class ConfigurationMachine:
    """State machine that stores the newest configuration.

    A document whose version is not above the newest changes nothing: of two documents
    with one version the first to be committed stays.
    """

    def __init__(self):
        self.newest = PutConfiguration(version=-1, document=b"")
        self.on_change = None  # called after the document has changed

    def restore_committed(self, *, version: int, document: bytes):
        """Stores a document from before a restart that is known to be committed.

        The log contains it or a higher version, so that a replay of the log does not
        end at a lower one.
        """
        if version > self.newest.version:
            self._set_newest(PutConfiguration(version=version, document=document))

    @staticmethod
    def command(*, version: int, document: bytes) -> bytes:
        """Returns the command that stores a document."""
        return _encoder.encode(PutConfiguration(version=version, document=document))

    def apply(self, *, index: int, command: bytes) -> int:
        """Applies a command; returns the newest committed version."""
        put = _decoder.decode(command)
        if put.version > self.newest.version:
            self._set_newest(put)
        return self.newest.version

    def take_snapshot(self) -> bytes:
        """Returns the newest document with its version as bytes."""
        return _encoder.encode(self.newest)

    def restore(self, *, snapshot: bytes) -> None:
        """Stores the document of a snapshot if its version is above the newest."""
        put = _decoder.decode(snapshot)
        if put.version > self.newest.version:
            self._set_newest(put)

    def _set_newest(self, put):
        self.newest = put
        if self.on_change is not None:
            self.on_change()
