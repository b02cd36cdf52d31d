"""Faults of a simulated group, limited to those that the design tolerates."""

import errno

# Pause after a rollback within the folder's last boot: the peers that know what it
# lost must stay available, a limitation stated in docs/design.md, section 7.4.
FAULT_PAUSE_S = 3.0


class FaultPlan:
    """Draws random faults and ends them again."""

    def __init__(self, *, simulation):
        self.simulation = simulation
        self.faults_paused_until = float("-inf")

    @property
    def random(self):
        return self.simulation.random

    def longest_delay_s(self):
        """Returns the longest extra delay of a frame.

        While faults are paused, it is shorter than the boot grace time.
        """
        return 0.3 if self._faults_paused() else 1.5

    def _faults_paused(self):
        return self.simulation.now < self.faults_paused_until

    def inject(self):
        """Injects one random fault, unless faults are paused."""
        if self._faults_paused():
            return
        fault = self.random.choices(
            [
                self.cut_one_way,
                self.isolate,
                self.heal,
                self.freeze,
                self.crash,
                self.crash_soon,
                self.fail_disk,
                self.step_clock,
                self.copy_folder,
                self.lose_folder,
                self.roll_back,
                self.transfer,
                self.change_loss,
            ],
            weights=[4, 5, 10, 5, 4, 5, 2, 4, 8, 1, 3, 2, 4],
        )[0]
        name = fault.__name__.replace("_", " ")
        if fault():
            self.simulation.counts["fault: " + name] += 1

    def end_all(self):
        """Ends all lasting faults."""
        self.simulation.network.blocked_links.clear()
        self.simulation.network.loss = 0.0
        for replica in self.simulation.replicas.values():
            replica.frozen_until = 0.0

    # ---- Choices --------------------------------------------------------------

    def _running(self):
        """Returns the running replicas."""
        return [r for r in self.simulation.replicas.values() if r.up]

    def _pick(self):
        running = self._running()
        return self.random.choice(running) if running else None

    def _may_damage(self, replica):
        """Whether a majority of intact folders remains if this one is lost."""
        operator = self.simulation.operator
        leader = operator.leader()
        if leader is None or operator.tasks:
            return False
        replicas = self.simulation.replicas.values()
        if any(other.rolled_back_to is not None for other in replicas):
            # A rolled-back folder that has not been detected yet is damaged as well.
            return False
        state = leader.core.state
        if state.commit_index < max(state.log.membership_index, state.term_start_index):
            return False
        return replica.member_id in state.voters() and len(state.voters()) >= 3

    # ---- Network --------------------------------------------------------------

    def cut_one_way(self):
        addresses = list(self.simulation.replicas)
        self.simulation.network.blocked_links.add(
            tuple(self.random.sample(addresses, 2))
        )
        return True

    def isolate(self):
        replica = self._pick()
        if replica is None:
            return False
        for address in self.simulation.replicas:
            if address != replica.address:
                self.simulation.network.blocked_links.add((address, replica.address))
                self.simulation.network.blocked_links.add((replica.address, address))
        return True

    def heal(self):
        healed = bool(self.simulation.network.blocked_links)
        self.simulation.network.blocked_links.clear()
        return healed

    def change_loss(self):
        self.simulation.network.loss = self.random.choice([0.0, 0.02, 0.1, 0.3])
        return True

    # ---- Processes ------------------------------------------------------------

    def freeze(self):
        replica = self._pick()
        if replica is None:
            return False
        duration = self.random.uniform(0.05, 3.0)
        replica.frozen_until = self.simulation.now + duration
        return True

    def crash(self):
        replica = self._pick()
        if replica is None:
            return False
        replica.crash(self.simulation.now)
        self.simulation.after_step(replica)
        return True

    def crash_soon(self):
        replica = self._pick()
        if replica is None:
            return False
        replica.disk.operations_until_crash = self.random.randrange(12)
        return True

    def fail_disk(self):
        replica = self._pick()
        if replica is None:
            return False
        replica.disk.fail_next = self.random.choice(["write", "sync"])
        replica.disk.failure = self.random.choice([errno.ENOSPC, errno.EIO])
        return True

    def step_clock(self):
        replica = self._pick()
        if replica is None:
            return False
        replica.clock_offset += self.random.choice([-1.0, -0.1, 0.1, 0.5, 5.0])
        self.simulation.after_step(replica)
        return True

    def transfer(self):
        leader = self.simulation.operator.leader()
        if leader is None:
            return False
        self.simulation.step(
            leader, lambda core, local: core.transfer_leadership(now=local)
        )
        return True

    # ---- Folders --------------------------------------------------------------

    def copy_folder(self):
        replica = self._pick()
        if replica is None or not replica.core.state.joined:
            return False
        replica.take_copy(self.simulation.now)
        return True

    def lose_folder(self):
        replica = self._pick()
        if replica is None or not self._may_damage(replica):
            return False
        self._start_with_empty_folder(replica)
        return True

    def _start_with_empty_folder(self, replica):
        old = replica.member_id
        if replica.up:
            replica.crash(self.simulation.now)
        replica.new_folder()
        self.simulation.start(replica)
        while not replica.up and replica.member_id is None:
            self.simulation.start(replica)
        self.simulation.operator.replace(replica, old)

    def roll_back(self):
        replica = self._pick()
        if replica is None or not replica.copies or not self._may_damage(replica):
            return False
        if not replica.was_joined or replica.rolled_back_to is not None:
            return False
        copy = self.random.choice(replica.copies)
        if copy.boot == replica.store.folder.identity.boot:
            if not self._all_members_up_since(replica, copy):
                return False
            self.faults_paused_until = self.simulation.now + FAULT_PAUSE_S
            self.simulation.counts["rolled back within a boot"] += 1
        replica.crash(self.simulation.now)
        replica.disk.restore(copy.image)
        replica.copies = []
        replica.rolled_back_to = copy
        self.simulation.start(replica)
        return True

    def _all_members_up_since(self, replica, copy):
        """Whether all members are reachable and have not crashed since the copy."""
        now = self.simulation.now
        leader = self.simulation.operator.leader()
        for member in leader.core.state.membership.members:
            peer = self.simulation.replicas[member.member_id.replica_id]
            same = peer.member_id == member.member_id and peer.up
            if not same or peer.frozen_until > now or peer.crashed_at >= copy.time:
                return False
            if peer.disk.operations_until_crash is not None or peer.disk.fail_next:
                return False
        return not self.simulation.network.blocked_links

    # ---- After a stop ---------------------------------------------------------

    def on_down(self, replica):
        """Restarts a replica later, or replaces one whose older folder was refused."""
        if replica.stop_reason == "rolled back":
            check = replica.rolled_back_to is not None
            assert check, (
                f"{replica.address}: an intact folder was refused: {replica.stop_error}"
            )
            self._start_with_empty_folder(replica)
            return
        self.restart_later(replica)

    def restart_later(self, replica):
        """Starts the process again after a random delay."""
        simulation = self.simulation
        member_id = replica.member_id

        def restart():
            if not replica.up and replica.member_id == member_id:
                simulation.start(replica)

        simulation.call_later(self.random.uniform(0.02, 1.5), restart)
