"""Exchange of loans of caps between the allocators on replicas.

>>> feed = feeds.ChangeFeed(1)
>>> first = create_exchange('r1:1', feed, {})
>>> second = create_exchange('r2:1', feed, {})
>>> first.publish_loans([loans.Ask(7, 1000, 0.25)], [])
>>> batch = messages.structs.ChangeBatch()
>>> first.add_rows(batch, [], is_replica=True)
>>> second.receive('r1:1', batch)
>>> second.pop_remote_asks()
[('r1:1', Ask(key=7, stamp_ms=1000, fraction=0.25))]
"""

import collections
import typing

from wagtailspread.core import identifiers
from wagtailspread.registry import feeds
from wagtailspread.wire import messages
from wagtailspread.workspaces import loans

_MILLIONTHS = 1_000_000

_RemoteAsk = tuple[identifiers.Address, loans.Ask]
_RemoteLoan = tuple[identifiers.Address, loans.Loan]


class QuotaExchange:
    """Loans of this and other replicas. Use :func:`create_exchange`."""

    def __init__(
        self,
        address: identifiers.Address,
        feed: feeds.ChangeFeed,
        peer_batches: typing.Mapping[identifiers.Address, messages.Struct],
    ) -> None:
        """Start without loans."""
        self._address = address
        self._feed = feed
        self._peer_batches = peer_batches
        self._asks: list[messages.Struct] = []
        self._granted: list[messages.Struct] = []
        self._remote_asks: dict[tuple[identifiers.Address, int], loans.Ask] = {}
        self._remote_loans: dict[
            tuple[identifiers.Address, int], loans.Loan
        ] = {}

    def count_hosts(self, now: float) -> int:
        """Return the number of hosts that follow any reachable replica."""
        own = len(self._feed.list_hosts(now))
        return own + sum(one.hosts for one in self._peer_batches.values())

    def publish_loans(
        self, asks: list[loans.Ask], granted: list[loans.Loan]
    ) -> None:
        """Replace what the allocator of this replica asks for and lends."""
        self._asks = [
            messages.structs.CapAsk(
                workspace=ask.key,
                stamp_ms=ask.stamp_ms,
                millionths=int(ask.fraction * _MILLIONTHS),
            )
            for ask in asks
        ]
        self._granted = [
            messages.structs.CapLoan(
                workspace=loan.key,
                borrower=loan.borrower,
                stamp_ms=loan.stamp_ms,
                millionths=int(loan.fraction * _MILLIONTHS),
            )
            for loan in granted
        ]
        if asks or granted:
            self._feed.wake_replicas()

    def add_rows(
        self,
        batch: messages.Struct,
        hosts: list[feeds.FollowerState],
        *,
        is_replica: bool,
    ) -> None:
        """Add the rows for a replica to a struct ``ChangeBatch``.

        :param hosts: that follow this replica.
        """
        if not is_replica:
            return
        batch.cap_asks = self._asks or None
        batch.cap_loans = self._granted or None
        declared = collections.Counter(
            host.allocator for host in hosts if host.allocator
        )
        batch.allocator_hosts = [
            messages.structs.AllocatorHosts(allocator=address, hosts=count)
            for address, count in declared.items()
        ] or None

    def count_declared(self, now: float) -> int:
        """Return the number of hosts that would ask this allocator."""
        own = sum(
            host.allocator == self._address
            for host in self._feed.list_hosts(now)
        )
        return own + sum(
            row.hosts or 0
            for batch in self._peer_batches.values()
            for row in batch.allocator_hosts or ()
            if row.allocator == self._address
        )

    def receive(
        self, address: identifiers.Address, batch: messages.Struct
    ) -> None:
        """Record the rows of another replica; skip malformed ones."""
        for row in (batch.cap_asks or ())[: loans.MAX_ROWS]:
            if None not in (row.workspace, row.stamp_ms, row.millionths):
                self._remote_asks[address, row.workspace] = loans.Ask(
                    row.workspace, row.stamp_ms, row.millionths / _MILLIONTHS
                )
        for row in (batch.cap_loans or ())[: loans.MAX_ROWS]:
            is_whole = None not in (row.workspace, row.stamp_ms, row.millionths)
            if is_whole and row.borrower == self._address:
                self._remote_loans[address, row.workspace] = loans.Loan(
                    row.workspace,
                    self._address,
                    row.stamp_ms,
                    row.millionths / _MILLIONTHS,
                )

    def pop_remote_asks(self) -> list[_RemoteAsk]:
        """Return the newest asks since the last call with their borrowers."""
        remote, self._remote_asks = self._remote_asks, {}
        return [(address, ask) for (address, _), ask in remote.items()]

    def pop_remote_loans(self) -> list[_RemoteLoan]:
        """Return the newest loans to this replica with their lenders."""
        remote, self._remote_loans = self._remote_loans, {}
        return [(address, loan) for (address, _), loan in remote.items()]


def create_exchange(
    address: identifiers.Address,
    feed: feeds.ChangeFeed,
    peer_batches: typing.Mapping[identifiers.Address, messages.Struct],
) -> QuotaExchange:
    """Return an exchange without loans.

    :param address: of this replica.
    :param peer_batches: last batch of each reachable replica.
    """
    return QuotaExchange(address, feed, peer_batches)
