"""Hand-over of leadership before a graceful stop."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers


class Transfers:
    """Asks a voter that holds the whole log to start an election."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Work on ``state``."""
        self._state = state

    def start(self, now: float) -> None:
        """Accept no more proposals and hand over as soon as possible."""
        state = self._state
        if state.other_voters() and state.transfer_until is None:
            state.transfer_until = now + state.policy.election_timeout
            self.tick(now)

    def tick(self, now: float) -> None:
        """Ask the best voter; give up after an election timeout."""
        state = self._state
        if state.transfer_until is None:
            return
        if now >= state.transfer_until:
            state.transfer_until = None
            return
        best = self._find_best(now)
        if best is not None:
            request = messages.TransferRequest(
                state.identity,
                best,
                state.term,
            )
            state.send(request)

    def _find_best(self, now: float) -> identifiers.ReplicaId | None:
        state = self._state
        since = now - state.policy.election_timeout
        for voter in state.other_voters():
            progress = state.progress.get(voter)
            if progress is None or progress.active_at <= since:
                continue
            if progress.match_index == state.log.last_index:
                return voter
        return None
