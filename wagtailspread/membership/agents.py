"""The membership agent of a host: decision code without I/O.

>>> import random
>>> row = tables.HostRow('h1', '10.0.0.1:7000', 'r', 'd', 1, 'andino')
>>> agent = create_agent(row, ['10.0.0.2:7000'], MembershipPolicy(),
...                      random.Random(1))
>>> [parcel.address for parcel in agent.tick(0.0)]
['10.0.0.2:7000']

See also: :mod:`wagtailspread.membership.drivers` carries the messages.
"""

import dataclasses
import itertools
import random as random_module
import typing

from wagtailspread.core import identifiers
from wagtailspread.membership import detection, dissemination, tables

MembershipPolicy = detection.MembershipPolicy
#: Time between two tries to join through the seeds, in seconds.
JOIN_SECONDS = 0.5
#: A tick this much late means that the process stood still, in seconds.
STALL_SECONDS = 0.5
#: Rows on one message that answers a join.
ROWS_FOR_JOIN = 100
_NOBODY = identifiers.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersion:
    """The highest configuration version heard of, and who has it."""

    version: identifiers.ConfigurationVersion
    host: identifiers.HostId
    address: identifiers.Address


class Agent:
    """One host's view of the fleet. Use :func:`create_agent`."""

    def __init__(
        self,
        identity: tables.HostRow,
        seeds: typing.Sequence[identifiers.Address],
        policy: MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start with only the host itself."""
        self.configuration_version = identifiers.ConfigurationVersion(0)
        self._own = identity
        self._seeds = [seed for seed in seeds if seed != identity.address]
        self._policy = policy
        self._random = random
        self._table = tables.HostTable()
        self._table.apply(identity, 0.0)
        self._queue = dissemination.UpdateQueue()
        self._queue.put(identity)
        self._rotation = detection.Rotation(random)
        self._suspicions = detection.Suspicions()
        self._probes: dict[int, detection.Probe] = {}
        self._relays: dict[int, detection.Relay] = {}
        self._sequences = itertools.count(1)
        self._newest: NewestVersion | None = None
        self._times = _Times()

    @property
    def identity(self) -> tables.HostRow:
        """Return the row of the host itself."""
        return self._own

    def members(self) -> list[tables.HostRow]:
        """Return the hosts that are alive or suspect, and this one."""
        return self._table.list_active()

    def find_alive(
        self, region: identifiers.RegionName
    ) -> list[tables.HostRow]:
        """Return the members in a region, ordered by host.

        A suspect counts as alive until it is declared dead.
        """
        rows = [row for row in self.members() if row.region == region]
        return sorted(rows, key=lambda row: row.host)

    def find(self, host: identifiers.HostId) -> tables.HostRow | None:
        """Return the row of a host in whatever state."""
        return self._table.find(host)

    def find_newest(self) -> NewestVersion | None:
        """Return who has a newer configuration than this host, if anyone."""
        newest = self._newest
        if newest is None or newest.version <= self.configuration_version:
            return None
        return newest

    def receive(
        self,
        message: dissemination.Message,
        now: float,
    ) -> list[dissemination.Parcel]:
        """Take a message and return the messages to send."""
        if message.sender == self._own.host:
            return []
        self._times.heard = now
        for row in message.updates:
            self._apply(row, now)
        address = self._find_address(message)
        if address is None:
            return []
        self._note_version(message, address)
        if message.kind is dissemination.Kind.PING:
            return self._answer_ping(message, address)
        if message.kind is dissemination.Kind.PING_REQUEST:
            return self._answer_request(message, address, now)
        return self._take_ack(message)

    def tick(self, now: float) -> list[dissemination.Parcel]:
        """Advance the timers and return the messages to send."""
        self._notice_stall(now)
        if self._own.state is tables.HostState.LEFT:
            return self._spread(now)
        parcels = self._join(now)
        parcels += self._follow_probes(now)
        for row in self._suspicions.take_expired(now):
            self._apply(row.with_state(tables.HostState.DEAD), now)
        parcels += self._probe(now)
        parcels += self._probe_ended(now)
        parcels += self._spread(now)
        self._table.expire(now)
        return parcels

    def leave(self, now: float) -> list[dissemination.Parcel]:
        """Announce the shutdown of this host; it is not probed any more."""
        self._set_own(self._own.with_state(tables.HostState.LEFT), now)
        rows = self._sample(dissemination.count_repeats(len(self._table)))
        return [self._address(row, dissemination.Kind.ACK) for row in rows]

    def _apply(self, row: tables.HostRow, now: float) -> None:
        if row.host == self._own.host:
            self._refute(row, now)
            return
        if not self._table.apply(row, now):
            return
        seconds = self._policy.suspicion_seconds
        if self._is_deaf(now):
            seconds *= detection.DEAF_FACTOR
        self._suspicions.note(row, now + seconds)
        self._queue.put(row)

    def _refute(self, row: tables.HostRow, now: float) -> None:
        if not row.replaces(self._own):
            return
        incarnation = identifiers.Incarnation(row.incarnation + 1)
        self._set_own(
            dataclasses.replace(self._own, incarnation=incarnation),
            now,
        )

    def _set_own(self, row: tables.HostRow, now: float) -> None:
        self._own = row
        self._table.apply(row, now)
        self._queue.put(row)

    def _is_deaf(self, now: float) -> bool:
        return now - self._times.heard > self._policy.deaf_seconds

    def _find_address(
        self,
        message: dissemination.Message,
    ) -> identifiers.Address | None:
        for row in message.updates:
            if row.host == message.sender:
                return row.address
        known = self._table.find(message.sender)
        return None if known is None else known.address

    def _note_version(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> None:
        version = message.configuration_version
        if self._newest is None or version > self._newest.version:
            self._newest = NewestVersion(version, message.sender, address)

    def _answer_ping(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> list[dissemination.Parcel]:
        if message.subject == _NOBODY:
            return self._answer_join(message, address)
        sequence = message.sequence
        if message.subject != self._own.host:
            sequence = 0
        ack = self._create(
            dissemination.Kind.ACK,
            sequence,
            self._own.host,
            self._find_doubt(message.sender),
        )
        return [dissemination.Parcel(address, ack)]

    def _answer_join(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> list[dissemination.Parcel]:
        rows = list(self._table)
        return [
            dissemination.Parcel(
                address,
                self._create(
                    dissemination.Kind.ACK,
                    message.sequence,
                    self._own.host,
                    tuple(rows[start : start + ROWS_FOR_JOIN]),
                ),
            )
            for start in range(0, len(rows), ROWS_FOR_JOIN)
        ]

    def _answer_request(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
        now: float,
    ) -> list[dissemination.Parcel]:
        row = self._table.find(message.subject)
        if row is None:
            return []
        sequence = next(self._sequences)
        self._relays[sequence] = detection.Relay(
            address,
            message.sequence,
            row.host,
            now + self._policy.probe_seconds,
        )
        return [self._ping(row, sequence)]

    def _take_ack(
        self,
        message: dissemination.Message,
    ) -> list[dissemination.Parcel]:
        probe = self._probes.get(message.sequence)
        if probe is not None and probe.row.host == message.subject:
            self._probes.pop(message.sequence)
        relay = self._relays.pop(message.sequence, None)
        if relay is None or relay.subject != message.sender:
            return []
        ack = self._create(
            dissemination.Kind.ACK,
            relay.sequence,
            relay.subject,
        )
        return [dissemination.Parcel(relay.address, ack)]

    def _notice_stall(self, now: float) -> None:
        times = self._times
        if times.ticked is None:
            times.heard = now
            times.next_rejoin = now + self._policy.rejoin_seconds
        elif now - times.ticked > STALL_SECONDS:
            self._suspicions.postpone(now - times.ticked)
            self._probes.clear()
            times.heard = now
        times.ticked = now

    def _join(self, now: float) -> list[dissemination.Parcel]:
        if len(self._table) > 1 or now < self._times.next_join:
            return []
        self._times.next_join = now + JOIN_SECONDS
        return [self._ping_seed(seed) for seed in self._seeds]

    def _follow_probes(self, now: float) -> list[dissemination.Parcel]:
        parcels = []
        for sequence, probe in list(self._probes.items()):
            waited = now - probe.sent_at
            if waited >= self._policy.probe_seconds:
                self._probes.pop(sequence)
                self._suspect(probe.row, now)
            elif waited >= self._policy.ack_seconds and not probe.is_indirect:
                probe.is_indirect = True
                parcels += self._ask_helpers(sequence, probe.row)
        for sequence, relay in list(self._relays.items()):
            if now >= relay.expires:
                self._relays.pop(sequence)
        return parcels

    def _suspect(self, row: tables.HostRow, now: float) -> None:
        known = self._table.find(row.host)
        if known is not None and known.state is tables.HostState.ALIVE:
            self._apply(known.with_state(tables.HostState.SUSPECT), now)

    def _ask_helpers(
        self,
        sequence: int,
        row: tables.HostRow,
    ) -> list[dissemination.Parcel]:
        request = self._create(
            dissemination.Kind.PING_REQUEST,
            sequence,
            row.host,
            (self._own, row),
        )
        helpers = self._sample(self._policy.helpers, row.host)
        return [
            dissemination.Parcel(helper.address, request) for helper in helpers
        ]

    def _probe(self, now: float) -> list[dissemination.Parcel]:
        if now < self._times.next_probe:
            return []
        self._times.next_probe = now + self._policy.probe_seconds
        row = self._rotation.pick(self._table, self._own.host)
        if row is None:
            return []
        sequence = next(self._sequences)
        self._probes[sequence] = detection.Probe(row, now)
        return [self._ping(row, sequence)]

    def _probe_ended(self, now: float) -> list[dissemination.Parcel]:
        if now < self._times.next_rejoin:
            return []
        wait = self._policy.rejoin_seconds * (0.5 + self._random.random())
        self._times.next_rejoin = now + wait
        known = {row.address for row in self.members()}
        rows = self._table.list_ended()
        seeds = [seed for seed in self._seeds if seed not in known]
        if rows and not (seeds and self._random.getrandbits(1)):
            return [self._ping(self._random.choice(rows), 0)]
        return [self._ping_seed(self._random.choice(seeds))] if seeds else []

    def _spread(self, now: float) -> list[dissemination.Parcel]:
        if not self._queue or now < self._times.next_gossip:
            return []
        self._times.next_gossip = now + self._policy.gossip_seconds
        rows = self._sample(self._policy.fanout)
        return [self._address(row, dissemination.Kind.ACK) for row in rows]

    def _sample(
        self,
        count: int,
        excluded: identifiers.HostId = _NOBODY,
    ) -> list[tables.HostRow]:
        unwanted = (self._own.host, excluded)
        rows = [row for row in self.members() if row.host not in unwanted]
        return self._random.sample(rows, min(count, len(rows)))

    def _ping(
        self,
        row: tables.HostRow,
        sequence: int,
    ) -> dissemination.Parcel:
        first = (self._own, *self._find_doubt(row.host))
        ping = self._create(dissemination.Kind.PING, sequence, row.host, first)
        return dissemination.Parcel(row.address, ping)

    def _ping_seed(self, seed: identifiers.Address) -> dissemination.Parcel:
        ping = self._create(dissemination.Kind.PING, 0, _NOBODY, (self._own,))
        return dissemination.Parcel(seed, ping)

    def _address(
        self,
        row: tables.HostRow,
        kind: dissemination.Kind,
    ) -> dissemination.Parcel:
        message = self._create(kind, 0, self._own.host)
        return dissemination.Parcel(row.address, message)

    def _find_doubt(
        self,
        host: identifiers.HostId,
    ) -> tuple[tables.HostRow, ...]:
        row = self._table.find(host)
        if row is None or row.state is tables.HostState.ALIVE:
            return ()
        return (row,)

    def _create(
        self,
        kind: dissemination.Kind,
        sequence: int,
        subject: identifiers.HostId,
        first: tuple[tables.HostRow, ...] = (),
    ) -> dissemination.Message:
        hosts = {row.host for row in first}
        queued = self._queue.take(len(self._table))
        rest = tuple(row for row in queued if row.host not in hosts)
        return dissemination.Message(
            kind,
            sequence,
            self._own.host,
            subject,
            first + rest,
            self.configuration_version,
        )


@dataclasses.dataclass(slots=True)
class _Times:
    """Times of the last events and of the next ones, in seconds."""

    heard: float = 0.0
    ticked: float | None = None
    next_join: float = 0.0
    next_probe: float = 0.0
    next_rejoin: float = 0.0
    next_gossip: float = 0.0


def create_agent(
    identity: tables.HostRow,
    seeds: typing.Sequence[identifiers.Address],
    policy: MembershipPolicy,
    random: random_module.Random,
) -> Agent:
    """Return an agent that knows only itself.

    :param identity: the host's own row, with its incarnation.
    :param seeds: addresses through which the host joins.
    """
    return Agent(identity, seeds, policy, random)
