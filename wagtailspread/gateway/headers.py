"""Names of the headers that callers, hosts and upstreams exchange.

Each platform has its own names, which its adapter supplies.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of a platform.

    :param attempt: id of a caller's attempt; responses echo it.
    :param deadline: remaining time in milliseconds.
    :param signature: an upstream's proof that a body is its own.
    :param expected_upstream: the only upstream that may run a request.
    :param not_run: statement of an upstream that it did not run a request.
    :param retry_after: seconds after which a caller, or a host at an upstream,
        may retry.
    :param leaving: statement of an upstream that it leaves.
    :param workspace: name of the workspace of a request, for the upstream.
    """

    attempt: str
    deadline: str
    signature: str
    expected_upstream: str
    not_run: str
    retry_after: str = 'Retry-After'
    leaving: str = 'Upstream-Leaving'
    workspace: str = 'Workspace'
