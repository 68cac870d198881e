"""State machine test of two allocators for the same service and region."""

import random

from hypothesis import settings, stateful
from hypothesis import strategies as st

from wagtailspread.core import outcomes
from wagtailspread.health import authority, judges, tables

RESULT = outcomes.ExchangeResult
HOSTS = ('h0', 'h1', 'h2', 'h3')
UPSTREAMS = tuple(f'v{number}' for number in range(5))
DOMAINS = ('d0', 'd1')
SLOTS = 3
FLOOR = 0.4
MIN_SLOTS = 6
OWNERS = st.sampled_from((0, 1))
UPSTREAM_SETS = st.sets(st.sampled_from(UPSTREAMS), max_size=3)
VOTER_SETS = st.just(HOSTS) | st.sets(st.sampled_from(HOSTS), min_size=2)


class JudgeMachine(stateful.RuleBasedStateMachine):
    """Checks the floor, and that at most one allocator ejects at a time."""

    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.judges = []
        for _ in range(2):
            policy = judges.HealthPolicy(FLOOR, len(HOSTS), HOSTS[0])
            judge = judges.create_judge(policy, random.Random(1))
            self.judges.append(judge)
        self.ballots = {host: authority.Ballot(self.now - 2) for host in HOSTS}
        self.sent_at = ({}, {})
        self.unready = set()
        self.delayed = []

    def list_capacities(self):
        return [
            tables.Capacity(upstream, SLOTS, upstream not in self.unready)
            for upstream in UPSTREAMS
        ]

    def send_vote(self, host, owner):
        if self.ballots[host].try_vote(str(owner), self.now):
            self.sent_at[owner][host] = self.now
            return True
        return False

    @stateful.rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 1.9, 2.1)))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(hosts=VOTER_SETS, owner=OWNERS)
    def vote(self, hosts, owner):
        for host in hosts:
            if self.send_vote(host, owner):
                self.judges[owner].record_vote(host, self.now)

    @stateful.rule(host=st.sampled_from(HOSTS), owner=OWNERS)
    def vote_on_a_slow_link(self, host, owner):
        if self.send_vote(host, owner):
            self.delayed.append((owner, host, self.now))

    @stateful.rule()
    def deliver_delayed_votes(self):
        for owner, host, sent_at in self.delayed:
            self.judges[owner].record_vote(host, sent_at)
        self.delayed.clear()

    @stateful.rule(host=st.sampled_from(HOSTS))
    def restart_host(self, host):
        self.ballots[host] = authority.Ballot(self.now)

    @stateful.rule(
        owner=OWNERS,
        faulty=UPSTREAM_SETS,
        voters=VOTER_SETS,
        result=st.sampled_from((RESULT.ERROR, RESULT.RESET)),
    )
    def record_results(self, owner, faulty, voters, result):
        judge = self.judges[owner]
        self.vote(voters, owner)
        for step in range(12):
            for upstream in UPSTREAMS:
                outcome = result if upstream in faulty else RESULT.SUCCESS
                host = HOSTS[step % len(HOSTS)]
                domain = DOMAINS[step % 2]
                judge.record(upstream, host, domain, outcome, 0.05, self.now)
            self.now += 0.05
        judge.tick(self.list_capacities(), self.now)

    @stateful.rule()
    def tick_both(self):
        for judge in self.judges:
            judge.tick(self.list_capacities(), self.now)

    @stateful.rule(owner=OWNERS, upstreams=UPSTREAM_SETS)
    def adopt(self, owner, upstreams):
        self.judges[owner].adopt(upstreams, self.now)

    @stateful.rule(upstreams=UPSTREAM_SETS)
    def change_capacity(self, upstreams):
        self.unready = upstreams
        self.tick_both()

    @stateful.rule(owner=OWNERS, upstream=st.sampled_from(UPSTREAMS))
    def run_trial(self, owner, upstream):
        judge = self.judges[owner]
        if judge.claim_trial(upstream, self.now):
            judge.record(upstream, 'h0', 'd0', RESULT.SUCCESS, 0, self.now)

    def find_ejected(self, owner):
        judge = self.judges[owner]
        return {
            upstream
            for upstream in judge.find_ejected()
            if not judge.is_usable(upstream, 'unused-domain', self.now)
        }

    @stateful.invariant()
    def ejections_leave_the_floor(self):
        for owner in (0, 1):
            ejected = self.find_ejected(owner)
            ready = set(UPSTREAMS) - self.unready
            if ejected & ready:
                assert SLOTS * len(ready - ejected) >= MIN_SLOTS

    @stateful.invariant()
    def ejections_need_the_votes_of_a_majority(self):
        for owner in (0, 1):
            if self.find_ejected(owner):
                voters = {
                    host
                    for host, sent_at in self.sent_at[owner].items()
                    if self.now < sent_at + authority.VOTE_SECONDS
                }
                is_tie_won = len(voters) == 2 and HOSTS[0] in voters
                assert len(voters) > 2 or is_tie_won

    @stateful.invariant()
    def two_allocators_never_eject_at_once(self):
        assert not (self.find_ejected(0) and self.find_ejected(1))


TestJudge = JudgeMachine.TestCase
TestJudge.settings = settings(max_examples=150, stateful_step_count=20)
