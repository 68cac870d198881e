"""Wire handlers of the owner's side: slots, leases, announcements."""

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.entry import conversions, owners
from wagtailspread.wire import listeners, messages


class MalformedCall(failures.Failure):
    """A field of a call has no valid meaning."""


class OwnerHandlers:
    """Serves the allocators of this host to other hosts."""

    def __init__(self, own: owners.OwnerTable, clock: clocks.Clock) -> None:
        """Keep the allocators."""
        self._own = own
        self._clock = clock

    def register(self, listener: listeners.Listener) -> None:
        """Serve the methods of an owner on ``listener``."""
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
        """Answer one slot request when it is decided."""
        try:
            request = conversions.read_request(
                struct,
                call.peer.host,
                self._clock.now(),
            )
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._own.find(service)
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
        """Take a batch of completions."""
        try:
            completions = conversions.read_release(struct)
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._own.find(service)
        allocator.record_vote(call.peer.host, struct.vote_stamp or 0)
        for completion in completions:
            allocator.complete(completion)
        return result.Success(messages.structs.Empty())

    async def cancel(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Drop a request that its host no longer waits for."""
        service = identifiers.ServiceName(struct.service_name)
        self._own.find(service).cancel(identifiers.RequestId(struct.request))
        return result.Success(messages.structs.Empty())

    async def announce(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Take an announcement that another host forwards."""
        try:
            announcement = conversions.read_announcement(struct)
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        self._own.find(announcement.service).announce(announcement)
        return result.Success(messages.structs.Empty())

    async def answer_heartbeat(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Renew a vote and return the ages of the upstreams' rows."""
        service = identifiers.ServiceName(struct.service_name or '')
        if not service:
            return result.Success(messages.structs.HeartbeatAnswer(stamp=0))
        allocator = self._own.find(service)
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
        """Take over a lease that the calling host holds."""
        claim = conversions.read_adoption(
            struct,
            call.peer.host,
            self._clock.now(),
        )
        service = identifiers.ServiceName(struct.service_name)
        self._own.find(service).adopt(claim)
        return result.Success(messages.structs.Empty())

    async def list_upstreams(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Return the rows that a host falls back to."""
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._own.find(service)
        listed = allocator.rows.list_rows(self._clock.now())
        answer = messages.structs.UpstreamList(
            upstreams=[conversions.write_announcement(row) for row in listed],
            ejected=allocator.list_ejected(),
        )
        return result.Success(answer)
