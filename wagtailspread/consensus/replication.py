"""Log replication: append requests, commits and the handling of replies."""

from wagtailspread.consensus import messages, snapshots, states
from wagtailspread.core import identifiers

_MICROSECONDS_PER_SECOND = 1_000_000


class Replication:
    """Replicates the log to followers and commits entries of a majority."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Create a replication component that changes ``state``."""
        self._state = state
        self._sender = snapshots.SnapshotSender(state)
        self._receiver = snapshots.SnapshotReceiver(state)
        self._heartbeat_at = 0.0

    def tick(self, now: float) -> None:
        """Send heartbeats if the heartbeat interval has passed.

        :param now: current time in seconds.
        """
        if now >= self._heartbeat_at:
            self.send_heartbeats(now)

    def send_heartbeats(self, now: float) -> None:
        """Send a request to every follower, with entries if there are any.

        :param now: current time in seconds.
        """
        state = self._state
        self._heartbeat_at = now + state.policy.heartbeat_interval
        for identity in state.other_nodes():
            progress = state.progress[identity]
            progress.is_paused = False
            if progress.is_expelled:
                self._expel(progress, identity)
            elif not self._send_next(identity, now):
                self._send_entries(identity, (), now)

    def send_entries(self, now: float) -> None:
        """Send new entries to each follower that may receive more.

        :param now: current time in seconds.
        """
        for identity in self._state.other_nodes():
            self._send_next(identity, now)

    def handle_append(
        self, request: messages.AppendRequest, now: float
    ) -> None:
        """Compare the request with the log, store its entries and reply.

        :param request: append request or heartbeat.
        :param now: current time in seconds.
        """
        state = self._state
        if not accept_leader(state, request.sender, request.term, now):
            self._reply(request, request.prev_index, is_accepted=False)
            return
        hint = self._find_conflict(request)
        if hint is not None:
            self._reply(request, hint, is_accepted=False)
            return
        self._store_entries(request.entries)
        match_index = identifiers.LogIndex(
            request.prev_index + len(request.entries)
        )
        match_index = max(match_index, state.log.base_index)
        self._commit_up_to(min(request.commit, match_index))
        self._reply(request, match_index, is_accepted=True)

    def handle_append_reply(
        self, reply: messages.AppendReply, now: float
    ) -> None:
        """Update the progress of a follower; commit, retry or expel.

        :param reply: reply to an append request.
        :param now: current time in seconds.
        """
        state = self._state
        progress = self._record_reply(reply, now)
        if progress is None:
            return
        if self._has_lost_entries(progress, reply):
            self._expel(progress, reply.sender)
            return
        if reply.is_accepted:
            self._record_match(progress, reply.index, now)
            self.commit_replicated()
        else:
            self._handle_rejection(progress, reply)
        if state.role is states.Role.LEADER:
            self._send_next(reply.sender, now)

    def handle_chunk(self, chunk: messages.SnapshotChunk, now: float) -> None:
        """Store a snapshot chunk; install the snapshot once it is complete.

        :param now: current time in seconds.
        """
        if accept_leader(self._state, chunk.sender, chunk.term, now):
            self._receiver.store(chunk)
        else:
            self._receiver.refuse(chunk)

    def handle_chunk_reply(
        self, reply: messages.SnapshotReply, now: float
    ) -> None:
        """Send the next chunk, or the entries that follow the snapshot.

        :param now: current time in seconds.
        """
        progress = self._record_reply(reply, now)
        if progress is None:
            return
        if self._sender.handle_reply(reply, progress, now):
            self._record_match(progress, reply.index, now)
            self._send_next(reply.sender, now)

    def commit_replicated(self) -> None:
        """Commit up to the last entry that a majority holds.

        Only entries of the current term are committed by counting replicas.
        An older entry may be on a majority and still be overwritten by a
        leader that does not have it, so it is only committed together with
        an entry of the current term.
        """
        state = self._state
        index = find_majority_index(state)
        if index > state.commit and self._can_commit(index):
            state.commit = index

    def _can_commit(self, index: identifiers.LogIndex) -> bool:
        return self._state.log.find_term(index) == self._state.term

    def _record_reply(
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
            sent_at = reply.sent_us / _MICROSECONDS_PER_SECOND
            progress.lease_start_at = max(progress.lease_start_at, sent_at)
        return progress

    def _record_match(
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
        """Tell whether the follower's log no longer holds acknowledged entries.

        Only a reply to a request sent after the acknowledgement arrived
        proves it; earlier replies may have been reordered.
        """
        is_newer = (
            reply.sent_us > progress.matched_at * _MICROSECONDS_PER_SECOND
        )
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

    def _handle_rejection(
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

    def _send_next(self, identity: identifiers.ReplicaId, now: float) -> bool:
        """Send entries or a snapshot chunk; tell whether any was sent."""
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
            int(now * _MICROSECONDS_PER_SECOND),
            entries,
        )
        state.send(request)

    def _find_conflict(
        self,
        request: messages.AppendRequest,
    ) -> identifiers.LogIndex | None:
        """Return the index for the next probe, or None if the logs match."""
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

    def _store_entries(self, entries: tuple[messages.LogEntry, ...]) -> None:
        state = self._state
        for position, entry in enumerate(entries):
            if entry.index <= state.log.base_index:
                continue
            known = state.log.find_term(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                state.truncate(entry.index)
            state.append(entries[position:])
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
    """Follow the sender unless its term is older than the current one.

    :param now: current time in seconds.
    :returns: whether the sender was accepted as leader.
    """
    if term < state.term:
        return False
    if term > state.term or state.role is not states.Role.FOLLOWER:
        state.follow(term, leader, now)
    state.leader = leader
    state.leader_contact_at = now
    state.reset_election_timer(now)
    return True


def find_majority_index(state: states.ReplicaState) -> identifiers.LogIndex:
    """Return the highest index that is replicated to a majority of voters."""
    match_indexes = [
        state.progress[voter].match_index for voter in state.other_voters()
    ]
    if state.is_voter():
        match_indexes.append(state.log.last_index)
    match_indexes.sort(reverse=True)
    return match_indexes[state.membership.quorum() - 1]


def find_lease_start(state: states.ReplicaState, now: float) -> float:
    """Return when the latest request that a majority acknowledged was sent.

    :param now: current time in seconds.
    :returns: time in seconds of the leader's clock.
    """
    starts = [
        state.progress[voter].lease_start_at for voter in state.other_voters()
    ]
    if state.is_voter():
        starts.append(now)
    starts.sort(reverse=True)
    return starts[state.membership.quorum() - 1]
