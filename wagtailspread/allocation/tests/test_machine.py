"""Stateful property test of an allocator with messages in any order."""

import collections
import dataclasses
import math

from hypothesis import settings, stateful
from hypothesis import strategies

from wagtailspread.allocation import coordination, dispatch, tables
from wagtailspread.allocation.tests import builders
from wagtailspread.core import outcomes, priorities

UPSTREAMS = 4
#: Time after which a duplicate may be treated as a new request, in seconds.
RETENTION_SECONDS = 3
PRIORITIES = strategies.sampled_from(list(priorities.Priority))
RESULTS = strategies.sampled_from(list(outcomes.ExchangeResult))
CHOICES = strategies.integers(0, 1000)
NUMBERS = strategies.integers(0, UPSTREAMS - 1)
DOMAINS = strategies.sampled_from(['d0', 'd1'])
STATES = strategies.sampled_from(list(coordination.UpstreamState))


class FlakyJudge(coordination.AcceptingJudge):
    """Ejects upstreams on request, with at most one trial per ejection."""

    def __init__(self):
        self.ejected = set()
        self.trials = set()
        self.claimed = set()

    def is_usable(self, upstream, domain, now):
        return upstream not in self.ejected

    def claim_trial(self, upstream, now):
        if upstream not in self.trials:
            return False
        self.trials.discard(upstream)
        self.claimed.add(upstream)
        return True


class Upstream:
    """State of an upstream according to its announcements."""

    def __init__(self):
        self.incarnation = 0
        self.announced_at = -math.inf
        self.draining_at = -math.inf

    def apply(self, message, sent, now):
        """Update the state from an announcement, by the documented rules."""
        is_silent = now - self.announced_at > tables.ROW_EXPIRY_SECONDS
        if message.incarnation < self.incarnation and not is_silent:
            return
        if message.incarnation != self.incarnation:
            self.incarnation = message.incarnation
            self.draining_at = -math.inf
        self.announced_at = max(self.announced_at, sent)
        if message.state is coordination.UpstreamState.DRAINING:
            self.draining_at = max(self.draining_at, sent)

    def is_active(self, now):
        """Return whether the row has not expired and is not draining."""
        limit = tables.ROW_EXPIRY_SECONDS
        return now - self.announced_at <= limit < now - self.draining_at


class AllocatorMachine(stateful.RuleBasedStateMachine):
    """Sends messages, also duplicated or late, and checks each decision."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.judge = FlakyJudge()
        self.allocator = builders.make_coordinator(
            self.judge,
            queue_limits=(5, 5, 5),
            warm_up=2.0,
            retry_share=1.0,
        )
        self.add_lease = self.allocator.leases.add
        self.allocator.leases.add = self.check_lease
        self.upstreams = {
            f'u{number}': Upstream() for number in range(UPSTREAMS)
        }
        self.requests = {}
        self.decisions = {}
        self.cancelled = set()
        self.passed = set()
        self.messages = []
        self.number = 0

    def send(self, name, message):
        """Deliver a message, and record it for a duplicate delivery."""
        self.messages.append((name, message, self.now))
        getattr(self.allocator, name)(message, self.now)

    def check_lease(self, lease):
        """Check the state of an upstream when a lease on it is opened."""
        row = lease.row
        if lease.granted_at is not None:
            assert row.in_use < row.usable
            assert self.upstreams[row.upstream].is_active(self.now)
            is_ejected = row.upstream in self.judge.ejected
            assert not is_ejected or row.upstream in self.judge.claimed
            self.judge.claimed.discard(row.upstream)
            self.check_share(lease)
        self.add_lease(lease)

    def check_share(self, lease):
        """No priority above its share is served before one below its share."""
        queues = self.allocator.queues
        if queues.find(lease.request) is None or lease.is_trial:
            return
        shares = self.allocator.shares
        if shares.in_use[lease.priority] <= shares._whole_slots[lease.priority]:
            return
        for other in queues._waiting.values():
            age = self.now - other.submitted_at
            if other.request.excluded or age < dispatch.NEAR_WAIT_SECONDS:
                continue
            priority = other.request.priority
            assert shares.in_use[priority] >= shares._whole_slots[priority]

    def check_conservation(self):
        """No request waits past its deadline or while it could use a slot."""
        selector = self.allocator._selector
        for waiting in self.allocator.queues._waiting.values():
            assert waiting.request.deadline >= self.now
            view = selector.views[waiting.domain]
            assert waiting.request.excluded or not view.has_candidate()

    @stateful.rule(
        number=NUMBERS,
        domain=DOMAINS,
        slots=strategies.integers(0, 6),
        state=STATES,
        incarnation=strategies.integers(0, 2),
    )
    def announce(self, number, domain, slots, state, incarnation):
        message = builders.make_announcement(
            number,
            slots,
            domain,
            state=state,
            incarnation=incarnation,
        )
        self.upstreams[message.upstream].apply(message, self.now, self.now)
        self.send('announce', message)

    @stateful.initialize()
    def begin(self):
        self.announce_all()

    @stateful.rule()
    def announce_all(self):
        for name, upstream in self.upstreams.items():
            message = builders.make_announcement(
                int(name[1:]),
                slots=2,
                incarnation=upstream.incarnation,
            )
            upstream.apply(message, self.now, self.now)
            self.send('announce', message)

    @stateful.rule(
        priority=PRIORITIES,
        domain=DOMAINS,
        count=strategies.sampled_from([6, 3, 1]),
        attempt=strategies.integers(1, 2),
        excluded=strategies.one_of(
            strategies.just(set()),
            strategies.sets(NUMBERS, max_size=2),
        ),
        seconds=strategies.sampled_from([4.0, 1.0, 0.05, -0.1]),
    )
    def submit(self, priority, domain, count, attempt, excluded, seconds):
        """Submit requests and call tick, as the allocator's process does."""
        for _ in range(count):
            self.number += 1
            request = builders.make_request(
                self.number,
                priority,
                domain=domain,
                attempt=attempt,
                deadline=self.now + seconds,
                fingerprint=bytes([self.number % 5]),
                excluded=tuple(f'u{number}' for number in sorted(excluded)),
            )
            self.requests[request.request] = request
            self.send('submit', request)
        self.tick(0.0)

    @stateful.precondition(lambda machine: machine.requests)
    @stateful.rule(choice=CHOICES)
    def cancel(self, choice):
        names = list(self.requests)
        name = names[choice % len(names)]
        self.cancelled.add(name)
        self.send('cancel', name)

    @stateful.precondition(lambda machine: machine.decisions)
    @stateful.rule(choice=CHOICES, result=RESULTS)
    def complete(self, choice, result):
        grants = builders.list_grants(self.decisions.values())
        if grants:
            lease = grants[choice % len(grants)].lease
            self.send('complete', coordination.Completion(lease, result, 0.05))
            self.tick(0.0)

    @stateful.precondition(lambda machine: machine.decisions)
    @stateful.rule(choice=CHOICES, next_choice=CHOICES)
    def pass_on(self, choice, next_choice):
        """Start a request on a slot that its host already holds."""
        leases = self.allocator.leases.leases
        open_leases = [
            grant.lease
            for grant in builders.list_grants(self.decisions.values())
            if grant.lease in leases
        ]
        names = self.requests.keys() - self.cancelled
        if not open_leases or not names:
            return
        name = sorted(names)[next_choice % len(names)]
        self.passed.add(name)
        completion = coordination.Completion(
            open_leases[choice % len(open_leases)],
            builders.SUCCESS,
            0.05,
            name,
        )
        self.send('complete', completion)

    @stateful.rule(lease=strategies.integers(1, 9), number=NUMBERS)
    def adopt(self, lease, number):
        claim = coordination.AdoptedLease(
            lease,
            'h2',
            f'u{number}',
            self.now + 0.5,
        )
        self.send('adopt', claim)

    @stateful.rule(lease=strategies.integers(1, 99))
    def complete_unknown(self, lease):
        completion = coordination.Completion(lease, builders.SUCCESS, 0.05)
        self.send('complete', completion)

    @stateful.precondition(lambda machine: machine.messages)
    @stateful.rule(choice=CHOICES)
    def repeat(self, choice):
        """Deliver a duplicate of a message up to 3 s late."""
        name, message, sent = self.messages[-1 - choice % len(self.messages)]
        if self.now - sent > RETENTION_SECONDS:
            return
        if name == 'announce':
            message = dataclasses.replace(message, age=self.now - sent)
            upstream = self.upstreams[message.upstream]
            upstream.apply(message, sent, self.now)
        getattr(self.allocator, name)(message, self.now)

    @stateful.rule(number=NUMBERS, has_trial=strategies.booleans())
    def eject(self, number, has_trial):
        self.judge.ejected.add(f'u{number}')
        if has_trial:
            self.judge.trials.add(f'u{number}')

    @stateful.rule(number=NUMBERS)
    def readmit(self, number):
        self.judge.ejected.discard(f'u{number}')

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.2, 1.0, 2.6]))
    def tick(self, seconds):
        self.now += seconds
        for decision in self.allocator.tick(self.now):
            self.check_decision(decision)
        self.check_conservation()

    def check_decision(self, decision):
        """Each decision equals the first one about its request."""
        name = decision.request
        if name not in self.passed:
            assert self.decisions.setdefault(name, decision) == decision
        assert name not in self.cancelled
        if isinstance(decision, coordination.Grant):
            excluded = self.requests[name].excluded
            assert name in self.passed or decision.upstream not in excluded

    @stateful.invariant()
    def slots_are_counted_once(self):
        """In all tables, the slots in use are those of the open leases."""
        leases = self.allocator.leases.leases.values()
        counted = collections.Counter(lease.row.upstream for lease in leases)
        for row in self.allocator.table.rows.values():
            assert row.in_use == counted[row.upstream]
        assert sum(self.allocator.shares.in_use) == len(leases)

    @stateful.invariant()
    def queues_are_bounded(self):
        """Queues do not exceed their limits, and their counts are correct."""
        queues = self.allocator.queues
        assert max(queues.counts) <= 5
        assert sum(queues.counts) == len(queues)

    def teardown(self):
        """Every request that was not cancelled has a decision."""
        for _ in range(12):
            self.tick(0.5)
        undecided = self.requests.keys() - self.decisions.keys()
        assert undecided <= self.cancelled | self.passed
        assert not len(self.allocator.queues)
        assert not self.allocator.leases.leases


TestAllocator = AllocatorMachine.TestCase
TestAllocator.settings = settings(max_examples=200, stateful_step_count=50)
