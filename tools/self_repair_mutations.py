"""Mutations of a group's self-repair that the simulation must detect."""

from agreement_mutations import Mutation

GROUP = "_registry/group.py"

SELF_REPAIR_MUTATIONS = (
    Mutation(
        name="the new folder at an address is removed instead of the lost one",
        file=GROUP,
        old="old.incarnation != new.incarnation and _heard_last(new, old)",
        new="old.incarnation != new.incarnation and _heard_last(old, new)",
        self_repair=True,
    ),
    Mutation(
        name="the group shrinks below its size",
        file=GROUP,
        old="if gone and live >= view.limits.min_voters:",
        new="if gone:",
        self_repair=True,
    ),
    Mutation(
        name="a learner is never promoted",
        file=GROUP,
        old="        if view.is_caught_up(learner):\n            yield",
        new="        if False:\n            yield",
        self_repair=True,
    ),
    Mutation(
        name="a replica outside the group does not ask to join",
        file=GROUP,
        old="return not is_voter or leaderless_s > LEADERLESS_S",
        new="return False",
        self_repair=True,
    ),
    Mutation(
        name="a learner that is lost stays",
        file=GROUP,
        old="if superseded or view.is_lost(learner):",
        new="if False:",
        self_repair=True,
    ),
    Mutation(
        name="a successor is promoted before the lost voter is removed",
        file=GROUP,
        old="return [*removals, *promotions]",
        new="return [*promotions, *removals]",
        self_repair=True,
    ),
    Mutation(
        name="a lost voter stays although its successor is ready",
        file=GROUP,
        old="    if ready:\n        for voter in view.lost_voters:",
        new="    if False:\n        for voter in view.lost_voters:",
        self_repair=True,
    ),
    Mutation(
        name="a replica that stops as planned stays in the group",
        file=GROUP,
        old="return is_voter and len(view.voters) > view.limits.min_voters",
        new="return False",
        self_repair=True,
    ),
    Mutation(
        name="a voter counts as lost too late",
        file="_registry/group_limits.py",
        old="return self.catch_up_s * 1000 / 2",
        new="return self.catch_up_s * 1000 * 2",
        self_repair=True,
    ),
    Mutation(
        name="a learner is promoted while a voter may be lost",
        file=GROUP,
        old="    if any(map(view.is_in_doubt, view.voters)):",
        new="    if False:",
        self_repair=True,
    ),
)
