"""View of the fleet at one host, and the composition of its messages."""

import dataclasses
import random as random_module

from wagtailspread.core import identifiers
from wagtailspread.membership import detection, dissemination, tables

NO_HOST = identifiers.HostId('')


@dataclasses.dataclass(frozen=True, slots=True)
class NewestVersion:
    """The highest configuration version received, and a host that holds it."""

    version: identifiers.ConfigurationVersion
    host: identifiers.HostId
    address: identifiers.Address


class View:
    """The table of hosts, the suspicions and the updates to send.

    :param local_row: the row of the host itself.
    :param last_arrival_at: time of the last received message, in seconds.
    :param is_isolated: whether no message has been received for
        :attr:`MembershipPolicy.isolation_seconds`.
    """

    def __init__(
        self,
        local_row: tables.HostRow,
        policy: detection.MembershipPolicy,
        random: random_module.Random,
    ) -> None:
        """Start with only the host itself."""
        self.local_row = local_row
        self.table = tables.HostTable()
        self.queue = dissemination.UpdateQueue()
        self.suspicions = detection.Suspicions()
        self.configuration_version = identifiers.ConfigurationVersion(0)
        self.newest: NewestVersion | None = None
        self.last_arrival_at = 0.0
        self.is_isolated = False
        self._policy = policy
        self._random = random
        self.table.apply(local_row, 0.0)
        self.queue.add(local_row)

    def update_isolation(self, now: float) -> None:
        """Check whether this host is isolated.

        A host that receives no messages may have lost its own connection. It
        does not send its suspicions to peers and waits longer before it
        declares suspects dead.
        """
        self.is_isolated = (
            now - self.last_arrival_at > self._policy.isolation_seconds
        )

    def record_arrival(self, now: float) -> None:
        """Record the arrival of a message."""
        self.last_arrival_at = now
        self.is_isolated = False

    def apply(self, row: tables.HostRow, now: float) -> None:
        """Apply a row if it is newer, and queue it for the peers.

        An isolated host does not queue it.
        """
        if row.host == self.local_row.host:
            self._refute(row, now)
            return
        if not self.table.apply(row, now):
            return
        seconds = self._policy.suspicion_seconds
        if self.is_isolated:
            seconds *= detection.ISOLATION_FACTOR
        else:
            self.queue.add(row)
        self.suspicions.update(row, now + seconds)

    def suspect(self, host: identifiers.HostId, now: float) -> None:
        """Mark a host that did not answer a probe as suspect."""
        row = self.table.find(host)
        if row is not None and row.state is tables.HostState.ALIVE:
            self.apply(row.with_state(tables.HostState.SUSPECT), now)

    def declare_expired_dead(self, now: float) -> None:
        """Declare the suspects dead whose deadline has passed."""
        for row in self.suspicions.pop_expired(now):
            self.apply(row.with_state(tables.HostState.DEAD), now)

    def remove_host(self, host: identifiers.HostId) -> None:
        """Remove all state of a host."""
        self.table.remove(host)
        self.suspicions.remove(host)
        self.queue.remove(host)

    def replace_local_row(self, row: tables.HostRow, now: float) -> None:
        """Replace the row of the host itself and queue it for the peers."""
        self.local_row = row
        self.table.apply(row, now)
        self.queue.add(row)

    def record_version(
        self,
        message: dissemination.Message,
        address: identifiers.Address,
    ) -> None:
        """Record the sender if no host with a newer configuration is known."""
        version = message.configuration_version
        if self.newest is None or version >= self.newest.version:
            self.newest = NewestVersion(version, message.sender, address)

    def find_address(
        self,
        message: dissemination.Message,
    ) -> identifiers.Address | None:
        """Return the address of the sender of a message, if it is known.

        The sender's row in the message takes precedence over the table, which
        may contain a later incarnation with another address.
        """
        for row in message.updates:
            if row.host == message.sender:
                return row.address
        known = self.table.find(message.sender)
        return None if known is None else known.address

    def sample(
        self,
        count: int,
        excluded: identifiers.HostId = NO_HOST,
    ) -> list[tables.HostRow]:
        """Return random active hosts other than this one.

        :param count: maximum number of hosts.
        :param excluded: another host to leave out.
        """
        skipped = (self.local_row.host, excluded)
        rows = [
            row for row in self.table.list_active() if row.host not in skipped
        ]
        return self._random.sample(rows, min(count, len(rows)))

    def list_refutable(
        self,
        host: identifiers.HostId,
    ) -> tuple[tables.HostRow, ...]:
        """Return the row of a host that should refute its state.

        The result is empty if the host is alive or unknown, or if this host
        is isolated.
        """
        row = self.table.find(host)
        if (
            row is None
            or row.state is tables.HostState.ALIVE
            or self.is_isolated
        ):
            return ()
        return (row,)

    def compose(
        self,
        kind: dissemination.Kind,
        sequence: int,
        subject: identifiers.HostId,
        leading: tuple[tables.HostRow, ...] = (),
    ) -> dissemination.Message:
        """Return a message with queued updates after the ``leading`` rows."""
        hosts = {row.host for row in leading}
        queued = self.queue.select(len(self.table))
        rest = tuple(row for row in queued if row.host not in hosts)
        return dissemination.Message(
            kind,
            sequence,
            self.local_row.host,
            subject,
            leading + rest,
            self.configuration_version,
        )

    def compose_ping(
        self,
        row: tables.HostRow,
        sequence: int,
    ) -> dissemination.OutgoingMessage:
        """Return a ping to the host in a row."""
        leading = (self.local_row, *self.list_refutable(row.host))
        ping = self.compose(
            dissemination.Kind.PING,
            sequence,
            row.host,
            leading,
        )
        return dissemination.OutgoingMessage(row.address, ping)

    def compose_update(
        self, row: tables.HostRow
    ) -> dissemination.OutgoingMessage:
        """Return a message with only updates to the host in a row."""
        message = self.compose(dissemination.Kind.ACK, 0, self.local_row.host)
        return dissemination.OutgoingMessage(row.address, message)

    def _refute(self, row: tables.HostRow, now: float) -> None:
        if not row.replaces(self.local_row):
            return
        incarnation = identifiers.Incarnation(row.incarnation + 1)
        self.replace_local_row(
            dataclasses.replace(self.local_row, incarnation=incarnation),
            now,
        )
