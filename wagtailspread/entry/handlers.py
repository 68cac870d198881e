"""Wire handlers of the owner's side: slots, leases, announcements."""

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.entry import decisions, owners
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

    async def acquire(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Answer one slot request when it is decided."""
        try:
            request = decisions.read_request(struct, self._clock.now())
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._own.find(service)
        allocator.note_vote(call.peer.host)
        decision = await allocator.acquire(request)
        answer = decisions.write_decision(decision, self._clock.now())
        return result.Success(answer)

    async def release(
        self,
        call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Take a batch of completions."""
        try:
            completions = decisions.read_release(struct)
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        service = identifiers.ServiceName(struct.service_name)
        allocator = self._own.find(service)
        allocator.note_vote(call.peer.host)
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
            announcement = decisions.read_announcement(struct)
        except (TypeError, ValueError):
            return result.Failure(MalformedCall())
        self._own.find(announcement.service).announce(announcement)
        return result.Success(messages.structs.Empty())
