"""Choice of upstreams for the requests of one host.

A host asks the allocator of its region. All hosts of a region ask the same
replica while it answers, and the next one in a common order when it fails.
Without any replica they ask a substitute: a host that all of them know. If it
fails too, each host decides on its own from what it has observed.
"""

import asyncio
import dataclasses
import itertools
import typing

import logbook

from wagtailspread.core import clocks, identifiers
from wagtailspread.gateway import allocator_calls, conversions
from wagtailspread.gateway import lone_placements, settlements
from wagtailspread.placement import budgets, costs, crashes, messages
from wagtailspread.placement import permits, selection
from wagtailspread.registry import records
from wagtailspread.wire import links
from wagtailspread.wire import messages as wire
from wagtailspread.workspaces import caps, fleets

#: Maximum number of allocators that are tried for one request.
MAX_ALLOCATORS = 2

#: Time after which a request asks again that a host without an answering
#: allocator has refused over its part of the cap, and the time for which it
#: does so, in seconds. Most objectives are above one second.
HOLD_SECONDS = 0.25
MAX_HOLD_SECONDS = 1.0
#: Maximum number of such requests, so that a workspace far above its cap does
#: not fill the memory of the host.
MAX_HELD = 64

_log = logbook.Logger('placement')


class Placement(typing.NamedTuple):
    """Upstream to send a request to, or why there is none.

    :param allocator: that decided; ``None`` if the host decided itself.
    :param request: as it was placed; ``None`` if nobody was asked.
    :param counted_by: allocator that keeps the permit of a request for which
        the host decided itself, if there is one.
    """

    answer: messages.Answer
    allocator: identifiers.Address | None
    request: messages.PlacementRequest | None = None
    counted_by: identifiers.Address | None = None


class Placer:
    """Chooses upstreams for one host. Use :func:`create_placer`.

    :param crashes: requests that are refused without asking an allocator.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        location: costs.Location,
        pool: links.LinkPool,
        selector: selection.Selector,
        budget: budgets.SharedRetryBudget,
        clock: clocks.Clock,
        lone_permits: permits.LonePermits | None = None,
    ) -> None:
        """Create a placer without known allocators.

        :param lone_permits: for requests on which the host decides itself.
        """
        self._host = host
        self._location = location
        self._selector = selector
        self.crashes = crashes.create_crashes()
        self._permits = lone_permits or permits.create_lone_permits(
            caps.Limits(), fleets.create_size()
        )
        self._lone = lone_placements.create_lone_placer(
            selector, budget, self._permits, clock
        )
        self._clock = clock
        self._numbers = itertools.count()
        self._allocators: list[identifiers.Address] = []
        self._held = 0
        self._settler = settlements.create_settler(host, pool, clock)
        self._caller = allocator_calls.create_caller(
            host, pool, selector, self._permits, self._settler, clock
        )
        self._prefix = f'{self._caller.incarnation:x}'

    def update_allocators(
        self,
        replicas: list[wire.Struct],
        substitutes: list[wire.Struct],
    ) -> None:
        """Replace the allocators: replicas of the region, then substitutes.

        All hosts of a region use the same order.
        """
        ordered = sorted(replicas, key=lambda one: str(one.address))
        ordered.extend(substitutes)
        self._allocators = [
            identifiers.Address(one.address)
            for one in ordered
            if self._location.is_same_region(
                identifiers.FailureDomain(one.domain),
            )
        ]
        self._settler.retain(self._allocators)

    def find_allocator(self) -> identifiers.Address | None:
        """Return the allocator that is asked first, if there is one."""
        usable = self._list_usable()
        return usable[0] if usable else None

    def _list_usable(self) -> list[identifiers.Address]:
        usable = [
            one for one in self._allocators if not self._settler.is_failed(one)
        ]
        return usable[:MAX_ALLOCATORS]

    def create_id(self) -> identifiers.RequestId:
        """Return a new id of one attempt to place a request.

        It is short since it is sent several times for each request.
        """
        number = next(self._numbers)
        return identifiers.RequestId(f'{self._prefix}.{number:x}')

    async def place(
        self, placement_request: messages.PlacementRequest
    ) -> Placement:
        """Return the upstream for a request, or why there is none."""
        now = self._clock.now()
        end = self.crashes.find_end(placement_request.fingerprint, now)
        if end > now:
            refusal = messages.Answer(
                messages.Decision.BLOCKED, None, end - now
            )
            return Placement(refusal, None)
        number = self._lone.create_number()
        while True:
            placed = await self._place(placement_request, number)
            if self._may_hold(placed, now):
                await self._hold()
            elif placed.answer.decision is not messages.Decision.WAITING:
                return placed
            # The withdrawal of this id may reach an allocator at any time.
            placement_request = dataclasses.replace(
                placement_request, request_id=self.create_id()
            )

    def _may_hold(self, placed: Placement, asked_at: float) -> bool:
        """Tell whether a refusal over the cap may be taken back soon.

        The part of a host is below one request at most times. It grows, and an
        allocator that failed may answer again.

        :param asked_at: when the request was placed first.
        """
        is_over_cap = placed.answer.decision is messages.Decision.OVER_CAP
        if not is_over_cap or placed.allocator is not None:
            return False
        if not self._allocators or self._held >= MAX_HELD or not placed.request:
            return False
        now = self._clock.now()
        end = now + HOLD_SECONDS + lone_placements.MIN_ATTEMPT_SECONDS
        return now - asked_at < MAX_HOLD_SECONDS and end < (
            placed.request.deadline
        )

    async def _hold(self) -> None:
        self._held += 1
        try:
            await asyncio.sleep(HOLD_SECONDS)
        finally:
            self._held -= 1

    async def _place(
        self, placement_request: messages.PlacementRequest, number: int
    ) -> Placement:
        """Ask the allocators; without an answer of them, decide alone.

        :param number: position of the request in the order of arrival.
        """
        for allocator in self._list_usable():
            answer = await self._caller.ask(allocator, placement_request)
            placement_request = dataclasses.replace(
                placement_request, is_counted=True
            )
            if answer is None:
                continue
            if answer.record is None:
                return Placement(answer, allocator, placement_request)
            if self._may_send(answer.record):
                self._selector.start(answer.record.upstream)
                return Placement(answer, allocator, placement_request)
            # The allocator does not know yet what the upstream asked this
            # host, for example since it has just taken over.
            return self._place_elsewhere(
                allocator, placement_request, answer.record
            )
        answer = await self._lone.place(placement_request, number)
        return Placement(answer, None, placement_request)

    def _place_elsewhere(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
        record: records.UpstreamRecord,
    ) -> Placement:
        """Choose another upstream than the granted one, whose slot is freed.

        The request keeps its permit if it is placed, so the part of the cap for
        hosts that decide alone is not used.
        """
        is_counted = permits.needs_permit(placement_request)
        placed = dataclasses.replace(
            placement_request,
            is_permitted=placement_request.is_permitted or is_counted,
        )
        answer = self._lone.choose(placed)
        if answer.decision is messages.Decision.WAITING:
            # It would lose its place at the allocator while it waits here.
            answer = messages.Answer(messages.Decision.NO_ROOM)
        if not is_counted or answer.record is None:
            self._caller.withdraw(allocator, placement_request)
            return Placement(answer, None, placed)
        release = conversions.create_release(placement_request, record)
        self._settler.start(allocator, release)
        return Placement(answer, None, placed, allocator)

    def _may_send(self, record: records.UpstreamRecord) -> bool:
        """Tell whether an upstream has not asked this host to stop sending."""
        known = self._selector.registry.rows.get(record.upstream)
        is_leaving = (
            known is not None
            and known.record.born_ms == record.born_ms
            and not known.is_ready
        )
        now = self._clock.now()
        end = self._selector.holds.find_end(
            self._host, record.upstream, record.born_ms, now
        )
        return not is_leaving and end <= now

    def settle(
        self,
        request: identifiers.RequestId,
        placement: Placement,
        evidence: messages.Evidence,
        seconds: float,
        notice: messages.UpstreamNotice = messages.NO_NOTICE,
        *,
        is_reset: bool = False,
        fingerprint: crashes.Fingerprint = crashes.NO_FINGERPRINT,
    ) -> None:
        """Report how a placed request ended, without waiting.

        :param seconds: duration of the attempt.
        :param notice: what the upstream asked of this host.
        :param is_reset: whether its connection ended without an answer.
        :param fingerprint: of the request.
        """
        record = placement.answer.record
        if record is None:
            return
        self._selector.record_notice(
            self._host, record, notice, self._clock.now()
        )
        if notice.is_leaving:
            _log.info('upstream leaves', extra={'upstream': record.upstream})
        self._finish(record)
        self._selector.record_evidence(
            self._host,
            record.upstream,
            evidence,
            seconds,
            self._clock.now(),
        )
        placed = placement.request
        if placement.allocator is None:
            self._settle_alone(placement, evidence)
            self._record_alone(record, evidence, fingerprint, is_reset=is_reset)
        else:
            settlement = wire.structs.Settlement(
                request=request if placed is None else placed.request_id,
                upstream=record.upstream,
                evidence=int(evidence),
                took_ms=conversions.encode_seconds(seconds),
            )
            if is_reset:
                settlement.is_reset = True
            if notice != messages.NO_NOTICE:
                settlement.born_ms = record.born_ms
                settlement.is_leaving = notice.is_leaving
                settlement.hold_ms = conversions.encode_seconds(
                    notice.hold_seconds
                )
            self._settler.start(placement.allocator, settlement)

    def withdraw(
        self,
        placement_request: messages.PlacementRequest,
        placement: Placement,
    ) -> None:
        """Free the slot and return the permit of a request that is not sent."""
        if placement.answer.record is None:
            return
        self._finish(placement.answer.record)
        if placement.allocator is None:
            self._settle_alone(placement, messages.Evidence.SHED)
        else:
            self._caller.withdraw(
                placement.allocator, placement.request or placement_request
            )

    def _settle_alone(
        self, placement: Placement, evidence: messages.Evidence
    ) -> None:
        """Return the permit of a request that did not run, where it is kept."""
        if placement.request is None:
            return
        if placement.counted_by is None:
            self._permits.settle(placement.request, evidence, self._clock.now())
        elif evidence in permits.NOT_RUN:
            self._caller.withdraw(placement.counted_by, placement.request)

    def _finish(self, record: records.UpstreamRecord) -> None:
        """Free the slot of an upstream for a request that waits."""
        self._selector.finish(record.upstream)
        self._lone.wake(record.service)

    def _record_alone(
        self,
        record: records.UpstreamRecord,
        evidence: messages.Evidence,
        fingerprint: crashes.Fingerprint,
        *,
        is_reset: bool,
    ) -> None:
        """Record losses and answers that no allocator learns of."""
        if evidence is messages.Evidence.GOOD:
            self.crashes.record_answer(fingerprint)
        elif is_reset:
            row = self._selector.registry.rows.get(record.upstream)
            self.crashes.record_loss(fingerprint, row, self._clock.now())

    async def close(self) -> None:
        """Stop probing allocators; wait until all settlements are sent."""
        await self._settler.close()


def create_placer(
    host: identifiers.HostId,
    location: costs.Location,
    pool: links.LinkPool,
    selector: selection.Selector,
    budget: budgets.SharedRetryBudget,
    clock: clocks.Clock,
    lone_permits: permits.LonePermits | None = None,
) -> Placer:
    """Return a placer that knows no allocator yet."""
    return Placer(host, location, pool, selector, budget, clock, lone_permits)
