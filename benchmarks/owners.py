"""Mechanism of the fleet: one allocator that owns all slots of a service."""

import random as random_module

from benchmarks import replays, workloads
from wagtailspread.allocation import coordination
from wagtailspread.core import identifiers, outcomes, priorities

#: Failure domain of the host that runs the allocator.
_OWNER_DOMAIN = 0
_ANNOUNCEMENT_INTERVAL_SECONDS = 1.0
_TICK_INTERVAL_SECONDS = 0.01
_QUEUE_LIMIT = 5000
#: Weight of the newest service time in the moving average.
_MEAN_WEIGHT = 1 / 16
#: Minimum time until the deadline of a request that a lease is passed on to, in
#: mean service times.
_MIN_REMAINING_SERVICE_TIMES = 2.0


class OwnerPerService:
    """Hosts request leases, send requests to upstreams and return the leases.

    Messages between a host and the allocator take the one-way delay between
    their failure domains.
    """

    def __init__(
        self,
        replay: replays.Replay,
        seed: int,
        *,
        can_pass: bool,
    ) -> None:
        """Start with an allocator without upstreams.

        :param can_pass: whether a host may pass a lease on to another of its
            requests.
        """
        self._replay = replay
        self._can_pass = can_pass
        self._jobs_by_request: dict[identifiers.RequestId, workloads.Job] = {}
        self._mean_seconds = replay.site.service_seconds
        # Requests that wait for a decision, by host, priority and number.
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
        """Start the periodic announcements and ticks."""
        self._announce_upstreams()
        self._tick_periodically()

    def accept(self, job: workloads.Job) -> None:
        """Request a slot from the allocator."""
        self._jobs_by_request[self._create_request_id(job)] = job
        self._waiting[job.host][job.priority][job.number] = job
        self._call_after_delay(job, self._submit, job, ())

    def _create_request_id(self, job: workloads.Job) -> identifiers.RequestId:
        return identifiers.RequestId(f'r{job.number}')

    def _call_after_delay(self, job: workloads.Job, *call: object) -> None:
        delay = self._replay.site.find_delay(job.domain, _OWNER_DOMAIN)
        self._replay.scheduler.schedule(delay, *call)  # type: ignore[arg-type]

    def _announce_upstreams(self) -> None:
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
            self.coordinator.announce(announcement, self._replay.scheduler.now)
        self._replay.scheduler.schedule(
            _ANNOUNCEMENT_INTERVAL_SECONDS, self._announce_upstreams
        )

    def _tick_periodically(self) -> None:
        self._tick()
        self._replay.scheduler.schedule(
            _TICK_INTERVAL_SECONDS, self._tick_periodically
        )

    def _submit(
        self,
        job: workloads.Job,
        excluded: tuple[identifiers.UpstreamId, ...],
    ) -> None:
        request = coordination.SlotRequest(
            request=self._create_request_id(job),
            host=identifiers.HostId(f'h{job.host}'),
            domain=identifiers.FailureDomain(f'd{job.domain}'),
            priority=job.priority,
            deadline=job.deadline,
            attempt=job.attempts + 1,
            excluded=excluded,
        )
        self.coordinator.submit(request, self._replay.scheduler.now)
        self._tick()

    def _tick(self) -> None:
        for decision in self.coordinator.tick(self._replay.scheduler.now):
            job = self._jobs_by_request[decision.request]
            self._call_after_delay(job, self._receive_decision, job, decision)

    def _receive_decision(
        self,
        job: workloads.Job,
        decision: coordination.Decision,
    ) -> None:
        waiting = self._waiting[job.host][job.priority]
        is_waiting = waiting.pop(job.number, None) is not None
        if not isinstance(decision, coordination.Grant):
            return
        if is_waiting:
            self._start_exchange(job, decision)
        else:
            # The host has already started the request on a lease that was
            # passed on; it returns this one unused.
            result = outcomes.ExchangeResult.CANCELLED
            completion = coordination.Completion(decision.lease, result, 0.0)
            self._call_after_delay(job, self._complete, completion)

    def _start_exchange(
        self, job: workloads.Job, grant: coordination.Grant
    ) -> None:
        started = self._replay.scheduler.now

        def finish(is_success: bool) -> None:
            result = outcomes.ExchangeResult.ERROR
            if is_success:
                result = outcomes.ExchangeResult.SUCCESS
            seconds = self._replay.scheduler.now - started
            successor = None
            if is_success:
                successor = self._find_successor(job, grant, seconds)
            completion = coordination.Completion(
                grant.lease,
                result,
                seconds,
                self._create_request_id(successor) if successor else None,
            )
            self._call_after_delay(job, self._complete, completion)
            if successor is not None:
                self._start_exchange(successor, grant)
            if not is_success:
                waiting = self._waiting[job.host][job.priority]
                waiting[job.number] = job
                self._call_after_delay(
                    job, self._submit, job, (grant.upstream,)
                )

        upstream = self._replay.upstreams[int(grant.upstream)]
        self._replay.exchange(job, upstream, finish)

    def _find_successor(
        self,
        job: workloads.Job,
        grant: coordination.Grant,
        seconds: float,
    ) -> workloads.Job | None:
        """Remove and return the oldest request that may use the lease next."""
        self._mean_seconds += _MEAN_WEIGHT * (seconds - self._mean_seconds)
        now = self._replay.scheduler.now
        if now >= grant.pass_until or not self._can_pass:
            return None
        waiting = self._waiting[job.host][job.priority]
        for number, candidate in waiting.items():
            is_timely = (
                now + _MIN_REMAINING_SERVICE_TIMES * self._mean_seconds
                <= candidate.deadline
            )
            if is_timely and not candidate.attempts:
                return waiting.pop(number)
        return None

    def _complete(self, completion: coordination.Completion) -> None:
        self.coordinator.complete(completion, self._replay.scheduler.now)
        self._tick()
