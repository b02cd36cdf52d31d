"""Series of losses in a simulated group, at the least gaps that a group has to bear.

While a series runs there are no other faults, so that one machine is lost at a time:
its folder, also again while it is taken back in, or the whole machine, planned or
unplanned, with a successor at another address. A machine counts as lost until it, or
its successor, has run undisturbed for CATCH_UP_S; then it has to be a voter.
"""

from plantainstage._errors import check_invariant
from support.simulation_joining import JoinDisturbances

CATCH_UP_S = 4.0
SETTLING_S = 2 * CATCH_UP_S  # after the faults before a series
RESTART_S = 0.3
SUCCESSOR_DELAY_S = 2.0  # longest time without the lost machine or a successor
SECOND_LOSS_S = 2.5  # longest time until a folder is lost again
LEAVE_S = 1.5  # a machine that stops as planned asks for so long to leave
LONGEST_SERIES = 4
LONGEST_SERIES_OF_JOINS = 100
START_CHANCE = 0.02  # at each round


class LossSeries:
    """Plays one series of losses after the other; ``repair`` is the SelfRepair.

    With ``only_joins`` all losses are of folders whose replicas are disturbed while
    they join.
    """

    def __init__(self, *, simulation, repair, only_joins=False):
        self.simulation = simulation
        self.repair = repair
        self.only_joins = only_joins
        self.remaining = 0  # losses of the current series
        self.running = False
        self.leaving = None  # replica that stops as planned
        self.watched = None  # replica that is lost again once it is a voter
        self.lose_watched = None
        self.disturbances = JoinDisturbances(
            simulation=simulation, leader=repair.leader
        )

    @property
    def random(self):
        return self.simulation.random

    def act(self):
        """Starts a series now and then; a replica that stops asks to leave."""
        if self.leaving is not None:
            self.repair.ask_to_leave(self.leaving)
        if self.watched is not None and self._is_voter(self.watched):
            self._end_watch()
        idle = not self.running and self.simulation.faults and not self.repair.repairs
        if idle and self.random.random() < START_CHANCE:
            self._start()

    def _start(self):
        simulation = self.simulation
        self.running = True
        self.remaining = self.random.randrange(2, LONGEST_SERIES + 1)
        if self.only_joins:
            self.remaining = LONGEST_SERIES_OF_JOINS
        simulation.plan.end_all()
        simulation.network.loss = 0.02
        simulation.plan.faults_paused_until = float("inf")
        simulation.counts["loss series"] += 1
        simulation.call_later(SETTLING_S, self._next_loss)

    def _end(self):
        self.running = False
        self.simulation.plan.faults_paused_until = self.simulation.now

    def _next_loss(self):
        """Loses a machine if the group is whole; what follows is scheduled."""
        victims = self._sound_voters()
        if not self.simulation.faults or not self.remaining or len(victims) < 3:
            self._end()
            return
        self.remaining -= 1
        kinds = [self._disturb_return]
        if not self.only_joins:
            kinds += [
                self._lose_folder,
                self._replace_planned,
                self._replace_unplanned,
            ]
        kind = self.random.choice(kinds)
        self.simulation.counts["series: " + kind.__name__.strip("_")] += 1
        kind(self.random.choice(victims))

    def _is_voter(self, replica):
        leader = self.repair.leader()
        return leader is not None and replica.member_id in leader.core.state.voters()

    def _lose_again_later(self, replica, lose):
        """Loses a folder at a random moment, or as soon as its replica is a voter."""
        self.simulation.counts["series: lost again"] += 1
        if self.random.random() < 0.5:
            delay = self.random.uniform(0, SECOND_LOSS_S)
            self.simulation.call_later(delay, lose)
            return
        self.watched, self.lose_watched = replica, lose
        self.simulation.call_later(2 * SECOND_LOSS_S, lambda: self._give_up(lose))

    def _give_up(self, lose):
        """Loses a folder whose replica has not become a voter."""
        if self.lose_watched is lose:
            self._end_watch()

    def _end_watch(self):
        lose = self.lose_watched
        self.watched = self.lose_watched = None
        lose()

    def _sound_voters(self):
        leader = self.repair.leader()
        if leader is None:
            return []
        voters = leader.core.state.voters()
        return [r for r in self.simulation.replicas.values() if r.member_id in voters]

    def _continue_after(self, seconds):
        slack = self.random.uniform(0.05, 0.5)
        self.simulation.call_later(seconds + slack, self._next_loss)

    # ---- One folder -----------------------------------------------------------------

    def _lose_folder(self, replica):
        self._take_folder(replica)
        losses_again = self.random.choice([0, 0, 1, 2])
        self.simulation.call_later(RESTART_S, lambda: self._back(replica, losses_again))

    def _disturb_return(self, replica):
        """Loses a folder, and disturbs the replica while it joins again."""
        self._take_folder(replica)

        def back():
            self.simulation.start(replica)
            self.disturbances.start(replica, lambda: self._expect_voter(replica))

        self.simulation.call_later(RESTART_S, back)

    def _expect_voter(self, replica):
        """Checks in time that a replica that is left alone has become a voter."""

        def check():
            check_invariant(
                self._is_voter(replica),
                invariant="a replica that is left alone becomes a voter in time",
                detail=f"{replica.member_id} after {CATCH_UP_S} s",
            )
            self._continue_after(0.0)

        self.simulation.call_later(CATCH_UP_S, check)

    def _take_folder(self, replica):
        old = replica.member_id
        if replica.up:
            replica.crash(self.simulation.now)
        replica.new_folder()
        self.repair.replace(replica, old)
        self.repair.check_sound_majority()

    def _back(self, replica, losses_again, *, started=False):
        if not started:
            self.simulation.start(replica)
        if not losses_again:
            self._continue_after(CATCH_UP_S)
            return

        def lose_again():
            self._take_folder(replica)
            self.simulation.call_later(
                RESTART_S, lambda: self._back(replica, losses_again - 1)
            )

        self._lose_again_later(replica, lose_again)

    # ---- Whole machines -------------------------------------------------------------

    def _free(self):
        """Returns replicas at addresses that no member of the group uses."""
        leader = self.repair.leader()
        members = leader.core.state.membership.members
        used = {m.member_id.replica_id for m in members}
        replicas = self.simulation.replicas.values()
        return [r for r in replicas if r.address not in used and not r.up]

    def _start_successor(self, replica):
        replica.new_folder()
        self.simulation.start(replica)

    def _replace_unplanned(self, old):
        free = self._free()
        if not free:
            self._lose_folder(old)
            return
        successor = self.random.choice(free)
        gone = old.member_id
        self._remove_machine(old)

        def start():
            self._start_successor(successor)
            self.repair.replace(successor, gone)
            self._back(successor, self.random.choice([0, 1]), started=True)

        delay = self.random.uniform(RESTART_S, SUCCESSOR_DELAY_S)
        self.simulation.call_later(delay, start)

    def _replace_planned(self, old):
        free = self._free()
        if not free:
            self._lose_folder(old)
            return
        successor = self.random.choice(free)
        self._start_successor(successor)

        def stop():
            self.leaving = old
            self.simulation.call_later(LEAVE_S, end)

        def end():
            self.leaving = None
            gone = old.member_id
            self._remove_machine(old)
            self.repair.replace(successor, gone)
            self._continue_after(0.0)

        self.simulation.call_later(CATCH_UP_S, stop)

    def _remove_machine(self, replica):
        replica.crash(self.simulation.now)
        replica.new_folder()
        self.repair.check_sound_majority()


def check_sound(voters, sound):
    """Checks that a majority of the voters still has its folder."""
    check_invariant(
        2 * len(voters & sound) > len(voters),
        invariant="a majority of the voters is sound",
        detail=f"voters {sorted(map(str, voters))}, sound {sorted(map(str, sound))}",
    )
