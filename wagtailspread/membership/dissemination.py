"""Gossip messages and the dissemination of updates.

Each update is sent a number of times that grows with the logarithm of the
fleet's size, so it reaches every host with high probability. Updates that have
been sent least often are sent first.

References: Das, Gupta, Motivala, SWIM (2002), section 4.1.
"""

import dataclasses
import enum
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.membership import tables

#: Maximum number of queued updates in one message; a row takes about 100
#: bytes.
MAX_UPDATES = 10
#: Transmissions of an update per binary logarithm of the fleet's size.
TRANSMISSION_FACTOR = 3


class Kind(enum.Enum):
    """Kinds of gossip messages."""

    PING = 'ping'
    #: Answers a ping; with sequence 0 it only contains updates.
    ACK = 'ack'
    #: Asks the receiver to ping the subject.
    PING_REQUEST = 'ping-request'


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One gossip message.

    :param subject: the probed host. It is empty in a ping to a seed, which is
        answered with the whole table.
    """

    kind: Kind
    sequence: int
    sender: identifiers.HostId
    subject: identifiers.HostId
    updates: tuple[tables.HostRow, ...]
    configuration_version: identifiers.ConfigurationVersion


class OutgoingMessage(typing.NamedTuple):
    """A message and its destination address."""

    address: identifiers.Address
    message: Message


@dataclasses.dataclass(slots=True)
class _PendingUpdate:
    row: tables.HostRow
    sent: int = 0


class UpdateQueue:
    """Updates that have not been sent often enough yet."""

    def __init__(self) -> None:
        """Start without updates."""
        self._pending: dict[identifiers.HostId, _PendingUpdate] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._pending)

    def add(self, row: tables.HostRow) -> None:
        """Queue a row; it replaces a queued row of the same host."""
        self._pending[row.host] = _PendingUpdate(row)

    def remove(self, host: identifiers.HostId) -> None:
        """Remove the update about a host."""
        self._pending.pop(host, None)

    def select(self, hosts: int) -> tuple[tables.HostRow, ...]:
        """Return the updates for one message and count their transmissions.

        :param hosts: size of the fleet, which determines how often each update
            is sent.
        """
        if not self._pending:
            return ()
        transmissions = count_transmissions(hosts)
        waiting = sorted(self._pending.values(), key=lambda one: one.sent)
        chosen = waiting[:MAX_UPDATES]
        for pending in chosen:
            pending.sent += 1
            if pending.sent >= transmissions:
                self._pending.pop(pending.row.host)
        return tuple(one.row for one in chosen)


def count_transmissions(hosts: int) -> int:
    """Return how often an update is sent in a fleet of this size.

    >>> count_transmissions(44), count_transmissions(2400)
    (18, 36)
    """
    return TRANSMISSION_FACTOR * math.ceil(math.log2(hosts + 1))
