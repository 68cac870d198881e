"""Leader election: pre-vote, vote and the quorum check of the leader."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers


class Elections:
    """Requests votes as a candidate and answers the requests of others.

    A replica that received a request from a leader within the election timeout
    ignores vote requests for a newer term, so a replica that can send but not
    receive causes no elections. A pre-vote asks whether a vote would be
    granted, without raising the term.
    """

    def __init__(self, state: states.ReplicaState) -> None:
        """Create an elections component that changes ``state``."""
        self._state = state
        self._granted: set[identifiers.ReplicaId] = set()

    def tick(self, now: float) -> None:
        """Start a pre-vote on timeout; a leader checks its quorum instead.

        :param now: current time in seconds.
        """
        state = self._state
        if state.role is states.Role.LEADER:
            self._check_quorum(now)
        elif now >= state.election_deadline:
            state.reset_election_timer(now)
            if state.is_voter():
                self.start(now, is_pre=True, is_transfer=False)

    def start(self, now: float, *, is_pre: bool, is_transfer: bool) -> None:
        """Request a pre-vote, or a vote in a new term, from all voters.

        :param now: current time in seconds.
        :param is_pre: whether to request pre-votes; the term is not raised.
        :param is_transfer: whether the leader asked for this election; voters
            then answer the request even while their leader is active.
        """
        state = self._state
        term = identifiers.Term(state.term + 1)
        state.leader = None
        state.reset_election_timer(now)
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
        self._advance_on_majority(now)

    def handle_vote_request(
        self, request: messages.VoteRequest, now: float
    ) -> None:
        """Reply to a vote request, or ignore it while a leader is active.

        :param request: vote or pre-vote request of another replica.
        :param now: current time in seconds.
        """
        state = self._state
        if self._must_ignore(request, now):
            return
        if not request.is_pre and request.term > state.term:
            state.follow(request.term, None, now)
        is_granted = self._can_grant(request)
        if is_granted and not request.is_pre:
            state.enter_term(state.term, request.sender)
            state.reset_election_timer(now)
        granted_term = request.term if is_granted else state.term
        reply = messages.VoteReply(
            state.identity,
            request.sender,
            granted_term,
            is_granted,
            request.is_pre,
        )
        state.send(reply)

    def handle_vote_reply(self, reply: messages.VoteReply, now: float) -> None:
        """Count a vote; on a majority start the election or become leader.

        :param reply: reply to a vote or pre-vote request of this replica.
        :param now: current time in seconds.
        """
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
            self._advance_on_majority(now)

    def _must_ignore(self, request: messages.VoteRequest, now: float) -> bool:
        state = self._state
        if request.is_transfer:
            return False
        if state.role is states.Role.LEADER and request.term > state.term:
            return True
        return state.has_recent_leader(now) and request.term > state.term

    def _can_grant(self, request: messages.VoteRequest) -> bool:
        state = self._state
        local_position = (state.log.last_term, state.log.last_index)
        if (request.last_term, request.last_index) < local_position:
            return False
        if request.is_pre:
            return request.term > state.term
        return request.term == state.term and state.hard_state.vote in {
            messages.NO_VOTE,
            request.sender,
        }

    def _advance_on_majority(self, now: float) -> None:
        state = self._state
        voters = state.membership.voter_ids()
        if len(self._granted & voters) < state.membership.quorum():
            return
        if state.role is states.Role.PRE_CANDIDATE:
            self.start(now, is_pre=False, is_transfer=False)
        elif state.role is states.Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        state = self._state
        state.role = states.Role.LEADER
        state.leader = state.identity
        state.transfer_deadline = None
        state.progress = {}
        state.election_deadline = now + state.policy.election_timeout
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
    """Return the initial progress of a follower whose log is not known.

    :param now: current time in seconds, recorded as the time of the last
        reply.
    """
    next_index = identifiers.LogIndex(state.log.last_index + 1)
    return states.Progress(
        identifiers.LogIndex(0),
        next_index,
        active_at=now,
    )


def has_quorum(state: states.ReplicaState, now: float) -> bool:
    """Tell whether a majority replied within the last election timeout.

    This replica counts as one of the majority if it is a voter.

    :param now: current time in seconds.
    """
    since = now - state.policy.election_timeout
    active = 1 if state.is_voter() else 0
    for voter in state.other_voters():
        progress = state.progress.get(voter)
        if progress is not None and progress.active_at > since:
            active += 1
    return active >= state.membership.quorum()
