"""Client side of the change feed: selects a replica and polls its changes.

A host follows the nearest replica that is connected to a majority. A replica
follows every other replica.
"""

import asyncio
import dataclasses
import math
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.registry import lags, places, positions, tables
from wagtailspread.wire import links, messages, timeouts

#: Longest time that a replica waits for a change before it answers, in seconds.
POLL_SECONDS = 0.7
#: Time that an answer may take beyond that wait, in seconds. After it, the
#: replica or the connection to it counts as failed.
ANSWER_MARGIN_SECONDS = 0.4
#: Longest such time, in seconds. A host uses it while its own link delays
#: answers, so that it still follows some replica.
MAX_ANSWER_MARGIN_SECONDS = 1.2
#: Time for which a failed replica is ordered after all others, in seconds.
AVOIDANCE_SECONDS = 2.0
#: Interval between checks for a nearer replica, in seconds.
RESELECTION_SECONDS = 5.0
#: Time after which a host that follows a farther replica asks a nearer one
#: again that had no quorum, in seconds. After a start, the replica that hosts
#: find first is followed by most of them, also from the other region, while
#: all upstreams register: 5 MB crossed regions in the first 5 s.
RECHECK_SECONDS = 0.2
#: Backoff after a failed call, in seconds.
RETRY_BACKOFF_SECONDS = 0.05
#: Maximum number of replicas whose positions are retained.
MAX_PROGRESS = 16
_log = logbook.Logger('follower')


@dataclasses.dataclass(slots=True)
class _Source:
    """A replica that may be followed.

    :param distance: 0 in the same failure domain, 1 in the same region, else 2.
    :param deprioritized_until: time in seconds before which it is ordered
        after other replicas.
    :param has_quorum: whether it had a quorum when it answered last; not so
        before its first answer.
    :param recheck_at: time in seconds at which it is asked again, since a
        farther replica has a quorum.
    :param is_rechecked: whether that has been done; once until it has one.
    """

    address: identifiers.Address
    distance: int
    deprioritized_until: float = 0.0
    has_quorum: bool = False
    recheck_at: float = math.inf
    is_rechecked: bool = False


class SourceList:
    """The replicas that a host knows, ordered by preference.

    :param measure_distance: returns the distance of a failure domain.
    """

    def __init__(
        self,
        find_seeds: typing.Callable[[], typing.Iterable[identifiers.Address]],
        measure_distance: typing.Callable[[identifiers.FailureDomain], int],
    ) -> None:
        """Start empty.

        :param find_seeds: returns the seed addresses, which are used while no
            known replica is usable.
        """
        self._find_seeds = find_seeds
        self._measure_distance = measure_distance
        self._sources: dict[identifiers.Address, _Source] = {}
        self._chosen: identifiers.Address | None = None
        self._chosen_at = 0.0

    def choose(self, now: float) -> identifiers.Address | None:
        """Return the replica to ask next.

        The choice stays the same while calls to this replica succeed, apart
        from periodic checks for a nearer one.
        """
        if not self._has_usable(now):
            self._add_seeds()
        self._start_recheck(now)
        current = self._sources.get(self._chosen or identifiers.Address(''))
        if current is not None and current.deprioritized_until <= now:
            if now - self._chosen_at < RESELECTION_SECONDS:
                return current.address
        best = min(
            self._sources.values(),
            key=lambda one: (one.deprioritized_until > now, one.distance),
            default=None,
        )
        if best is None:
            return None
        self._chosen_at = now
        self._chosen = best.address
        return best.address

    def list_addresses(self, now: float) -> list[identifiers.Address]:
        """Return the replicas, ordered by preference."""
        ordered = sorted(
            self._sources.values(),
            key=lambda one: (one.deprioritized_until > now, one.distance),
        )
        return [one.address for one in ordered]

    def deprioritize(self, address: identifiers.Address, now: float) -> None:
        """Prefer other replicas for :data:`AVOIDANCE_SECONDS`."""
        source = self._sources.get(address)
        if source is not None:
            source.deprioritized_until = now + AVOIDANCE_SECONDS

    def record_quorum(
        self, address: identifiers.Address, now: float, *, has_quorum: bool
    ) -> None:
        """Record whether a replica that answered has a quorum."""
        source = self._sources.get(address)
        if source is None:
            return
        source.has_quorum = has_quorum
        if not has_quorum:
            # The replica may lack changes that the majority has acknowledged.
            self.deprioritize(address, now)
            return
        source.is_rechecked = False
        for other in self._sources.values():
            if other.distance < source.distance and not other.has_quorum:
                other.recheck_at = min(other.recheck_at, now + RECHECK_SECONDS)

    def update(
        self,
        reported: list[messages.Struct],
        *,
        is_complete: bool = True,
    ) -> None:
        """Replace the list by the replicas in the answer of a replica.

        :param reported: addresses and failure domains of these replicas. An
            empty report changes nothing.
        :param is_complete: whether the report is known to be complete. If it
            is not, known replicas that it lacks are retained: a replica that
            has lost its disk knows few others.
        """
        sources = {} if is_complete else dict(self._sources)
        for replica in reported:
            address = identifiers.Address(replica.address)
            distance = self._measure_distance(
                identifiers.FailureDomain(replica.domain)
            )
            source = self._sources.get(address, _Source(address, distance))
            source.distance = distance
            sources[address] = source
        if sources:
            self._sources = sources

    def _start_recheck(self, now: float) -> None:
        """Use a nearer replica again that may have a quorum by now."""
        for source in self._sources.values():
            if source.recheck_at > now:
                continue
            source.recheck_at = math.inf
            if not source.is_rechecked:
                source.is_rechecked = True
                source.deprioritized_until = now
                self._chosen = None

    def _has_usable(self, now: float) -> bool:
        return any(
            one.deprioritized_until <= now for one in self._sources.values()
        )

    def _add_seeds(self) -> None:
        for address in self._find_seeds():
            if address not in self._sources:
                self._sources[address] = _Source(address, 1)


class ChangeFollower:
    """Polls the change feed of a replica on behalf of a host.

    While no replica has a quorum, the host asks one after the other. So the
    position at each one is retained, and the others learn the digests of the
    table: with all rows in each answer, the links between regions were full.
    Another replica sends only the parts of its table that differ. A host that
    turned to one while a few upstreams changed got all 480 rows (36 KB).

    :param apply_batch: is called with each batch of changes.
    :param find_allocator: returns the allocator that the host would ask, if
        replicas shall know it.
    :param current_replica: replica that answered the last call; ``None`` before
        the first answer and after a failure.
    :param lag: lag of the active configuration behind the newest version.
    """

    def __init__(
        self,
        host: identifiers.HostId,
        address: identifiers.Address,
        domain: identifiers.FailureDomain,
        sources: SourceList,
        pool: links.LinkPool,
        clock: clocks.Clock,
        apply_batch: typing.Callable[[messages.Struct], None],
        table: tables.RegistryTable,
    ) -> None:
        """Store the dependencies; no connection is opened.

        :param table: the rows that ``apply_batch`` has stored.
        """
        self.find_allocator: typing.Callable[[], identifiers.Address | None] = (
            lambda: None
        )
        self.current_replica: identifiers.Address | None = None
        self.lag = lags.create_lag()
        self._host = host
        self._address = address
        self._domain = domain
        self._sources = sources
        self._pool = pool
        self._clock = clock
        self._apply_batch = apply_batch
        self._table = table
        self._progress: dict[identifiers.Address, positions.Position] = {}
        self._has_all = False
        self._margin = timeouts.AdaptiveTimeout(
            ANSWER_MARGIN_SECONDS, MAX_ANSWER_MARGIN_SECONDS
        )

    async def follow(self) -> None:
        """Poll replicas for changes until cancelled.

        An unexpected error is logged and counts as a failure of the replica,
        since a host that stops following never learns of a change again.
        """
        while True:
            address = self._sources.choose(self._clock.now())
            if address is None or not await self._try_following(address):
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)

    def list_sources(self) -> list[identifiers.Address]:
        """Return the replicas to ask for a document, ordered by preference.

        The replica that answered last comes first: it reported the version,
        and nearer replicas may have failed.
        """
        ordered = self._sources.list_addresses(self._clock.now())
        ordered.sort(key=lambda address: address != self.current_replica)
        return ordered

    async def _try_following(self, address: identifiers.Address) -> bool:
        try:
            return await self.follow_once(address)
        except Exception:
            _log.exception('changes not applied', extra={'replica': address})
            self._sources.deprioritize(address, self._clock.now())
            return False

    async def follow_once(self, address: identifiers.Address) -> bool:
        """Request changes from one replica; tell whether it answered."""
        known = self._progress.get(address, positions.Position())
        # Whether another replica has a quorum must be known at once.
        is_current = address == self.current_replica
        wait = POLL_SECONDS if is_current else 0.0
        request = messages.structs.FollowChanges(
            host=self._host,
            domain=self._domain,
            is_replica=False,
            epoch=known.epoch,
            position=known.number,
            document_version=self.lag.newest_version,
            wait_ms=int(wait * 1000),
            address=self._address,
            digest=self._table.digest,
            allocator=self.find_allocator(),
            bucket_digests=None
            if is_current and self._has_all
            else self._table.buckets.pack(),
        )
        asked_at = self._clock.now()
        answer = await self._pool.find(address).call(
            messages.methods.FOLLOW,
            request,
            messages.structs.ChangeBatch,
            POLL_SECONDS + self._margin.seconds,
        )
        now = self._clock.now()
        if not isinstance(answer, result.Success):
            self._record_failure(address, answer.failure().describe(), now)
            if now - asked_at >= POLL_SECONDS + self._margin.seconds:
                self._margin.record_expiry()
            if not isinstance(answer.failure(), failures.Unreachable):
                await self._pool.remove(address)
            return False
        self._margin.record_success(now - asked_at - POLL_SECONDS)
        batch = answer.unwrap()
        places.clean_batch(batch)
        self._process_batch(address, batch, now)
        return True

    def _process_batch(
        self,
        address: identifiers.Address,
        batch: messages.Struct,
        now: float,
    ) -> None:
        self.current_replica = address
        if self.lag.record_answer(
            batch.document_version,
            now,
            is_up_to_date=batch.is_up_to_date,
        ):
            _log.info('configuration behind', extra=self.lag.describe(now))
        self._sources.update(batch.replicas, is_complete=batch.has_quorum)
        self._sources.record_quorum(address, now, has_quorum=batch.has_quorum)
        self._apply_batch(batch)
        self._has_all = len(batch.rows) < positions.MAX_ROWS
        self._record_progress(address, batch)

    def _record_progress(
        self,
        address: identifiers.Address,
        batch: messages.Struct,
    ) -> None:
        """Retain the position of a batch whose rows are stored."""
        self._progress.pop(address, None)
        self._progress[address] = positions.Position(
            batch.epoch, batch.position
        )
        if len(self._progress) > MAX_PROGRESS:
            self._progress.pop(next(iter(self._progress)))

    def _record_failure(
        self,
        address: identifiers.Address,
        reason: str,
        now: float,
    ) -> None:
        if self.current_replica == address:
            _log.warning(
                'replica lost',
                extra={
                    'replica': address,
                    'reason': reason,
                    **self.lag.describe(now),
                },
            )
        self.current_replica = None
        self._sources.deprioritize(address, now)
