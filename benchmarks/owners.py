"""The mechanism of the fleet: one allocator that owns all slots."""

import random as random_module

from benchmarks import replays, workloads
from wagtailspread.allocation import coordination
from wagtailspread.core import identifiers, outcomes

#: Failure domain of the host that runs the allocator.
_OWNER_DOMAIN = 0
_ANNOUNCE_SECONDS = 1.0
_TICK_SECONDS = 0.01
_QUEUE_LIMIT = 5000


class OwnerPerService:
    """Hosts ask the allocator, talk to upstreams and return their leases."""

    def __init__(self, replay: replays.Replay, seed: int) -> None:
        """Start with an allocator that knows no upstream."""
        self._replay = replay
        self._jobs: dict[identifiers.RequestId, workloads.Job] = {}
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
            if isinstance(decision, coordination.Grant):
                self._call_owner(job, self._use, job, decision)

    def _use(self, job: workloads.Job, grant: coordination.Grant) -> None:
        started = self._replay.agenda.now

        def finish(is_success: bool) -> None:
            result = outcomes.ExchangeResult.ERROR
            if is_success:
                result = outcomes.ExchangeResult.SUCCESS
            seconds = self._replay.agenda.now - started
            completion = coordination.Completion(grant.lease, result, seconds)
            self._call_owner(job, self._complete, completion)
            if not is_success:
                self._call_owner(job, self._submit, job, (grant.upstream,))

        upstream = self._replay.upstreams[int(grant.upstream)]
        self._replay.exchange(job, upstream, finish)

    def _complete(self, completion: coordination.Completion) -> None:
        self.coordinator.complete(completion, self._replay.agenda.now)
        self._tick()
