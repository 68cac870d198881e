"""Exchange of the spare capacity of regions between allocators on replicas.

>>> feed = feeds.ChangeFeed(1)
>>> first = create_exchange(feed, lambda address: 'north')
>>> second = create_exchange(feed, lambda address: 'north')
>>> first.publish_spares([Report('columns', State(60, 48.5, 2.25))])
>>> batch = messages.structs.ChangeBatch()
>>> first.add_rows(batch, is_replica=True)
>>> second.receive('r1:1', batch, now=5.0)
>>> (told,) = second.list_remote_spares(now=5.5)
>>> told.region, told.age, told.report.state
('north', 0.5, State(slots=60, load=48.5, queued=2.25))
"""

import dataclasses
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.registry import feeds, records
from wagtailspread.wire import messages

#: Time in which the queue of a region should be served, in seconds.
QUEUE_SECONDS = 1.0
#: Age from which the state of another region is unknown, in seconds.
MAX_AGE_SECONDS = 2.0
#: Maximum number of services that an allocator reports.
MAX_REPORTS = 64
#: Change of the demand, as a share of the slots, that replicas get at once.
#: They get a smaller one with their next poll, after 1.5 s at the latest.
NEWS_SHARE = 0.05
_THOUSANDTHS = 1000
_NO_REGION = identifiers.RegionName('')


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Slots and work of a service in one region.

    :param slots: that its upstreams may use at a time.
    :param load: slots that the offered work needs.
    :param queued: expected work of the queue in seconds.
    """

    slots: int
    load: float
    queued: float

    @property
    def demand(self) -> float:
        """Return the slots that the work and the queue need."""
        return self.load + self.queued / QUEUE_SECONDS

    @property
    def pressure(self) -> float:
        """Return the demand over the slots."""
        if self.slots:
            return self.demand / self.slots
        return math.inf if self.demand > 0 else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an allocator tells the others of a service in its region.

    :param state: slots of the region, with the work of this allocator.
    :param borrower: region to which it lends, empty for none.
    :param lent: number of slots that it lends.
    :param heard: regions of which it knows reports on this service.
    """

    service: identifiers.ServiceName
    state: State
    borrower: identifiers.RegionName = _NO_REGION
    lent: int = 0
    heard: frozenset[identifiers.RegionName] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteReport:
    """A report of another allocator.

    :param region: of that allocator.
    :param age: seconds since it was received.
    """

    address: identifiers.Address
    region: identifiers.RegionName
    report: Report
    age: float = 0.0

    @property
    def is_known(self) -> bool:
        """Tell whether the report is new enough."""
        return self.age <= MAX_AGE_SECONDS


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    reports: list[Report]
    at: float


class SpareExchange:
    """Reports of this and other replicas. Use :func:`create_exchange`."""

    def __init__(
        self,
        feed: feeds.ChangeFeed,
        find_region: typing.Callable[
            [identifiers.Address], identifiers.RegionName | None
        ],
    ) -> None:
        """Start without reports."""
        self._feed = feed
        self._find_region = find_region
        self._reports: list[Report] = []
        self._sent: list[Report] = []
        self._received: dict[identifiers.Address, _Received] = {}

    def publish_spares(self, reports: list[Report]) -> None:
        """Replace what the allocator of this replica tells the others."""
        self._reports = reports[:MAX_REPORTS]
        if has_news(self._sent, self._reports):
            self._sent = self._reports
            self._feed.wake_replicas()

    def list_remote_spares(self, now: float) -> list[RemoteReport]:
        """Return what other allocators told last."""
        found: list[RemoteReport] = []
        for address, received in list(self._received.items()):
            region = self._find_region(address)
            if now - received.at > MAX_AGE_SECONDS:
                self._received.pop(address)
                continue
            if region is not None:
                found.extend(
                    RemoteReport(address, region, one, now - received.at)
                    for one in received.reports
                )
        return found

    def add_rows(self, batch: messages.Struct, *, is_replica: bool) -> None:
        """Add the rows for a replica to a struct ``ChangeBatch``."""
        if is_replica and self._reports:
            batch.spares = [_to_row(report) for report in self._reports]

    def receive(
        self,
        address: identifiers.Address,
        batch: messages.Struct,
        now: float,
    ) -> None:
        """Replace the reports of another replica; skip malformed ones."""
        rows = (batch.spares or ())[:MAX_REPORTS]
        reports = [_from_row(row) for row in rows if _is_valid(row)]
        self._received.pop(address, None)
        if reports:
            self._received[address] = _Received(reports, now)


def has_news(sent: list[Report], reports: list[Report]) -> bool:
    """Tell whether replicas need new reports at once."""
    known = {report.service: report for report in sent}
    if known.keys() != {report.service for report in reports}:
        return True
    return any(_differs(known[report.service], report) for report in reports)


def _differs(sent: Report, report: Report) -> bool:
    same = dataclasses.replace(report, state=sent.state)
    if same != sent or sent.state.slots != report.state.slots:
        return True
    difference = abs(sent.state.demand - report.state.demand)
    return difference > NEWS_SHARE * report.state.slots


def _to_row(report: Report) -> messages.Struct:
    state = report.state
    return messages.structs.SpareCapacity(
        service_name=report.service,
        slots=min(state.slots, messages.MAX_I32),
        load_thousandths=_to_thousandths(state.load),
        queued_ms=_to_thousandths(state.queued),
        borrower=report.borrower or None,
        lent=report.lent or None,
        heard=sorted(report.heard) or None,
    )


def _to_thousandths(number: float) -> int:
    return min(int(number * _THOUSANDTHS), messages.MAX_I32)


def _is_valid(row: messages.Struct) -> bool:
    """Tell whether a row is complete and within its ranges."""
    numbers = (row.slots, row.load_thousandths, row.queued_ms, row.lent or 0)
    if any(number is None or number < 0 for number in numbers):
        return False
    texts = (row.service_name, row.borrower or '', *(row.heard or ()))
    return bool(row.service_name) and all(
        messages.is_text(text, 0, records.MAX_TEXT_BYTES) for text in texts
    )


def _from_row(row: messages.Struct) -> Report:
    return Report(
        identifiers.ServiceName(row.service_name),
        State(
            row.slots,
            row.load_thousandths / _THOUSANDTHS,
            row.queued_ms / _THOUSANDTHS,
        ),
        identifiers.RegionName(row.borrower or ''),
        row.lent or 0,
        frozenset(map(identifiers.RegionName, row.heard or ())),
    )


def create_exchange(
    feed: feeds.ChangeFeed,
    find_region: typing.Callable[
        [identifiers.Address], identifiers.RegionName | None
    ],
) -> SpareExchange:
    """Return an exchange without reports.

    :param feed: whose waiting replicas get new reports.
    :param find_region: returns the region of a replica, if it is known.
    """
    return SpareExchange(feed, find_region)
