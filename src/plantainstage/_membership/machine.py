"""The deterministic state machine that the control replicas run."""

import msgspec

from plantainstage._errors import check_invariant
from plantainstage._membership import (
    changes,
    claims,
    commands,
    ownership,
    quarantines,
    registry,
)
from plantainstage._membership.queries import build_configuration
from plantainstage._membership.state import (
    ReplicatedState,
    decode_state,
    encode_state,
)
from plantainstage._messages.control import RequestRejected


class MembershipMachine:
    """Applies committed commands to the replicated state.

    A command that cannot be decoded gives RequestRejected on every replica, since an
    error would stop all of them.
    """

    def __init__(self):
        self.state = ReplicatedState()
        self.cached_configuration = None

    def apply(self, *, index, command):
        """Applies a command and returns the reply to its sender."""
        try:
            decoded = commands.decode_command(command)
        except msgspec.MsgspecError as error:
            return RequestRejected(
                code="malformed_command",
                message=f"Log entry {index} could not be decoded: {error}.",
                remedy="Run the same release on all control replicas.",
            )
        before = self.state.version
        result = apply_command(self.state, decoded)
        check_invariant(
            self.state.version >= before,
            invariant="the configuration version never falls",
            detail=f"{before} to {self.state.version} at index {index}",
        )
        return result

    def take_snapshot(self):
        """Returns the complete state as bytes."""
        return encode_state(self.state)

    def restore(self, *, snapshot):
        """Replaces the complete state; an empty snapshot gives the initial state."""
        restored = decode_state(snapshot) if snapshot else ReplicatedState()
        check_invariant(
            restored.version >= self.state.version,
            invariant="the configuration version never falls",
            detail=f"snapshot of {restored.version} over {self.state.version}",
        )
        self.state = restored

    def configuration(self):
        """Returns the configuration of the newest applied version."""
        if (
            self.cached_configuration is None
            or self.cached_configuration.version != self.state.version
        ):
            self.cached_configuration = build_configuration(self.state)
        return self.cached_configuration


def apply_command(state, command):
    """Applies one command to ``state`` and returns the reply."""
    match command:
        case commands.ApplyChange():
            return changes.apply_change(state, command)
        case commands.RegisterUpstreams():
            return registry.apply_register_upstreams(state, command)
        case commands.MarkUpstreamsLost():
            return registry.apply_mark_upstreams_lost(state, command)
        case commands.ForgetUpstreams():
            return registry.apply_forget_upstreams(state, command)
        case commands.RegisterEntry():
            return ownership.apply_register_entry(state, command)
        case commands.RemoveEntry():
            return ownership.apply_remove_entry(state, command)
        case commands.MoveOwners():
            return ownership.apply_move_owners(state, command)
        case commands.ForgetDeadlines():
            return changes.apply_forget_deadlines(state, command)
        case commands.ClaimAttempt():
            return claims.apply_claim(state, command)
        case commands.CompleteAttempt():
            return claims.apply_complete(state, command)
        case commands.ClaimCommands(items=items):
            return tuple(apply_command(state, item) for item in items)
        case commands.AddQuarantine():
            return quarantines.apply_add_quarantine(state, command)
        case commands.ExpireQuarantines():
            return quarantines.apply_expire_quarantines(state, command)
    return None
