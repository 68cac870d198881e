"""Leadership transfer before a graceful shutdown."""

from wagtailspread.consensus import messages, states
from wagtailspread.core import identifiers


class Transfers:
    """Asks a voter whose log is complete to start an election at once."""

    def __init__(self, state: states.ReplicaState) -> None:
        """Create a transfer component that changes ``state``."""
        self._state = state

    def start(self, now: float) -> None:
        """Stop accepting proposals and transfer the leadership.

        It has no effect without other voters or if a transfer is in progress.

        :param now: current time in seconds.
        """
        state = self._state
        if state.other_voters() and state.transfer_deadline is None:
            state.transfer_deadline = now + state.policy.election_timeout
            self.tick(now)

    def tick(self, now: float) -> None:
        """Send a request to a complete voter; abort after the deadline.

        The deadline is one election timeout after the start.

        :param now: current time in seconds.
        """
        state = self._state
        if state.transfer_deadline is None:
            return
        if now >= state.transfer_deadline:
            state.transfer_deadline = None
            return
        target = self._find_target(now)
        if target is not None:
            request = messages.TransferRequest(
                state.identity,
                target,
                state.term,
            )
            state.send(request)

    def _find_target(self, now: float) -> identifiers.ReplicaId | None:
        state = self._state
        since = now - state.policy.election_timeout
        for voter in state.other_voters():
            progress = state.progress.get(voter)
            if progress is None or progress.active_at <= since:
                continue
            if progress.match_index == state.log.last_index:
                return voter
        return None
