"""Probes of other hosts, and the suspicion of those that do not answer.

A host probes one peer in each period, going through all of them in random
order. A peer that does not answer is probed through others, and becomes
suspect if none of them reaches it. A suspect that does not refute in time is
dead.
"""

import dataclasses
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.membership import tables


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """Times of the failure detection, in seconds.

    :param probe_seconds: time between probes; a probe fails after it.
    :param ack_seconds: time until a probe is sent through other hosts.
    :param indirect_probers: hosts through which it is sent.
    :param suspicion_seconds: time that a suspect has to refute.
    :param rejoin_seconds: time between probes of hosts that are not alive,
        which find the other side again after a partition.
    :param gossip_seconds: time between messages that carry only updates.
    :param fanout: receivers of such messages at a time.
    :param isolation_seconds: time without any message after which a host doubts
        its own connection.
    """

    probe_seconds: float = 0.3
    ack_seconds: float = 0.12
    indirect_probers: int = 3
    suspicion_seconds: float = 1.0
    rejoin_seconds: float = 3.0
    gossip_seconds: float = 0.1
    fanout: int = 2
    isolation_seconds: float = 1.0


#: Factor on the suspicion time of a host that hears nothing itself.
ISOLATION_FACTOR = 3.0


@dataclasses.dataclass(slots=True)
class Probe:
    """A probe without an answer."""

    row: tables.HostRow
    sent_at: float
    is_indirect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """A probe on behalf of another host.

    :param sequence: the number that the other host gave it.
    """

    address: identifiers.Address
    sequence: int
    subject: identifiers.HostId
    expires: float


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspect and the time at which it is declared dead."""

    row: tables.HostRow
    deadline: float


class ProbeOrder:
    """Order in which peers are probed: random, each once in a round."""

    def __init__(self, random: random_module.Random) -> None:
        """Start an empty round."""
        self._random = random
        self._order: list[identifiers.HostId] = []

    def pop_next(
        self,
        table: tables.HostTable,
        own: identifiers.HostId,
    ) -> tables.HostRow | None:
        """Return the next peer, or ``None`` if there is no other host."""
        for _ in range(2):
            while self._order:
                row = table.find(self._order.pop())
                if row is not None and not row.is_ended:
                    return row
            self._order = [
                row.host for row in table.list_active() if row.host != own
            ]
            self._random.shuffle(self._order)
        return None


class Suspicions:
    """The suspects and their deadlines."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._suspicions: dict[identifiers.HostId, Suspicion] = {}

    def note(self, row: tables.HostRow, deadline: float) -> None:
        """Follow a new state of a host."""
        if row.state is not tables.HostState.SUSPECT:
            self._suspicions.pop(row.host, None)
            return
        self._suspicions[row.host] = Suspicion(row, deadline)

    def drop(self, host: identifiers.HostId) -> None:
        """Forget the suspicion of a host."""
        self._suspicions.pop(host, None)

    def pop_expired(self, now: float) -> list[tables.HostRow]:
        """Remove and return the suspects that did not refute in time."""
        expired = [
            suspicion.row
            for suspicion in self._suspicions.values()
            if now >= suspicion.deadline
        ]
        for row in expired:
            self._suspicions.pop(row.host)
        return expired

    def postpone(self, seconds: float) -> None:
        """Move all deadlines after this host itself stood still."""
        for suspicion in self._suspicions.values():
            suspicion.deadline += seconds
