"""Client of the allocators: where requests get their slots.

Calls go to the owner of the service over wire links, or directly to the own
allocator when this host is the owner.

See also: :mod:`wagtailspread.entry.owners`, the owner's side.
"""

import asyncio
import dataclasses
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import decisions, interfaces, owners, slots
from wagtailspread.wire import links, messages

#: Completions wait this long for others to the same owner, in seconds.
RELEASE_SECONDS = 0.005
_RELEASE_TIMEOUT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostIdentity:
    """What a host tells others about itself."""

    host: identifiers.HostId
    region: identifiers.RegionName
    domain: identifiers.FailureDomain


class AllocationClient:
    """Slots for the requests of this host. Use :func:`create_client`."""

    def __init__(
        self,
        identity: HostIdentity,
        ownership: interfaces.Ownership,
        own: owners.OwnerTable,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Start with no open leases."""
        self._identity = identity
        self._ownership = ownership
        self._own = own
        self._pool = pool
        self._clock = clock
        self._completions: dict[
            identifiers.ServiceName,
            list[slots.Completion],
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> owners.Decision:
        """Return a grant or a refusal for one request."""
        place = self._find_owner(service)
        if place is None:
            return _refuse(request)
        if place.host == self._identity.host:
            allocator = self._own.find(service)
            allocator.note_vote(self._identity.host)
            return await allocator.acquire(request)
        now = self._clock.now()
        answer = await self._pool.find(place.address).call(
            messages.methods.ACQUIRE,
            decisions.write_request(service, request, now),
            messages.structs.SlotDecision,
            max(request.deadline - now, 0.001),
        )
        if isinstance(answer, result.Success):
            return decisions.read_decision(answer.unwrap(), self._clock.now())
        return _refuse(request)

    def complete(
        self,
        service: identifiers.ServiceName,
        completion: slots.Completion,
    ) -> None:
        """Return a lease; it is sent within 5 ms."""
        place = self._find_owner(service)
        if place is not None and place.host == self._identity.host:
            self._own.find(service).complete(completion)
            return
        batch = self._completions.setdefault(service, [])
        batch.append(completion)
        if len(batch) == 1:
            asyncio.get_running_loop().call_later(
                RELEASE_SECONDS,
                self._start_release,
                service,
            )

    def announce(self, announcement: slots.Announcement) -> None:
        """Pass an announcement to the owner of its service."""
        place = self._find_owner(announcement.service)
        if place is None:
            return
        if place.host == self._identity.host:
            self._own.find(announcement.service).announce(announcement)
            return
        self._start(self._send_announcement(place, announcement))

    async def close(self) -> None:
        """Send what is still waiting."""
        for service in list(self._completions):
            self._start_release(service)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_owner(
        self,
        service: identifiers.ServiceName,
    ) -> interfaces.OwnerPlace | None:
        ranked = self._ownership.rank_owners(service, self._identity.region)
        return ranked[0] if ranked else None

    def _start_release(self, service: identifiers.ServiceName) -> None:
        batch = self._completions.pop(service, [])
        place = self._find_owner(service)
        if batch and place is not None:
            self._start(self._send_release(place, service, batch))

    async def _send_release(
        self,
        place: interfaces.OwnerPlace,
        service: identifiers.ServiceName,
        batch: list[slots.Completion],
    ) -> None:
        await self._pool.find(place.address).call(
            messages.methods.RELEASE,
            decisions.write_release(service, self._identity.host, batch),
            messages.structs.Empty,
            _RELEASE_TIMEOUT,
        )

    async def _send_announcement(
        self,
        place: interfaces.OwnerPlace,
        announcement: slots.Announcement,
    ) -> None:
        await self._pool.find(place.address).call(
            messages.methods.ANNOUNCE,
            decisions.write_announcement(announcement),
            messages.structs.Empty,
            _RELEASE_TIMEOUT,
        )

    def _start(self, work: typing.Coroutine[typing.Any, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def create_client(
    identity: HostIdentity,
    ownership: interfaces.Ownership,
    own: owners.OwnerTable,
    pool: links.LinkPool,
    clock: clocks.Clock,
) -> AllocationClient:
    """Return a client that asks the owners that ``ownership`` names."""
    return AllocationClient(identity, ownership, own, pool, clock)


def _refuse(request: slots.SlotRequest) -> owners.Decision:
    return result.Failure(
        failures.Refusal(request.request, outcomes.RefusalReason.NO_CAPACITY),
    )
