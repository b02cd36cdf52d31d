"""A copy of what another control replica hears from searchers."""

from dataclasses import dataclass

import msgspec

from plantainstage._messages import serving
from plantainstage._serving.searchers import Searcher

# Entry hosts poll a replica themselves when the one that they poll was not in touch
# with it for so long.
MIRROR_VALIDITY_S = 1.4


@dataclass(frozen=True, kw_only=True)
class MirroredSearcher:
    """A searcher as another replica hears it; ``change`` is on that one's cursor.

    ``searcher`` is None for a silent one: nothing but its silence is passed on.
    """

    searcher: Searcher | None
    change: int


class SourceMirror:
    """What one other replica hears, with its own process id and cursor."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Forgets everything, so that the replica has to report it again."""
        self.report = None  # the newest SourceReport, without its searchers
        self.searchers = {}  # searcher id -> MirroredSearcher
        self.updated_at = float("-inf")

    @property
    def process(self):
        """The process of the mirrored replica, or an empty string."""
        return self.report.process if self.report is not None else ""

    @property
    def cursor(self):
        """The cursor of the mirrored replica up to which this mirror is complete."""
        return self.report.cursor if self.report is not None else 0

    def is_current(self, now: float) -> bool:
        """Whether this replica is in touch with the mirrored one."""
        return self.report is not None and now - self.updated_at <= MIRROR_VALIDITY_S

    def record(self, report: serving.SourceReport, now: float):
        """Records a reply of the replica.

        All its changes are numbered with its cursor, which is not below their own
        numbers: a host may get a change twice but cannot miss one.
        """
        if report.process != self.process:
            self.searchers.clear()
        for searcher in report.searchers:
            self._note(searcher.searcher_id, searcher, report.cursor)
        for searcher_id in report.silent:
            self._note(searcher_id, None, report.cursor)
        self.report = msgspec.structs.replace(report, searchers=(), silent=())
        self.updated_at = now

    def report_since(
        self, *, process: str, cursor: int, now: float
    ) -> serving.SourceReport | None:
        """Returns the report for a host with this cursor, or None if out of touch."""
        if not self.is_current(now):
            return None
        since = cursor if process == self.process else 0
        changed = {
            searcher_id: entry.searcher
            for searcher_id, entry in self.searchers.items()
            if entry.change > since
        }
        return msgspec.structs.replace(
            self.report,
            age_ms=round((now - self.updated_at) * 1000),
            searchers=tuple(s for s in changed.values() if s is not None),
            silent=tuple(name for name, s in changed.items() if s is None),
        )

    def _note(self, searcher_id, searcher, change):
        self.searchers[searcher_id] = MirroredSearcher(searcher=searcher, change=change)
