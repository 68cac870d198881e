"""Serves the allocator of a replica to the hosts of its region."""

import asyncio
import dataclasses
import math
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import allocators, coverage, crashes, messages
from wagtailspread.placement import lendings, permits
from wagtailspread.registry import blocked, records
from wagtailspread.registry import coverage as region_coverage
from wagtailspread.wire import listeners
from wagtailspread.wire import messages as wire
from wagtailspread.workspaces import caps, presences

#: Interval between checks for overdue requests, in seconds.
TICK_SECONDS = 0.05
#: Interval between removals of the state of departed upstreams and hosts, in
#: seconds.
PRUNE_SECONDS = 10.0
#: Interval between log lines with the counts of the retry budget, in seconds.
COUNT_SECONDS = 5.0
_MILLISECONDS = 1000

_log = logbook.Logger('placement')


class StrainExchange(typing.Protocol):
    """Exchanges strained services with the allocators of other regions."""

    def publish_strained(
        self,
        strained: frozenset[identifiers.ServiceName],
    ) -> None:
        """Publish the services of which many requests fail here."""

    def list_remote_strained(self) -> set[identifiers.ServiceName]:
        """Return the services of which many requests fail elsewhere."""

    def publish_blocked(
        self,
        requests: typing.Mapping[crashes.Fingerprint, float],
        suspicions: list[blocked.Suspicion],
    ) -> None:
        """Publish requests that crash upstreams, with the seconds left."""

    def list_remote_suspicions(self) -> list[blocked.Suspicion]:
        """Return requests that may crash upstreams, found elsewhere."""

    def list_remote_blocked(self) -> dict[crashes.Fingerprint, float]:
        """Return such requests that were found elsewhere."""

    def publish_departures(self) -> None:
        """Send upstreams that leave to all followers at once."""

    def publish_underused(self, underused: region_coverage.Underused) -> None:
        """Publish the services that get too few requests here."""

    def find_uncovered(self) -> region_coverage.UncoveredRegions:
        """Return the regions whose upstreams get too few requests there."""


class PlacementService:
    """Handles the calls of hosts. Use :func:`create_service`.

    The call of a queued request is held open for a short time (long polling),
    so that a free slot is granted without delay.
    """

    def __init__(
        self,
        allocator: allocators.Allocator,
        clock: clocks.Clock,
        find_silent: typing.Callable[
            [float],
            typing.Collection[identifiers.UpstreamId],
        ],
        strain_exchange: StrainExchange | None = None,
        monitor: coverage.CoverageMonitor | None = None,
        loan_exchange: permits.LoanExchange | None = None,
        spare_exchange: lendings.SpareExchange | None = None,
    ) -> None:
        """Create a service that is not running."""
        self._spare_exchange = spare_exchange
        self._loan_exchange = loan_exchange
        self._strain_exchange = strain_exchange
        self._monitor = monitor
        self._allocator = allocator
        self._clock = clock
        self._find_silent = find_silent
        self._incarnations: dict[identifiers.HostId, int] = {}
        self._calls: dict[identifiers.RequestId, asyncio.Event] = {}

    def register(self, listener: listeners.Listener) -> None:
        """Serve hosts on ``listener``."""
        structs = wire.structs
        methods = wire.methods
        listener.add(methods.PLACE, structs.PlaceRequest, self._place)
        listener.add(methods.SETTLE, structs.SettleRequests, self._settle)

    async def run(self) -> None:
        """Process queued and overdue requests until cancelled."""
        selector = self._allocator.selector
        prune_at = self._clock.now() + PRUNE_SECONDS
        count_at = self._clock.now() + COUNT_SECONDS
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.now()
            selector.silent = self._find_silent(now)
            self._exchange_strain(now)
            if self._loan_exchange is not None:
                self._allocator.permits.exchange(self._loan_exchange, now)
            if self._spare_exchange is not None:
                self._allocator.exchange_spares(self._spare_exchange, now)
            self._tick()
            if now >= count_at:
                count_at = now + COUNT_SECONDS
                self._log_counts(now)
                self._allocator.permits.log_counts(now)
                if self._allocator.lending is not None:
                    self._allocator.lending.log_counts()
            if now >= prune_at:
                prune_at = now + PRUNE_SECONDS
                self._allocator.prune(now)

    def _log_counts(self, now: float) -> None:
        for service, counts in self._allocator.budget.describe(now).items():
            _log.info('retries counted', extra={'service': service, **counts})

        self._allocator.byte_limiter.log_counts(now)
        admission = self._allocator.admission
        for limited, most in admission.sheds.describe(now).items():
            _log.info(
                'open requests limited',
                extra={'service': limited, 'limit': most},
            )
        for service, rank, events in admission.tally.take():
            _log.info(
                'requests queued',
                extra={'service': service, 'rank': rank, **events},
            )

    def _exchange_strain(self, now: float) -> None:
        exchange = self._strain_exchange
        if exchange is not None:
            strains = self._allocator.floor.strains
            exchange.publish_strained(strains.list_strained(now))
            strains.replace_remote(exchange.list_remote_strained())
            table = self._allocator.crashes
            table.merge(exchange.list_remote_suspicions(), now)
            remote = exchange.list_remote_blocked()
            for fingerprint, seconds in remote.items():
                table.block(fingerprint, now + seconds)
            exchange.publish_blocked(
                table.list_blocked(now), table.list_suspicions(now)
            )
            self._exchange_coverage(exchange, now)

    def _exchange_coverage(self, exchange: StrainExchange, now: float) -> None:
        if self._monitor is not None:
            exchange.publish_underused(self._monitor.find_underused(now))
            self._allocator.selector.uncovered = exchange.find_uncovered()

    async def _place(
        self,
        _call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        now = self._clock.now()
        placement_request = decode_request(request, now)
        self._check_incarnation(placement_request.host, request.incarnation)
        answer = self._allocator.submit(placement_request, now)
        if answer.decision is messages.Decision.WAITING:
            wait = request.wait_ms / _MILLISECONDS
            answer = (
                await self._wait(placement_request.request_id, wait) or answer
            )
        return result.Success(encode_answer(answer))

    async def _wait(
        self,
        request_id: identifiers.RequestId,
        seconds: float,
    ) -> messages.Answer | None:
        event = self._calls.setdefault(request_id, asyncio.Event())
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return None
        finally:
            self._calls.pop(request_id, None)
        return self._allocator.pop_decision(request_id)

    async def _settle(
        self,
        _call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        now = self._clock.now()
        for settlement in request.settlements or ():
            try:
                evidence = messages.Evidence(settlement.evidence)
                seconds = settlement.took_ms / _MILLISECONDS
            except (TypeError, ValueError) as error:
                # The request is settled by its deadline at the latest.
                _log.warning(
                    'settlement skipped',
                    extra={
                        'request': settlement.request,
                        'peer': request.host,
                        'reason': str(error),
                    },
                )
                continue
            self._record_notice(
                identifiers.HostId(request.host), settlement, now
            )
            self._allocator.settle(
                identifiers.RequestId(settlement.request),
                identifiers.UpstreamId(settlement.upstream),
                evidence,
                seconds,
                now,
                is_reset=bool(settlement.is_reset),
            )
        self._allocator.record_contact(identifiers.HostId(request.host), now)
        if self._allocator.count_waiting():
            self._tick()
        return result.Success(wire.structs.Empty())

    def _record_notice(
        self,
        host: identifiers.HostId,
        settlement: wire.Struct,
        now: float,
    ) -> None:
        """Record what an upstream asked, and publish that it leaves."""
        if settlement.born_ms is None:
            return
        selector = self._allocator.selector
        row = selector.registry.rows.get(settlement.upstream)
        if row is None:
            return
        notice = messages.UpstreamNotice(
            bool(settlement.is_leaving),
            (settlement.hold_ms or 0) / _MILLISECONDS,
        )
        record = dataclasses.replace(row.record, born_ms=settlement.born_ms)
        if selector.record_notice(host, record, notice, now):
            _log.info('upstream leaves', extra={'upstream': record.upstream})
            if self._strain_exchange is not None:
                self._strain_exchange.publish_departures()

    def _tick(self) -> None:
        for request_id in self._allocator.tick(self._clock.now()):
            event = self._calls.get(request_id)
            if event is not None:
                event.set()

    def _check_incarnation(
        self,
        host: identifiers.HostId,
        incarnation: int,
    ) -> None:
        known = self._incarnations.get(host)
        if known is not None and known != incarnation:
            _log.info('host started anew', extra={'peer': host})
            self._allocator.drop_host(host, self._clock.now())
        self._incarnations[host] = incarnation


def decode_request(
    request: wire.Struct, now: float
) -> messages.PlacementRequest:
    """Return the placement request in a thrift ``PlaceRequest``.

    :param now: seconds on the allocator's clock.
    """
    return messages.PlacementRequest(
        request_id=identifiers.RequestId(request.request),
        host=identifiers.HostId(request.host),
        domain=identifiers.FailureDomain(request.domain),
        service=identifiers.ServiceName(request.service_name),
        deadline=now + request.deadline_ms / _MILLISECONDS,
        # Waits are divided by the objective, and hosts round it down.
        objective=max(request.objective_ms, 1) / _MILLISECONDS,
        size=request.size,
        priority=request.priority,
        excluded=frozenset(map(identifiers.UpstreamId, request.excluded)),
        is_repeat=request.is_repeat,
        is_repeatable=request.is_repeatable,
        fingerprint=request.fingerprint or crashes.NO_FINGERPRINT,
        is_counted=bool(request.is_counted),
        workspace=identifiers.WorkspaceName(request.workspace or ''),
        cap=_decode_cap(request),
        route_class=request.route_class or 0,
        is_permitted=bool(request.is_permitted),
        fleet_hosts=request.fleet_hosts or 0,
        presence=_decode_presence(request),
    )


def _decode_cap(request: wire.Struct) -> caps.Cap:
    if request.cap_rate is None:
        return caps.NO_CAP
    return caps.Cap(
        request.cap_rate, request.cap_burst or 0.0, request.cap_version or 0
    )


def _decode_presence(request: wire.Struct) -> presences.Presence | None:
    if request.interval_ms is None:
        return None
    elsewhere = math.inf
    if request.elsewhere_ms is not None:
        elsewhere = request.elsewhere_ms / _MILLISECONDS
    # Probabilities are computed with the quotient by the interval.
    interval = max(request.interval_ms, 1) / _MILLISECONDS
    return presences.Presence(elsewhere, interval)


def encode_answer(answer: messages.Answer) -> wire.Struct:
    """Return an answer as a thrift ``PlaceAnswer``."""
    row = None if answer.record is None else records.to_row(answer.record)
    return wire.structs.PlaceAnswer(
        decision=int(answer.decision),
        row=row,
        retry_after_ms=int(answer.retry_after * _MILLISECONDS),
    )


def create_service(
    allocator: allocators.Allocator,
    clock: clocks.Clock,
    find_silent: typing.Callable[
        [float],
        typing.Collection[identifiers.UpstreamId],
    ],
    strain_exchange: StrainExchange | None = None,
    monitor: coverage.CoverageMonitor | None = None,
    loan_exchange: permits.LoanExchange | None = None,
    spare_exchange: lendings.SpareExchange | None = None,
) -> PlacementService:
    """Return a service that is not running.

    :param monitor: finds the services whose upstreams other regions shall use,
        which are published by the exchange.
    :param loan_exchange: carries loans of caps; without it there are none.
    :param spare_exchange: the same for loans of slots between regions.
    """
    return PlacementService(
        allocator,
        clock,
        find_silent,
        strain_exchange,
        monitor,
        loan_exchange,
        spare_exchange,
    )
