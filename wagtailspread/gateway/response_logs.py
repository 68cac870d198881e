"""Log lines and counts of the answers that are no success.

Each answer that a host gives by itself, and each redirect or refusal of an
upstream that it passes on, leaves one line. Equal events are limited by the
log handler, so all of them are counted too.

>>> log = create_log()
>>> log.record(404, Reason.NO_ROUTE, {})
>>> log.counts
{'404 no-route': 1}
"""

import asyncio
import enum
import typing

import logbook

from aiohttp import web

from wagtailspread.gateway import headers

#: Characters of a path that a line has at most.
MAX_PATH_CHARACTERS = 128
#: Characters of the name of a host or of the id of an attempt that a line has
#: at most.
MAX_NAME_CHARACTERS = 64
#: Time between two lines with the counts, in seconds.
COUNT_SECONDS = 10.0

_log = logbook.Logger('gateway')


class Reason(enum.Enum):
    """Why an answer is no success."""

    #: The host has no configuration yet.
    NO_ROUTES = 'no-routes'
    #: What the configuration in force forbids, a newer one may allow, and the
    #: host may be behind it.
    NOT_CURRENT = 'not-current'
    #: The configuration in force has no route for the request.
    NO_ROUTE = 'no-route'
    #: The headers that delimit the body are wrong.
    BAD_FRAMING = 'bad-framing'
    #: The body is larger than the configuration in force allows.
    BODY_TOO_LARGE = 'body-too-large'
    #: The body did not come in time.
    BODY_SLOW = 'body-slow'
    #: The body cannot be parsed, or broke off.
    BODY_BROKEN = 'body-broken'
    #: The same four as of :class:`wagtailspread.gateway.attempts.Refusal`.
    NO_UPSTREAM = 'no-upstream'
    NO_ROOM = 'no-room'
    NO_TIME = 'no-time'
    ANSWER_LOST = 'answer-lost'
    #: An upstream sent a status by which a host promises that a request has
    #: not run. It may have run, so another status replaced it.
    UPSTREAM_PROMISE = 'upstream-promise'
    #: An answer of an upstream was passed on. It bears its signature.
    UPSTREAM = 'upstream'


class ResponseLog:
    """Writes lines and counts. Use :func:`create_log`.

    :param counts: answers since the start by status and reason.
    """

    def __init__(self) -> None:
        """Start with no answers."""
        self.counts: dict[str, int] = {}
        self._is_changed = False

    def count(self, status: int, reason: Reason) -> None:
        """Count an answer."""
        key = f'{status} {reason.value}'
        self.counts[key] = self.counts.get(key, 0) + 1
        self._is_changed = True

    def record(
        self,
        status: int,
        reason: Reason,
        details: dict[str, typing.Any],
    ) -> None:
        """Count an answer and write its line.

        The event names the reason, since the log handler limits equal events:
        many answers for one reason would hide the few for another.
        """
        self.count(status, reason)
        _log.info(
            f'request answered: {reason.value}',
            extra={'status': status, 'reason': reason.value, **details},
        )

    def write_counts(self) -> None:
        """Write the counts if they changed since they were last written."""
        if self._is_changed:
            self._is_changed = False
            _log.info('answers counted', extra={'counts': dict(self.counts)})

    async def run(self) -> None:
        """Write the counts every :data:`COUNT_SECONDS` until cancelled."""
        while True:
            await asyncio.sleep(COUNT_SECONDS)
            self.write_counts()


def create_log() -> ResponseLog:
    """Return a log without answers."""
    return ResponseLog()


def describe_request(
    request: web.BaseRequest,
    names: headers.HeaderNames,
) -> dict[str, str]:
    """Return the fields that tell which request was answered.

    The query is left out, since it may hold what only the upstream should see.
    """
    path = request.raw_path.partition('?')[0]
    attempt = request.headers.get(names.attempt, '')
    return {
        'attempt': attempt[:MAX_NAME_CHARACTERS],
        'method': request.method[:MAX_NAME_CHARACTERS],
        'request_host': request.headers.get('Host', '')[:MAX_NAME_CHARACTERS],
        'path': path[:MAX_PATH_CHARACTERS],
    }
