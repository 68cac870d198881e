"""What follows an exchange that gave no good answer.

>>> trials = SendAttempts(max_sends=2)
>>> trials.note_sent()
>>> trials.may_send_again(has_run=True, is_repeatable=False)
False
>>> trials.may_send_again(has_run=False, is_repeatable=False)
True
"""

import dataclasses

#: Most failed connections of one request. Each costs a fraction of a second.
MAX_CONNECTION_FAILURES = 5


@dataclasses.dataclass(slots=True)
class SendAttempts:
    """The sends of one request so far.

    :param max_sends: most upstreams that the request may be sent to.
    :param sends: upstreams that it was sent to.
    :param failed_connections: upstreams to which nothing could be sent.
    """

    max_sends: int
    sends: int = 0
    failed_connections: int = 0

    def record_send(self) -> None:
        """Count a send."""
        self.sends += 1

    def record_connection_failure(self) -> None:
        """Count a connection that could not be opened."""
        self.failed_connections += 1

    def may_send_again(self, *, has_run: bool, is_repeatable: bool) -> bool:
        """Tell whether another upstream may be tried.

        :param has_run: whether a send may have run.
        """
        if self.sends >= self.max_sends:
            return False
        if self.failed_connections > MAX_CONNECTION_FAILURES:
            return False
        return is_repeatable or not has_run
