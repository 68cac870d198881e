"""Random faults on replicas in memory, with all invariants after each step."""

import hypothesis

from hypothesis import stateful
from hypothesis import strategies as st

from wagtailspread.consensus import states
from wagtailspread.testing import networks

POLICY = states.Policy(
    election_timeout=0.5,
    heartbeat_interval=0.1,
    max_append_entries=3,
    chunk_bytes=64,
    retained_entries=2,
)
PLACES = st.integers(0, 4)
COUNTS = st.integers(0, 40)


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Drives three to five replicas through faults of every kind."""

    @stateful.initialize(
        count=st.integers(3, 5),
        seed=st.integers(0, 1000),
        is_settled=st.booleans(),
    )
    def form(self, count, seed, is_settled):
        self.fleet = networks.SimulatedFleet(
            count,
            5 - count,
            seed=seed,
            policy=POLICY,
        )
        self.proposals = 0
        if is_settled:
            self.fleet.run(3.0)

    @stateful.rule(seconds=st.sampled_from((0.05, 0.2, 0.6, 1.2)))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @stateful.rule(seconds=st.sampled_from((0.3, 1.5)))
    def run(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(place=PLACES)
    def sync(self, place):
        node = self.pick(place)
        if node.is_up:
            node.sync()

    @stateful.rule(places=st.lists(COUNTS, max_size=12))
    def deliver_out_of_order(self, places):
        for place in places:
            if self.fleet.in_flight:
                self.fleet.deliver(place % len(self.fleet.in_flight))

    @stateful.rule(place=COUNTS)
    def duplicate(self, place):
        if self.fleet.in_flight:
            self.fleet.deliver(place % len(self.fleet.in_flight), keep=True)

    @stateful.rule(place=COUNTS)
    def lose(self, place):
        if self.fleet.in_flight:
            self.fleet.in_flight.pop(place % len(self.fleet.in_flight))

    @stateful.rule(place=PLACES, count=st.integers(1, 5))
    def propose(self, place, count):
        for _ in range(count):
            self.proposals += 1
            command = b'command-%d' % self.proposals
            if self.pick(place).is_up:
                self.fleet.propose(self.pick(place).address, command)

    @stateful.rule(place=PLACES)
    def propose_at_leaders(self, place):
        for address in self.fleet.find_leaders():
            self.proposals += 1
            self.fleet.propose(address, b'command-%d' % self.proposals)

    @stateful.rule(source=PLACES, other=PLACES)
    def cut(self, source, other):
        self.fleet.cut(self.pick(source).address, self.pick(other).address)

    @stateful.rule(place=PLACES)
    def isolate(self, place):
        self.fleet.isolate(self.pick(place).address)

    @stateful.rule()
    def heal(self):
        self.fleet.heal()

    @stateful.rule(place=PLACES)
    def crash(self, place):
        node = self.pick(place)
        if node.is_up:
            node.crash()

    @stateful.rule(place=PLACES)
    def restart(self, place):
        node = self.pick(place)
        if not node.is_up:
            node.restart()

    @stateful.rule(place=PLACES)
    def wipe(self, place):
        if self.fleet.may_wipe():
            self.fleet.wipe(self.pick(place).address)

    @stateful.rule(place=PLACES)
    def compact(self, place):
        node = self.pick(place)
        if node.is_up:
            node.compact()

    @stateful.rule(place=PLACES)
    def transfer(self, place):
        node = self.pick(place)
        if node.is_up:
            node.take(node.replica.transfer(self.fleet.now))

    @stateful.rule(place=PLACES)
    def read(self, place):
        if self.pick(place).is_up:
            self.fleet.read(self.pick(place).address)

    @stateful.invariant()
    def holds(self):
        if hasattr(self, 'fleet'):
            self.fleet.check()

    def teardown(self):
        """Without further faults the replicas agree and go on."""
        if not hasattr(self, 'fleet'):
            return
        self.fleet.heal()
        for node in self.fleet.nodes.values():
            if not node.is_up:
                node.restart()
        self.fleet.run(15.0)
        leaders = self.fleet.find_leaders()
        assert len(leaders) == 1
        assert self.fleet.propose(leaders[0], b'last')
        self.fleet.run(1.0)
        sequences = [node.machine.applied for node in self.fleet.list_up()]
        assert all(one == sequences[0] for one in sequences)
        assert sequences[0][-1][1] == b'last'
        self.fleet.check_held()

    def pick(self, place):
        nodes = list(self.fleet.nodes.values())
        return nodes[place % len(nodes)]


AgreementMachine.TestCase.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_agreement_under_faults = AgreementMachine.TestCase
