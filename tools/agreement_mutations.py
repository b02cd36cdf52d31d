"""Mutations of the agreement and the storage that the checks must find."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One replacement of text in a file below src/plantainstage."""

    name: str
    file: str
    old: str
    new: str


ELECTION = "_agreement/election.py"
REPLICATION = "_agreement/replication.py"
SNAPSHOTS = "_agreement/snapshots.py"
MEMBERSHIP = "_agreement/membership.py"
BOOT = "_agreement/boot.py"

MUTATIONS = (
    Mutation(
        name="vote without comparing the logs",
        file=ELECTION,
        old="or not free or not up_to_date",
        new="or not free",
    ),
    Mutation(
        name="second vote in a term",
        file=ELECTION,
        old="free = state.vote in (None, sender) and state.leader in (None, sender)",
        new="free = True",
    ),
    Mutation(
        name="vote is not synced before the reply",
        file=ELECTION,
        old="pre_vote=False)\n    state.send(sender, reply, after_sync=True)",
        new="pre_vote=False)\n    state.send(sender, reply, after_sync=False)",
    ),
    Mutation(
        name="entries are acknowledged before the sync",
        file=REPLICATION,
        old="term=state.term, accepted=True, index=match, round=request.round\n    )\n"
        "    state.send(sender, reply, after_sync=True)",
        new="term=state.term, accepted=True, index=match, round=request.round\n    )\n"
        "    state.send(sender, reply, after_sync=False)",
    ),
    Mutation(
        name="entries of earlier terms are committed by counting",
        file=REPLICATION,
        old="if index > state.commit_index and state.log.term_at(index) == state.term:",
        new="if index > state.commit_index:",
    ),
    Mutation(
        name="no check of the entry before new ones",
        file=REPLICATION,
        old="if own_term is not None and own_term != previous.term:",
        new="if False:",
    ),
    Mutation(
        name="an old request cuts off later entries",
        file=REPLICATION,
        old="        and state.log.term_at(entry.index) != entry.term\n",
        new="        and entry.index > state.commit_index\n",
    ),
    Mutation(
        name="follower commits beyond what the request proves",
        file=REPLICATION,
        old="commit = min(request.commit_index, match)",
        new="commit = min(request.commit_index, state.log.last.index)",
    ),
    Mutation(
        name="read without a confirmation by a quorum",
        file=REPLICATION,
        old="    return state.is_quorum(answered | {state.member_id})",
        new="    return True",
    ),
    Mutation(
        name="read is confirmed by an earlier round",
        file=REPLICATION,
        old="PendingRead(request=request, round=state.round + 1)",
        new="PendingRead(request=request, round=state.round - 1)",
    ),
    Mutation(
        name="read before the first commit of the term",
        file=REPLICATION,
        old="if not state.reads or state.commit_index < state.term_start_index:",
        new="if not state.reads:",
    ),
    Mutation(
        name="installing a snapshot drops an acknowledged tail",
        file=SNAPSHOTS,
        old="if known and state.log.term_at(chunk.index) == chunk.snapshot_term:",
        new="if False:",
    ),
    Mutation(
        name="chunks are joined without looking at their offset",
        file=SNAPSHOTS,
        old="    if chunk.offset == len(partial.data):\n",
        new="    if chunk.offset >= 0:\n",
    ),
    Mutation(
        name="member change before the last one is committed",
        file=MEMBERSHIP,
        old="if state.commit_index < state.log.membership_index:\n"
        "        return MemberChangeProblem.CHANGE_PENDING",
        new="if False:\n        return MemberChangeProblem.CHANGE_PENDING",
    ),
    Mutation(
        name="learners count as voters",
        file="_agreement/state.py",
        old="return {m.member_id for m in self.membership.members if m.voter}",
        new="return {m.member_id for m in self.membership.members}",
    ),
    Mutation(
        name="a new folder keeps the old identity",
        file="_storage/folder.py",
        old="incarnation=new_incarnation(), boot=1",
        new="incarnation=replica_id, boot=1",
    ),
    Mutation(
        name="no check of the boot by the peers",
        file=BOOT,
        old="    if not voters or not enough or not (everyone or waited):\n",
        new="    if not voters:\n",
    ),
    Mutation(
        name="boot counter is not compared",
        file=BOOT,
        old="    if not reply.recorded:\n",
        new="    if False:\n",
    ),
    Mutation(
        name="acknowledged position is not compared",
        file=BOOT,
        old="    elif known.acknowledged > position:\n",
        new="    elif False:\n",
    ),
    Mutation(
        name="votes of known terms are not given up",
        file=BOOT,
        old="    if term > state.term or state.vote is None:\n",
        new="    if False:\n",
    ),
    Mutation(
        name="messages of an older process of a folder count",
        file=BOOT,
        old='    return record is None or record.boot_nonce in ("", process)\n',
        new="    return True\n",
    ),
    Mutation(
        name="boot records are not spread by heartbeats",
        file=BOOT,
        old="        if own is not None and own.boot < record.boot:\n",
        new="        if False:\n",
    ),
    Mutation(
        name="a starting replica asks only the members that it knows",
        file=BOOT,
        old="    if known and sender not in known and sender not in "
        "state.boot_recorded_by:",
        new="    if False:",
    ),
    Mutation(
        name="the boot counter is not raised",
        file="_storage/folder.py",
        old="boot=identity.boot + 1",
        new="boot=identity.boot",
    ),
    Mutation(
        name="the peers' record of a boot is not synced",
        file=BOOT,
        old="    state.actions.append(SavePeer(record=record))\n",
        new="",
    ),
    Mutation(
        name="frames are not synced",
        file="_storage/segments.py",
        old="            files.sync(self.handle)\n",
        new="",
    ),
    Mutation(
        name="the folder is not synced after a rename",
        file="_storage/folder.py",
        old="        files.rename(temporary, path)\n"
        "        files.sync_folder(folder)\n",
        new="        files.rename(temporary, path)\n",
    ),
    Mutation(
        name="files are renamed before their sync",
        file="_storage/folder.py",
        old="            files.write(handle, data)\n            files.sync(handle)\n",
        new="            files.write(handle, data)\n",
    ),
    Mutation(
        name="a new segment does not repeat the hard state",
        file="_storage/store.py",
        old="                hard_state=self.hard_state,\n",
        new="                hard_state=HardState(),\n",
    ),
    Mutation(
        name="a segment is removed too early",
        file="_storage/store.py",
        old="if high > snapshot.index]",
        new="if high > snapshot.index + 5]",
    ),
    Mutation(
        name="a frame's checksum is not checked",
        file="_storage/frames.py",
        old="return payload if _checksum(length, payload) == checksum else None",
        new="return payload",
    ),
    Mutation(
        name="a torn tail is not cut off",
        file="_storage/segments.py",
        old="            folder.files.truncate(path, scan.end)\n",
        new="            pass\n",
    ),
    Mutation(
        name="a replica goes on after a failed sync",
        file="_storage/segments.py",
        old="            raise storage_failed(path, error) from error\n"
        "        return len(data)",
        new="            pass\n        return len(data)",
    ),
)
