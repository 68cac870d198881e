"""In-memory network of agents on simulated time.

It loses, duplicates, delays and reorders messages and cuts links in one
direction. All random choices come from one seed, so that tests and
measurements are reproducible.

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

#: Interval between two ticks of an agent, in seconds.
TICK_SECONDS = 0.05
#: Simulated time at which a network starts, in seconds.
START_SECONDS = 100.0
#: Fraction of messages that a lossy network delivers very late.
LATE_FRACTION = 0.05
#: Factor on the delay of such messages.
LATE_FACTOR = 20.0
#: Number of hosts that all others know as seeds.
SEEDS = 3

Observer = typing.Callable[
    [identifiers.Address, dissemination.OutgoingMessage], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Conditions:
    """Faults and delay that the network applies to messages.

    :param loss: fraction of messages lost, 0 to 1.
    :param duplicates: fraction of messages that arrive twice, 0 to 1.
    :param delay: mean one-way delay, in seconds.
    """

    loss: float = 0.0
    duplicates: float = 0.0
    delay: float = 0.004


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A link on which no message arrives in the given direction."""

    source: identifiers.Address
    target: identifiers.Address


class Network:
    """Agents by address, messages in transit and cut links.

    :param observer: is called with the source and each sent message.
    """

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
        self._sequence = itertools.count()
        self._in_flight: list[
            tuple[float, int, dissemination.OutgoingMessage]
        ] = []

    def start(
        self,
        number: int,
        known: typing.Iterable[tables.HostRow] = (),
    ) -> agents.Agent:
        """Start a host whose incarnation is the current simulated time."""
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
        """Stop a host without an announcement, as in a crash."""
        return self.agents.pop(create_address(number))

    def cut(self, source: int, target: int) -> None:
        """Drop all messages from one host to another from now on."""
        self.cuts.add(Cut(create_address(source), create_address(target)))

    def run(
        self,
        seconds: float,
        is_done: typing.Callable[[], bool] | None = None,
    ) -> None:
        """Advance the time by ``seconds``, or until ``is_done``."""
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
        """Send messages over the network."""
        for outgoing in batch:
            if self.observer is not None:
                self.observer(source, outgoing)
            if Cut(source, outgoing.address) not in self.cuts:
                self._transmit(outgoing)

    def count_views(
        self,
        host: identifiers.HostId,
        state: tables.HostState,
    ) -> int:
        """Return how many other hosts see a host in this state."""
        views = [
            agent.find(host)
            for agent in self.agents.values()
            if agent.identity.host != host
        ]
        return len([row for row in views if row and row.state is state])

    def _transmit(self, outgoing: dissemination.OutgoingMessage) -> None:
        copies = 1 + (self._random.random() < self.conditions.duplicates)
        for _ in range(copies):
            if self._random.random() < self.conditions.loss:
                continue
            wait = self.conditions.delay * (0.5 + self._random.random())
            if self.conditions.loss and self._random.random() < LATE_FRACTION:
                wait *= LATE_FACTOR
            entry = (self.now + wait, next(self._sequence), outgoing)
            heapq.heappush(self._in_flight, entry)

    def _deliver(self, until: float) -> None:
        while self._in_flight and self._in_flight[0][0] <= until:
            self.now, _, outgoing = heapq.heappop(self._in_flight)
            agent = self.agents.get(outgoing.address)
            if agent is not None:
                answers = agent.receive(outgoing.message, self.now)
                self.send(outgoing.address, answers)
        self.now = until - TICK_SECONDS


def create_converged_network(hosts: int, seed: int) -> Network:
    """Return a network in which all hosts know each other already."""
    network = Network(random_module.Random(seed), Conditions())
    rows = [
        create_row(number, int(START_SECONDS * 1000)) for number in range(hosts)
    ]
    for number in range(hosts):
        network.start(number, rows)
    return network


def create_address(number: int) -> identifiers.Address:
    """Return the address of the host with this number."""
    return identifiers.Address(f'10.0.{number // 256}.{number % 256}:7000')


def create_row(number: int, incarnation: int) -> tables.HostRow:
    """Return the row of the host with this number.

    The hosts are distributed over two regions and four failure domains.
    """
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
    """Return a network in which this many hosts have just started."""
    random = random_module.Random(seed)
    network = Network(random, conditions or Conditions())
    for number in range(hosts):
        network.start(number)
    return network
