"""Mutations of the Raft core and the storage that the tests must detect."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Mutation:
    """One text replacement in a file below src/plantainstage.

    ``feature`` names the feature file whose scenarios must detect the mutation.
    Without one, the randomised simulation must detect it; ``self_repair`` selects the
    simulation of a group that repairs itself.
    """

    name: str
    file: str
    old: str
    new: str
    feature: str = ""
    self_repair: bool = False


ELECTION = "_agreement/election.py"
REPLICATION = "_agreement/replication.py"
FOLLOWING = "_agreement/following.py"
READS = "_agreement/reads.py"
MEMBERSHIP = "_agreement/membership.py"
BOOT = "_agreement/boot.py"
LOG = "_agreement/log.py"
CORE_SCENARIOS = "features/behaviour/agreement_core.feature"
JOINING_SCENARIOS = "features/behaviour/joining.feature"
STORAGE_SCENARIOS = "features/failures/replica_storage.feature"
REPLICA_SCENARIOS = "features/failures/control_replicas.feature"

MUTATIONS = (
    Mutation(
        name="vote without comparing the logs",
        file=ELECTION,
        old="up_to_date = request.last >= state.log.last",
        new="up_to_date = True",
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
        file=FOLLOWING,
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
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="the entry before new ones is not compared",
        file=FOLLOWING,
        old="if own_term is not None and own_term != previous.term:",
        new="if False:",
    ),
    Mutation(
        name="a delayed append request truncates later entries",
        file=FOLLOWING,
        old="        and state.log.term_at(entry.index) != entry.term\n",
        new="        and entry.index > state.commit_index\n",
    ),
    Mutation(
        name="follower commits beyond what the request proves",
        file=FOLLOWING,
        old="commit = min(request.commit_index, match)",
        new="commit = min(request.commit_index, state.log.last.index)",
    ),
    Mutation(
        name="read without a confirmation by a quorum",
        file=READS,
        old="    return state.is_quorum(answered | {state.member_id})",
        new="    return True",
    ),
    Mutation(
        name="read is confirmed by an earlier round",
        file=READS,
        old="PendingRead(request=request, round=state.round + 1)",
        new="PendingRead(request=request, round=state.round - 1)",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="read before the first commit of the term",
        file=READS,
        old="if not state.pending_reads "
        "or state.commit_index < state.term_start_index:",
        new="if not state.pending_reads:",
    ),
    Mutation(
        name="a snapshot drops acknowledged entries that follow it",
        file=FOLLOWING,
        old="if known and state.log.term_at(chunk.index) == chunk.snapshot_term:",
        new="if False:",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="snapshot chunks are joined without a check of their offset",
        file=FOLLOWING,
        old="    if chunk.offset == len(partial.data):\n",
        new="    if chunk.offset >= 0:\n",
    ),
    Mutation(
        name="member change before the last one is committed",
        file=MEMBERSHIP,
        old="if state.commit_index < state.log.membership_index:\n"
        "        return MemberChangeProblem.CHANGE_PENDING",
        new="if False:\n        return MemberChangeProblem.CHANGE_PENDING",
        feature=CORE_SCENARIOS,
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
        name="a replica joins before a majority has recorded its boot",
        file=BOOT,
        old="    if not voters or not majority_recorded "
        "or not (all_recorded or grace_over):\n",
        new="    if not voters:\n",
    ),
    Mutation(
        name="a peer's refusal of an earlier boot is ignored",
        file=BOOT,
        old="    if not reply.recorded:\n",
        new="    if False:\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="acknowledged position is not compared",
        file=BOOT,
        old="    elif known.acknowledged > position:\n",
        new="    elif False:\n",
    ),
    Mutation(
        name="a restarted replica may vote in a term that its peers know",
        file=BOOT,
        old="    if term > state.term or state.vote is None:\n",
        new="    if False:\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="messages of an earlier process of a folder count",
        file=BOOT,
        old='    return record is None or record.boot_nonce in ("", process)\n',
        new="    return True\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="heartbeats do not propagate boot records",
        file=BOOT,
        old="        if own is not None and own.boot < record.boot:\n",
        new="        if False:\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="a starting replica asks only the members that it knows",
        file=BOOT,
        old="    if sender not in known and sender not in state.boot_recorded_by:",
        new="    if False:",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="a folder without members asks no sender to record its boot",
        file=BOOT,
        old="    if sender not in known and sender not in state.boot_recorded_by:",
        new="    if known and sender not in known:",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a replica that has joined without a membership asks no members",
        file=BOOT,
        old="    has_membership = state.joined and state.membership.members\n",
        new="    has_membership = state.joined\n",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a replica without a membership asks no leader that was added later",
        file="_agreement/core.py",
        old="        if not state.joined or not state.membership.members:\n",
        new="        if not state.joined:\n",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a starting replica asks no member twice",
        file=BOOT,
        old="    return ids - {state.member_id}\n",
        new="    return ids - {state.member_id} - state.boot_recorded_by\n",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a request for a snapshot by an unrecorded process is ignored",
        file="_agreement/core.py",
        old="                replication.offer_snapshot(state, sender, message)\n",
        new="                pass\n",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a request for a snapshot by an unrecorded process counts as a reply",
        file="_agreement/core.py",
        old="                replication.offer_snapshot(state, sender, message)\n",
        new="                replication.on_append_reply(state, sender, message)\n",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="a late request restarts a snapshot for a member that has the log",
        file=REPLICATION,
        old="    if progress.match_index == 0 and progress.snapshot_transfer",
        new="    if progress.snapshot_transfer",
        feature=JOINING_SCENARIOS,
    ),
    Mutation(
        name="acknowledgements are compared by the last entry's term",
        file=BOOT,
        old="Acknowledgement(term=state.term, index=state.log.last.index)",
        new="Acknowledgement(term=state.log.last.term, index=state.log.last.index)",
    ),
    Mutation(
        name="the boot counter is not incremented",
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
        old="if high > snapshot.index\n",
        new="if high > snapshot.index + 5\n",
    ),
    Mutation(
        name="a frame's checksum is not checked",
        file="_storage/frames.py",
        old="return payload if _checksum(length, payload) == checksum else None",
        new="return payload",
        feature=STORAGE_SCENARIOS,
    ),
    Mutation(
        name="a torn tail is not truncated",
        file="_storage/segments.py",
        old="            folder.files.truncate(path, scan.end)\n",
        new="            pass\n",
    ),
    Mutation(
        name="a failed write or sync is ignored",
        file="_storage/segments.py",
        old="            raise storage_write_error(path, error) from error\n"
        "        return len(data)",
        new="            pass\n        return len(data)",
    ),
    Mutation(
        name="a leader without a quorum does not step down",
        file="_agreement/core.py",
        old="            election.check_quorum(state)\n",
        new="",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="no pre-vote",
        file=ELECTION,
        old="    state.role = Role.PRE_CANDIDATE\n",
        new="    start_election(state, transfer=False)\n    return\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="each proposal is sent in its own message",
        file="_agreement/core.py",
        old="        return replication.append_leader_entries(state, kind, commands), "
        "state.term\n",
        new="        indices = "
        "replication.append_leader_entries(state, kind, commands)\n"
        "        replication.broadcast(state)\n"
        "        return indices, state.term\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="proposals are accepted during a leadership transfer",
        file="_agreement/core.py",
        old="Role.LEADER or state.transfer_target is not None:",
        new="Role.LEADER:",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="a learner is promoted before it has the log",
        file=MEMBERSHIP,
        old="        if not is_caught_up(state, member_id):\n",
        new="        if False:\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="member change before the first commit of the term",
        file=MEMBERSHIP,
        old="    if state.commit_index < state.term_start_index:\n",
        new="    if False:\n",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="a removed leader does not step down",
        file=REPLICATION,
        old="            broadcast(state)\n"
        "            state.become_follower(term=state.term)",
        new="            broadcast(state)",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="any damage in the last segment is treated as a torn tail",
        file="_storage/segments.py",
        old="if not is_last or scan.intact_frame_follows:",
        new="if not is_last:",
        feature=STORAGE_SCENARIOS,
    ),
    Mutation(
        name="a missing log is treated as that of a new folder",
        file="_storage/segments.py",
        old="if folder.identity.sealed and not numbers:",
        new="if False:",
        feature=STORAGE_SCENARIOS,
    ),
    Mutation(
        name="a store accepts writes after a failed one",
        file="_storage/store.py",
        old="        if self.failed:\n",
        new="        if False:\n",
        feature=STORAGE_SCENARIOS,
    ),
    Mutation(
        name="segments are kept after a snapshot",
        file="_storage/store.py",
        old="        self._remove(map(segment_name, old))\n",
        new="",
        feature=STORAGE_SCENARIOS,
    ),
    Mutation(
        name="a repair is reported while the old identity is a member",
        file=MEMBERSHIP,
        old="members[new].voter and old not in members",
        new="members[new].voter",
        feature=REPLICA_SCENARIOS,
    ),
    Mutation(
        name="acknowledged positions are not written",
        file="_control/replica_driver.py",
        old="                    self.core.peer_records(),\n",
        new="",
        feature=REPLICA_SCENARIOS,
    ),
    Mutation(
        name="a silent link is kept",
        file="_control/peer_links.py",
        old="        elif now - self.unacknowledged_since > ACK_TIMEOUT_S:\n",
        new="        elif False:\n",
        feature=REPLICA_SCENARIOS,
    ),
    Mutation(
        name="a bootstrap list is accepted by a folder with state",
        file="_control/replica.py",
        old="if self.settings.bootstrap and not store.is_empty:",
        new="if False:",
        feature=REPLICA_SCENARIOS,
    ),
    Mutation(
        name="a member of a group does not refuse a founding offer",
        file="_control/founding.py",
        old="    return FoundingRefused(\n",
        new="    return None and FoundingRefused(\n",
        feature=REPLICA_SCENARIOS,
    ),
    Mutation(
        name="the log after a snapshot is not bounded in bytes",
        file=LOG,
        old="if total > data_bytes:",
        new="if False:",
        feature=CORE_SCENARIOS,
    ),
    Mutation(
        name="records are confirmed by a reply to a request without them",
        file=REPLICATION,
        old="progress.records_in_all_from_round = state.round + 1",
        new="progress.records_in_all_from_round = state.round",
        feature=CORE_SCENARIOS,
    ),
)
