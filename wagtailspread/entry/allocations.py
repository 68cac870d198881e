"""Client of the allocators: where requests get their slots.

Calls go to the owner of the service over wire links, or directly to the own
allocator when this host is the owner. While no owner answers, the host uses
its own share of the slots. A new owner is told of the open leases first.

See also: :mod:`wagtailspread.entry.owners`, the owner's side, and
:mod:`wagtailspread.entry.heartbeats`, which keeps votes and row copies fresh.
"""

import asyncio
import dataclasses
import math
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import conversions, interfaces, leases, liveness
from wagtailspread.entry import owners, rows, shares, slots, votes
from wagtailspread.wire import links, messages

#: Completions wait this long for others to the same owner, in seconds.
COMPLETION_BATCH_SECONDS = 0.005
#: Time between looks at who owns a service, in seconds.
OWNER_REFRESH_SECONDS = 0.05
_CALL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostIdentity:
    """What a host tells others about itself."""

    host: identifiers.HostId
    region: identifiers.RegionName
    domain: identifiers.FailureDomain


@dataclasses.dataclass(slots=True)
class ServiceState:
    """What this host knows of the allocator of one service.

    :param table: rows that the host falls back to.
    :param owner: the owner that is addressed.
    :param ejected: upstreams that the owner has ejected, as last heard.
    :param ejected_by: the owner that told of them.
    """

    service: identifiers.ServiceName
    table: rows.RowTable
    share: shares.LocalShare
    vote: votes.VoteCaster
    owner: interfaces.OwnerEndpoint | None = None
    owner_checked_at: float = float('-inf')
    used_at: float = float('-inf')
    ejected: list[identifiers.UpstreamId] = dataclasses.field(
        default_factory=list,
    )
    ejected_by: identifiers.HostId | None = None

    def list_unreported_ejections(
        self,
        owner: identifiers.HostId,
    ) -> list[identifiers.UpstreamId]:
        """Return the ejections that a new owner has to be told of."""
        return [] if owner == self.ejected_by else self.ejected

    def record_ejections(
        self,
        owner: identifiers.HostId,
        ejected: list[identifiers.UpstreamId],
    ) -> None:
        """Remember the ejections of an owner that answered."""
        self.ejected = ejected
        self.ejected_by = owner


class AllocationClient:
    """Slots for the requests of this host. Use :func:`create_client`.

    :param region: region whose allocators are asked.
    """

    def __init__(
        self,
        identity: HostIdentity,
        region: identifiers.RegionName,
        ownership: interfaces.Ownership,
        own: owners.OwnerTable,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Start with no open leases."""
        self.lease_table = leases.LeaseTable()
        self.states: dict[identifiers.ServiceName, ServiceState] = {}
        self._identity = identity
        self.region = region
        self._ownership = ownership
        self._owned = own
        self._pool = pool
        self._clock = clock
        self._started_at = clock.now()
        self._calls: dict[identifiers.Address, liveness.OwnerCalls] = {}
        self._batches: dict[
            tuple[identifiers.ServiceName, interfaces.OwnerEndpoint],
            list[slots.Completion],
        ] = {}
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    async def acquire(
        self,
        service: identifiers.ServiceName,
        request: slots.SlotRequest,
    ) -> owners.Decision:
        """Return a grant or a refusal for one request."""
        state = self.find_state(service)
        now = self._clock.now()
        state.used_at = now
        owner = state.owner
        if owner is None:
            return await self._acquire_share(state, request)
        if owner.host == self._identity.host:
            decision = await self._owned.find(service).acquire(request)
            return self._record_grant(service, decision, owner.host)
        calls = self.find_calls(owner)
        if calls.is_failed:
            return await self._acquire_share(state, request)
        return await self._acquire_remote(state, owner, calls, request)

    def complete(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        seconds: float,
        transferred: int = 0,
    ) -> None:
        """Return the lease of a grant; it is sent within 5 ms."""
        lease = self.lease_table.close(grant.request)
        if lease is None:
            return
        completion = slots.Completion(grant.lease, ended, seconds)
        self._send_completion(lease.host, lease, completion)
        for adoption in lease.adoptions:
            completion = slots.Completion(adoption.lease, ended, seconds)
            self._send_completion(adoption.host, lease, completion)

    def announce(self, announcement: slots.Announcement) -> None:
        """Pass an announcement to the owner of its service."""
        state = self.find_state(announcement.service)
        state.table.record(announcement, self._clock.now())
        owner = state.owner
        if owner is None:
            return
        if owner.host == self._identity.host:
            self._owned.find(announcement.service).announce(announcement)
            return
        struct = conversions.write_announcement(announcement)
        self._send(owner, messages.methods.ANNOUNCE, struct)

    async def close(self) -> None:
        """Send what is still waiting."""
        for service, owner in list(self._batches):
            self._flush(service, owner)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for calls in self._calls.values():
            await calls.close()

    def find_state(self, service: identifiers.ServiceName) -> ServiceState:
        """Return the state of a service with its present owner."""
        state = self.states.get(service)
        if state is None:
            state = self._create_state(service)
            self.states[service] = state
        now = self._clock.now()
        if now - state.owner_checked_at >= OWNER_REFRESH_SECONDS:
            state.owner_checked_at = now
            ranked = self._ownership.rank_owners(service, self.region)
            self._change_owner(state, ranked[0] if ranked else None, now)
        return state

    def find_calls(
        self, owner: interfaces.OwnerEndpoint
    ) -> liveness.OwnerCalls:
        """Return the calls to one owner."""
        calls = self._calls.get(owner.address)
        if calls is None:
            link = self._pool.find(owner.address)
            calls = liveness.OwnerCalls(link, self._clock)
            self._calls[owner.address] = calls
        return calls

    def _create_state(self, service: identifiers.ServiceName) -> ServiceState:
        table = rows.RowTable()
        share = shares.LocalShare(
            table,
            self._identity.domain,
            lambda: self._ownership.count_hosts(self.region),
            self._clock,
        )
        is_home = self.region == self._identity.region
        vote = votes.VoteCaster(self._started_at if is_home else math.inf)
        return ServiceState(service, table, share, vote)

    def _change_owner(
        self,
        state: ServiceState,
        owner: interfaces.OwnerEndpoint | None,
        now: float,
    ) -> None:
        """Address another owner and tell it of the open leases."""
        if owner == state.owner:
            return
        state.owner = owner
        if owner is None:
            return
        claims = self.lease_table.adopt(
            state.service,
            owner.host,
            self._identity.host,
            now,
        )
        if owner.host == self._identity.host:
            allocator = self._owned.find(state.service)
            for row in state.table.list_rows(now):
                allocator.announce(row)
            for claim in claims:
                allocator.adopt(claim)
            return
        for claim in claims:
            struct = conversions.write_adoption(state.service, claim, now)
            self._send(owner, messages.methods.ADOPT, struct)

    async def _acquire_share(
        self,
        state: ServiceState,
        request: slots.SlotRequest,
    ) -> owners.Decision:
        decision = await state.share.acquire(request)
        return self._record_grant(state.service, decision, None)

    async def _acquire_remote(
        self,
        state: ServiceState,
        owner: interfaces.OwnerEndpoint,
        calls: liveness.OwnerCalls,
        request: slots.SlotRequest,
    ) -> owners.Decision:
        now = self._clock.now()
        stamp = state.vote.cast(owner.host, now)
        struct = conversions.write_request(state.service, request, now, stamp)
        try:
            answer = await calls.call(
                messages.methods.ACQUIRE,
                struct,
                messages.structs.SlotDecision,
                max(request.deadline - now, 0.001),
            )
        except asyncio.CancelledError:
            self._cancel(state, owner, request)
            raise
        if isinstance(answer, result.Success):
            decided = answer.unwrap()
            state.vote.note_stamp(owner.host, decided.stamp or 0)
            decision = conversions.read_decision(decided, self._clock.now())
            return self._record_grant(state.service, decision, owner.host)
        if not isinstance(answer.failure(), failures.Unreachable):
            self._cancel(state, owner, request)
        return await self._acquire_share(state, request)

    def _record_grant(
        self,
        service: identifiers.ServiceName,
        decision: owners.Decision,
        host: identifiers.HostId | None,
    ) -> owners.Decision:
        if isinstance(decision, result.Success):
            self.lease_table.open(service, decision.unwrap(), host)
        return decision

    def _cancel(
        self,
        state: ServiceState,
        owner: interfaces.OwnerEndpoint,
        request: slots.SlotRequest,
    ) -> None:
        """Withdraw a request; a grant on its way is then not used."""
        struct = messages.structs.CancelRequest(
            service_name=state.service,
            request=request.request,
        )
        self._send(owner, messages.methods.CANCEL, struct)

    def _send_completion(
        self,
        host: identifiers.HostId | None,
        lease: leases.OpenLease,
        completion: slots.Completion,
    ) -> None:
        if host == self._identity.host:
            self._owned.find(lease.service).complete(completion)
            return
        state = self.find_state(lease.service)
        if host is None:
            state.share.complete(lease.grant.upstream)
            return
        owner = self._find_owner(state, host)
        if owner is None:
            return
        batch = self._batches.setdefault((lease.service, owner), [])
        batch.append(completion)
        if len(batch) == 1:
            asyncio.get_running_loop().call_later(
                COMPLETION_BATCH_SECONDS,
                self._flush,
                lease.service,
                owner,
            )

    def _find_owner(
        self,
        state: ServiceState,
        host: identifiers.HostId,
    ) -> interfaces.OwnerEndpoint | None:
        if state.owner is not None and state.owner.host == host:
            return state.owner
        ranked = self._ownership.rank_owners(state.service, self.region)
        return next((owner for owner in ranked if owner.host == host), None)

    def _flush(
        self,
        service: identifiers.ServiceName,
        owner: interfaces.OwnerEndpoint,
    ) -> None:
        batch = self._batches.pop((service, owner), [])
        if not batch:
            return
        state = self.find_state(service)
        stamp = 0
        if state.owner == owner:
            stamp = state.vote.cast(owner.host, self._clock.now())
        struct = conversions.write_release(
            service,
            self._identity.host,
            batch,
            stamp,
        )
        self._send(owner, messages.methods.RELEASE, struct)

    def _send(
        self,
        owner: interfaces.OwnerEndpoint,
        method: int,
        struct: messages.Struct,
    ) -> None:
        calls = self.find_calls(owner)
        work = calls.send(method, struct, _CALL_SECONDS)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def create_client(
    identity: HostIdentity,
    ownership: interfaces.Ownership,
    own: owners.OwnerTable,
    pool: links.LinkPool,
    clock: clocks.Clock,
    region: identifiers.RegionName | None = None,
) -> AllocationClient:
    """Return a client that asks the owners that ``ownership`` names.

    :param region: region whose allocators are asked; the own if ``None``.
    """
    return AllocationClient(
        identity,
        identity.region if region is None else region,
        ownership,
        own,
        pool,
        clock,
    )
