"""Elections: pre-vote, votes and the check that a leader has a quorum."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers


class Elections:
    """Asks for votes and grants them.

    A replica that has heard a leader within the election timeout refuses to
    vote and keeps its term, so a replica that can send but not receive causes
    no elections. A pre-vote asks without raising the term.
    """

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state
        self._granted: set[identifiers.ReplicaId] = set()

    def tick(self, now: float) -> None:
        """Ask for votes when no leader was heard for too long."""
        state = self._state
        if state.role is states.Role.LEADER:
            self._check_quorum(now)
        elif now >= state.election_at:
            state.reset_election(now)
            if state.is_voter():
                self.start(now, is_pre=True, is_transfer=False)

    def start(self, now: float, *, is_pre: bool, is_transfer: bool) -> None:
        """Ask all voters for a pre-vote, or for a vote in a new term."""
        state = self._state
        term = identifiers.Term(state.term + 1)
        state.leader = None
        state.reset_election(now)
        self._granted = {state.identity}
        if is_pre:
            state.role = states.Role.PRE_CANDIDATE
        else:
            state.role = states.Role.CANDIDATE
            state.enter_term(term, state.identity)
        for voter in state.other_voters():
            request = messages.VoteRequest(
                state.identity,
                voter,
                term,
                state.log.last_index,
                state.log.last_term,
                is_pre,
                is_transfer,
            )
            state.send(request)
        self._finish_if_won(now)

    def answer(self, request: messages.VoteRequest, now: float) -> None:
        """Grant or refuse a vote."""
        state = self._state
        if self._must_ignore(request, now):
            return
        if not request.is_pre and request.term > state.term:
            state.follow(request.term, None, now)
        is_granted = self._can_grant(request)
        if is_granted and not request.is_pre:
            state.enter_term(state.term, request.sender)
            state.reset_election(now)
        granted_term = request.term if is_granted else state.term
        reply = messages.VoteReply(
            state.identity,
            request.sender,
            granted_term,
            is_granted,
            request.is_pre,
        )
        state.send(reply)

    def count(self, reply: messages.VoteReply, now: float) -> None:
        """Count a vote; on a majority go on to the election or lead."""
        state = self._state
        if not reply.is_granted:
            if reply.term > state.term:
                state.follow(reply.term, None, now)
            return
        if reply.is_pre:
            expected = states.Role.PRE_CANDIDATE
            term = state.term + 1
        else:
            expected = states.Role.CANDIDATE
            term = state.term
        if state.role is expected and reply.term == term:
            self._granted.add(reply.sender)
            self._finish_if_won(now)

    def _must_ignore(self, request: messages.VoteRequest, now: float) -> bool:
        state = self._state
        if request.is_transfer:
            return False
        if state.role is states.Role.LEADER and request.term > state.term:
            return True
        return state.has_recent_leader(now) and request.term > state.term

    def _can_grant(self, request: messages.VoteRequest) -> bool:
        state = self._state
        mine = (state.log.last_term, state.log.last_index)
        if (request.last_term, request.last_index) < mine:
            return False
        if request.is_pre:
            return request.term > state.term
        return request.term == state.term and state.hard_state.vote in {
            messages.NO_VOTE,
            request.sender,
        }

    def _finish_if_won(self, now: float) -> None:
        state = self._state
        voters = state.membership.voter_ids()
        if len(self._granted & voters) < state.membership.quorum():
            return
        if state.role is states.Role.PRE_CANDIDATE:
            self.start(now, is_pre=False, is_transfer=False)
        elif state.role is states.Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        state = self._state
        state.role = states.Role.LEADER
        state.leader = state.identity
        state.transfer_until = None
        state.progress = {}
        state.election_at = now + state.policy.election_timeout
        for identity in state.other_nodes():
            state.progress[identity] = create_progress(state, now)
        entry = state.create_entry(messages.EntryKind.EMPTY, b'')
        state.append((entry,))

    def _check_quorum(self, now: float) -> None:
        state = self._state
        if not has_quorum(state, now):
            state.follow(state.term, None, now)


def create_progress(
    state: states.ReplicaState,
    now: float,
) -> states.Progress:
    """Return the progress of a follower of which nothing is known."""
    next_index = identifiers.LogIndex(state.log.last_index + 1)
    return states.Progress(
        identifiers.LogIndex(0),
        next_index,
        active_at=now,
    )


def has_quorum(state: states.ReplicaState, now: float) -> bool:
    """Tell whether a majority answered within the election timeout."""
    since = now - state.policy.election_timeout
    active = 1 if state.is_voter() else 0
    for voter in state.other_voters():
        progress = state.progress.get(voter)
        if progress is not None and progress.active_at > since:
            active += 1
    return active >= state.membership.quorum()
