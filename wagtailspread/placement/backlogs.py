"""Gives free slots to queued requests, and ends the wait of the others."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.placement import admissions, leases, messages, queues

#: Time without a poll after which a queued request or a stored decision is
#: dropped, in seconds; hosts poll several times a second.
ABANDON_SECONDS = 1.0
#: Maximum number of requests that no upstream takes, of those that a service
#: tries in one tick. Rating 260 upstreams takes about a millisecond.
MAX_FAILED_TRIES = 8

_Decided = list[tuple[leases.WaitingRequest, messages.Answer]]


class Decider(typing.Protocol):
    """Decides on single requests."""

    def decide_waiting(
        self, entry: leases.WaitingRequest, now: float
    ) -> messages.Answer | None:
        """Return the decision on a queued request, if there is one."""

    def is_held(self, request: messages.PlacementRequest, now: float) -> bool:
        """Tell whether no upstream may get a request now."""

    def abandon(self, entry: leases.WaitingRequest, now: float) -> None:
        """Drop a queued request that its host does not ask for any more."""

    def refuse(
        self,
        entry: leases.WaitingRequest,
        decision: messages.Decision,
        now: float,
    ) -> messages.Answer:
        """Return a refusal with the time after which to come again."""


class Backlog:
    """Processes the queues of an allocator. Use :func:`create_backlog`."""

    def __init__(
        self,
        queue_table: queues.QueueTable,
        admission: admissions.Admission,
        decider: Decider,
    ) -> None:
        """Create it on a table of queues."""
        self._queues = queue_table
        self._admission = admission
        self._decider = decider

    def process(self, now: float) -> _Decided:
        """Remove and return the requests that are decided now."""
        decided: _Decided = []
        for service, queue in self._queues.list_queues():
            if self._admission.is_sweep_due(queue, now):
                self._sweep(service, queue, decided, now)
            if self._admission.capacities.has_upstream(service, now):
                self._try_held(queue, decided, now)
                self._serve(service, queue, decided, now)
            else:
                self._refuse_all(queue, decided, now)
        return decided

    def _sweep(
        self,
        service: identifiers.ServiceName,
        queue: queues.ServiceQueue,
        decided: _Decided,
        now: float,
    ) -> None:
        """Refuse what can't end in time, and drop what nobody asks for."""
        for entry in (*queue.list_ordered(), *queue.held.values()):
            if now - entry.polled_at > ABANDON_SECONDS:
                self._decider.abandon(entry, now)
        no_room = messages.Decision.NO_ROOM
        for refused in self._admission.sweep(service, now):
            answer = self._decider.refuse(refused, no_room, now)
            self._decide(refused, answer, decided)

    def _refuse_all(
        self, queue: queues.ServiceQueue, decided: _Decided, now: float
    ) -> None:
        """Refuse the requests of a service that has lost its upstreams."""
        no_upstream = messages.Decision.NO_UPSTREAM
        for entry in (*queue.list_ordered(), *queue.held.values()):
            answer = self._decider.refuse(entry, no_upstream, now)
            self._decide(entry, answer, decided)

    def _serve(
        self,
        service: identifiers.ServiceName,
        queue: queues.ServiceQueue,
        decided: _Decided,
        now: float,
    ) -> None:
        """Give the free slots of a service to its queue.

        If most slots are free, the first request waits by its own choice of an
        upstream, and the others wait behind it.
        """
        capacities = self._admission.capacities
        tries = MAX_FAILED_TRIES if capacities.is_short(service, now) else 1
        queue.allow_first()
        while tries and capacities.has_free(service, now):
            entry = self._pick(queue, now)
            if entry is None:
                break
            answer = self._decider.decide_waiting(entry, now)
            if answer is not None:
                self._decide(entry, answer, decided)
            elif self._decider.is_held(entry.request, now):
                self._queues.move(entry, entry.order, now, is_held=True)
            else:
                tries -= 1
                queue.record_try(entry, now)

    def _pick(
        self, queue: queues.ServiceQueue, now: float
    ) -> leases.WaitingRequest | None:
        """Return the first request to try; drop what nobody asks for."""
        while True:
            entry = queue.pick(now)
            if entry is None or now - entry.polled_at <= ABANDON_SECONDS:
                return entry
            self._decider.abandon(entry, now)

    def _try_held(
        self, queue: queues.ServiceQueue, decided: _Decided, now: float
    ) -> None:
        """Decide on the requests that no upstream could get before."""
        for entry in list(queue.held.values()):
            if self._decider.is_held(entry.request, now):
                continue
            answer = self._decider.decide_waiting(entry, now)
            if answer is None:
                self._queues.move(entry, entry.order, now)
            else:
                self._decide(entry, answer, decided)

    def _decide(
        self,
        entry: leases.WaitingRequest,
        answer: messages.Answer,
        decided: _Decided,
    ) -> None:
        self._queues.pop(entry.request.request_id)
        decided.append((entry, answer))


def create_backlog(
    queue_table: queues.QueueTable,
    admission: admissions.Admission,
    decider: Decider,
) -> Backlog:
    """Return the processing of a table of queues."""
    return Backlog(queue_table, admission, decider)
