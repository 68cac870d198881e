"""One host's view of the fleet, and the messages that it composes."""

import dataclasses
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.membership import detection, dissemination, tables

NOBODY = identifiers.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersion:
    """The highest configuration version heard of, and who has it."""

    version: identifiers.ConfigurationVersion
    host: identifiers.HostId
    address: identifiers.Address


class View:
    """The table of hosts, the suspicions and the updates to send.

    :param own: the row of the host itself.
    """

    def __init__(
        self,
        own: tables.HostRow,
        policy: detection.MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start with only the host itself."""
        self.own = own
        self.table = tables.HostTable()
        self.queue = dissemination.UpdateQueue()
        self.suspicions = detection.Suspicions()
        self.configuration_version = identifiers.ConfigurationVersion(0)
        self.newest: NewestVersion | None = None
        self.heard_at = 0.0
        self.is_deaf = False
        self._policy = policy
        self._random = random
        self.table.apply(own, 0.0)
        self.queue.put(own)

    def listen(self, now: float) -> None:
        """Notice whether messages still arrive.

        A host that hears nothing doubts its own connection: it keeps its
        suspicions to itself and waits longer before it acts on them.
        """
        self.is_deaf = now - self.heard_at > self._policy.deaf_seconds

    def hear(self, now: float) -> None:
        """Note that a message has arrived."""
        self.heard_at = now
        self.is_deaf = False

    def apply(self, row: tables.HostRow, now: float) -> None:
        """Take a row if it is newer, and pass it on."""
        if row.host == self.own.host:
            self._refute(row, now)
            return
        if not self.table.apply(row, now):
            return
        seconds = self._policy.suspicion_seconds
        if self.is_deaf:
            seconds *= detection.DEAF_FACTOR
        else:
            self.queue.put(row)
        self.suspicions.note(row, now + seconds)

    def suspect(self, host: identifiers.HostId, now: float) -> None:
        """Suspect a host that did not answer a probe."""
        row = self.table.find(host)
        if row is not None and row.state is tables.HostState.ALIVE:
            self.apply(row.with_state(tables.HostState.SUSPECT), now)

    def bury_suspects(self, now: float) -> None:
        """Declare the suspects dead that did not refute in time."""
        for row in self.suspicions.take_expired(now):
            self.apply(row.with_state(tables.HostState.DEAD), now)

    def drop(self, host: identifiers.HostId) -> None:
        """Forget a host."""
        self.table.remove(host)
        self.suspicions.drop(host)
        self.queue.drop(host)

    def replace_own(self, row: tables.HostRow, now: float) -> None:
        """Change the row of the host itself and tell the others."""
        self.own = row
        self.table.apply(row, now)
        self.queue.put(row)

    def note_version(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> None:
        """Remember the sender if nobody has a newer configuration."""
        version = message.configuration_version
        if self.newest is None or version >= self.newest.version:
            self.newest = NewestVersion(version, message.sender, address)

    def find_address(
        self,
        message: dissemination.Message,
    ) -> identifiers.Address | None:
        """Return the address of a sender, if it is known.

        Its own row on the message counts more than the table, where a later
        incarnation under another address may stand.
        """
        for row in message.updates:
            if row.host == message.sender:
                return row.address
        known = self.table.find(message.sender)
        return None if known is None else known.address

    def sample(
        self,
        count: int,
        excluded: identifiers.HostId = NOBODY,
    ) -> list[tables.HostRow]:
        """Return other hosts at random."""
        unwanted = (self.own.host, excluded)
        rows = [
            row for row in self.table.list_active() if row.host not in unwanted
        ]
        return self._random.sample(rows, min(count, len(rows)))

    def find_doubt(
        self,
        host: identifiers.HostId,
    ) -> tuple[tables.HostRow, ...]:
        """Return the row of a host that has something to refute."""
        row = self.table.find(host)
        if row is None or row.state is tables.HostState.ALIVE or self.is_deaf:
            return ()
        return (row,)

    def compose(
        self,
        kind: dissemination.Kind,
        sequence: int,
        subject: identifiers.HostId,
        first: tuple[tables.HostRow, ...] = (),
    ) -> dissemination.Message:
        """Return a message with queued updates after those in ``first``."""
        hosts = {row.host for row in first}
        queued = self.queue.take(len(self.table))
        rest = tuple(row for row in queued if row.host not in hosts)
        return dissemination.Message(
            kind,
            sequence,
            self.own.host,
            subject,
            first + rest,
            self.configuration_version,
        )

    def compose_ping(
        self,
        row: tables.HostRow,
        sequence: int,
    ) -> dissemination.OutgoingMessage:
        """Return a ping to the host of a row."""
        first = (self.own, *self.find_doubt(row.host))
        ping = self.compose(
            dissemination.Kind.PING,
            sequence,
            row.host,
            first,
        )
        return dissemination.OutgoingMessage(row.address, ping)

    def compose_update(
        self, row: tables.HostRow
    ) -> dissemination.OutgoingMessage:
        """Return a message to a host that only carries updates."""
        message = self.compose(dissemination.Kind.ACK, 0, self.own.host)
        return dissemination.OutgoingMessage(row.address, message)

    def _refute(self, row: tables.HostRow, now: float) -> None:
        if not row.replaces(self.own):
            return
        incarnation = identifiers.Incarnation(row.incarnation + 1)
        self.replace_own(
            dataclasses.replace(self.own, incarnation=incarnation),
            now,
        )
