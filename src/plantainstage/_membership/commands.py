"""Commands of the replicated state machine (msgpack in log entries).

A command carries every input of its effect, the time included, so that each
replica computes the same result from the same log.
"""

import msgspec

from plantainstage._messages.configuration import EntryHost, Manifest, Upstream
from plantainstage._messages.control import Change, ClaimOutcome

# The peak of a process grows by some seven times this, since the state, the old
# and the new snapshot and their encoded forms overlap, and by 30 MB for the log.
# With 60 MB at the target size, 4 MiB stay within 128 MB (bench/claim_memory.py).
DEFAULT_KEEP_BYTES = 4 * 1024 * 1024


class ApplyChange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Decides on an operator's change."""

    change: Change


class RegisterUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Registers announced searchers with the manifests that they sent."""

    upstreams: tuple[Upstream, ...]
    manifests: tuple[Manifest, ...] = ()


class UpstreamStart(msgspec.Struct, frozen=True, kw_only=True):
    """One start of a searcher; a restart has another incarnation."""

    upstream_id: str
    incarnation: str


class MarkUpstreamsLost(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Stops new work for searchers whose announcements stopped."""

    upstreams: tuple[UpstreamStart, ...]


class ForgetUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Drops the records of searchers that stayed lost."""

    upstreams: tuple[UpstreamStart, ...]


class RegisterEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds an entry host, or a new start of one, to the membership."""

    entry: EntryHost


class RemoveEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an entry host whose lease expired or that has left.

    ``left`` means that the host itself said that nothing is in flight and that
    it gives its lease back.
    """

    entry_id: str
    incarnation: str
    left: bool = False


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Gives a searcher a new owner if its epoch is still ``expected_epoch``.

    An empty ``entry_id`` leaves it without an owner; an expected epoch of 0
    stands for a searcher that has no ownership record.
    """

    upstream_id: str
    entry_id: str
    expected_epoch: int


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Ends the wait for the previous owner of a searcher."""

    upstream_id: str
    epoch: int


class MoveOwners(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One round of ownership moves."""

    assignments: tuple[Assignment, ...] = ()
    releases: tuple[Release, ...] = ()


class ForgetDeadlines(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Drops longer deadlines that were replaced up to a version."""

    up_to_version: int


class ClaimAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims a non-idempotent request; ``now_ms`` is the leader's Unix time."""

    request_id: str
    nonce: str
    digest: str
    entry_id: str
    incarnation: str
    deadline_ms: int
    now_ms: int


class CompleteAttempt(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Records the outcome of an attempt; older attempts are ignored.

    Answers beyond ``keep_bytes`` in all are dropped, the oldest first. The limit
    is the proposing leader's; as a part of the command it is the same on all
    replicas, whatever their own settings say.
    """

    request_id: str
    attempt: int
    outcome: ClaimOutcome
    keep_bytes: int = DEFAULT_KEEP_BYTES


class ClaimCommands(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims and outcomes that are decided in order, as one log entry."""

    items: tuple[ClaimAttempt | CompleteAttempt, ...]


class AddQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Refuses a fingerprint until ``expires_ms`` (Unix time).

    For the other fields see ``Quarantine``.
    """

    fingerprint: str
    expires_ms: int
    index: str = ""
    since_ms: int = 0
    searchers: tuple[str, ...] = ()


class ExpireQuarantines(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Drops quarantines that ended before ``now_ms`` (Unix time)."""

    now_ms: int


Command = (
    ApplyChange
    | RegisterUpstreams
    | MarkUpstreamsLost
    | ForgetUpstreams
    | RegisterEntry
    | RemoveEntry
    | MoveOwners
    | ForgetDeadlines
    | ClaimAttempt
    | CompleteAttempt
    | ClaimCommands
    | AddQuarantine
    | ExpireQuarantines
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


def encode_command(command):
    """Returns the bytes of a command for the log."""
    return _encoder.encode(command)


def decode_command(data):
    """Returns the command in ``data``; raises msgspec.MsgspecError."""
    return _decoder.decode(data)
