"""Serves the allocator of a replica to the hosts of its region."""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import allocators, messages
from wagtailspread.registry import records
from wagtailspread.wire import listeners
from wagtailspread.wire import messages as wire

#: Time between two looks for overdue requests, in seconds.
TICK_SECONDS = 0.05
#: Time between two looks for upstreams that are forgotten, in seconds.
PRUNE_SECONDS = 10.0
_MILLISECONDS = 1000

_log = logbook.Logger('placement')


class Neighbours(typing.Protocol):
    """What the allocators of other regions find out."""

    def publish_strained(
        self,
        strained: frozenset[identifiers.ServiceName],
    ) -> None:
        """Tell them of which services many requests fail here."""

    def list_remote_strained(self) -> set[identifiers.ServiceName]:
        """Return the services of which many requests fail there."""


class PlacementService:
    """Answers hosts. Use :func:`create_service`.

    Requests that wait keep their call open for a short while, so that a slot
    that becomes free goes out at once.
    """

    def __init__(
        self,
        allocator: allocators.Allocator,
        clock: clocks.Clock,
        find_silent: typing.Callable[
            [float],
            typing.Collection[identifiers.UpstreamId],
        ],
        neighbours: Neighbours | None = None,
    ) -> None:
        """Keep the allocator."""
        self._neighbours = neighbours
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
        """Look after waiting and overdue requests until cancelled."""
        selector = self._allocator.selector
        prune_at = self._clock.now() + PRUNE_SECONDS
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.now()
            selector.silent = self._find_silent(now)
            self._exchange_strain(now)
            self._tick()
            if now >= prune_at:
                prune_at = now + PRUNE_SECONDS
                selector.prune(now)
                self._allocator.floor.keep(selector.registry.rows)

    def _exchange_strain(self, now: float) -> None:
        if self._neighbours is not None:
            floor = self._allocator.floor
            self._neighbours.publish_strained(floor.list_strained(now))
            floor.set_remote_strained(self._neighbours.list_remote_strained())

    async def _place(
        self,
        _call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        now = self._clock.now()
        need = read_need(request, now)
        self._note_incarnation(need.host, request.incarnation)
        answer = self._allocator.submit(need, now)
        if answer.decision is messages.Decision.WAITING:
            wait = request.wait_ms / _MILLISECONDS
            answer = await self._wait(need.request_id, wait) or answer
        return result.Success(write_answer(answer))

    async def _wait(
        self,
        request: identifiers.RequestId,
        seconds: float,
    ) -> messages.Answer | None:
        event = self._calls.setdefault(request, asyncio.Event())
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return None
        finally:
            self._calls.pop(request, None)
        return self._allocator.take_decision(request)

    async def _settle(
        self,
        _call: listeners.Call,
        request: wire.Struct,
    ) -> listeners.HandlerResult:
        now = self._clock.now()
        for one in request.settlements:
            self._allocator.settle(
                identifiers.RequestId(one.request),
                identifiers.UpstreamId(one.upstream),
                messages.Evidence(one.evidence),
                one.took_ms / _MILLISECONDS,
                now,
            )
        if self._allocator.count_waiting():
            self._tick()
        return result.Success(wire.structs.Empty())

    def _tick(self) -> None:
        for request in self._allocator.tick(self._clock.now()):
            event = self._calls.get(request)
            if event is not None:
                event.set()

    def _note_incarnation(
        self,
        host: identifiers.HostId,
        incarnation: int,
    ) -> None:
        known = self._incarnations.get(host)
        if known is not None and known != incarnation:
            _log.info('host started anew', extra={'peer': host})
            self._allocator.drop_host(host)
        self._incarnations[host] = incarnation


def read_need(request: wire.Struct, now: float) -> messages.PlacementRequest:
    """Return the need in a received request."""
    return messages.PlacementRequest(
        request_id=identifiers.RequestId(request.request),
        host=identifiers.HostId(request.host),
        domain=identifiers.FailureDomain(request.domain),
        service=identifiers.ServiceName(request.service_name),
        deadline=now + request.deadline_ms / _MILLISECONDS,
        objective=request.objective_ms / _MILLISECONDS,
        size=request.size,
        priority=request.priority,
        excluded=frozenset(map(identifiers.UpstreamId, request.excluded)),
        is_repeat=request.is_repeat,
        is_repeatable=request.is_repeatable,
    )


def write_answer(answer: messages.Answer) -> wire.Struct:
    """Return an answer as it travels to a host."""
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
    neighbours: Neighbours | None = None,
) -> PlacementService:
    """Return a service that is not running."""
    return PlacementService(allocator, clock, find_silent, neighbours)
