"""State machine test of agents with message loss, cuts and crashes."""

import random

from hypothesis import settings, stateful
from hypothesis import strategies as st

from wagtailspread.membership import simulations, tables

HOSTS = 6
SETTLE_SECONDS = 25.0
STATES = list(tables.HostState)
NUMBERS = st.integers(0, HOSTS - 1)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Rows never get older, and views are correct after faults end."""

    def __init__(self):
        super().__init__()
        conditions = simulations.Conditions(loss=0.1, duplicates=0.1)
        self.network = simulations.create_network(HOSTS, 1, conditions)
        self.network.observer = self.sample_messages
        self.sampled = []
        self.random = random.Random(5)
        self.seen = {}
        self.network.run(2)

    def sample_messages(self, _source, outgoing):
        if not self.random.randrange(20):
            self.sampled.append(outgoing)

    @stateful.rule(ticks=st.integers(1, 60))
    def run(self, ticks):
        self.network.run(ticks * simulations.TICK_SECONDS)

    @stateful.rule(number=NUMBERS)
    def crash(self, number):
        address = simulations.create_address(number)
        if address in self.network.agents and len(self.network.agents) > 2:
            self.network.stop(number)
            self.seen = {
                key: value
                for key, value in self.seen.items()
                if key[0] != address
            }

    @stateful.rule(number=NUMBERS)
    def restart(self, number):
        if simulations.create_address(number) not in self.network.agents:
            self.network.start(number)

    @stateful.rule(source=NUMBERS, receiver=NUMBERS)
    def cut(self, source, receiver):
        self.network.cut(source, receiver)

    @stateful.rule(number=NUMBERS)
    def cut_all_towards(self, number):
        for source in range(HOSTS):
            self.network.cut(source, number)

    @stateful.rule()
    def heal(self):
        self.network.cuts.clear()

    @stateful.rule()
    def replay_old_messages(self):
        self.network.send('elsewhere', self.sampled[-200:])

    @stateful.invariant()
    def rows_are_only_replaced_by_newer_ones(self):
        for address, agent in self.network.agents.items():
            for number in range(HOSTS):
                row = agent.find(f'host-{number}')
                if row is None:
                    continue
                key = (address, row.host)
                rank = (row.incarnation, STATES.index(row.state))
                assert rank >= self.seen.get(key, rank)
                self.seen[key] = rank

    @stateful.rule()
    def views_agree_after_faults_end(self):
        self.network.cuts.clear()
        self.network.conditions = simulations.Conditions()
        self.network.run(SETTLE_SECONDS)
        running = {
            agent.identity.host for agent in self.network.agents.values()
        }
        for agent in self.network.agents.values():
            assert {row.host for row in agent.list_members()} == running
            for row in agent.list_members():
                assert row.state is tables.HostState.ALIVE
        self.network.conditions = simulations.Conditions(
            loss=0.1,
            duplicates=0.1,
        )


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(max_examples=30, stateful_step_count=12)
