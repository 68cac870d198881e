"""The mechanism of the fleet: one allocator that owns all slots."""

import random as random_module

from benchmarks import replays, workloads
from wagtailspread.allocation import coordination
from wagtailspread.core import identifiers, outcomes, priorities

#: Failure domain of the host that runs the allocator.
_OWNER_DOMAIN = 0
_ANNOUNCE_SECONDS = 1.0
_TICK_SECONDS = 0.01
_QUEUE_LIMIT = 5000
_MEAN_WEIGHT = 1 / 16
#: Mean service times that a request passed on needs until its deadline.
_SPARE = 2.0


class OwnerPerService:
    """Hosts ask the allocator, talk to upstreams and return their leases."""

    def __init__(
        self,
        replay: replays.Replay,
        seed: int,
        *,
        can_pass: bool,
    ) -> None:
        """Start with an allocator that knows no upstream.

        :param can_pass: whether hosts pass leases on to their own requests.
        """
        self._replay = replay
        self._can_pass = can_pass
        self._jobs: dict[identifiers.RequestId, workloads.Job] = {}
        self._mean = replay.site.service_seconds
        # By host and priority: requests that wait for a decision, by number.
        self._waiting: list[list[dict[int, workloads.Job]]] = [
            [{} for _ in priorities.Priority] for _ in range(replay.site.hosts)
        ]
        self.coordinator = coordination.create_coordinator(
            coordination.AllocationPolicy(
                shares=replay.site.shares,
                queue_limits=(_QUEUE_LIMIT, _QUEUE_LIMIT, _QUEUE_LIMIT),
            ),
            coordination.AcceptingJudge(),
            random_module.Random(seed),
        )

    def start(self) -> None:
        """Announce the upstreams, and tick from then on."""
        self._announce()
        self._tick_again()

    def accept(self, job: workloads.Job) -> None:
        """Ask the allocator for a slot."""
        self._jobs[self._name(job)] = job
        self._waiting[job.host][job.priority][job.number] = job
        self._call_owner(job, self._submit, job, ())

    def _name(self, job: workloads.Job) -> identifiers.RequestId:
        return identifiers.RequestId(f'r{job.number}')

    def _call_owner(self, job: workloads.Job, *call: object) -> None:
        delay = self._replay.site.delay(job.domain, _OWNER_DOMAIN)
        self._replay.agenda.call_later(delay, *call)  # type: ignore[arg-type]

    def _announce(self) -> None:
        site = self._replay.site
        for upstream in self._replay.upstreams:
            announcement = coordination.Announcement(
                service=identifiers.ServiceName(site.name),
                upstream=identifiers.UpstreamId(str(upstream.number)),
                address=identifiers.Address('127.0.0.1:1'),
                region=identifiers.RegionName('r'),
                domain=identifiers.FailureDomain(f'd{upstream.domain}'),
                slots=site.slots,
                connections=400,
            )
            self.coordinator.announce(announcement, self._replay.agenda.now)
        self._replay.agenda.call_later(_ANNOUNCE_SECONDS, self._announce)

    def _tick_again(self) -> None:
        self._tick()
        self._replay.agenda.call_later(_TICK_SECONDS, self._tick_again)

    def _submit(
        self,
        job: workloads.Job,
        excluded: tuple[identifiers.UpstreamId, ...],
    ) -> None:
        request = coordination.SlotRequest(
            request=self._name(job),
            host=identifiers.HostId(f'h{job.host}'),
            domain=identifiers.FailureDomain(f'd{job.domain}'),
            priority=job.priority,
            deadline=job.deadline,
            attempt=job.attempts + 1,
            excluded=excluded,
        )
        self.coordinator.submit(request, self._replay.agenda.now)
        self._tick()

    def _tick(self) -> None:
        for decision in self.coordinator.tick(self._replay.agenda.now):
            job = self._jobs[decision.request]
            self._call_owner(job, self._receive, job, decision)

    def _receive(
        self,
        job: workloads.Job,
        decision: coordination.Decision,
    ) -> None:
        waiting = self._waiting[job.host][job.priority]
        is_waiting = waiting.pop(job.number, None) is not None
        if not isinstance(decision, coordination.Grant):
            return
        if is_waiting:
            self._use(job, decision)
        else:
            # The host has begun it on a slot that was passed on.
            result = outcomes.ExchangeResult.CANCELLED
            completion = coordination.Completion(decision.lease, result, 0.0)
            self._call_owner(job, self._complete, completion)

    def _use(self, job: workloads.Job, grant: coordination.Grant) -> None:
        started = self._replay.agenda.now

        def finish(is_success: bool) -> None:
            result = outcomes.ExchangeResult.ERROR
            if is_success:
                result = outcomes.ExchangeResult.SUCCESS
            seconds = self._replay.agenda.now - started
            successor = None
            if is_success:
                successor = self._find_successor(job, grant, seconds)
            completion = coordination.Completion(
                grant.lease,
                result,
                seconds,
                self._name(successor) if successor else None,
            )
            self._call_owner(job, self._complete, completion)
            if successor is not None:
                self._use(successor, grant)
            if not is_success:
                waiting = self._waiting[job.host][job.priority]
                waiting[job.number] = job
                self._call_owner(job, self._submit, job, (grant.upstream,))

        upstream = self._replay.upstreams[int(grant.upstream)]
        self._replay.exchange(job, upstream, finish)

    def _find_successor(
        self,
        job: workloads.Job,
        grant: coordination.Grant,
        seconds: float,
    ) -> workloads.Job | None:
        """Take out the oldest request of the host that may go on."""
        self._mean += _MEAN_WEIGHT * (seconds - self._mean)
        now = self._replay.agenda.now
        if now >= grant.pass_until or not self._can_pass:
            return None
        waiting = self._waiting[job.host][job.priority]
        for number, candidate in waiting.items():
            is_timely = now + _SPARE * self._mean <= candidate.deadline
            if is_timely and not candidate.attempts:
                return waiting.pop(number)
        return None

    def _complete(self, completion: coordination.Completion) -> None:
        self.coordinator.complete(completion, self._replay.agenda.now)
        self._tick()
