"""Commands of the replicated state machine, encoded in log entries as msgpack.

A command carries every input of its effect, including the time, so that all
replicas compute the same result from the same log.
"""

import msgspec

from plantainstage._messages.configuration import EntryHost, Manifest, Upstream
from plantainstage._messages.control import Change, ClaimOutcome

# The peak memory of a process grows by about seven times this limit, since the
# state, the old and the new snapshot and their encoded forms exist at once, and by
# 30 MB for the log. With 60 MB at the target size, 4 MiB keep the process within
# 128 MB (bench/claim_memory.py).
DEFAULT_KEEP_BYTES = 4 * 1024 * 1024


class ApplyChange(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Accepts or rejects an operator's change."""

    change: Change


class RegisterUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Registers announced searchers and the manifests sent with them."""

    upstreams: tuple[Upstream, ...]
    manifests: tuple[Manifest, ...] = ()


class UpstreamProcess(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies a process of a searcher; each restart has a new incarnation."""

    upstream_id: str
    incarnation: str


class MarkUpstreamsLost(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Marks searchers as lost whose announcements stopped; they get no new work."""

    upstreams: tuple[UpstreamProcess, ...]


class ForgetUpstreams(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes the records of searchers that have been lost for a long time."""

    upstreams: tuple[UpstreamProcess, ...]


class RegisterEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Adds an entry host, or a restarted one, to the membership."""

    entry: EntryHost


class RemoveEntry(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes an entry host whose lease expired or that has left.

    ``left`` means that the host reported no work in flight and gave its lease back.
    """

    entry_id: str
    incarnation: str
    left: bool = False


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Gives a searcher a new owner if its epoch is still ``expected_epoch``.

    An empty ``entry_id`` leaves the searcher without an owner. An expected epoch of
    0 means that the searcher has no ownership record.
    """

    upstream_id: str
    entry_id: str
    expected_epoch: int


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """Ends the wait for the previous owner of a searcher."""

    upstream_id: str
    epoch: int


class MoveOwners(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """One round of ownership changes."""

    assignments: tuple[Assignment, ...] = ()
    releases: tuple[Release, ...] = ()


class ForgetDeadlines(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes retired deadlines of versions up to ``up_to_version``."""

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

    When all kept answers exceed ``keep_bytes`` together, the oldest are dropped.
    The limit is the proposing leader's. The command carries it, so that replicas
    with other settings drop the same answers.
    """

    request_id: str
    attempt: int
    outcome: ClaimOutcome
    keep_bytes: int = DEFAULT_KEEP_BYTES


class ClaimCommands(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Claims and outcomes that are applied in order, as one log entry."""

    items: tuple[ClaimAttempt | CompleteAttempt, ...]


class AddQuarantine(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Quarantines a fingerprint until ``expires_ms`` (Unix time).

    The other fields are those of ``Quarantine``.
    """

    fingerprint: str
    expires_ms: int
    index: str = ""
    since_ms: int = 0
    searchers: tuple[str, ...] = ()


class ExpireQuarantines(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Removes quarantines that have expired at ``now_ms`` (Unix time)."""

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
