"""Random faults on in-memory replicas; each step checks the invariants."""

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
POSITIONS = st.integers(0, 4)
COUNTS = st.integers(0, 40)


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Drives three to five replicas through random faults."""

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

    @stateful.rule(position=POSITIONS)
    def sync(self, position):
        node = self.select_node(position)
        if node.is_running:
            node.sync()

    @stateful.rule(positions=st.lists(COUNTS, max_size=12))
    def deliver_out_of_order(self, positions):
        for position in positions:
            if self.fleet.in_flight:
                self.fleet.deliver(position % len(self.fleet.in_flight))

    @stateful.rule(position=COUNTS)
    def duplicate_message(self, position):
        if self.fleet.in_flight:
            self.fleet.deliver(
                position % len(self.fleet.in_flight), is_duplicated=True
            )

    @stateful.rule(position=COUNTS)
    def drop_message(self, position):
        if self.fleet.in_flight:
            self.fleet.in_flight.pop(position % len(self.fleet.in_flight))

    @stateful.rule(position=POSITIONS, count=st.integers(1, 5))
    def propose(self, position, count):
        for _ in range(count):
            self.proposals += 1
            command = b'command-%d' % self.proposals
            if self.select_node(position).is_running:
                self.fleet.propose(self.select_node(position).address, command)

    @stateful.rule(position=POSITIONS)
    def propose_at_leaders(self, position):
        for address in self.fleet.find_leaders():
            self.proposals += 1
            self.fleet.propose(address, b'command-%d' % self.proposals)

    @stateful.rule(source=POSITIONS, other=POSITIONS)
    def cut(self, source, other):
        self.fleet.cut(
            self.select_node(source).address, self.select_node(other).address
        )

    @stateful.rule(position=POSITIONS)
    def isolate(self, position):
        self.fleet.isolate(self.select_node(position).address)

    @stateful.rule()
    def heal(self):
        self.fleet.heal()

    @stateful.rule(position=POSITIONS)
    def crash(self, position):
        node = self.select_node(position)
        if node.is_running:
            node.crash()

    @stateful.rule(position=POSITIONS)
    def restart(self, position):
        node = self.select_node(position)
        if not node.is_running:
            node.restart()

    @stateful.rule(position=POSITIONS)
    def wipe(self, position):
        if self.fleet.may_wipe():
            self.fleet.wipe(self.select_node(position).address)

    @stateful.rule(position=POSITIONS)
    def compact(self, position):
        node = self.select_node(position)
        if node.is_running:
            node.compact()

    @stateful.rule(position=POSITIONS)
    def transfer(self, position):
        node = self.select_node(position)
        if node.is_running:
            node.buffer(node.replica.transfer(self.fleet.now))

    @stateful.rule(position=POSITIONS)
    def read(self, position):
        if self.select_node(position).is_running:
            self.fleet.read(self.select_node(position).address)

    @stateful.invariant()
    def verify_invariants(self):
        if hasattr(self, 'fleet'):
            self.fleet.check()

    def teardown(self):
        """Check that the replicas converge and commit without faults."""
        if not hasattr(self, 'fleet'):
            return
        self.fleet.heal()
        for node in self.fleet.nodes.values():
            if not node.is_running:
                node.restart()
        self.fleet.run(15.0)
        leaders = self.fleet.find_leaders()
        assert len(leaders) == 1
        assert self.fleet.propose(leaders[0], b'last')
        self.fleet.run(1.0)
        sequences = [node.machine.applied for node in self.fleet.list_running()]
        assert all(applied == sequences[0] for applied in sequences)
        assert sequences[0][-1][1] == b'last'
        self.fleet.check_durability()

    def select_node(self, position):
        nodes = list(self.fleet.nodes.values())
        return nodes[position % len(nodes)]


AgreementMachine.TestCase.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_agreement_under_faults = AgreementMachine.TestCase
