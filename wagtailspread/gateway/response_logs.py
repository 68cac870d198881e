"""Log lines and counts of unsuccessful responses.

Each response that a host generates itself, and each redirect or refusal of an
upstream that it forwards, is logged with one line. The log handler limits how
often equal events are written, so the responses are counted as well.

>>> log = create_log()
>>> log.record(404, Reason.NO_ROUTE, {})
>>> log.counts
{'404 no-route': 1}
"""

import asyncio
import enum
import typing

import logbook

from wagtailspread.entry import web
from wagtailspread.gateway import headers

#: Maximum number of characters of a path in a log line.
MAX_PATH_CHARACTERS = 128
#: Maximum number of characters of a method, a host name or an attempt id in a
#: log line.
MAX_NAME_CHARACTERS = 64
#: Time between two log lines with the counts, in seconds.
COUNT_SECONDS = 10.0

_log = logbook.Logger('gateway')


class Reason(enum.Enum):
    """Why a response is not successful."""

    #: The host has no configuration yet.
    NO_ROUTES = 'no-routes'
    #: The active configuration forbids the request, but the host may lag
    #: behind a newer version that allows it.
    NOT_CURRENT = 'not-current'
    #: The active configuration has no route for the request.
    NO_ROUTE = 'no-route'
    #: The route needs the key of a workspace, and the request has none that
    #: the active configuration knows.
    UNKNOWN_KEY = 'unknown-key'
    #: The headers that delimit the body are invalid.
    BAD_FRAMING = 'bad-framing'
    #: The body exceeds the limit of the active configuration.
    BODY_TOO_LARGE = 'body-too-large'
    #: The body was not received in time.
    BODY_SLOW = 'body-slow'
    #: The body cannot be parsed or is incomplete.
    BODY_BROKEN = 'body-broken'
    #: The host dropped the body to stay within its memory.
    HOST_FULL = 'host-full'
    #: This and the next seven reasons are described at
    #: :class:`wagtailspread.gateway.attempts.Refusal`.
    NO_UPSTREAM = 'no-upstream'
    NO_ROOM = 'no-room'
    NO_TIME = 'no-time'
    STOPPING = 'stopping'
    BLOCKED = 'blocked'
    OVER_CAP = 'over-cap'
    KEY_REVOKED = 'key-revoked'
    ANSWER_LOST = 'answer-lost'
    #: An upstream sent a status by which a host guarantees that a request has
    #: not run. The request may have run, so another status replaced it.
    UPSTREAM_PROMISE = 'upstream-promise'
    #: A signed response of an upstream was forwarded.
    UPSTREAM = 'upstream'


class ResponseLog:
    """Logs and counts responses. Use :func:`create_log`.

    :param counts: number of responses since the start by status and reason.
    """

    def __init__(self) -> None:
        """Create a log without responses."""
        self.counts: dict[str, int] = {}
        self._is_changed = False

    def count(self, status: int, reason: Reason) -> None:
        """Count a response."""
        key = f'{status} {reason.value}'
        self.counts[key] = self.counts.get(key, 0) + 1
        self._is_changed = True

    def record(
        self,
        status: int,
        reason: Reason,
        details: dict[str, typing.Any],
    ) -> None:
        """Count a response and write its log line.

        The event contains the reason, since the log handler limits equal
        events: many responses for one reason would hide the few for another.
        """
        self.count(status, reason)
        _log.info(
            f'request answered: {reason.value}',
            extra={'status': status, 'reason': reason.value, **details},
        )

    def write_counts(self) -> None:
        """Log the counts if they changed since they were last logged."""
        if self._is_changed:
            self._is_changed = False
            _log.info('answers counted', extra={'counts': dict(self.counts)})

    async def run(self) -> None:
        """Log the counts every :data:`COUNT_SECONDS` until cancelled."""
        while True:
            await asyncio.sleep(COUNT_SECONDS)
            self.write_counts()


def create_log() -> ResponseLog:
    """Return a log without responses."""
    return ResponseLog()


def describe_request(
    request: web.BaseRequest,
    names: headers.HeaderNames,
) -> dict[str, str]:
    """Return the log fields that identify a request.

    The query is left out, since it may contain data meant only for the
    upstream.
    """
    path = request.raw_path.partition('?')[0]
    attempt = request.headers.get(names.attempt, '')
    return {
        'attempt': attempt[:MAX_NAME_CHARACTERS],
        'caller': request.remote or '',
        'method': request.method[:MAX_NAME_CHARACTERS],
        'request_host': request.headers.get('Host', '')[:MAX_NAME_CHARACTERS],
        'path': path[:MAX_PATH_CHARACTERS],
    }
