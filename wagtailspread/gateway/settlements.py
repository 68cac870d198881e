"""Reports of a host to allocators on how its requests ended.

An allocator that does not answer is left alone until a probe succeeds. What it
was to be told meanwhile is kept and goes with the probe. Otherwise its requests
would stay open there until their deadlines: those that it granted too late, and
those that ended while it did not answer.
"""

import asyncio
import collections
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.placement import messages
from wagtailspread.wire import links
from wagtailspread.wire import messages as wire

#: Time between two probes of a failed allocator, in seconds.
PROBE_INTERVAL_SECONDS = 1.0
#: Timeout for reporting the end of a request to the allocator, in seconds.
SETTLE_TIMEOUT_SECONDS = 1.0
#: Time for which a report is kept, in seconds. The allocator closes requests
#: itself after their deadlines.
KEEP_SECONDS = 20.0
#: Maximum number of reports that are kept for an allocator.
MAX_KEPT = 256

_log = logbook.Logger('placement')


class Settler:
    """Sends the reports of one host. Use :func:`create_settler`."""

    def __init__(
        self,
        host: identifiers.HostId,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Create a settler to which all allocators answer."""
        self._host = host
        self._pool = pool
        self._clock = clock
        self._probes: dict[identifiers.Address, asyncio.Task[None]] = {}
        self._settling: set[asyncio.Task[None]] = set()
        self._kept: dict[
            identifiers.Address, collections.deque[tuple[float, wire.Struct]]
        ] = {}

    def is_failed(self, allocator: identifiers.Address) -> bool:
        """Tell whether an allocator has not answered since its last call."""
        return allocator in self._probes

    def retain(self, allocators: typing.Container[identifiers.Address]) -> None:
        """Stop probing all other allocators; drop what was kept for them."""
        for allocator in list(self._probes):
            if allocator not in allocators:
                self._probes.pop(allocator).cancel()
        for allocator in list(self._kept):
            if allocator not in allocators:
                self._kept.pop(allocator)

    def record_failure(self, allocator: identifiers.Address) -> None:
        """Leave an allocator alone until it answers a probe."""
        if allocator not in self._probes:
            _log.warning('allocator lost', extra={'allocator': allocator})
            probe = asyncio.create_task(self._probe_until_answer(allocator))
            self._probes[allocator] = probe

    def start(
        self, allocator: identifiers.Address, settlement: wire.Struct
    ) -> None:
        """Send a report without waiting, or keep it if it can't be sent."""
        if self.is_failed(allocator):
            self._keep(allocator, settlement)
            return
        settling = asyncio.create_task(self._settle(allocator, settlement))
        self._settling.add(settling)
        settling.add_done_callback(self._settling.discard)

    async def close(self) -> None:
        """Stop probing allocators; wait until all reports are sent."""
        for probe in self._probes.values():
            probe.cancel()
        await asyncio.gather(*self._settling, return_exceptions=True)

    async def _settle(
        self, allocator: identifiers.Address, settlement: wire.Struct
    ) -> None:
        if self.is_failed(allocator):
            self._keep(allocator, settlement)
        elif not await self._send(allocator, [settlement]):
            self._keep(allocator, _drop_evidence(settlement))
            self.record_failure(allocator)

    def _keep(
        self, allocator: identifiers.Address, settlement: wire.Struct
    ) -> None:
        kept = self._kept.setdefault(
            allocator, collections.deque(maxlen=MAX_KEPT)
        )
        kept.append((self._clock.now(), settlement))

    def _list_kept(self, allocator: identifiers.Address) -> list[wire.Struct]:
        oldest = self._clock.now() - KEEP_SECONDS
        return [
            settlement
            for kept_at, settlement in self._kept.get(allocator, ())
            if kept_at >= oldest
        ]

    async def _send(
        self,
        allocator: identifiers.Address,
        settlements: list[wire.Struct],
    ) -> bool:
        request = wire.structs.SettleRequests(
            host=self._host,
            settlements=settlements,
        )
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_SECONDS):
                outcome = await self._pool.find(allocator).call(
                    wire.methods.SETTLE,
                    request,
                    wire.structs.Empty,
                    SETTLE_TIMEOUT_SECONDS,
                )
        except TimeoutError:
            return False
        return isinstance(outcome, result.Success)

    async def _probe_until_answer(self, allocator: identifiers.Address) -> None:
        """Probe an allocator until it answers; send it what was kept."""
        await self._pool.remove(allocator)
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if await self._send(allocator, []):
                break
            await self._pool.remove(allocator)
        self._probes.pop(allocator, None)
        kept = self._list_kept(allocator)
        self._kept.pop(allocator, None)
        _log.info(
            'allocator answers again',
            extra={'allocator': allocator, 'kept': len(kept)},
        )
        if kept and not await self._send(allocator, kept):
            self.record_failure(allocator)


def _drop_evidence(settlement: wire.Struct) -> wire.Struct:
    """Return a report that may have arrived, without its evidence.

    A result must not count twice.
    """
    return wire.structs.Settlement(
        request=settlement.request,
        upstream=settlement.upstream,
        evidence=int(messages.Evidence.NONE),
        took_ms=0,
    )


def create_settler(
    host: identifiers.HostId, pool: links.LinkPool, clock: clocks.Clock
) -> Settler:
    """Return a settler to which all allocators answer."""
    return Settler(host, pool, clock)
