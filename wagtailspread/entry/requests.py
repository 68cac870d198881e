"""Validation of request heads before they are processed."""

import dataclasses
import re
import reprlib
import typing

import multidict

from returns import result

from wagtailspread.core import failures, identifiers, outcomes
from wagtailspread.entry import admissions, lookups

#: Headers that apply to a single connection and are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
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
#: Maximum deadline that a caller may send, in milliseconds.
MAX_DEADLINE_MS = 600_000
#: Maximum length of an idempotency key or a caller name, in characters.
MAX_KEY_LENGTH = 255

_KEY_FAULT = 'Authorization: expected Token and the key of a workspace'
_METHOD_NAMES = ', '.join(sorted(METHODS))
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_TOO_LARGE = 413
_UNAVAILABLE = 503

_DIGITS = re.compile('[0-9]{1,9}')
_LENGTH_DIGITS = re.compile('[0-9]{1,18}')
#: Optional whitespace around the value of a field (RFC 9110, section 5.6.3).
_WHITESPACE = '\t '
_VISIBLE = re.compile('[!-~]+')
#: A dot segment, which an upstream may resolve to another path.
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
    """A request that is refused because of what the caller sent.

    :param status: HTTP status of the answer.
    :param detail: text for the body of the answer.
    :param closes: whether the connection has to be closed.
    """

    status: int
    reason: outcomes.RefusalReason
    detail: str
    closes: bool = False


@dataclasses.dataclass(slots=True)
class CheckedRequest:
    """A request head that passed validation.

    Not frozen: a frozen data class takes three times as long to create.

    :param deadline: seconds from arrival.
    :param length: declared size of the body in bytes, ``None`` if chunked.
    :param admission: of the key that it carries.
    """

    method: str
    target: str
    route: lookups.Route
    limits: lookups.ServiceLimits
    caller: identifiers.CallerId
    key: identifiers.IdempotencyKey | None
    deadline: float
    length: int | None
    admission: admissions.Admission


Headers = multidict.CIMultiDict[str]
HeadResult = result.Result[CheckedRequest, RequestFault]


def check_head(
    method: str,
    target: str,
    headers: typing.Any,
    routing: lookups.Routing,
) -> HeadResult:
    """Return the validated head of a request, or its fault.

    :param target: path and query as received, not decoded.
    :param headers: a case-insensitive multidict.
    """
    if method not in METHODS:
        return _fail(
            _METHOD_NOT_ALLOWED,
            outcomes.RefusalReason.UNSUPPORTED_METHOD,
            f'method: expected one of {_METHOD_NAMES},'
            f' got {reprlib.repr(method)}',
        )
    path = target.partition('?')[0]
    if not _TARGET.fullmatch(target):
        return _reject(_describe_target_fault(target))
    if ('.' in path or '%' in path) and _DOT_SEGMENT.search(path):
        return _reject('path must not have a segment "." or ".."')
    route = routing.match(method, path)
    limits = routing.find_service(route.service) if route else None
    if route is None or limits is None:
        reason = outcomes.RefusalReason.UNKNOWN_SERVICE
        return _fail(_NOT_FOUND, reason, 'no route')
    detail = _check_headers(headers)
    if detail:
        return _reject(detail)
    return _check_key(method, target, headers, route, limits, routing)


def create_key_fault(admission: admissions.Admission) -> RequestFault:
    """Return the fault of a request whose key is revoked in its body."""
    reason = admission.find_refusal() or outcomes.RefusalReason.UNKNOWN_KEY
    is_unknown = reason is outcomes.RefusalReason.UNKNOWN_KEY
    status = _UNAUTHORIZED if is_unknown else _UNAVAILABLE
    return RequestFault(status, reason, _KEY_FAULT, closes=True)


def copy_headers(headers: typing.Any) -> Headers:
    """Return a copy of the headers without hop-by-hop headers.

    >>> copy_headers({'Connection': 'X-A', 'X-A': '1', 'X-B': '2'})
    <CIMultiDict('X-B': '2')>
    """
    copied = multidict.CIMultiDict(headers)
    hop_names = copied.get('Connection')
    if hop_names is not None:
        for name in hop_names.split(','):
            copied.popall(name.strip(), None)
    for header in HOP_BY_HOP_HEADERS:
        if header in copied:
            copied.popall(header)
    return copied


def _check_key(
    method: str,
    target: str,
    headers: typing.Any,
    route: lookups.Route,
    limits: lookups.ServiceLimits,
    routing: lookups.Routing,
) -> HeadResult:
    admission = admissions.admit(routing, headers)
    if admission is None:
        reason = outcomes.RefusalReason.UNKNOWN_KEY
        return _fail(_UNAUTHORIZED, reason, _KEY_FAULT)
    return _check_values(method, target, headers, route, limits, admission)


def _check_values(
    method: str,
    target: str,
    headers: typing.Any,
    route: lookups.Route,
    limits: lookups.ServiceLimits,
    admission: admissions.Admission,
) -> HeadResult:
    key = headers.get(outcomes.KEY_HEADER)
    caller = headers.get(outcomes.CALLER_HEADER, '')
    if not route.is_idempotent and key is None:
        reason = outcomes.RefusalReason.KEY_REQUIRED
        return _fail(
            _BAD_REQUEST,
            reason,
            f'{outcomes.KEY_HEADER}: expected on a route that is not'
            ' idempotent, got no such header',
        )
    if not _is_valid_name(key) or not _is_valid_name(caller or None):
        return _reject(_describe_name_fault(key, caller))
    deadline_ms = _parse_deadline(headers)
    if deadline_ms is None:
        return _reject(_describe_deadline_fault(headers))
    length = _parse_length(headers)
    if length is not None and length > limits.max_body:
        reason = outcomes.RefusalReason.TOO_LARGE
        return _fail(
            _TOO_LARGE,
            reason,
            f'body: expected at most {limits.max_body} bytes,'
            f' got a Content-Length of {length} bytes',
            closes=True,
        )
    checked = CheckedRequest(
        method,
        target,
        route,
        limits,
        identifiers.CallerId(caller),
        None if key is None else identifiers.IdempotencyKey(key),
        deadline_ms / 1000 if deadline_ms else limits.deadline,
        length,
        admission,
    )
    return result.Success(checked)


def _check_headers(headers: typing.Any) -> str:
    for name in _SINGLE_HEADERS:
        if name in headers and len(headers.getall(name)) > 1:
            count = len(headers.getall(name))
            return f'{name}: expected at most 1 such header, got {count}'
    if 'Content-Length' in headers or 'Transfer-Encoding' in headers:
        detail = check_framing(headers)
        if detail:
            return detail
    if 'Expect' not in headers:
        return ''
    expectation = headers.get('Expect', '100-continue')
    if expectation.lower() != '100-continue':
        return f'Expect: expected 100-continue, got {reprlib.repr(expectation)}'
    return ''


def check_framing(headers: typing.Any) -> str:
    """Return the fault in the headers that delimit a body, ``''`` if none."""
    lengths = headers.getall('Content-Length', ())
    codings = headers.getall('Transfer-Encoding', ())
    if lengths and codings:
        return (
            'Content-Length and Transfer-Encoding: expected at most one of'
            ' them, got both'
        )
    names = [name.strip(_WHITESPACE).lower() for name in codings]
    if codings and names != ['chunked']:
        excerpt = reprlib.repr(', '.join(codings))
        return f'Transfer-Encoding: expected chunked, got {excerpt}'
    if len(lengths) > 1 or not all(map(_LENGTH_DIGITS.fullmatch, lengths)):
        excerpt = reprlib.repr(', '.join(lengths))
        return (
            'Content-Length: expected one size in bytes of at most 18 digits,'
            f' got {excerpt}'
        )
    return ''


def _describe_target_fault(target: str) -> str:
    """Describe the first invalid character; the rest may be confidential."""
    valid = _TARGET.match(target)
    index = valid.end() if valid else 0
    found = reprlib.repr(target[index : index + 1])
    return (
        'target: expected "/" and then visible ASCII characters without a'
        f' backslash, got {found} at index {index}'
    )


def _describe_name_fault(key: str | None, caller: str) -> str:
    """Describe an invalid key or caller without its text."""
    header, text = outcomes.CALLER_HEADER, caller
    if key is not None and not _is_valid_name(key):
        header, text = outcomes.KEY_HEADER, key
    invalid = len(_VISIBLE.sub('', text))
    return (
        f'{header}: expected 1 to {MAX_KEY_LENGTH} visible ASCII characters,'
        f' got {len(text)} characters, {invalid} of them not visible ASCII'
    )


def _describe_deadline_fault(headers: typing.Any) -> str:
    excerpt = reprlib.repr(headers.get(outcomes.DEADLINE_HEADER))
    return (
        f'{outcomes.DEADLINE_HEADER}: expected 1 to {MAX_DEADLINE_MS} ms,'
        f' got {excerpt}'
    )


def _is_valid_name(text: str | None) -> bool:
    if text is None:
        return True
    return len(text) <= MAX_KEY_LENGTH and bool(_VISIBLE.fullmatch(text))


def _parse_deadline(headers: typing.Any) -> int | None:
    """Return milliseconds, 0 if there is no header, ``None`` if invalid."""
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
