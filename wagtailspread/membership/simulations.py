"""An in-memory network of agents on manual time.

It loses, duplicates, delays and reorders messages and cuts directions, all
from one seed, so that tests and measurements repeat exactly.

>>> network = create_network(3, seed=1)
>>> network.run(2.0)
>>> [len(agent.list_members()) for agent in network.agents.values()]
[3, 3, 3]
"""

import dataclasses
import heapq
import itertools
import random as random_module
import typing

from wagtailspread.core import identifiers
from wagtailspread.membership import agents, dissemination, tables

#: Time between two ticks of an agent, in seconds.
TICK_SECONDS = 0.05
#: Time at which a network starts, in seconds.
START_SECONDS = 100.0
#: Share of messages of a lossy network that arrive very late.
LATE_SHARE = 0.05
#: Factor on the delay of such messages.
LATE_FACTOR = 20.0
#: Hosts that all others know as seeds.
SEEDS = 3

Observer = typing.Callable[
    [identifiers.Address, dissemination.OutgoingMessage], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """What the network does to messages.

    :param loss: share of messages lost, 0 to 1.
    :param duplicates: share of messages that arrive twice, 0 to 1.
    :param delay: mean one-way delay, in seconds.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    delay: float = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A direction in which no message arrives."""

    source: identifiers.Address
    target: identifiers.Address


class Network:
    """Agents by address, messages in flight and cuts."""

    def __init__(
        self,
        random: random_module.Random,
        conditions: Conditions,
    ) -> None:
        """Start without agents."""
        self.now = START_SECONDS
        self.agents: dict[identifiers.Address, agents.Agent] = {}
        self.cuts: set[Cut] = set()
        self.conditions = conditions
        self.observer: Observer | None = None
        self._random = random
        self._numbers = itertools.count()
        self._flying: list[
            tuple[float, int, dissemination.OutgoingMessage]
        ] = []

    def start(
        self,
        number: int,
        known: typing.Iterable[tables.HostRow] = (),
    ) -> agents.Agent:
        """Start a host whose incarnation is the time of now."""
        identity = create_row(number, int(self.now * 1000))
        agent = agents.create_agent(
            identity,
            [create_address(seed) for seed in range(SEEDS)],
            agents.MembershipPolicy(),
            random_module.Random(self._random.getrandbits(64)),
            known,
        )
        self.agents[identity.address] = agent
        return agent

    def stop(self, number: int) -> agents.Agent:
        """Let a host crash."""
        return self.agents.pop(create_address(number))

    def cut(self, source: int, target: int) -> None:
        """Lose all messages from one host to another."""
        self.cuts.add(Cut(create_address(source), create_address(target)))

    def run(
        self,
        seconds: float,
        is_done: typing.Callable[[], bool] | None = None,
    ) -> None:
        """Advance by ``seconds``, or until ``is_done``."""
        end = self.now + seconds
        while self.now < end and not (is_done and is_done()):
            self._deliver(self.now + TICK_SECONDS)
            self.now += TICK_SECONDS
            for address, agent in list(self.agents.items()):
                self.send(address, agent.tick(self.now))

    def send(
        self,
        source: identifiers.Address,
        batch: typing.Iterable[dissemination.OutgoingMessage],
    ) -> None:
        """Put messages on the network."""
        for outgoing in batch:
            if self.observer is not None:
                self.observer(source, outgoing)
            if Cut(source, outgoing.address) not in self.cuts:
                self._launch(outgoing)

    def count_views(
        self,
        host: identifiers.HostId,
        state: tables.HostState,
    ) -> int:
        """Return how many other hosts have this host in a state."""
        views = [
            agent.find(host)
            for agent in self.agents.values()
            if agent.identity.host != host
        ]
        return len([row for row in views if row and row.state is state])

    def _launch(self, outgoing: dissemination.OutgoingMessage) -> None:
        copies = 1 + (self._random.random() < self.conditions.duplicates)
        for _ in range(copies):
            if self._random.random() < self.conditions.loss:
                continue
            wait = self.conditions.delay * (0.5 + self._random.random())
            if self.conditions.loss and self._random.random() < LATE_SHARE:
                wait *= LATE_FACTOR
            entry = (self.now + wait, next(self._numbers), outgoing)
            heapq.heappush(self._flying, entry)

    def _deliver(self, until: float) -> None:
        while self._flying and self._flying[0][0] <= until:
            self.now, _, outgoing = heapq.heappop(self._flying)
            agent = self.agents.get(outgoing.address)
            if agent is not None:
                answers = agent.receive(outgoing.message, self.now)
                self.send(outgoing.address, answers)
        self.now = until - TICK_SECONDS


def create_converged_network(hosts: int, seed: int) -> Network:
    """Return a network on which all hosts know each other already."""
    network = Network(random_module.Random(seed), Conditions())
    rows = [
        create_row(number, int(START_SECONDS * 1000)) for number in range(hosts)
    ]
    for number in range(hosts):
        network.start(number, rows)
    return network


def create_address(number: int) -> identifiers.Address:
    """Return the address of a host by its number."""
    return identifiers.Address(f'10.0.{number // 256}.{number % 256}:7000')


def create_row(number: int, incarnation: int) -> tables.HostRow:
    """Return the row of a host by its number: two regions, four domains."""
    return tables.HostRow(
        identifiers.HostId(f'host-{number}'),
        create_address(number),
        identifiers.RegionName(f'region-{number % 2}'),
        identifiers.FailureDomain(f'domain-{number % 4}'),
        identifiers.Incarnation(incarnation),
        identifiers.MemberId('andino'),
    )


def create_network(
    hosts: int,
    seed: int,
    conditions: Conditions | None = None,
) -> Network:
    """Return a network on which this many hosts have just started."""
    random = random_module.Random(seed)
    network = Network(random, conditions or Conditions())
    for number in range(hosts):
        network.start(number)
    return network
