"""Lends and borrows the slots of upstreams among the allocators of regions.

Each allocator tells the others the slots, the offered work and the queue of its
region by service, while the service is short of slots in some region. What it
knows of the others is replaced in each exchange, so a report that is missing or
too old has no effect: the allocator decides from its own region alone.
"""

import dataclasses
import itertools
import math
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import pressures, queues, selection
from wagtailspread.placement import slot_loans
from wagtailspread.registry import records, spares

#: Interval between two exchanges, in seconds.
EXCHANGE_SECONDS = 0.1
#: Time for which a lender keeps off slots that it lends no more, in seconds.
#: The borrower hears of it later, and its open requests end later.
RECALL_SECONDS = 0.4
#: Time without shortage after which an allocator ceases to tell its state, in
#: seconds.
REPORT_HOLD_SECONDS = 2.0
#: Time for which a new allocator lends nothing, in seconds: its own demand is
#: not known yet.
NEW_SECONDS = 2.0
#: Interval between two counts of the slots of a service that is not short, in
#: seconds. A count of 260 upstreams takes about 0.4 ms.
CALM_COUNT_SECONDS = 2.0
#: Work without requests below which a service is dropped.
_FORGOTTEN_LOAD = 0.01

#: The pressure of a region without slots is infinite, which JSON lacks.
_MAX_LOGGED = 100.0

_NO_REGION = identifiers.RegionName('')
_ByRegion = dict[identifiers.RegionName, list[spares.Report]]

_log = logbook.Logger('placement')


class SpareExchange(typing.Protocol):
    """Exchanges reports with the allocators of other replicas."""

    def publish_spares(self, reports: list[spares.Report]) -> None:
        """Replace what this allocator tells the others."""

    def list_remote_spares(self, now: float) -> list[spares.RemoteReport]:
        """Return what other allocators told last."""


@dataclasses.dataclass(slots=True)
class _Loan:
    """Slots of a service that this region lends.

    :param kept: what is kept off its own requests, with the time of each.
    """

    borrower: identifiers.RegionName = _NO_REGION
    count: int = 0
    kept: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def keep(self, now: float) -> int:
        """Return the most slots that were lent in the last moments."""
        self.kept.append((now, self.count))
        self.kept = [
            (at, count) for at, count in self.kept if at > now - RECALL_SECONDS
        ]
        return max(count for _, count in self.kept)


class _Slots(typing.NamedTuple):
    """Slots of a service in this region, and when they were counted."""

    number: int
    at: float


class Counts(typing.NamedTuple):
    """State of a service in the last exchange, for logs.

    :param borrowed: slots that this allocator may use in other regions.
    """

    pressure: float
    lent: int
    borrowed: int


class Lending:
    """Loans of one allocator. Use :func:`create_lending`."""

    def __init__(
        self,
        selector: selection.Selector,
        region: identifiers.RegionName,
        regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    ) -> None:
        """Start without loans."""
        self._selector = selector
        self._region = region
        self._regions = regions
        self._offers: dict[identifiers.ServiceName, pressures.Offer] = {}
        self._loans: dict[identifiers.ServiceName, _Loan] = {}
        self._reported_until: dict[identifiers.ServiceName, float] = {}
        self._counts: dict[identifiers.ServiceName, Counts] = {}
        self._slots: dict[identifiers.ServiceName, _Slots] = {}
        self._exchanged_at = -math.inf

    def record_offer(
        self, service: identifiers.ServiceName, work: float, now: float
    ) -> None:
        """Record that a request arrives.

        :param work: its expected work in seconds.
        """
        offer = self._offers.get(service)
        if offer is None:
            offer = pressures.Offer(counted_at=now, since=now)
            self._offers[service] = offer
        offer.add(work, now)

    def exchange(
        self,
        exchange: SpareExchange,
        queue_table: queues.QueueTable,
        now: float,
    ) -> None:
        """Tell the state of this region, and apply that of the others."""
        if now - self._exchanged_at < EXCHANGE_SECONDS:
            return
        self._exchanged_at = now
        self._forget_offers(now)
        self._counts.clear()
        remote = _group(exchange.list_remote_spares(now))
        reports = []
        limits: dict[identifiers.UpstreamId, int] = {}
        for service in self._list_services(remote):
            work = queue_table.find(service).work
            own = self._create_report(service, work, now)
            views = _Views(own, remote.get(service, {}), self._region)
            report = self._update(views, limits, now)
            if report is not None:
                reports.append(report)
        self._selector.loans.replace(limits, remote)
        reports.sort(key=lambda one: one.state.pressure, reverse=True)
        exchange.publish_spares(reports)

    def log_counts(self) -> None:
        """Log the state of the services that are reported."""
        for service, counts in self._counts.items():
            _log.info(
                'spare slots counted',
                extra={'service': service, **counts._asdict()},
            )

    def _update(
        self,
        views: '_Views',
        limits: dict[identifiers.UpstreamId, int],
        now: float,
    ) -> spares.Report | None:
        """Decide on a service; return the report, if the others need it.

        :param limits: to which those of its upstreams are added.
        """
        service = views.report.service
        loan = self._loans.setdefault(service, _Loan())
        self._lend(loan, views, now)
        kept = loan.keep(now)
        self._keep(service, kept, limits)
        borrowed = sum(
            self._borrow(views, name, limits) for name in views.others
        )
        if not self._is_reported(views, now):
            if not kept:
                self._loans.pop(service)
            return None
        self._counts[service] = Counts(
            _round(views.own.pressure), loan.count, borrowed
        )
        return dataclasses.replace(
            views.report,
            borrower=loan.borrower,
            lent=loan.count,
            heard=views.heard,
        )

    def _lend(self, loan: _Loan, views: '_Views', now: float) -> None:
        """Decide how many slots are lent, to the region that needs them most.

        A new allocator does not know its own demand yet.
        """
        service = views.report.service
        name = views.find_shortest()
        offer = self._offers.get(service)
        count = 0
        if name and offer is not None and now - offer.since >= NEW_SECONDS:
            lent = loan.count if loan.borrower == name else 0
            other = views.others[name].state
            count = pressures.decide_loan(views.own, other, lent)
        if bool(count) is not bool(loan.count):
            _log.info(
                'slots lent' if count else 'loan of slots ended',
                extra={
                    'service': service,
                    'borrower': name if count else loan.borrower,
                    'slots': count or loan.count,
                    'pressure': _round(views.own.pressure),
                },
            )
        loan.count = count
        loan.borrower = name if count else _NO_REGION

    def _keep(
        self,
        service: identifiers.ServiceName,
        kept: int,
        limits: dict[identifiers.UpstreamId, int],
    ) -> None:
        """Limit the upstreams of this region to what is not lent."""
        if not kept:
            return
        home = self._list_upstreams(service, self._region)
        for upstream, part in slot_loans.divide(home, kept).items():
            row = self._selector.registry.rows[upstream]
            limits[upstream] = row.record.slots - part

    def _borrow(
        self,
        views: '_Views',
        name: identifiers.RegionName,
        limits: dict[identifiers.UpstreamId, int],
    ) -> int:
        """Limit the upstreams of another region to what it lends.

        While it is not short and lends nothing, they are not limited.
        """
        view = views.others[name]
        lent = view.main.lent if view.main.borrower == self._region else 0
        if not lent and view.state.pressure < pressures.REPORT_PRESSURE:
            return 0
        if views.own.load > 0:
            # Other allocators of this region use their part.
            lent = int(lent * views.report.state.load / views.own.load)
        away = self._list_upstreams(views.report.service, name)
        limits.update(slot_loans.divide(away, lent))
        return lent

    def _is_reported(self, views: '_Views', now: float) -> bool:
        """Tell whether the others need to know the state of a service.

        An allocator without requests knows nothing of its region.
        """
        service = views.report.service
        if service not in self._offers:
            return False
        if views.find_pressure() >= pressures.REPORT_PRESSURE:
            self._reported_until[service] = now + REPORT_HOLD_SECONDS
        return now < self._reported_until.get(service, -math.inf)

    def _create_report(
        self, service: identifiers.ServiceName, queued: float, now: float
    ) -> spares.Report:
        offer = self._offers.get(service)
        load = 0.0 if offer is None else offer.find_load(now)
        slots = self._count_slots(service, load + queued, now)
        return spares.Report(service, spares.State(slots, load, queued))

    def _count_slots(
        self, service: identifiers.ServiceName, demand: float, now: float
    ) -> int:
        """Return the slots of the region, less often while it is calm."""
        known = self._slots.get(service)
        if known is not None and now - known.at < CALM_COUNT_SECONDS:
            is_calm = demand < pressures.REPORT_PRESSURE / 2 * known.number
            if is_calm and service not in self._loans:
                return known.number
        usable = self._selector.find_slots(service, now, has_loans=False)
        home = self._list_upstreams(service, self._region)
        number = sum(usable[record.upstream] for record in home)
        self._slots[service] = _Slots(number, now)
        return number

    def _list_services(
        self, remote: typing.Iterable[identifiers.ServiceName]
    ) -> list[identifiers.ServiceName]:
        """Return the services with requests, loans or known upstreams."""
        registry = self._selector.registry
        known = (one for one in remote if registry.list_ready(one))
        return list(dict.fromkeys([*self._offers, *self._loans, *known]))

    def _list_upstreams(
        self,
        service: identifiers.ServiceName,
        region: identifiers.RegionName,
    ) -> list[records.UpstreamRecord]:
        return [
            row.record
            for row in self._selector.registry.list_ready(service)
            if self._regions.get(row.record.domain) == region
        ]

    def _forget_offers(self, now: float) -> None:
        for service, offer in list(self._offers.items()):
            if offer.find_load(now) < _FORGOTTEN_LOAD:
                self._offers.pop(service)
                self._slots.pop(service, None)
                self._reported_until.pop(service, None)


class _Views:
    """What is known of a service.

    :param report: of this allocator.
    :param own: state of its region.
    :param heard: other regions with a report that is new enough.
    :param others: those that know a report of this region as well. If a link
        fails in one direction, neither region lends or borrows.
    """

    def __init__(
        self,
        report: spares.Report,
        told: _ByRegion,
        region: identifiers.RegionName,
    ) -> None:
        """Combine the reports of each region."""
        self.report = report
        self.own = pressures.combine([report, *told.get(region, ())]).state
        self._told = told
        self.heard = frozenset(name for name in told if name != region)
        known = {
            name: [one for one in told[name] if region in one.heard]
            for name in self.heard
        }
        self.others = {
            name: pressures.combine(reports)
            for name, reports in known.items()
            if reports
        }

    def find_shortest(self) -> identifiers.RegionName:
        """Return the other region with the highest pressure, if any."""
        return max(
            self.others,
            key=lambda name: self.others[name].state.pressure,
            default=_NO_REGION,
        )

    def find_pressure(self) -> float:
        """Return the highest pressure of any region."""
        told = itertools.chain.from_iterable(self._told.values())
        return max(
            self.own.pressure, *(one.state.pressure for one in told), 0.0
        )


def _round(pressure: float) -> float:
    """Return the pressure of a region for logs."""
    return round(min(pressure, _MAX_LOGGED), 2)


def _group(
    told: list[spares.RemoteReport],
) -> dict[identifiers.ServiceName, _ByRegion]:
    """Return the reports that are new enough, by service and region."""
    grouped: dict[identifiers.ServiceName, _ByRegion] = {}
    for one in told:
        if one.is_known:
            by_region = grouped.setdefault(one.report.service, {})
            by_region.setdefault(one.region, []).append(one.report)
    return grouped


def create_lending(
    selector: selection.Selector,
    region: identifiers.RegionName,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
) -> Lending:
    """Return the loans of an allocator that has no requests yet.

    :param region: of the allocator.
    :param regions: the region of each failure domain.
    """
    return Lending(selector, region, regions)
