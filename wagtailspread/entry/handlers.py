"""RPC handlers of an owner host: slots, leases and announcements."""

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.entry import conversions, owners
from wagtailspread.wire import listeners, messages


class MalformedCall(failures.Failure):
    """A field of a call has an invalid value."""


class OwnerHandlers:
    """Gives other hosts access to the allocators of this host."""

    def __init__(
        self, owner_table: owners.OwnerTable, clock: clocks.Clock
    ) -> None:
        """Store the collaborators.

        :param owner_table: allocators of the services that this host owns.
        """
        self._owner_table = owner_table
        self._clock = clock

    def register(self, listener: listeners.Listener) -> None:
        """Register the methods of an owner with ``listener``."""
        structs = messages.structs
        methods = messages.methods
        listener.add(methods.ACQUIRE, structs.AcquireSlot, self.acquire)
        listener.add(methods.RELEASE, structs.ReleaseSlots, self.release)
        listener.add(methods.CANCEL, structs.CancelRequest, self.cancel)
        listener.add(methods.ANNOUNCE, structs.AnnounceUpstream, self.announce)
        listener.add(methods.HELLO, structs.Heartbeat, self.answer_heartbeat)
        listener.add(methods.ADOPT, structs.AdoptLease, self.adopt)
        listener.add(
            methods.LIST_UPSTREAMS,
            structs.ListUpstreams,
            self.list_upstreams,
        )

    async def acquire(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Answer one slot request once the allocator has decided on it.

        :returns: :class:`MalformedCall` for invalid fields.
        """
        try:
            request = conversions.read_request(
                struct,
                call.peer.host,
                self._clock.now(),
            )
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._owner_table.find(service)
        allocator.record_vote(call.peer.host, struct.vote_stamp or 0)
        decision = await allocator.acquire(request)
        answer = conversions.write_decision(
            decision,
            self._clock.now(),
            allocator.issue_stamp(),
        )
        return result.Success(answer)

    async def release(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Process a batch of completions."""
        completions = conversions.read_release(struct)
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._owner_table.find(service)
        allocator.record_vote(call.peer.host, struct.vote_stamp or 0)
        for completion in completions:
            allocator.complete(completion)
        return result.Success(messages.structs.Empty())

    async def cancel(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Remove a request for which the calling host no longer waits."""
        service = identifiers.ServiceName(struct.service_name)
        self._owner_table.find(service).cancel(
            identifiers.RequestId(struct.request),
            call.peer.host,
        )
        return result.Success(messages.structs.Empty())

    async def announce(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Process an announcement that another host forwarded."""
        try:
            announcement = conversions.read_announcement(struct)
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        self._owner_table.find(announcement.service).announce(announcement)
        return result.Success(messages.structs.Empty())

    async def answer_heartbeat(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Record a vote; return the ages of upstream rows and the ejections."""
        service = identifiers.ServiceName(struct.service_name or '')
        if not service:
            return result.Success(messages.structs.HeartbeatAnswer(stamp=0))
        allocator = self._owner_table.find(service)
        allocator.record_vote(call.peer.host, struct.vote_stamp or 0)
        allocator.adopt_ejections(struct.ejected or [])
        now = self._clock.now()
        answer = messages.structs.HeartbeatAnswer(
            stamp=allocator.issue_stamp(),
            table_digest=allocator.rows.compute_digest(now),
            ages_ms=allocator.rows.list_ages_ms(now),
            ejected=allocator.list_ejected(),
        )
        return result.Success(answer)

    async def adopt(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Adopt a lease that the calling host holds."""
        try:
            claim = conversions.read_adoption(
                struct,
                call.peer.host,
                self._clock.now(),
            )
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        self._owner_table.find(service).adopt(claim)
        return result.Success(messages.structs.Empty())

    async def list_upstreams(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Return the upstream rows that a host uses if the owner fails."""
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._owner_table.find(service)
        listed = allocator.rows.list_rows(self._clock.now())
        answer = messages.structs.UpstreamList(
            upstreams=[conversions.write_announcement(row) for row in listed],
            ejected=allocator.list_ejected(),
        )
        return result.Success(answer)
