"""Follows the changes at one replica after another.

A host follows the nearest replica that is in touch with most of the others;
a replica follows every other one.
"""

import asyncio
import dataclasses
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.registry import feeds, lags
from wagtailspread.wire import links, messages

#: Longest time that a replica holds back its answer for lack of news, seconds.
POLL_SECONDS = 0.7
#: Longest time without an answer beyond that wait, in seconds. The replica or
#: the connection to it has failed then.
ANSWER_MARGIN_SECONDS = 0.4
#: Time for which a replica that failed is asked last, in seconds.
AVOIDANCE_SECONDS = 2.0
#: Time between looks for a nearer replica, in seconds.
RESELECTION_SECONDS = 5.0
#: Pause after a failed call, in seconds.
RETRY_BACKOFF_SECONDS = 0.05
_log = logbook.Logger('follower')


@dataclasses.dataclass(slots=True)
class _Source:
    """A replica that may be followed.

    :param distance: 0 for the own failure domain, 1 for the region, else 2.
    """

    address: identifiers.Address
    distance: int
    deprioritized_until: float = 0.0


class SourceList:
    """The replicas that a host knows, the best one first.

    :param measure_distance: returns the distance of a failure domain.
    """

    def __init__(
        self,
        find_seeds: typing.Callable[[], typing.Iterable[identifiers.Address]],
        measure_distance: typing.Callable[[identifiers.FailureDomain], int],
    ) -> None:
        """Start with the seeds, whose distance is not known."""
        self._find_seeds = find_seeds
        self._measure_distance = measure_distance
        self._sources: dict[identifiers.Address, _Source] = {}
        self._chosen: identifiers.Address | None = None
        self._chosen_at = 0.0

    def choose(self, now: float) -> identifiers.Address | None:
        """Return the replica to ask next.

        It stays the same while it works, but for a look at a nearer one.
        """
        if not self._has_usable(now):
            self._add_seeds()
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
        """Return the replicas, the best one first."""
        ordered = sorted(
            self._sources.values(),
            key=lambda one: (one.deprioritized_until > now, one.distance),
        )
        return [one.address for one in ordered]

    def deprioritize(self, address: identifiers.Address, now: float) -> None:
        """Ask other replicas first for a while."""
        source = self._sources.get(address)
        if source is not None:
            source.deprioritized_until = now + AVOIDANCE_SECONDS

    def update(
        self,
        places: list[messages.Struct],
        *,
        is_complete: bool = True,
    ) -> None:
        """Take the replicas that a replica names.

        :param is_complete: whether it knows all of them. One that has lost
            its disk knows few, and the others stay worth asking.
        """
        named = {} if is_complete else dict(self._sources)
        for place in places:
            address = identifiers.Address(place.address)
            distance = self._measure_distance(
                identifiers.FailureDomain(place.domain)
            )
            source = self._sources.get(address, _Source(address, distance))
            source.distance = distance
            named[address] = source
        if named:
            self._sources = named

    def _has_usable(self, now: float) -> bool:
        return any(
            one.deprioritized_until <= now for one in self._sources.values()
        )

    def _add_seeds(self) -> None:
        for address in self._find_seeds():
            if address not in self._sources:
                self._sources[address] = _Source(address, 1)


class ChangeFollower:
    """Keeps a host up to date.

    :param apply_batch: takes each batch of changes.
    :param lag: which versions of the document are known and in force.
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
    ) -> None:
        """Keep the parts; nothing is opened yet."""
        self.current_replica: identifiers.Address | None = None
        self.lag = lags.create_lag()
        self._host = host
        self._address = address
        self._domain = domain
        self._sources = sources
        self._pool = pool
        self._clock = clock
        self._apply_batch = apply_batch
        self._epoch = feeds.NO_EPOCH
        self._position = 0

    async def follow(self) -> None:
        """Follow until cancelled."""
        while True:
            address = self._sources.choose(self._clock.now())
            if address is None or not await self.follow_once(address):
                await asyncio.sleep(RETRY_BACKOFF_SECONDS)

    def list_sources(self) -> list[identifiers.Address]:
        """Return the replicas to ask for a document, the best one first.

        The one that answered last comes before all others: it named the
        version, and nearer ones may be lost.
        """
        ordered = self._sources.list_addresses(self._clock.now())
        ordered.sort(key=lambda address: address != self.current_replica)
        return ordered

    async def follow_once(self, address: identifiers.Address) -> bool:
        """Ask one replica for changes; tell whether it answered."""
        request = messages.structs.FollowChanges(
            host=self._host,
            domain=self._domain,
            is_replica=False,
            epoch=self._epoch,
            position=self._position,
            document_version=self.lag.newest_version,
            wait_ms=int(POLL_SECONDS * 1000),
            address=self._address,
        )
        answer = await self._pool.find(address).call(
            messages.methods.FOLLOW,
            request,
            messages.structs.ChangeBatch,
            POLL_SECONDS + ANSWER_MARGIN_SECONDS,
        )
        now = self._clock.now()
        if not isinstance(answer, result.Success):
            self._record_failure(address, answer.failure().describe(), now)
            await self._pool.forget(address)
            return False
        batch = answer.unwrap()
        self._process_batch(address, batch, now)
        return True

    def _process_batch(
        self,
        address: identifiers.Address,
        batch: messages.Struct,
        now: float,
    ) -> None:
        self.current_replica = address
        self._epoch = batch.epoch
        self._position = batch.position
        if self.lag.record_answer(
            batch.document_version,
            now,
            is_up_to_date=batch.is_up_to_date,
        ):
            _log.info('configuration behind', extra=self.lag.describe(now))
        self._sources.update(batch.replicas, is_complete=batch.has_quorum)
        if not batch.has_quorum:
            # It may miss what the others acknowledge.
            self._sources.deprioritize(address, now)
        self._apply_batch(batch)

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
