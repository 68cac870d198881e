"""Gossip messages and the updates that travel on them.

Each update is sent a number of times that grows with the logarithm of the
fleet, which reaches every host with high probability. The updates sent least
often go first.

References: Das, Gupta, Motivala, SWIM (2002), section 4.1.
"""

import dataclasses
import enum
import math
import typing

from wagtailspread.core import identifiers
from wagtailspread.membership import tables

#: Updates on one message; a row takes about 100 bytes.
MAX_UPDATES = 10
#: Times that an update is sent, by the logarithm of the fleet's size.
REPEAT_FACTOR = 3


class Kind(enum.Enum):
    """Kinds of gossip messages."""

    PING = 'ping'
    #: Answers a ping; with sequence 0 it only carries updates.
    ACK = 'ack'
    #: Asks the receiver to ping the subject.
    PING_REQUEST = 'ping-request'


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """One gossip message.

    :param subject: the host that is probed; empty in a ping to a seed, which
        is answered with the whole table.
    """

    kind: Kind
    sequence: int
    sender: identifiers.HostId
    subject: identifiers.HostId
    updates: tuple[tables.HostRow, ...]
    configuration_version: identifiers.ConfigurationVersion


class OutgoingMessage(typing.NamedTuple):
    """A message and the address to send it to."""

    address: identifiers.Address
    message: Message


@dataclasses.dataclass(slots=True)
class _Pending:
    row: tables.HostRow
    sent: int = 0


class UpdateQueue:
    """Updates that are still to be sent."""

    def __init__(self) -> None:
        """Start without updates."""
        self._pending: dict[identifiers.HostId, _Pending] = {}

    def __len__(self) -> int:
        """Return the number of updates that are still to be sent."""
        return len(self._pending)

    def put(self, row: tables.HostRow) -> None:
        """Send this row, in place of an older one of its host."""
        self._pending[row.host] = _Pending(row)

    def drop(self, host: identifiers.HostId) -> None:
        """Send nothing more about a host."""
        self._pending.pop(host, None)

    def take(self, hosts: int) -> tuple[tables.HostRow, ...]:
        """Return the updates for one message.

        :param hosts: size of the fleet, which sets how often each is sent.
        """
        if not self._pending:
            return ()
        repeats = count_repeats(hosts)
        waiting = sorted(self._pending.values(), key=lambda one: one.sent)
        chosen = waiting[:MAX_UPDATES]
        for pending in chosen:
            pending.sent += 1
            if pending.sent >= repeats:
                self._pending.pop(pending.row.host)
        return tuple(one.row for one in chosen)


def count_repeats(hosts: int) -> int:
    """Return how often an update is sent in a fleet of this size.

    >>> count_repeats(44), count_repeats(2400)
    (18, 36)
    """
    return REPEAT_FACTOR * math.ceil(math.log2(hosts + 1))
