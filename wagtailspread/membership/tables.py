"""Table of the hosts that a process knows.

A row of a host replaces an older one if its incarnation is higher, or if the
incarnation is equal and the state ranks higher. A dead incarnation therefore
never becomes alive again; the host itself has to raise its incarnation.
"""

import dataclasses
import enum
import typing

from wagtailspread.core import identifiers

#: Retention of the row of a dead or departed host, in seconds. It must exceed
#: the longest partition. Otherwise a host that reconnects after a partition
#: could reintroduce the row as alive.
TOMBSTONE_RETENTION_SECONDS = 7200.0


class HostState(enum.Enum):
    """State of a host as its peers see it."""

    ALIVE = 'alive'
    #: A probe failed. The host can refute the suspicion with a higher
    #: incarnation.
    SUSPECT = 'suspect'
    DEAD = 'dead'
    #: The host announced its shutdown.
    LEFT = 'left'


_RANKS = {
    HostState.ALIVE: 0,
    HostState.SUSPECT: 1,
    HostState.DEAD: 2,
    HostState.LEFT: 3,
}
_ENDED = frozenset((HostState.DEAD, HostState.LEFT))


@dataclasses.dataclass(frozen=True, slots=True)
class HostRow:
    """State of one host.

    :param incarnation: start time in milliseconds, raised by the host itself
        to refute a suspicion.
    """

    host: identifiers.HostId
    address: identifiers.Address
    region: identifiers.RegionName
    domain: identifiers.FailureDomain
    incarnation: identifiers.Incarnation
    member: identifiers.MemberId
    state: HostState = HostState.ALIVE

    @property
    def is_ended(self) -> bool:
        """Tell whether the host is dead or has left."""
        return self.state in _ENDED

    def replaces(self, other: 'HostRow') -> bool:
        """Tell whether this row is newer than another row of its host."""
        rank = (self.incarnation, _RANKS[self.state])
        return rank > (other.incarnation, _RANKS[other.state])

    def with_state(self, state: HostState) -> 'HostRow':
        """Return a copy of the row with another state."""
        return dataclasses.replace(self, state=state)


class HostTable:
    """Rows by host, which are only replaced by newer rows."""

    def __init__(self) -> None:
        """Start without rows."""
        self._rows: dict[identifiers.HostId, HostRow] = {}
        #: Time at which a row was applied; ``None`` until the first cleaning
        #: if it was loaded, since times of an earlier run mean nothing.
        self._ended_at: dict[identifiers.HostId, float | None] = {}

    def __iter__(self) -> typing.Iterator[HostRow]:
        """Iterate over all rows."""
        return iter(list(self._rows.values()))

    def __len__(self) -> int:
        """Return the number of hosts that are alive or suspect.

        The iteration also includes the rows of ended hosts.
        """
        return len(self._rows) - len(self._ended_at)

    def find(self, host: identifiers.HostId) -> HostRow | None:
        """Return the row of a host, if there is one."""
        return self._rows.get(host)

    def apply(self, row: HostRow, now: float | None) -> bool:
        """Apply a row if it is newer; tell whether it was applied.

        :param now: time in seconds, ``None`` for a row from an earlier run.
        """
        known = self._rows.get(row.host)
        if known is not None and not row.replaces(known):
            return False
        self._rows[row.host] = row
        if row.is_ended:
            self._ended_at[row.host] = now
        else:
            self._ended_at.pop(row.host, None)
        return True

    def list_active(self) -> list[HostRow]:
        """Return the hosts that are alive or suspect."""
        return [row for row in self._rows.values() if not row.is_ended]

    def list_dead(self) -> list[HostRow]:
        """Return the hosts that are dead and have not left."""
        rows = [self._rows[host] for host in self._ended_at]
        return [row for row in rows if row.state is HostState.DEAD]

    def remove_expired(self, now: float) -> None:
        """Remove ended hosts whose row is past the retention time."""
        for host, ended_at in list(self._ended_at.items()):
            if ended_at is None:
                self._ended_at[host] = now
            elif now - ended_at > TOMBSTONE_RETENTION_SECONDS:
                self._ended_at.pop(host)
                self._rows.pop(host)

    def remove(self, host: identifiers.HostId) -> None:
        """Remove the row of a host."""
        self._rows.pop(host, None)
        self._ended_at.pop(host, None)
