"""Replication: the leader sends entries, followers check and store them."""

from wagtailspread.consensus import messages, snapshots, states
from wagtailspread.core import identifiers

_MICROS = 1_000_000


class Replication:
    """Sends the log to the followers and commits what a majority holds."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state
        self._sender = snapshots.SnapshotSender(state)
        self._receiver = snapshots.SnapshotReceiver(state)
        self._heartbeat_at = 0.0

    def tick(self, now: float) -> None:
        """Send heartbeats when they are due."""
        if now >= self._heartbeat_at:
            self.send_heartbeats(now)

    def send_heartbeats(self, now: float) -> None:
        """Send a request to every follower, with entries if any are due."""
        state = self._state
        self._heartbeat_at = now + state.policy.heartbeat_interval
        for identity in state.other_nodes():
            progress = state.progress[identity]
            progress.is_paused = False
            if progress.is_expelled:
                self._expel(progress, identity)
            elif not self._send(identity, now):
                self._send_entries(identity, (), now)

    def send_entries(self, now: float) -> None:
        """Send new entries to the followers that can take them."""
        for identity in self._state.other_nodes():
            self._send(identity, now)

    def answer(self, request: messages.AppendRequest, now: float) -> None:
        """Check the request against the log and store its entries."""
        state = self._state
        if not accept_leader(state, request.sender, request.term, now):
            self._reply(request, request.prev_index, is_accepted=False)
            return
        hint = self._find_conflict(request)
        if hint is not None:
            self._reply(request, hint, is_accepted=False)
            return
        self._store(request.entries)
        match = identifiers.LogIndex(request.prev_index + len(request.entries))
        match = max(match, state.log.base_index)
        self._commit_up_to(min(request.commit, match))
        self._reply(request, match, is_accepted=True)

    def count(self, reply: messages.AppendReply, now: float) -> None:
        """Note what a follower holds and commit what a majority holds."""
        state = self._state
        progress = self._note_reply(reply, now)
        if progress is None:
            return
        if self._has_lost_entries(progress, reply):
            self._expel(progress, reply.sender)
            return
        if reply.is_accepted:
            self._advance(progress, reply.index, now)
            self.commit_replicated()
        else:
            self._step_back(progress, reply)
        if state.role is states.Role.LEADER:
            self._send(reply.sender, now)

    def store_chunk(self, chunk: messages.SnapshotChunk, now: float) -> None:
        """Store a part of a snapshot and install it when it is whole."""
        if accept_leader(self._state, chunk.sender, chunk.term, now):
            self._receiver.store(chunk)
        else:
            self._receiver.refuse(chunk)

    def count_chunk(self, reply: messages.SnapshotReply, now: float) -> None:
        """Send the next part, or go on with entries after the last one."""
        progress = self._note_reply(reply, now)
        if progress is None:
            return
        if self._sender.count(reply, progress, now):
            self._advance(progress, reply.index, now)
            self._send(reply.sender, now)

    def commit_replicated(self) -> None:
        """Commit up to the last entry that a majority holds.

        Only an entry of the own term is committed by counting; older ones are
        committed with it, since a majority that holds them may still lose them
        to a leader that has not seen them.
        """
        state = self._state
        index = find_majority_index(state)
        if index > state.commit and self._can_commit(index):
            state.commit = index

    def _can_commit(self, index: identifiers.LogIndex) -> bool:
        return self._state.log.find_term(index) == self._state.term

    def _note_reply(
        self,
        reply: messages.AppendReply | messages.SnapshotReply,
        now: float,
    ) -> states.Progress | None:
        state = self._state
        if reply.term > state.term:
            state.follow(reply.term, None, now)
            return None
        if reply.term < state.term or state.role is not states.Role.LEADER:
            return None
        progress = state.progress.get(reply.sender)
        if progress is not None and not progress.is_expelled:
            progress.active_at = now
            sent_at = reply.sent_us / _MICROS
            progress.lease_at = max(progress.lease_at, sent_at)
        return progress

    def _advance(
        self,
        progress: states.Progress,
        index: identifiers.LogIndex,
        now: float,
    ) -> None:
        if index > progress.match_index:
            progress.match_index = index
            progress.matched_at = now
        next_index = identifiers.LogIndex(progress.match_index + 1)
        progress.next_index = max(progress.next_index, next_index)
        progress.is_probing = False
        progress.is_paused = False

    def _has_lost_entries(
        self,
        progress: states.Progress,
        reply: messages.AppendReply,
    ) -> bool:
        """Tell whether the log got shorter than what was acknowledged.

        Only an answer to a request that was sent after the acknowledgement
        came proves it; others may have been overtaken.
        """
        is_newer = reply.sent_us > progress.matched_at * _MICROS
        return is_newer and reply.last_index < progress.match_index

    def _expel(
        self,
        progress: states.Progress,
        identity: identifiers.ReplicaId,
    ) -> None:
        state = self._state
        progress.match_index = identifiers.LogIndex(0)
        progress.is_expelled = True
        state.send(messages.Expulsion(state.identity, identity, state.term))

    def _step_back(
        self,
        progress: states.Progress,
        reply: messages.AppendReply,
    ) -> None:
        is_stale = reply.prev_index <= progress.match_index or (
            progress.is_probing and reply.prev_index != progress.next_index - 1
        )
        if is_stale:
            return
        hint = min(reply.index, reply.prev_index - 1)
        next_index = identifiers.LogIndex(max(hint, progress.match_index) + 1)
        progress.next_index = next_index
        progress.is_probing = True
        progress.is_paused = False

    def _send(self, identity: identifiers.ReplicaId, now: float) -> bool:
        """Send entries or a part of a snapshot; tell whether any was due."""
        state = self._state
        progress = state.progress[identity]
        if progress.is_paused or progress.is_expelled:
            return False
        if progress.next_index <= state.log.base_index:
            return self._sender.send(identity, progress, now)
        in_flight = progress.next_index - progress.match_index
        if in_flight > state.policy.max_entries_in_flight:
            if not progress.is_probing:
                return False
        entries = state.log.read_bounded(
            progress.next_index,
            state.policy.max_append_entries,
            state.policy.max_append_bytes,
        )
        if not (entries or progress.is_probing):
            return False
        self._send_entries(identity, entries, now)
        if progress.is_probing:
            progress.is_paused = True
        else:
            next_index = progress.next_index + len(entries)
            progress.next_index = identifiers.LogIndex(next_index)
        return True

    def _send_entries(
        self,
        identity: identifiers.ReplicaId,
        entries: tuple[messages.LogEntry, ...],
        now: float,
    ) -> None:
        state = self._state
        next_index = state.progress[identity].next_index
        prev_index = identifiers.LogIndex(next_index - 1)
        prev_term = state.log.find_term(prev_index)
        if prev_term is None:
            return
        request = messages.AppendRequest(
            state.identity,
            identity,
            state.term,
            prev_index,
            prev_term,
            state.commit,
            int(now * _MICROS),
            entries,
        )
        state.send(request)

    def _find_conflict(
        self,
        request: messages.AppendRequest,
    ) -> identifiers.LogIndex | None:
        """Return the index to try next, or nothing if the logs match."""
        log = self._state.log
        if request.prev_index < log.base_index:
            return None
        known = log.find_term(request.prev_index)
        if known == request.prev_term:
            return None
        if known is None:
            return log.last_index
        first = log.find_first_of_term(request.prev_index)
        return identifiers.LogIndex(max(first - 1, self._state.commit))

    def _store(self, entries: tuple[messages.LogEntry, ...]) -> None:
        state = self._state
        for place, entry in enumerate(entries):
            if entry.index <= state.log.base_index:
                continue
            known = state.log.find_term(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                state.truncate(entry.index)
            state.append(entries[place:])
            return

    def _commit_up_to(self, index: int) -> None:
        state = self._state
        if index > state.commit:
            state.commit = identifiers.LogIndex(index)

    def _reply(
        self,
        request: messages.AppendRequest,
        index: identifiers.LogIndex,
        *,
        is_accepted: bool,
    ) -> None:
        reply = messages.AppendReply(
            self._state.identity,
            request.sender,
            self._state.term,
            is_accepted,
            index,
            request.prev_index,
            request.sent_us,
            self._state.log.last_index,
        )
        self._state.send(reply)


def accept_leader(
    state: states.ReplicaState,
    leader: identifiers.ReplicaId,
    term: identifiers.Term,
    now: float,
) -> bool:
    """Follow the sender if its term is not older than the own one."""
    if term < state.term:
        return False
    if term > state.term or state.role is not states.Role.FOLLOWER:
        state.follow(term, leader, now)
    state.leader = leader
    state.leader_contact_at = now
    state.reset_election(now)
    return True


def find_majority_index(state: states.ReplicaState) -> identifiers.LogIndex:
    """Return the last index that a majority of the voters holds."""
    held = [state.progress[one].match_index for one in state.other_voters()]
    if state.is_voter():
        held.append(state.log.last_index)
    held.sort(reverse=True)
    return held[state.membership.quorum() - 1]


def find_lease_start(state: states.ReplicaState, now: float) -> float:
    """Return when the newest request was sent that a majority answered."""
    starts = [state.progress[one].lease_at for one in state.other_voters()]
    if state.is_voter():
        starts.append(now)
    starts.sort(reverse=True)
    return starts[state.membership.quorum() - 1]
