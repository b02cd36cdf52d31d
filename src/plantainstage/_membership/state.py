"""The data of the replicated state machine, and its snapshots.

The modules that apply commands change it; the queries only read it.
"""

from dataclasses import dataclass, field

import msgspec
from sortedcontainers import SortedSet

from plantainstage._membership.kept_answers import KeptAnswers, kept_answers_of
from plantainstage._membership.verdicts import (
    VerdictChunk,
    VerdictLog,
    restore_verdicts,
)
from plantainstage._messages.configuration import (
    EntryHost,
    LiftedQuarantine,
    Manifest,
    Profile,
    Upstream,
    UpstreamState,
)
from plantainstage._messages.control import ClaimOutcome, Verdict

FIRST_VERSION = 1


class UpstreamRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A registered searcher as last announced.

    ``superseded`` holds its earlier incarnations, whose delayed announcements are
    refused.
    """

    announced: Upstream
    lost: bool = False
    superseded: tuple[str, ...] = ()


class EntryProcess(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies a process of an entry host; each restart has a new incarnation."""

    entry_id: str
    incarnation: str


class OwnershipRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a searcher, and an earlier one that may still have work on it.

    ``predecessor`` is the last active owner, which may not send from configuration
    ``fenced_version`` on. While it is set, no host may send.
    """

    owner: EntryProcess | None
    epoch: int
    predecessor: EntryProcess | None = None
    fenced_version: int = 0

    @property
    def active(self):
        """Whether the owner may send."""
        return self.owner is not None and self.predecessor is None


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A claimed request; ``nonces`` holds one nonce per attempt."""

    digest: str
    nonces: tuple[str, ...]
    holder: EntryProcess
    deadline_ms: int
    outcome: ClaimOutcome

    @property
    def attempt(self):
        """The number of the newest attempt, from 1."""
        return len(self.nonces)


class QuarantineCause(msgspec.Struct, frozen=True, kw_only=True):
    """What is reported to operators about a quarantine, see ``Quarantine``."""

    index: str = ""
    since_ms: int = 0
    searchers: tuple[str, ...] = ()


class ManifestKey(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Identifies a snapshot of an index."""

    index: str
    snapshot: str


class ClaimKey(msgspec.Struct, frozen=True, order=True):
    """Orders claims by the Unix time in their ids."""

    id_ms: int
    request_id: str


@dataclass(kw_only=True)
class ReplicatedState:
    """All replicated data; replicas hold equal states at equal log indices.

    ``taken_out`` holds the searchers that operators took out of service.
    ``incarnations`` lists the incarnations of each entry host, the newest last; an
    empty one means that the host left in a planned stop. ``retired_deadlines`` maps
    a version to the profile deadline that it shortened (milliseconds). Claims whose
    ids are from before ``claims_start_ms`` are no longer kept.
    """

    version: int = FIRST_VERSION
    next_epoch: int = 1
    claims_start_ms: int = 0
    profiles: dict[str, Profile] = field(default_factory=dict)
    verdicts: VerdictLog = field(default_factory=VerdictLog)
    upstreams: dict[str, UpstreamRecord] = field(default_factory=dict)
    taken_out: set[str] = field(default_factory=set)
    manifests: dict[ManifestKey, Manifest] = field(default_factory=dict)
    entries: dict[str, EntryHost] = field(default_factory=dict)
    incarnations: dict[str, tuple[str, ...]] = field(default_factory=dict)
    ownerships: dict[str, OwnershipRecord] = field(default_factory=dict)
    retired_deadlines: dict[int, int] = field(default_factory=dict)
    claims: dict[str, ClaimRecord] = field(default_factory=dict)
    claims_by_time: SortedSet = field(default_factory=SortedSet)
    kept_answers: KeptAnswers = field(default_factory=KeptAnswers)
    quarantines: dict[str, int] = field(default_factory=dict)
    causes: dict[str, QuarantineCause] = field(default_factory=dict)
    lifted: dict[str, LiftedQuarantine] = field(default_factory=dict)

    @property
    def next_number(self):
        """The number that the next change of an operator must have."""
        return self.verdicts.newest + 1

    def increment_version(self):
        """Increments the configuration version and returns it."""
        self.version += 1
        return self.version

    def allocate_epoch(self):
        """Returns an epoch above all earlier epochs of all searchers."""
        epoch = self.next_epoch
        self.next_epoch += 1
        return epoch

    def upstream_state(self, record):
        """Returns a searcher's state as the configuration shows it to entry hosts."""
        if record.announced.upstream_id in self.taken_out:
            return UpstreamState.OUT
        if record.lost:
            return UpstreamState.LOST
        return record.announced.state


class StateSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The complete state, in a form that all releases can read.

    ``verdicts`` holds the verdicts after the last of ``verdict_chunks``.
    """

    version: int
    next_number: int
    next_epoch: int
    claims_start_ms: int
    profiles: tuple[Profile, ...]
    verdicts: tuple[Verdict, ...]
    upstreams: tuple[UpstreamRecord, ...]
    out: tuple[str, ...]
    manifests: tuple[Manifest, ...]
    entries: tuple[EntryHost, ...]
    incarnations: dict[str, tuple[str, ...]]
    ownerships: dict[str, OwnershipRecord]
    retired_deadlines: dict[int, int]
    claims: dict[str, ClaimRecord]
    claims_by_time: tuple[ClaimKey, ...]
    quarantines: dict[str, int]
    verdict_chunks: tuple[VerdictChunk, ...]
    causes: dict[str, QuarantineCause] = {}
    lifted: dict[str, LiftedQuarantine] = {}
    # Request ids in the order of their answers; absent in snapshots of earlier
    # releases.
    kept_answers: tuple[str, ...] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateSnapshot)


def encode_state(state):
    """Returns the encoded snapshot of a state; equal states give equal bytes."""
    return _encoder.encode(
        StateSnapshot(
            version=state.version,
            next_number=state.next_number,
            next_epoch=state.next_epoch,
            claims_start_ms=state.claims_start_ms,
            profiles=_values(state.profiles),
            verdicts=_values(state.verdicts.recent),
            verdict_chunks=_values(state.verdicts.chunks),
            upstreams=_values(state.upstreams),
            out=tuple(sorted(state.taken_out)),
            manifests=_values(state.manifests),
            entries=_values(state.entries),
            incarnations=dict(sorted(state.incarnations.items())),
            ownerships=dict(sorted(state.ownerships.items())),
            retired_deadlines=dict(sorted(state.retired_deadlines.items())),
            claims=dict(sorted(state.claims.items())),
            claims_by_time=tuple(state.claims_by_time),
            quarantines=dict(sorted(state.quarantines.items())),
            causes=dict(sorted(state.causes.items())),
            lifted=dict(sorted(state.lifted.items())),
            kept_answers=tuple(state.kept_answers.sizes),
        )
    )


def decode_state(data):
    """Returns the state in a snapshot; raises msgspec.MsgspecError."""
    snapshot = _decoder.decode(data)
    return ReplicatedState(
        version=snapshot.version,
        next_epoch=snapshot.next_epoch,
        claims_start_ms=snapshot.claims_start_ms,
        profiles={item.name: item for item in snapshot.profiles},
        verdicts=restore_verdicts(
            snapshot.next_number - 1, snapshot.verdict_chunks, snapshot.verdicts
        ),
        upstreams={item.announced.upstream_id: item for item in snapshot.upstreams},
        taken_out=set(snapshot.out),
        manifests={
            ManifestKey(index=item.index, snapshot=item.snapshot): item
            for item in snapshot.manifests
        },
        entries={item.entry_id: item for item in snapshot.entries},
        incarnations=snapshot.incarnations,
        ownerships=snapshot.ownerships,
        retired_deadlines=snapshot.retired_deadlines,
        claims=snapshot.claims,
        claims_by_time=SortedSet(snapshot.claims_by_time),
        kept_answers=kept_answers_of(snapshot.claims, _answer_order(snapshot)),
        quarantines=snapshot.quarantines,
        causes=snapshot.causes,
        lifted=snapshot.lifted,
    )


def _answer_order(snapshot):
    """Returns request ids in the order of their answers, else of the times in them."""
    if snapshot.kept_answers is not None:
        return snapshot.kept_answers
    return tuple(key.request_id for key in snapshot.claims_by_time)


def _values(mapping):
    return tuple(mapping[key] for key in sorted(mapping))
