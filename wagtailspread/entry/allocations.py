"""Client of the allocators that grant slots to requests.

Calls go to the owner of the service over wire links, or directly to the local
allocator when this host is the owner. While no owner answers, the host uses
its local share of the slots. When the owner changes, the host reports its open
leases to the new one, so that their slots are not granted again.

See also: :mod:`wagtailspread.entry.owners`, the owner's side, and
:mod:`wagtailspread.entry.heartbeats`, which renews the votes and the copies of
the upstream rows.
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

#: Time for which completions to one owner are batched, in seconds.
COMPLETION_BATCH_SECONDS = 0.005
#: Interval between updates of the owner of a service, in seconds.
OWNER_REFRESH_SECONDS = 0.05
_CALL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostIdentity:
    """Identity, region and failure domain of a host."""

    host: identifiers.HostId
    region: identifiers.RegionName
    domain: identifiers.FailureDomain


@dataclasses.dataclass(slots=True)
class ServiceState:
    """State that this host stores about the allocator of one service.

    :param table: upstream rows used while no owner answers.
    :param share: grants slots while no owner answers.
    :param vote: vote of this host for the owner.
    :param owner: the owner that receives the calls, ``None`` if none is known.
    :param owner_checked_at: time of the last update of ``owner``, in seconds.
    :param used_at: time of the last request, in seconds.
    :param ejected: upstreams ejected by the owner, as last reported.
    :param ejected_by: the owner that reported them.
    :param handover: calls that report open leases to a new owner.
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
    handover: list[asyncio.Task[typing.Any]] = dataclasses.field(
        default_factory=list,
    )

    def list_unreported_ejections(
        self,
        owner: identifiers.HostId,
    ) -> list[identifiers.UpstreamId]:
        """Return the ejections that a new owner does not know yet."""
        return [] if owner == self.ejected_by else self.ejected

    def record_ejections(
        self,
        owner: identifiers.HostId,
        ejected: list[identifiers.UpstreamId],
    ) -> None:
        """Store the ejections that an owner reported."""
        self.ejected = ejected
        self.ejected_by = owner


class AllocationClient:
    """Acquires slots for requests. Use :func:`create_client`.

    :param owned: allocators that run on this host.
    :param region: region whose allocators are called.
    """

    def __init__(
        self,
        identity: HostIdentity,
        region: identifiers.RegionName,
        ownership: interfaces.Ownership,
        owned: owners.OwnerTable,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Start with no open leases."""
        self.lease_table = leases.LeaseTable()
        self.states: dict[identifiers.ServiceName, ServiceState] = {}
        self._identity = identity
        self.region = region
        self._ownership = ownership
        self._owned = owned
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
            return await self._acquire_locally(state, request)
        if owner.host == self._identity.host:
            decision = await self._owned.find(service).acquire(request)
            return self._record_grant(service, decision, owner.host)
        calls = self.find_calls(owner)
        if calls.is_failed:
            return await self._acquire_locally(state, request)
        return await self._acquire_remote(state, owner, calls, request)

    def complete(
        self,
        service: identifiers.ServiceName,
        grant: slots.Grant,
        ended: outcomes.ExchangeResult,
        seconds: float,
        transferred: int = 0,
    ) -> None:
        """Release the lease of a grant.

        The owners that know the lease are notified within
        :data:`COMPLETION_BATCH_SECONDS`.
        """
        lease = self.lease_table.close(grant.request)
        if lease is None:
            return
        completion = slots.Completion(grant.lease, ended, seconds)
        self._send_completion(lease.host, lease, completion)
        for adoption in lease.adoptions:
            completion = slots.Completion(adoption.lease, ended, seconds)
            self._send_completion(adoption.host, lease, completion)

    def announce(self, announcement: slots.Announcement) -> None:
        """Forward an announcement to the owner of its service."""
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
        """Send the batched completions and wait for the answers."""
        for service, owner in list(self._batches):
            self._flush(service, owner)
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for calls in self._calls.values():
            await calls.close()

    def find_state(self, service: identifiers.ServiceName) -> ServiceState:
        """Return the state of a service, with its current owner."""
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
        """Return the monitored calls to one owner."""
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
        """Switch to another owner and report the open leases to it."""
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
        state.handover = [
            self._send(
                owner,
                messages.methods.ADOPT,
                conversions.write_adoption(state.service, open_lease, now),
            )
            for open_lease in claims
        ]

    async def _acquire_locally(
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
        await _finish_handover(state, request.deadline - self._clock.now())
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
            decision_struct = answer.unwrap()
            state.vote.store_stamp(owner.host, decision_struct.stamp or 0)
            decision = conversions.read_decision(
                decision_struct, self._clock.now()
            )
            return self._record_grant(state.service, decision, owner.host)
        if not isinstance(answer.failure(), failures.Unreachable):
            self._cancel(state, owner, request)
        return await self._acquire_locally(state, request)

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
        """Cancel a request; the owner releases a grant already sent for it."""
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
    ) -> asyncio.Task[typing.Any]:
        calls = self.find_calls(owner)
        work = calls.send(method, struct, _CALL_SECONDS)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _finish_handover(state: ServiceState, seconds: float) -> None:
    """Wait until a new owner knows the open leases of this host.

    It could otherwise grant a slot that is in use.

    :param seconds: longest wait.
    """
    if state.handover:
        _, pending = await asyncio.wait(
            state.handover, timeout=max(seconds, 0.0)
        )
        state.handover = list(pending)


def create_client(
    identity: HostIdentity,
    ownership: interfaces.Ownership,
    owned: owners.OwnerTable,
    pool: links.LinkPool,
    clock: clocks.Clock,
    region: identifiers.RegionName | None = None,
) -> AllocationClient:
    """Return a client of the owners listed by ``ownership``.

    :param owned: allocators that run on this host.
    :param region: region whose allocators are called; ``None`` stands for the
        region of this host.
    """
    return AllocationClient(
        identity,
        identity.region if region is None else region,
        ownership,
        owned,
        pool,
        clock,
    )
