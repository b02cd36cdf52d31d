"""Commands that decide on operators' changes, once for each change number."""

import hashlib

import msgspec

from plantainstage._membership.profiles import profile_faults
from plantainstage._membership.quarantines import lift_quarantine
from plantainstage._messages import control

_encoder = msgspec.msgpack.Encoder()


class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Why a change is rejected, and what its operator can do."""

    reason: str
    remedy: str


def change_digest(change):
    """Returns a digest of operator and body, to compare changes with one number."""
    data = _encoder.encode((change.operator, change.body))
    return hashlib.sha256(data).hexdigest()


def apply_change(state, command):
    """Decides on a change, or returns the verdict if its number is decided already."""
    change = command.change
    if change.number == state.next_number:
        return control.ChangeVerdict(verdict=_decide(state, change))
    if change.number > state.next_number:
        return control.ChangeNotConsidered(next_number=state.next_number)
    verdict = state.verdicts.find(change.number)
    if verdict is None:
        return control.ChangeNotConsidered(next_number=state.next_number, too_old=True)
    if change_digest(verdict.change) != change_digest(change):
        return control.ChangeConflict(winner=verdict)
    return control.ChangeVerdict(verdict=verdict)


def _decide(state, change):
    rejection = _rejection(state, change.body)
    if rejection is None:
        verdict = control.Verdict(
            change=change,
            kind=control.VerdictKind.ACCEPTED,
            version=_apply_body(state, change.body),
        )
    else:
        verdict = control.Verdict(
            change=change,
            kind=control.VerdictKind.REJECTED,
            version=state.version,
            reason=rejection.reason,
            remedy=rejection.remedy,
        )
    state.verdicts.add(verdict)
    return verdict


def _rejection(state, body):
    match body:
        case control.PublishProfile(profile=profile):
            faults = profile_faults(profile)
            if faults:
                return Rejection(
                    reason="; ".join(fault.describe() for fault in faults),
                    remedy="Correct these fields and publish with the next number.",
                )
        case control.RetireProfile(name=name) if name not in state.profiles:
            return Rejection(
                reason=f"no profile {name!r} is published",
                remedy="List the profiles with: plantainstage-ctl profile list",
            )
        case control.TakeUpstreamOut(upstream_id=name) if name not in state.upstreams:
            return Rejection(
                reason=f"no upstream {name!r} is registered",
                remedy="List the upstreams with: plantainstage-ctl upstream list",
            )
        case control.PutUpstreamIn(upstream_id=name) if name not in state.taken_out:
            return Rejection(
                reason=f"upstream {name!r} was not taken out",
                remedy="List the upstreams with: plantainstage-ctl upstream list",
            )
        case control.LiftQuarantine(fingerprint=name) if name not in state.quarantines:
            return Rejection(
                reason=f"no fingerprint {name!r} is quarantined",
                remedy="List the quarantines with: plantainstage-ctl quarantine list",
            )
    return None


def _apply_body(state, body):
    match body:
        case control.PublishProfile(profile=profile):
            if state.profiles.get(profile.name) == profile:
                return state.version
            _set_profile(state, profile.name, profile)
        case control.RetireProfile(name=name):
            _set_profile(state, name, None)
        case control.TakeUpstreamOut(upstream_id=name):
            if name in state.taken_out:
                return state.version
            state.taken_out.add(name)
            state.increment_version()
        case control.PutUpstreamIn(upstream_id=name):
            state.taken_out.remove(name)
            state.increment_version()
        case control.LiftQuarantine(fingerprint=name):
            lift_quarantine(state, name)
    return state.version


def _set_profile(state, name, profile):
    """Sets or removes a profile, and records an old deadline that was longer.

    Requests that started with the old deadline may still be running, and a takeover
    of a searcher has to wait for them.
    """
    old = state.profiles.pop(name, None)
    if profile is not None:
        state.profiles[name] = profile
    version = state.increment_version()
    new_deadline_ms = profile.deadline_ms if profile is not None else 0
    if old is not None and old.deadline_ms > new_deadline_ms:
        state.retired_deadlines[version] = old.deadline_ms


def apply_forget_deadlines(state, command):
    """Removes retired deadlines with which no request can still be running."""
    for version in tuple(state.retired_deadlines):
        if version <= command.up_to_version:
            del state.retired_deadlines[version]
    return control.Done(version=state.version)
