"""Mutations of a group's self-repair that the simulation must detect."""

from agreement_mutations import Mutation

GROUP = "_registry/group.py"

SELF_REPAIR_MUTATIONS = (
    Mutation(
        name="the new folder at an address is removed instead of the lost one",
        file=GROUP,
        old="replaced and _heard_more_recently(new, old)",
        new="replaced and _heard_more_recently(old, new)",
        self_repair=True,
    ),
    Mutation(
        name="the group shrinks below its size",
        file=GROUP,
        old="if lost and live >= MIN_VOTERS and len(voters) > MIN_VOTERS:",
        new="if lost:",
        self_repair=True,
    ),
    Mutation(
        name="a learner is never promoted",
        file=GROUP,
        old="if not status.voter and status.last_heard_ms >= 0:",
        new="if False:",
        self_repair=True,
    ),
    Mutation(
        name="a replica outside the group does not ask to join",
        file=GROUP,
        old="return not is_member or leaderless_s > LEADERLESS_S",
        new="return False",
        self_repair=True,
    ),
)
