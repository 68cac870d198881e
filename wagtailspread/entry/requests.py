"""Checks of what a caller sends, before anything is done with it."""

import dataclasses
import typing

import multidict

from returns import result

from wagtailspread.core import failures, identifiers, outcomes
from wagtailspread.entry import interfaces

#: Headers that belong to one connection and are never forwarded.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
METHODS = frozenset(
    (
        'GET',
        'HEAD',
        'POST',
        'PUT',
        'PATCH',
        'DELETE',
        'OPTIONS',
    )
)
#: Longest accepted deadline, in milliseconds.
MAX_DEADLINE_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFault(failures.Failure):
    """A request that is refused for what the caller sent.

    :param status: HTTP status of the answer.
    """

    status: int
    reason: outcomes.RefusalReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedRequest:
    """The head of a request that passed the checks.

    :param deadline: seconds from arrival.
    :param length: announced bytes of the body, ``None`` if chunked.
    """

    method: str
    target: str
    route: interfaces.Route
    limits: interfaces.ServiceLimits
    caller: identifiers.CallerId
    key: identifiers.IdempotencyKey | None
    deadline: float
    length: int | None


def check_head(
    method: str,
    target: str,
    path: str,
    headers: typing.Any,
    routing: interfaces.Routing,
) -> result.Result[CheckedRequest, RequestFault]:
    """Return the checked head of a request or what is wrong with it."""
    route = routing.match(method, path)
    limits = routing.find_service(route.service) if route else None
    if route is None or limits is None:
        return _fail(404, outcomes.RefusalReason.UNKNOWN_SERVICE, 'no route')
    key = headers.get(outcomes.KEY_HEADER)
    deadline = limits.deadline
    text = headers.get(outcomes.DEADLINE_HEADER)
    if text is not None:
        deadline = int(text) / 1000
    length = headers.get('Content-Length')
    has_chunks = 'Transfer-Encoding' in headers
    return result.Success(
        CheckedRequest(
            method,
            target,
            route,
            limits,
            identifiers.CallerId(headers.get(outcomes.CALLER_HEADER, '')),
            identifiers.IdempotencyKey(key) if key else None,
            deadline,
            None if has_chunks else int(length or 0),
        ),
    )


def copy_headers(headers: typing.Any) -> multidict.CIMultiDict[str]:
    """Return the headers without those of the connection."""
    copied: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    named = headers.get('Connection', '').lower()
    dropped = {name.strip() for name in named.split(',')} if named else ()
    for name, text in headers.items():
        lower = name.lower()
        if lower not in HOP_HEADERS and lower not in dropped:
            copied.add(name, text)
    return copied


def _fail(
    status: int,
    reason: outcomes.RefusalReason,
    detail: str,
) -> result.Result[CheckedRequest, RequestFault]:
    return result.Failure(RequestFault(status, reason, detail))
