"""State of the failure detection: probes, suspicions and their timing.

A host probes one peer in each period and iterates over all peers in random
order. A peer that does not answer is probed indirectly through other hosts and
becomes suspect if none of them reaches it. A suspect that does not refute the
suspicion before the deadline is declared dead.
"""

import dataclasses
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.membership import tables


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """Timing of the failure detection, in seconds, and numbers of hosts.

    :param probe_seconds: interval between probes, and the timeout of a probe.
    :param ack_seconds: time without an answer before indirect probes.
    :param indirect_probers: number of hosts asked for an indirect probe.
    :param suspicion_seconds: time that a suspect has to refute.
    :param rejoin_seconds: mean interval between probes of dead hosts and
        unknown seeds, which reconnect the fleet after a partition.
    :param gossip_seconds: interval between messages with only updates.
    :param fanout: number of receivers of such messages at a time.
    :param isolation_seconds: time without any message after which a host
        considers itself isolated.
    """

    probe_seconds: float = 0.3
    ack_seconds: float = 0.12
    indirect_probers: int = 3
    suspicion_seconds: float = 1.0
    rejoin_seconds: float = 3.0
    gossip_seconds: float = 0.1
    fanout: int = 2
    isolation_seconds: float = 1.0


#: Factor on the suspicion time at a host that is isolated itself.
ISOLATION_FACTOR = 3.0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe that has not been answered.

    :param sent_at: time of the direct probe, in seconds.
    :param is_indirect: whether other hosts were asked to probe as well.
    """

    row: tables.HostRow
    sent_at: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe on behalf of another host.

    :param address: address of the other host.
    :param sequence: sequence number of its request.
    :param subject: the probed host.
    :param expires: time at which the relay is removed, in seconds.
    """

    address: identifiers.Address
    sequence: int
    subject: identifiers.HostId
    expires: float


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspect and the time at which it is declared dead, in seconds."""

    row: tables.HostRow
    deadline: float


class ProbeOrder:
    """Probe order of the peers: random, with each peer once per round."""

    def __init__(self, random: random_module.Random) -> None:
        """Start with an empty round."""
        self._random = random
        self._order: list[identifiers.HostId] = []

    def pop_next(
        self,
        table: tables.HostTable,
        local_host: identifiers.HostId,
    ) -> tables.HostRow | None:
        """Return the next peer, or ``None`` if there is no other host."""
        for _ in range(2):
            while self._order:
                row = table.find(self._order.pop())
                if row is not None and not row.is_ended:
                    return row
            self._order = [
                row.host
                for row in table.list_active()
                if row.host != local_host
            ]
            self._random.shuffle(self._order)
        return None


class Suspicions:
    """The suspects and their deadlines."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspicions: dict[identifiers.HostId, Suspicion] = {}

    def update(self, row: tables.HostRow, deadline: float) -> None:
        """Add or remove a suspicion according to the new state of a host."""
        if row.state is not tables.HostState.SUSPECT:
            self._suspicions.pop(row.host, None)
            return
        self._suspicions[row.host] = Suspicion(row, deadline)

    def remove(self, host: identifiers.HostId) -> None:
        """Remove the suspicion of a host."""
        self._suspicions.pop(host, None)

    def pop_expired(self, now: float) -> list[tables.HostRow]:
        """Remove and return the suspects whose deadline has passed."""
        expired = [
            suspicion.row
            for suspicion in self._suspicions.values()
            if now >= suspicion.deadline
        ]
        for row in expired:
            self._suspicions.pop(row.host)
        return expired

    def postpone(self, seconds: float) -> None:
        """Extend all deadlines after a pause of this host's process."""
        for suspicion in self._suspicions.values():
            suspicion.deadline += seconds
