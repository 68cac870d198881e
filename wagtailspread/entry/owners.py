"""The allocators that this host owns, and the calls that wait for them.

A coordinator is ticked when requests arrive and by a timer, which runs more
often while requests wait. A request decided by the tick of its own arrival is
answered without another iteration of the event loop.

See also: :mod:`wagtailspread.entry.allocations`, the client.
"""

import asyncio
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, failures, identifiers, outcomes
from wagtailspread.entry import announcements, interfaces, rows, slots
from wagtailspread.entry import votes

#: Interval between ticks while requests wait, in seconds.
TICK_SECONDS = 0.005
#: Interval between ticks of an idle allocator, in seconds.
IDLE_TICK_SECONDS = 0.1
#: Interval between removals of leases that expired without a completion, in
#: seconds.
PURGE_SECONDS = 1.0

_log = logbook.Logger('owners')

Decision = result.Result[slots.Grant, failures.Refusal]


class OwnedAllocator:
    """One coordinator and the calls that wait for its decisions.

    :param coordinator: decides the requests; called from one event loop only.
    :param register: receives the vote in every message of a host that casts
        one, and stores the ejections; ``None`` if there are no votes.
    """

    def __init__(
        self,
        coordinator: interfaces.Coordinator,
        register: interfaces.VoteRegister | None,
        clock: clocks.Clock,
    ) -> None:
        """Start without waiting requests."""
        self.coordinator = coordinator
        self._register = register
        self._clock = clock
        self._waiting: dict[
            identifiers.RequestId,
            asyncio.Future[Decision],
        ] = {}
        self._lease_ids: dict[identifiers.RequestId, identifiers.LeaseId] = {}
        #: Hosts of the requests that wait or hold a lease.
        self._hosts: dict[identifiers.RequestId, identifiers.HostId] = {}
        self._grants: dict[identifiers.LeaseId, typing.Any] = {}
        self._purged_at = clock.now()
        self.rows = rows.RowTable()
        self._stamps = votes.StampIssuer(clock)
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle = True
        self._submitted: identifiers.RequestId | None = None
        self._immediate_decision: Decision | None = None

    @property
    def open_leases(self) -> int:
        """Return the number of grants without a completion."""
        return len(self._grants)

    @property
    def waiting(self) -> int:
        """Return the number of undecided requests."""
        return len(self._waiting)

    async def acquire(self, request: slots.SlotRequest) -> Decision:
        """Return the decision on one request.

        If this call is cancelled, the request is cancelled too, and a grant
        decided in the meantime is released as unused.
        """
        self._submitted = request.request
        self._hosts[request.request] = request.host
        self._immediate_decision = None
        self.coordinator.submit(request, self._clock.now())
        self.tick()
        self._submitted = None
        if self._immediate_decision is not None:
            return self._immediate_decision
        answer: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[request.request] = answer
        self._tick_soon()
        try:
            return await answer
        except asyncio.CancelledError:
            self._withdraw(request.request, answer)
            raise

    def cancel(
        self,
        request: identifiers.RequestId,
        host: identifiers.HostId,
    ) -> None:
        """Cancel a request for which its host no longer waits.

        A grant that the host cannot have received is released as unused.

        :param host: that cancels; the request of another host is left alone.
        """
        submitted_by = self._hosts.get(request)
        if submitted_by is not None and submitted_by != host:
            _log.warning(
                'foreign request not cancelled',
                extra={'request': request, 'peer': host},
            )
            return
        self._hosts.pop(request, None)
        lease = self._lease_ids.get(request)
        if lease is not None:
            self._release_unused(lease, self._clock.now())
            self.tick()
            return
        answer = self._waiting.pop(request, None)
        if answer is not None and not answer.done():
            refusal = failures.Refusal(
                request,
                outcomes.RefusalReason.DEADLINE_UNREACHABLE,
            )
            answer.set_result(result.Failure(refusal))
        self.coordinator.cancel(request, self._clock.now())
        self.tick()

    def complete(self, completion: slots.Completion) -> None:
        """Release a lease and grant its slot to a waiting request."""
        self._remove_lease(completion.lease)
        self.coordinator.complete(completion, self._clock.now())
        if self._waiting:
            self.tick()

    def announce(self, announcement: slots.Announcement) -> None:
        """Record an announcement unless it contradicts an unexpired row."""
        now = self._clock.now()
        known = self.rows.find(announcement.upstream, now)
        if known is not None and announcements.find_conflict(
            announcement,
            known.announcement,
        ):
            return
        if not self.rows.record(announcement, now):
            return
        self.coordinator.announce(announcement, self._clock.now())
        self.tick()

    def adopt(self, claim: slots.LeaseClaim) -> None:
        """Adopt a lease that an earlier allocator granted."""
        self.coordinator.adopt(claim, self._clock.now())

    def adopt_ejections(
        self,
        ejected: typing.Sequence[identifiers.UpstreamId],
    ) -> None:
        """Adopt ejections that a host learned from an earlier owner."""
        if self._register is not None and ejected:
            self._register.adopt(ejected, self._clock.now())

    def list_ejected(self) -> list[identifiers.UpstreamId]:
        """Return the ejected upstreams; hosts report them to a new owner."""
        if self._register is None:
            return []
        return self._register.find_ejected()

    def issue_stamp(self) -> int:
        """Return the stamp that a vote for this allocator must contain."""
        return self._stamps.issue()

    def record_vote(self, host: identifiers.HostId, stamp: int) -> None:
        """Renew the vote of ``host`` as of the time its stamp was issued."""
        issued_at = self._stamps.read(host, stamp)
        if issued_at is not None and self._register is not None:
            self._register.record_vote(host, issued_at)

    def tick(self) -> None:
        """Run the coordinator and deliver its decisions."""
        now = self._clock.now()
        for decision in self.coordinator.tick(now):
            self._deliver(decision, now)
        if now - self._purged_at >= PURGE_SECONDS:
            self._purge(now)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _deliver(self, decision: typing.Any, now: float) -> None:
        if decision.request == self._submitted:
            self._immediate_decision = self._record_decision(decision)
            return
        answer = self._waiting.pop(decision.request, None)
        if isinstance(decision, failures.Refusal):
            self._hosts.pop(decision.request, None)
            if answer is not None and not answer.done():
                answer.set_result(result.Failure(decision))
            return
        if answer is None or answer.done():
            self._release_unused(decision.lease, now)
            return
        answer.set_result(self._record_decision(decision))

    def _record_decision(self, decision: typing.Any) -> Decision:
        if isinstance(decision, failures.Refusal):
            self._hosts.pop(decision.request, None)
            return result.Failure(decision)
        self._lease_ids[decision.request] = decision.lease
        self._grants[decision.lease] = decision
        return result.Success(decision)

    def _withdraw(
        self,
        request: identifiers.RequestId,
        answer: asyncio.Future[Decision],
    ) -> None:
        if self._waiting.pop(request, None) is not None:
            self._hosts.pop(request, None)
            self.coordinator.cancel(request, self._clock.now())
        elif answer.done() and not answer.cancelled():
            decision = answer.result()
            if isinstance(decision, result.Success):
                self._release_unused(
                    decision.unwrap().lease,
                    self._clock.now(),
                )

    def _release_unused(self, lease: identifiers.LeaseId, now: float) -> None:
        self._remove_lease(lease)
        ended = outcomes.ExchangeResult.CANCELLED
        self.coordinator.complete(slots.Completion(lease, ended, 0.0), now)

    def _remove_lease(self, lease: identifiers.LeaseId) -> None:
        grant = self._grants.pop(lease, None)
        if grant is not None:
            self._lease_ids.pop(grant.request, None)
            self._hosts.pop(grant.request, None)

    def _purge(self, now: float) -> None:
        """Remove expired leases, whose hosts have failed."""
        self._purged_at = now
        for grant in list(self._grants.values()):
            if grant.expires <= now:
                self._remove_lease(grant.lease)

    def start(self) -> None:
        """Start the timer of regular ticks."""
        if self._timer is None:
            self._schedule(IDLE_TICK_SECONDS)

    def _tick_soon(self) -> None:
        """Schedule the next tick after :data:`TICK_SECONDS`."""
        if self._timer is not None and not self._is_idle:
            return
        self.close()
        self._schedule(TICK_SECONDS)

    def _schedule(self, delay: float) -> None:
        self._is_idle = delay > TICK_SECONDS
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._run_timer)

    def _run_timer(self) -> None:
        self._timer = None
        self.tick()
        self._schedule(TICK_SECONDS if self._waiting else IDLE_TICK_SECONDS)


#: Creates the coordinator of a service, and its vote register.
AllocatorFactory = typing.Callable[
    [identifiers.ServiceName],
    tuple[interfaces.Coordinator, interfaces.VoteRegister | None],
]


class OwnerTable:
    """The allocators of this host, created on first use."""

    def __init__(
        self,
        create_coordinator: AllocatorFactory,
        clock: clocks.Clock,
    ) -> None:
        """Start without allocators."""
        self._create_coordinator = create_coordinator
        self._clock = clock
        self._allocators: dict[identifiers.ServiceName, OwnedAllocator] = {}

    def find(self, service: identifiers.ServiceName) -> OwnedAllocator:
        """Return the allocator of ``service``."""
        allocator = self._allocators.get(service)
        if allocator is None:
            coordinator, register = self._create_coordinator(service)
            allocator = OwnedAllocator(coordinator, register, self._clock)
            allocator.start()
            self._allocators[service] = allocator
        return allocator

    def close(self) -> None:
        """Stop all timers."""
        for allocator in self._allocators.values():
            allocator.close()
