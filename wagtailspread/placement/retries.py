"""Decides whether a request may be sent to another upstream.

>>> attempts = SendAttempts(max_sends=2)
>>> attempts.record_send()
>>> attempts.may_send_again(has_run=True, is_repeatable=False)
False
>>> attempts.may_send_again(has_run=False, is_repeatable=False)
True
"""

import dataclasses

#: Maximum number of failed connections after which a request may be sent again.
#: Each costs a fraction of a second.
MAX_CONNECTION_FAILURES = 5


@dataclasses.dataclass(slots=True)
class SendAttempts:
    """Counts the sends and failed connections of one request.

    :param max_sends: maximum number of sends.
    :param sends: number of sends so far.
    :param failed_connections: connections that could not be opened.
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
        """Return whether the request may be sent to another upstream.

        :param has_run: whether an earlier send may have been executed.
        :param is_repeatable: whether the request may run more than once.
        """
        if self.sends >= self.max_sends:
            return False
        if self.failed_connections > MAX_CONNECTION_FAILURES:
            return False
        return is_repeatable or not has_run
