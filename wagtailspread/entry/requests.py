"""Checks of what a caller sends, before anything is done with it."""

import dataclasses
import re
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
        'expect',
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
#: Longest accepted idempotency key and caller name, in characters.
MAX_KEY_LENGTH = 255

_BAD_REQUEST = 400
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_TOO_LARGE = 413

_DIGITS = re.compile('[0-9]{1,9}')
_LENGTH_DIGITS = re.compile('[0-9]{1,18}')
_VISIBLE = re.compile('[!-~]+')
#: A path segment that an upstream may resolve to another path.
_DOT_SEGMENT = re.compile(r'/(?:\.|%2e){1,2}(?=/|$)', re.IGNORECASE)
#: A path and query of visible ASCII characters without a backslash.
_TARGET = re.compile(r'/[!-\[\]-~]*')
_SINGLE_HEADERS = (
    'Host',
    outcomes.DEADLINE_HEADER,
    outcomes.CALLER_HEADER,
    outcomes.KEY_HEADER,
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFault(failures.Failure):
    """A request that is refused for what the caller sent.

    :param status: HTTP status of the answer.
    :param closes: whether the connection cannot be used any longer.
    """

    status: int
    reason: outcomes.RefusalReason
    detail: str
    closes: bool = False


@dataclasses.dataclass(slots=True)
class CheckedRequest:
    """The head of a request that passed the checks.

    It is not frozen, since that triples the time to make one.

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


Headers = multidict.CIMultiDict[str]
HeadResult = result.Result[CheckedRequest, RequestFault]


def check_head(
    method: str,
    target: str,
    headers: typing.Any,
    routing: interfaces.Routing,
) -> HeadResult:
    """Return the checked head of a request or what is wrong with it.

    :param target: the path and query as received, not decoded.
    :param headers: a case-insensitive multi-dict.
    """
    if method not in METHODS:
        return _fail(
            _METHOD_NOT_ALLOWED,
            outcomes.RefusalReason.UNSUPPORTED_METHOD,
            'method',
        )
    path = target.partition('?')[0]
    if not _TARGET.fullmatch(target):
        return _reject('target')
    if ('.' in path or '%' in path) and _DOT_SEGMENT.search(path):
        return _reject('dot segment')
    route = routing.match(method, path)
    limits = routing.find_service(route.service) if route else None
    if route is None or limits is None:
        reason = outcomes.RefusalReason.UNKNOWN_SERVICE
        return _fail(_NOT_FOUND, reason, 'no route')
    return _check_values(method, target, headers, route, limits)


def copy_headers(headers: typing.Any) -> Headers:
    """Return the headers without those of the connection.

    >>> copy_headers({'Connection': 'X-A', 'X-A': '1', 'X-B': '2'})
    <CIMultiDict('X-B': '2')>
    """
    copied = multidict.CIMultiDict(headers)
    named = copied.get('Connection')
    if named is not None:
        for name in named.split(','):
            copied.popall(name.strip(), None)
    for hop in HOP_HEADERS:
        if hop in copied:
            copied.popall(hop)
    return copied


def _check_values(
    method: str,
    target: str,
    headers: typing.Any,
    route: interfaces.Route,
    limits: interfaces.ServiceLimits,
) -> HeadResult:
    detail = _check_headers(headers)
    if detail:
        return _reject(detail)
    key = headers.get(outcomes.KEY_HEADER)
    caller = headers.get(outcomes.CALLER_HEADER, '')
    if not route.is_idempotent and key is None:
        reason = outcomes.RefusalReason.KEY_REQUIRED
        return _fail(_BAD_REQUEST, reason, outcomes.KEY_HEADER)
    if not _is_name(key) or not _is_name(caller or None):
        return _reject('key or caller')
    deadline_ms = _parse_deadline(headers)
    if deadline_ms is None:
        return _reject(outcomes.DEADLINE_HEADER)
    length = _parse_length(headers)
    if length is not None and length > limits.max_body:
        reason = outcomes.RefusalReason.TOO_LARGE
        return _fail(_TOO_LARGE, reason, 'body', closes=True)
    checked = CheckedRequest(
        method,
        target,
        route,
        limits,
        identifiers.CallerId(caller),
        None if key is None else identifiers.IdempotencyKey(key),
        deadline_ms / 1000 if deadline_ms else limits.deadline,
        length,
    )
    return result.Success(checked)


def _check_headers(headers: typing.Any) -> str:
    for name in _SINGLE_HEADERS:
        if name in headers and len(headers.getall(name)) > 1:
            return f'repeated {name}'
    if 'Content-Length' in headers or 'Transfer-Encoding' in headers:
        detail = check_framing(headers)
        if detail:
            return detail
    if 'Expect' not in headers:
        return ''
    if headers.get('Expect', '100-continue').lower() != '100-continue':
        return 'Expect'
    return ''


def check_framing(headers: typing.Any) -> str:
    """Return what is wrong with the headers that delimit a body."""
    lengths = headers.getall('Content-Length', ())
    codings = headers.getall('Transfer-Encoding', ())
    if lengths and codings:
        return 'conflicting lengths'
    if codings and [one.strip().lower() for one in codings] != ['chunked']:
        return 'Transfer-Encoding'
    if len(lengths) > 1 or not all(map(_LENGTH_DIGITS.fullmatch, lengths)):
        return 'Content-Length'
    return ''


def _is_name(text: str | None) -> bool:
    if text is None:
        return True
    return len(text) <= MAX_KEY_LENGTH and bool(_VISIBLE.fullmatch(text))


def _parse_deadline(headers: typing.Any) -> int | None:
    """Return milliseconds, 0 if the caller sent none, ``None`` if wrong."""
    text = headers.get(outcomes.DEADLINE_HEADER)
    if text is None:
        return 0
    if not _DIGITS.fullmatch(text):
        return None
    milliseconds = int(text)
    if not 0 < milliseconds <= MAX_DEADLINE_MS:
        return None
    return milliseconds


def _parse_length(headers: typing.Any) -> int | None:
    if 'Transfer-Encoding' in headers:
        return None
    return int(headers.get('Content-Length', '0'))


def _reject(detail: str) -> HeadResult:
    reason = outcomes.RefusalReason.BAD_REQUEST
    return _fail(_BAD_REQUEST, reason, detail, closes=True)


def _fail(
    status: int,
    reason: outcomes.RefusalReason,
    detail: str,
    *,
    closes: bool = False,
) -> HeadResult:
    return result.Failure(RequestFault(status, reason, detail, closes))
