"""Calls of a host to allocators for one of its requests.

A call is long-polled while the request is queued. One that is late is repeated
once, and an allocator that does not answer then has failed.
"""

import asyncio
import dataclasses
import random

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.gateway import conversions, settlements
from wagtailspread.placement import messages, permits, selection
from wagtailspread.wire import links
from wagtailspread.wire import messages as wire

#: Maximum time for which an allocator may delay its answer, in seconds.
MAX_WAIT_SECONDS = 0.15
#: Timeout of an answer beyond that delay, in seconds. It covers several round
#: trips to another failure domain and the processing on a busy machine.
ANSWER_TIMEOUT_SECONDS = 0.12
#: Timeout of a second call to an allocator whose answer was late, which it
#: answers at once. It covers the retransmission of a lost packet, and an upload
#: of 60 KB ahead of the call on a link of 2.4 Mbit/s. With one call only, a
#: host left its allocator for a second at each such delay, and half of the
#: hosts did so in 4 s.
LATE_TIMEOUT_SECONDS = 0.3
#: Maximum time for which an allocator without upstreams is asked again, and the
#: interval, in seconds. One that has just started learns them in this time.
MAX_LEARN_SECONDS = 0.5
LEARN_POLL_SECONDS = 0.1

_MILLISECONDS = 1000
#: Each start of a host is identified by a random number below this.
_MAX_INCARNATION = 1 << 40


class AllocatorCaller:
    """Asks allocators on behalf of one host. Use :func:`create_caller`.

    :param incarnation: identifies this start of the host.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        pool: links.LinkPool,
        selector: selection.Selector,
        lone_permits: permits.LonePermits,
        settler: settlements.Settler,
        clock: clocks.Clock,
    ) -> None:
        """Create a caller; no connection is opened."""
        self.incarnation = random.randrange(_MAX_INCARNATION)
        self._host = host
        self._pool = pool
        self._selector = selector
        self._permits = lone_permits
        self._settler = settler
        self._clock = clock
        self._has_caps = False

    async def ask(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
    ) -> messages.Answer | None:
        """Return an allocator's answer, or ``None`` if it fails."""
        learn_until = self._clock.now() + MAX_LEARN_SECONDS
        placement_request = self._add_presence(allocator, placement_request)
        try:
            while True:
                answer = await self._call_twice(allocator, placement_request)
                placement_request = dataclasses.replace(
                    placement_request, is_counted=True, presence=None
                )
                if answer is None:
                    self.withdraw(allocator, placement_request)
                    self._settler.record_failure(allocator)
                    return None
                self._permits.presences.record_answer(
                    allocator, self._clock.now()
                )
                if await self._must_ask_again(
                    placement_request, answer, learn_until
                ):
                    continue
                if self._clock.now() < placement_request.deadline:
                    return answer
                self.withdraw(allocator, placement_request)
                return messages.Answer(messages.Decision.NO_ROOM)
        except asyncio.CancelledError:
            self.withdraw(allocator, placement_request)
            raise

    def _add_presence(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
    ) -> messages.PlacementRequest:
        """State the contact of this host with an allocator in a request.

        Repeats of the request don't state it again, since the allocator
        compares the requests that it gets with the rate that is stated.
        """
        self._has_caps = self._has_caps or placement_request.cap.is_limited
        if not self._has_caps:
            return placement_request
        presence = self._permits.presences.state(allocator, self._clock.now())
        return dataclasses.replace(placement_request, presence=presence)

    async def _must_ask_again(
        self,
        placement_request: messages.PlacementRequest,
        answer: messages.Answer,
        learn_until: float,
    ) -> bool:
        """Tell whether an allocator has not decided yet, or lacks upstreams.

        Retries are left out, since each question spends the retry budget.
        """
        if answer.decision is not messages.Decision.NO_UPSTREAM:
            return answer.decision is messages.Decision.WAITING
        if placement_request.is_repeat or self._clock.now() >= learn_until:
            return False
        known = self._selector.registry.list_ready(placement_request.service)
        upstreams = {row.record.upstream for row in known}
        if upstreams <= placement_request.excluded:
            return False
        await asyncio.sleep(LEARN_POLL_SECONDS)
        return True

    def withdraw(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
    ) -> None:
        """Tell an allocator that a request is not sent."""
        withdrawal = conversions.create_withdrawal(placement_request)
        self._settler.start(allocator, withdrawal)

    async def _call_twice(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
    ) -> messages.Answer | None:
        """Return the answer of an allocator, also if the first one is late.

        It is not asked again if it has failed for another request meanwhile.
        """
        answer = await self._call(
            allocator, placement_request, MAX_WAIT_SECONDS
        )
        if answer is not None or self._settler.is_failed(allocator):
            return answer
        return await self._call(
            allocator, placement_request, 0, LATE_TIMEOUT_SECONDS
        )

    async def _call(
        self,
        allocator: identifiers.Address,
        placement_request: messages.PlacementRequest,
        wait: float,
        margin: float = ANSWER_TIMEOUT_SECONDS,
    ) -> messages.Answer | None:
        """Return the answer of an allocator, ``None`` if it is late.

        :param wait: time for which it may delay the answer, in seconds.
        :param margin: timeout beyond that, in seconds.
        """
        left = placement_request.deadline - self._clock.now()
        if left <= 0:
            return messages.Answer(messages.Decision.NO_ROOM)
        limit = wait + margin
        try:
            async with asyncio.timeout(min(limit, left)):
                answer = await self._pool.find(allocator).call(
                    wire.methods.PLACE,
                    self._encode_request(placement_request, wait),
                    wire.structs.PlaceAnswer,
                    limit,
                )
        except TimeoutError:
            if left < limit:
                # The deadline of the request has passed, which is no failure
                # of the allocator.
                return messages.Answer(messages.Decision.NO_ROOM)
            return None
        if not isinstance(answer, result.Success):
            return None
        return conversions.read_answer(answer.unwrap(), allocator)

    def _encode_request(
        self, placement_request: messages.PlacementRequest, wait: float
    ) -> wire.Struct:
        left = placement_request.deadline - self._clock.now()
        encoded = wire.structs.PlaceRequest(
            request=placement_request.request_id,
            host=self._host,
            incarnation=self.incarnation,
            domain=placement_request.domain,
            service_name=placement_request.service,
            size=min(placement_request.size, wire.MAX_I32),
            priority=placement_request.priority,
            deadline_ms=conversions.encode_seconds(left),
            excluded=sorted(placement_request.excluded),
            is_repeat=placement_request.is_repeat,
            is_repeatable=placement_request.is_repeatable,
            objective_ms=conversions.encode_seconds(
                placement_request.objective
            ),
            fingerprint=placement_request.fingerprint,
            is_counted=placement_request.is_counted,
            wait_ms=int(wait * _MILLISECONDS),
            route_class=placement_request.route_class,
        )
        conversions.add_workspace(
            encoded, placement_request, self._permits.fleet.sustained
        )
        if placement_request.presence is not None:
            conversions.add_presence(encoded, placement_request.presence)
        return encoded


def create_caller(
    host: identifiers.HostId,
    pool: links.LinkPool,
    selector: selection.Selector,
    lone_permits: permits.LonePermits,
    settler: settlements.Settler,
    clock: clocks.Clock,
) -> AllocatorCaller:
    """Return a caller that has not asked yet.

    :param lone_permits: tell how many hosts the fleet has, and how often this
        one asks.
    """
    return AllocatorCaller(host, pool, selector, lone_permits, settler, clock)
