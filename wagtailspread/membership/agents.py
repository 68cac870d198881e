"""Membership agent of a host: the protocol logic, without I/O.

>>> import random
>>> row = tables.HostRow('h1', '10.0.0.1:7000', 'r', 'd', 1, 'andino')
>>> agent = create_agent(row, ['10.0.0.2:7000'], MembershipPolicy(),
...                      random.Random(1))
>>> [outgoing.address for outgoing in agent.tick(0.0)]
['10.0.0.2:7000']

See also: :mod:`wagtailspread.membership.drivers` transmits the messages.

References: Das, Gupta, Motivala, SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol (2002).
"""

import random as random_module
import typing

from wagtailspread.core import identifiers
from wagtailspread.membership import (
    detection,
    dissemination,
    probes,
    tables,
    views,
)

MembershipPolicy = detection.MembershipPolicy
NewestVersion = views.NewestVersion
#: Interval between attempts to join through the seeds, in seconds.
JOIN_INTERVAL_SECONDS = 0.5
#: A longer interval between two ticks means that the process was paused, in
#: seconds.
STALL_THRESHOLD_SECONDS = 0.5
#: Maximum number of rows of the table in one message that answers a join.
MAX_JOIN_ROWS = 100


class Agent:
    """Tracks which hosts are alive. Use :func:`create_agent`."""

    def __init__(
        self,
        identity: tables.HostRow,
        seeds: typing.Sequence[identifiers.Address],
        policy: MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start with only the host itself."""
        self._seeds = [seed for seed in seeds if seed != identity.address]
        self._policy = policy
        self._random = random
        self._view = views.View(identity, policy, random)
        self._prober = probes.Prober(self._view, policy, random)
        self._ticked_at: float | None = None
        self._next_join = 0.0
        self._next_rejoin = 0.0
        self._next_gossip = 0.0

    @property
    def identity(self) -> tables.HostRow:
        """Return the row of the host itself."""
        return self._view.local_row

    @property
    def configuration_version(self) -> identifiers.ConfigurationVersion:
        """Return the version that this host holds; messages include it."""
        return self._view.configuration_version

    @configuration_version.setter
    def configuration_version(
        self,
        version: identifiers.ConfigurationVersion,
    ) -> None:
        self._view.configuration_version = version

    def list_members(self) -> list[tables.HostRow]:
        """Return the hosts that are alive or suspect, including this one."""
        return self._view.table.list_active()

    def find_alive(
        self,
        region: identifiers.RegionName,
    ) -> list[tables.HostRow]:
        """Return the members in a region, sorted by host id.

        A suspect counts as alive until it is declared dead.
        """
        rows = [row for row in self.list_members() if row.region == region]
        return sorted(rows, key=lambda row: row.host)

    def find(self, host: identifiers.HostId) -> tables.HostRow | None:
        """Return the row of a host in any state."""
        return self._view.table.find(host)

    def find_newest(self) -> NewestVersion | None:
        """Return a host with a newer configuration than this one, if any.

        It is the last sender of the highest version received, and is returned
        only while it is neither dead nor has left.
        """
        newest = self._view.newest
        if newest is None or newest.version <= self.configuration_version:
            return None
        row = self.find(newest.host)
        return None if row is None or row.is_ended else newest

    def load_rows(self, rows: typing.Iterable[tables.HostRow]) -> None:
        """Load rows from an earlier run without sending them to peers."""
        for row in rows:
            self._view.table.apply(row, None)

    def remove_member(self, member: identifiers.MemberId) -> None:
        """Remove the hosts of a member that is no longer approved.

        The authenticated connections reject their messages from then on.
        """
        for row in self._view.table:
            if row.member == member and row.host != self.identity.host:
                self._view.remove_host(row.host)

    def receive(
        self,
        message: dissemination.Message,
        now: float,
    ) -> list[dissemination.OutgoingMessage]:
        """Process a message and return the messages to send."""
        view = self._view
        if message.sender == view.local_row.host:
            return []
        view.record_arrival(now)
        for row in message.updates:
            view.apply(row, now)
        address = view.find_address(message)
        if address is None:
            return []
        view.record_version(message, address)
        if message.kind is dissemination.Kind.PING:
            return self._answer_ping(message, address)
        if message.kind is dissemination.Kind.PING_REQUEST:
            return self._prober.relay(message, address, now)
        return self._prober.handle_ack(message)

    def tick(self, now: float) -> list[dissemination.OutgoingMessage]:
        """Process due timers and return the messages to send."""
        self._handle_stall(now)
        if self.identity.state is tables.HostState.LEFT:
            return self._send_updates(now)
        outgoing = self._join(now)
        outgoing += self._prober.tick(now)
        self._view.declare_expired_dead(now)
        outgoing += self._rejoin(now)
        outgoing += self._send_updates(now)
        self._view.table.remove_expired(now)
        return outgoing

    def leave(self, now: float) -> list[dissemination.OutgoingMessage]:
        """Announce the shutdown of this host, so that it is not probed."""
        view = self._view
        view.replace_local_row(
            view.local_row.with_state(tables.HostState.LEFT), now
        )
        rows = view.sample(dissemination.count_transmissions(len(view.table)))
        return [view.compose_update(row) for row in rows]

    def _answer_ping(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> list[dissemination.OutgoingMessage]:
        view = self._view
        if message.subject == views.NO_HOST:
            return self._answer_join(message, address)
        # A ping to another host that used this address earlier must not be
        # answered as if that host were alive.
        is_local = message.subject == view.local_row.host
        ack = view.compose(
            dissemination.Kind.ACK,
            message.sequence if is_local else 0,
            view.local_row.host,
            view.list_refutable(message.sender),
        )
        return [dissemination.OutgoingMessage(address, ack)]

    def _answer_join(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> list[dissemination.OutgoingMessage]:
        view = self._view
        rows = list(view.table)
        outgoing = []
        for start in range(0, len(rows), MAX_JOIN_ROWS):
            ack = view.compose(
                dissemination.Kind.ACK,
                message.sequence,
                view.local_row.host,
                tuple(rows[start : start + MAX_JOIN_ROWS]),
            )
            outgoing.append(dissemination.OutgoingMessage(address, ack))
        return outgoing

    def _handle_stall(self, now: float) -> None:
        view = self._view
        if self._ticked_at is None:
            view.record_arrival(now)
            self._next_rejoin = now + self._policy.rejoin_seconds
        elif now - self._ticked_at > STALL_THRESHOLD_SECONDS:
            # Answers and refutations may still be unread, so no host is
            # suspected or declared dead because of the pause.
            view.suspicions.postpone(now - self._ticked_at)
            self._prober.discard_probes()
            view.record_arrival(now)
        view.update_isolation(now)
        self._ticked_at = now

    def _join(self, now: float) -> list[dissemination.OutgoingMessage]:
        if len(self._view.table) > 1 or now < self._next_join:
            return []
        self._next_join = now + JOIN_INTERVAL_SECONDS
        return [self._ping_seed(seed) for seed in self._seeds]

    def _rejoin(self, now: float) -> list[dissemination.OutgoingMessage]:
        if now < self._next_rejoin:
            return []
        wait = self._policy.rejoin_seconds * (0.5 + self._random.random())
        self._next_rejoin = now + wait
        known = {row.address for row in self.list_members()}
        rows = self._view.table.list_dead()
        seeds = [seed for seed in self._seeds if seed not in known]
        if rows and not (seeds and self._random.getrandbits(1)):
            return [self._view.compose_ping(self._random.choice(rows), 0)]
        return [self._ping_seed(self._random.choice(seeds))] if seeds else []

    def _send_updates(self, now: float) -> list[dissemination.OutgoingMessage]:
        if not self._view.queue or now < self._next_gossip:
            return []
        self._next_gossip = now + self._policy.gossip_seconds
        rows = self._view.sample(self._policy.fanout)
        return [self._view.compose_update(row) for row in rows]

    def _ping_seed(
        self, seed: identifiers.Address
    ) -> dissemination.OutgoingMessage:
        ping = self._view.compose(
            dissemination.Kind.PING,
            0,
            views.NO_HOST,
            (self.identity,),
        )
        return dissemination.OutgoingMessage(seed, ping)


def create_agent(
    identity: tables.HostRow,
    seeds: typing.Sequence[identifiers.Address],
    policy: MembershipPolicy,
    random: random_module.Random,
    known: typing.Iterable[tables.HostRow] = (),
) -> Agent:
    """Return an agent that knows only itself and the hosts in ``known``.

    :param identity: the host's own row, with its incarnation.
    :param seeds: addresses through which the host joins.
    :param known: rows from an earlier run; they are probed but not sent to
        peers.
    """
    agent = Agent(identity, seeds, policy, random)
    agent.load_rows(known)
    return agent
