"""Names of the headers that callers, hosts and upstreams exchange.

A platform has its own names; its adapter supplies them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in force.

    :param attempt: id of a caller's attempt; answers echo it.
    :param deadline: time left in milliseconds.
    :param signature: an upstream's proof that a body is its own.
    :param expected_upstream: the only upstream that may run a request.
    :param not_run: an upstream's word that it did not run a request.
    :param retry_after: seconds after which a caller may come back.
    """

    attempt: str
    deadline: str
    signature: str
    expected_upstream: str
    not_run: str
    retry_after: str = 'Retry-After'
