"""Announcements of upstreams, received as JSON posts to ``/-/announce``.

No software of the fleet runs on upstreams, so announcements are not
authenticated. The effect of a forged one is limited by checks: it must be
well-formed, name a configured service, and must not contradict a row that has
not expired.
"""

import dataclasses
import json
import re
import typing

from returns import result

from wagtailspread.core import addresses, clocks, failures, identifiers
from wagtailspread.entry import interfaces, lookups, rows, slots
from wagtailspread.wire import messages

#: Largest accepted announcement, in bytes.
MAX_ANNOUNCEMENT_BYTES = 4096
#: Time within which a repeated announcement is not forwarded, in seconds.
REPEAT_SECONDS = 0.2
#: Announcements that a host accepts per second, and in one burst.
MAX_ANNOUNCEMENTS_PER_SECOND = 2000.0
MAX_BURST_ANNOUNCEMENTS = 2000.0
#: Largest accepted numbers of slots and connections of an upstream.
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000

_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_LARGE = 413
_UNAVAILABLE = 503

_NAME = re.compile(r'[\w.:-]{1,128}', re.ASCII)
_MAX_INCARNATION = 2**62


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAnnouncement(failures.Failure):
    """An announcement that was rejected.

    :param status: HTTP status of the answer.
    :param detail: text of the answer.
    """

    status: int
    detail: str


ParseResult = result.Result[slots.Announcement, InvalidAnnouncement]


def parse_announcement(body: bytes) -> ParseResult:
    """Return the announcement in a JSON text, or why it is invalid."""
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        return _reject(_TOO_LARGE, 'size')
    try:
        fields = json.loads(body)
        return result.Success(_read_fields(fields))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return _reject(_BAD_REQUEST, f'{type(error).__name__}: {error}')


class AnnouncementReceiver:
    """Validates announcements of upstreams and forwards new ones.

    :param sink: receives the valid announcements that are not repetitions.
    """

    def __init__(
        self,
        routing: lookups.Routing,
        sink: interfaces.AnnouncementSink,
        clock: clocks.Clock,
    ) -> None:
        """Start without announcements and with a full burst."""
        self._routing = routing
        self._sink = sink
        self._clock = clock
        self._tables: dict[identifiers.ServiceName, rows.RowTable] = {}
        self._available_tokens = MAX_BURST_ANNOUNCEMENTS
        self._refilled_at = clock.now()

    def receive(self, body: bytes) -> InvalidAnnouncement | None:
        """Process one announcement; return why it is rejected, if it is."""
        parsed = parse_announcement(body)
        if not isinstance(parsed, result.Success):
            return parsed.failure()
        announcement = parsed.unwrap()
        if self._routing.find_service(announcement.service) is None:
            return InvalidAnnouncement(_NOT_FOUND, 'service')
        if not self._consume_token():
            return InvalidAnnouncement(_UNAVAILABLE, 'rate')
        return self._accept(announcement)

    def _accept(
        self,
        announcement: slots.Announcement,
    ) -> InvalidAnnouncement | None:
        now = self._clock.now()
        table = self._tables.setdefault(announcement.service, rows.RowTable())
        known = table.find(announcement.upstream, now)
        if known is not None:
            conflict = find_conflict(announcement, known.announcement)
            if conflict:
                return InvalidAnnouncement(_CONFLICT, conflict)
            is_same = known.announcement == announcement
            if is_same and now - known.announced_at < REPEAT_SECONDS:
                return None
        if not table.record(announcement, now):
            return InvalidAnnouncement(_UNAVAILABLE, 'too many upstreams')
        self._sink.announce(announcement)
        return None

    def _consume_token(self) -> bool:
        now = self._clock.now()
        refilled = (now - self._refilled_at) * MAX_ANNOUNCEMENTS_PER_SECOND
        self._available_tokens = min(
            MAX_BURST_ANNOUNCEMENTS, self._available_tokens + refilled
        )
        self._refilled_at = now
        if self._available_tokens < 1:
            return False
        self._available_tokens -= 1
        return True


def find_conflict(
    announcement: slots.Announcement,
    known: slots.Announcement,
) -> str:
    """Return how an announcement contradicts a row that has not expired.

    An upstream that restarts at another address is accepted once its earlier
    row has expired.

    :returns: description of the contradiction, empty if there is none.
    """
    if announcement.incarnation < known.incarnation:
        return 'incarnation is stale'
    if announcement.address != known.address:
        return 'another address is in force'
    if announcement.incarnation > known.incarnation:
        return ''
    if announcement.domain != known.domain:
        return 'failure domain changed'
    if announcement.region != known.region:
        return 'region changed'
    return ''


def _read_fields(fields: dict[str, typing.Any]) -> slots.Announcement:
    return slots.Announcement(
        identifiers.ServiceName(_read_name(fields, 'service')),
        identifiers.UpstreamId(_read_name(fields, 'id')),
        identifiers.Address(_read_address(fields)),
        identifiers.RegionName(_read_name(fields, 'region')),
        identifiers.FailureDomain(_read_name(fields, 'domain')),
        _read_number(fields, 'slots', MAX_SLOTS),
        _read_number(fields, 'connections', MAX_CONNECTIONS),
        slots.UpstreamState(fields['state']),
        identifiers.Incarnation(
            _read_number(fields, 'incarnation', _MAX_INCARNATION),
        ),
    )


def _read_name(fields: dict[str, typing.Any], name: str) -> str:
    text = fields[name]
    if not isinstance(text, str) or not _NAME.fullmatch(text):
        raise ValueError(name)
    return text


def _read_number(
    fields: dict[str, typing.Any],
    name: str,
    largest: int,
) -> int:
    number = fields[name]
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(name)
    if not 0 < number <= largest:
        raise ValueError(name)
    return number


def find_fault(struct: messages.Struct) -> str:
    """Return the first field out of range of an ``AnnounceUpstream``.

    A host that forwards an announcement, or an owner that lists its own, may
    run another version.

    :returns: name of the field; empty if there is none.
    """
    for name in ('service_name', 'upstream', 'region', 'domain'):
        text = getattr(struct, name)
        if not isinstance(text, str) or not _NAME.fullmatch(text):
            return name
    if not isinstance(struct.address, str):
        return 'address'
    if not addresses.is_connectable(struct.address):
        return 'address'
    ranges = {
        'slots': (1, MAX_SLOTS),
        'connections': (1, MAX_CONNECTIONS),
        'incarnation': (1, _MAX_INCARNATION),
        'age_ms': (0, messages.MAX_I32),
    }
    for name, (least, most) in ranges.items():
        if not messages.is_integer(getattr(struct, name), least, most):
            return name
    states = [state.value for state in slots.UpstreamState]
    return '' if struct.state in states else 'state'


def _read_address(fields: dict[str, typing.Any]) -> str:
    address = _read_name(fields, 'address')
    if not addresses.is_connectable(address):
        raise ValueError('address')
    ip, _, port = address.rpartition(':')
    return f'{ip}:{int(port)}'


def _reject(status: int, detail: str) -> ParseResult:
    return result.Failure(InvalidAnnouncement(status, detail))
