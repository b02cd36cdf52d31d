"""What control replicates: the configuration, and which data centres are evacuated.

The highest version of the configuration wins. Both are stored in records of which the
releases before evacuations read the configuration only; they apply an order about an
evacuation as a configuration of version -1, which changes nothing.
"""

import msgspec

from plantainstage._serving import evacuations
from plantainstage._serving.evacuations import EvacuationOrder, EvacuationState

NO_CONFIGURATION = -1


class PutConfiguration(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A command: a validated document with its version, or an evacuation order."""

    version: int
    document: bytes
    evacuation: EvacuationOrder | None = None


class MachineSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the machine; snapshots of earlier releases have no evacuations."""

    version: int
    document: bytes
    evacuations: EvacuationState = EvacuationState()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PutConfiguration)
_snapshot_decoder = msgspec.msgpack.Decoder(MachineSnapshot)


class ConfigurationMachine:
    """State machine that stores the newest configuration and the evacuations.

    A document whose version is not above the newest changes nothing: of two documents
    with one version the first to be committed stays.
    """

    def __init__(self):
        self.newest = PutConfiguration(version=NO_CONFIGURATION, document=b"")
        self.evacuations = EvacuationState()
        self.on_change = None  # called after the document or the evacuations changed

    def restore_committed(self, *, version: int, document: bytes):
        """Stores a document from before a restart that is known to be committed.

        The log contains it or a higher version, so that a replay of the log does not
        end at a lower one.
        """
        if version > self.newest.version:
            self._set_newest(PutConfiguration(version=version, document=document))

    def restore_evacuations(self, state: EvacuationState):
        """Stores evacuations that are known to be committed, unless newer are known.

        The log contains their last change, and a replay of earlier ones is skipped.
        """
        if state.number > self.evacuations.number:
            self._set_evacuations(state)

    @staticmethod
    def command(*, version: int, document: bytes) -> bytes:
        """Returns the command that stores a document."""
        return _encoder.encode(PutConfiguration(version=version, document=document))

    def evacuation_command(
        self, data_centre: str, *, starts: bool, at_ms: int
    ) -> bytes:
        """Returns the command that starts or ends an evacuation."""
        order = EvacuationOrder(
            data_centre=data_centre, starts=starts, at_ms=at_ms, known=self.evacuations
        )
        put = PutConfiguration(version=NO_CONFIGURATION, document=b"", evacuation=order)
        return _encoder.encode(put)

    def apply(self, *, index: int, command: bytes) -> int | bool:
        """Applies a command.

        Returns the newest committed version after a document, and after an order about
        an evacuation whether it is carried out.
        """
        put = _decoder.decode(command)
        if put.evacuation is not None:
            return self._carry_out(put.evacuation, index)
        if put.version > self.newest.version:
            self._set_newest(put)
        return self.newest.version

    def take_snapshot(self) -> bytes:
        """Returns the newest document and the evacuations as bytes."""
        snapshot = MachineSnapshot(
            version=self.newest.version,
            document=self.newest.document,
            evacuations=self.evacuations,
        )
        return _encoder.encode(snapshot)

    def restore(self, *, snapshot: bytes) -> None:
        """Stores what is newer in a snapshot: the document, the evacuations or both."""
        taken = _snapshot_decoder.decode(snapshot)
        self.restore_committed(version=taken.version, document=taken.document)
        self.restore_evacuations(taken.evacuations)

    def _carry_out(self, order, index):
        state = evacuations.carry_out(self.evacuations, order, index=index)
        if state != self.evacuations:
            self._set_evacuations(state)
        return evacuations.is_carried_out(self.evacuations, order)

    def _set_evacuations(self, state):
        self.evacuations = state
        if self.on_change is not None:
            self.on_change()

    def _set_newest(self, put):
        self.newest = put
        if self.on_change is not None:
            self.on_change()
