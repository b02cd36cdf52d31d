"""What a control group has to bear."""

from dataclasses import dataclass

SMALLEST_GROUP = 3


@dataclass(frozen=True, kw_only=True)
class GroupLimits:
    """What a group has to bear.

    ``losses`` is how many replicas may be lost at a time, with their folders, and
    ``catch_up_s`` how long a replica has after its start before the next one may be
    lost.
    """

    losses: int = 1
    catch_up_s: float = 12.0

    @property
    def min_voters(self) -> int:
        """The number of voters below which the group does not shrink for good."""
        return max(SMALLEST_GROUP, 2 * self.losses + 1)

    @property
    def lost_after_ms(self) -> float:
        """The silence after which a member counts as lost.

        Leaves the other half of the time to put a successor in its place.
        """
        return self.catch_up_s * 1000 / 2

    @property
    def gone_after_ms(self) -> float:
        """The silence after which a lost voter is removed without a successor."""
        return self.catch_up_s * 1000
