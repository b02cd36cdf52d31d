"""Mutations of claims, drain notices and control calls that tests must detect."""

from agreement_mutations import Mutation

BATCH_SCENARIOS = "features/behaviour/claim_batches.feature"
CLAIM_SCENARIOS = "features/behaviour/claims.feature"
CALL_SCENARIOS = "features/behaviour/control_calls.feature"
LEAVING_SCENARIOS = "features/failures/leaving.feature"
DRAINING_SEARCHERS = "_entry/draining_searchers.py"
CLAIMS = "_membership/claims.py"

MEMBERSHIP_MUTATIONS = (
    Mutation(
        name="a claim that is delivered again is taken for another host's",
        file="_membership/claims.py",
        old="if running and record.nonces[-1] == command.nonce:",
        new="if False:",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="a resent batch also has the members that arrived since",
        file="_entry/claim_batches.py",
        old="            except ControlUnavailableError:\n                continue",
        new="            except ControlUnavailableError:\n"
        "                batch.extend(self._take_batch())\n"
        "                request = control.ClaimBatch(\n"
        "                    members=tuple(m.request for m in batch)\n"
        "                )",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="replies of a batch are matched in reverse order",
        file="_entry/claim_batches.py",
        old="            replies = reply.replies",
        new="            replies = reply.replies[::-1]",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="a batch is not bounded in members",
        file="_entry/claim_batches.py",
        old="while self.waiting and len(batch) < control.MAX_BATCH_MEMBERS:",
        new="while self.waiting:",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="a batch is not bounded in bytes",
        file="_entry/claim_batches.py",
        old="if batch and total + member.size > control.MAX_BATCH_BYTES:",
        new="if False:",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="the reply to a batch is not bounded",
        file="_control/claim_requests.py",
        old="if size and total and total + size > control.MAX_BATCH_BYTES:",
        new="if False:",
        feature=BATCH_SCENARIOS,
    ),
    Mutation(
        name="answers are kept without a limit",
        file=CLAIMS,
        old="state.kept_answers.evict_beyond(keep_bytes)",
        new="()",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="the newest answers are dropped first",
        file="_membership/kept_answers.py",
        old="next(iter(self.sizes))",
        new="next(reversed(self.sizes))",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="a request whose answer is dropped may run again",
        file=CLAIMS,
        old='outcome=msgspec.structs.replace(record.outcome, body=b"")',
        new="outcome=ClaimOutcome(kind=ClaimOutcomeKind.NOT_RUN)",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="a dropped answer is reported as unknown",
        file="_entry/claims.py",
        old="run=RunState.DONE",
        new="run=RunState.UNKNOWN",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="answers of an earlier release are not counted",
        file="_membership/state.py",
        old="return tuple(key.request_id for key in snapshot.claims_by_time)",
        new="return ()",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="a snapshot loses the order of the answers",
        file="_membership/state.py",
        old="kept_answers=tuple(state.kept_answers.sizes),",
        new="kept_answers=tuple(sorted(state.kept_answers.sizes)),",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="the answer of a dropped claim still counts",
        file=CLAIMS,
        old="        state.kept_answers.discard(request_id)\n",
        new="",
        feature=CLAIM_SCENARIOS,
    ),
    Mutation(
        name="a draining announcement waits for control",
        file="_entry/announcements.py",
        old="            self.on_draining(upstream)",
        new="            pass",
        feature=LEAVING_SCENARIOS,
    ),
    Mutation(
        name="the other hosts are not notified of a draining announcement",
        file=DRAINING_SEARCHERS,
        old="            link.send_unbatched(notice)",
        new="            pass",
        feature=LEAVING_SCENARIOS,
    ),
    Mutation(
        name="a drain notice takes effect only with the next configuration",
        file=DRAINING_SEARCHERS,
        old="        if is_new:",
        new="        if False:",
        feature=LEAVING_SCENARIOS,
    ),
    Mutation(
        name="a configuration that lacks a draining state undoes its notice",
        file="_entry/host.py",
        old="effective = self.draining_searchers.apply(configuration, now)",
        new="effective = (\n"
        "            self.draining_searchers.apply(configuration, now)\n"
        "            if configuration is self.session.configuration\n"
        "            else configuration\n        )",
        feature=LEAVING_SCENARIOS,
    ),
    Mutation(
        name="a drain notice counts for a later process of the searcher",
        file=DRAINING_SEARCHERS,
        old="and key in self.received_at:",
        new="and key[0] in {name for name, _ in self.received_at}:",
        feature=LEAVING_SCENARIOS,
    ),
    Mutation(
        name="a call waits for a reply on a lost connection",
        file="_transport/rpc.py",
        old="            socket.add_post_pipe_remove_cb(removed)\n",
        new="",
        feature=CALL_SCENARIOS,
    ),
    Mutation(
        name="a call returns to a replica whose connection was just lost",
        file="_transport/rpc.py",
        old="if address == asked or self._recently_lost(address):",
        new="if address == asked:",
        feature=CALL_SCENARIOS,
    ),
    Mutation(
        name="a call waits for a replica that accepts no connection",
        file="_transport/rpc.py",
        old="        if self.connected.is_set():",
        new="        if True:",
        feature=CALL_SCENARIOS,
    ),
)
