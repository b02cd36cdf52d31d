"""A copy of what another control replica hears from searchers."""

from dataclasses import dataclass

import msgspec

from plantainstage._messages import serving
from plantainstage._registry.register import DEPARTURE_RETENTION_S, SILENT_RETENTION_S
from plantainstage._serving.searchers import Searcher, SearcherState

# Entry hosts poll a replica themselves when the one that they poll was not in contact
# with it for so long.
MIRROR_VALIDITY_S = 1.4
GONE_RETENTION_S = max(DEPARTURE_RETENTION_S, SILENT_RETENTION_S)
FORGET_INTERVAL_S = 5.0


@dataclass(frozen=True, kw_only=True)
class MirroredSearcher:
    """A searcher as another replica hears it; ``change`` is on that one's cursor.

    ``searcher`` is None if the replica reported it as silent at first.
    """

    searcher: Searcher | None
    change: int
    silent: bool
    changed_at: float

    @property
    def is_gone(self) -> bool:
        """Whether no requests are sent to the searcher on account of this replica."""
        return self.silent or self.searcher.state is not SearcherState.READY


class SourceMirror:
    """What one other replica hears, with its own process id and cursor."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Forgets everything, so that the replica has to report it again."""
        self.report = None  # the newest SourceReport, without its searchers
        self.searchers = {}  # searcher id -> MirroredSearcher
        self.updated_at = float("-inf")
        self.forgotten_at = float("-inf")  # time of the last _forget_old
        self.crash_number = 0  # of the last crash report that was fetched

    @property
    def process(self):
        """The process of the mirrored replica, or an empty string."""
        return self.report.process if self.report is not None else ""

    @property
    def cursor(self):
        """The cursor of the mirrored replica up to which this mirror is complete."""
        return self.report.cursor if self.report is not None else 0

    def is_current(self, now: float) -> bool:
        """Whether the mirrored replica was reachable recently."""
        return self.report is not None and now - self.updated_at <= MIRROR_VALIDITY_S

    def record(self, report: serving.SourceReport, now: float):
        """Records a reply of the replica.

        All its changes are numbered with its cursor, which is not below their own
        numbers: a host may get a change twice but cannot miss one.
        """
        if report.process != self.process:
            self.searchers.clear()
        for searcher in report.searchers:
            self.searchers[searcher.searcher_id] = MirroredSearcher(
                searcher=searcher,
                change=report.cursor,
                silent=False,
                changed_at=now,
            )
        for searcher_id in report.silent:
            self.searchers[searcher_id] = MirroredSearcher(
                searcher=self.find(searcher_id),
                change=report.cursor,
                silent=True,
                changed_at=now,
            )
        if now - self.forgotten_at > FORGET_INTERVAL_S:
            self._forget_old(now)
        self.report = msgspec.structs.replace(report, searchers=(), silent=())
        self.updated_at = now

    def _forget_old(self, now):
        """Forgets what the replica itself has forgotten, as it does not report that."""
        self.forgotten_at = now
        self.searchers = {
            searcher_id: entry
            for searcher_id, entry in self.searchers.items()
            if not entry.is_gone or now - entry.changed_at < GONE_RETENTION_S
        }

    def report_since(
        self, *, process: str, cursor: int, now: float
    ) -> serving.SourceReport | None:
        """Returns the report for a host with this cursor, or None if unreachable."""
        if not self.is_current(now):
            return None
        since = cursor if process == self.process else 0
        changed = {
            searcher_id: entry
            for searcher_id, entry in self.searchers.items()
            if entry.change > since
        }
        return msgspec.structs.replace(
            self.report,
            age_ms=round((now - self.updated_at) * 1000),
            searchers=tuple(e.searcher for e in changed.values() if not e.silent),
            silent=tuple(name for name, e in changed.items() if e.silent),
            helpers=(),
        )

    def find(self, searcher_id: str) -> Searcher | None:
        """Returns the newest announcement of a searcher that the replica passed on."""
        entry = self.searchers.get(searcher_id)
        return entry.searcher if entry is not None else None
