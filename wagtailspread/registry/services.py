"""Registry service of a replica: registrations, followers, other replicas."""

import asyncio
import random
import typing

import logbook

from returns import result

from wagtailspread.configuration import documents
from wagtailspread.core import clocks, identifiers
from wagtailspread.registry import blocked, configurations, coverage
from wagtailspread.registry import directories, feeds, followers, groups
from wagtailspread.registry import places, positions, publications, quotas
from wagtailspread.registry import records, spares
from wagtailspread.wire import links, listeners, messages

#: Time for which changes are batched before a follower gets them, in seconds.
BATCHING_SECONDS = 0.025
#: Longest wait for a change in a poll of another replica, in seconds.
PEER_POLL_SECONDS = 1.5
#: Longest wait before the answer to a host without a configuration while this
#: replica has no quorum, in seconds.
UNCONFIGURED_POLL_SECONDS = 0.05
#: Longest wait until the followers have seen a departure, in seconds. Upstreams
#: retry at another replica after 1 s.
PROPAGATION_TIMEOUT_SECONDS = 0.7
#: Interval between checks of the progress of the followers, in seconds.
PROPAGATION_CHECK_SECONDS = 0.02
#: Interval between updates of the list of followed replicas, in seconds.
PEER_REFRESH_SECONDS = 0.25
_MAX_EPOCH = 1 << 62
_MILLISECONDS = 1000

_log = logbook.Logger('registry')


class RegistryService:
    """Maintains the registry of one replica. Use :func:`create_service`."""

    def __init__(
        self,
        address: identifiers.Address,
        domain: identifiers.FailureDomain,
        regions: dict[identifiers.FailureDomain, identifiers.RegionName],
        clock: clocks.Clock,
        read_services: configurations.ServiceReader,
    ) -> None:
        """Start empty.

        :param regions: the region of each failure domain.
        """
        self._service_watch = configurations.ServiceWatch(read_services)
        self.feed = feeds.ChangeFeed(random.randrange(1, _MAX_EPOCH))
        self._address = address
        self._domain = domain
        self._clock = clock
        self._group: groups.ReplicaGroup | None = None
        self._directory = directories.create_directory(address, domain, regions)
        self._peer_batches: dict[identifiers.Address, messages.Struct] = {}
        self._peer_tasks: dict[identifiers.Address, asyncio.Task[None]] = {}
        self._strained: frozenset[identifiers.ServiceName] = frozenset()
        self._underused: coverage.Underused = None
        self._blocked = blocked.create_exchange()
        self.quotas = quotas.create_exchange(
            address, self.feed, self._peer_batches
        )
        self.spares = spares.create_exchange(
            self.feed, self._directory.find_region
        )

    def attach(
        self,
        listener: listeners.Listener,
        group: groups.ReplicaGroup,
    ) -> None:
        """Register the methods for followers at ``listener``."""
        structs = messages.structs
        self._group = group
        listener.add(
            messages.methods.FOLLOW,
            structs.FollowChanges,
            self._answer_follower,
        )
        publisher = publications.create_publisher(group.read_document)
        publisher.register(listener)

    def register(self, record: records.UpstreamRecord) -> None:
        """Apply a heartbeat of an upstream that accepts work."""
        if not self.feed.register(record, self._clock.now()):
            records.log_not_applied(record)

    async def register_departure(self, record: records.UpstreamRecord) -> bool:
        """Register that an upstream is draining or has left.

        :returns: whether the departure may be confirmed: a majority of the
            replicas has seen it and, before the timeout, all live followers.
        """
        is_applied = self.feed.register(record, self._clock.now())
        if not is_applied and not self._is_earlier(record):
            records.log_not_applied(record)
            return False
        position = self.feed.position
        until = self._clock.now() + PROPAGATION_TIMEOUT_SECONDS
        if self._group is None or not self._group.list_replicas():
            # The upstream turns to another replica at once.
            _log.info(
                'departure not confirmed',
                extra={'upstream': record.upstream},
            )
            return False
        while self._clock.now() < until:
            is_known = self.feed.is_propagated(position, self._clock.now())
            if is_known and self._is_majority_at(position):
                return True
            await asyncio.sleep(PROPAGATION_CHECK_SECONDS)
        return self._is_majority_at(position)

    def create_departure(
        self,
        upstream: identifiers.UpstreamId,
        born_ms: int | None,
    ) -> records.UpstreamRecord:
        """Return the record of an upstream that has left.

        A departure may arrive when a later incarnation has registered, which
        it does not concern.

        :param born_ms: start of the incarnation that left, in milliseconds
            since the epoch; ``None`` for the incarnation in the table.
        """
        row = self.feed.table.rows.get(upstream)
        known = None if row is None else row.record
        now_ms = int(self._clock.wall() * _MILLISECONDS)
        return records.create_departure(upstream, born_ms, known, now_ms)

    def publish_strained(
        self,
        strained: frozenset[identifiers.ServiceName],
    ) -> None:
        """Publish the services with many failing requests to other replicas."""
        if strained != self._strained:
            self._strained = strained
            self.feed.wake_replicas()

    def publish_underused(self, underused: coverage.Underused) -> None:
        """Publish the services with too few requests to other replicas."""
        if underused != self._underused:
            self._underused = underused
            self.feed.wake_replicas()

    def find_uncovered(self) -> coverage.UncoveredRegions:
        """Return what the reachable replicas of each region lack."""
        return coverage.combine_reports(
            (region, coverage.read_report(batch))
            for address, batch in self._peer_batches.items()
            if (region := self._directory.find_region(address)) is not None
        )

    def publish_departures(self) -> None:
        """Send changes of the table by the local allocator to all followers."""
        self.feed.publish_local_change()

    def publish_blocked(
        self,
        requests: typing.Mapping[int, float],
        suspicions: list[blocked.Suspicion],
    ) -> None:
        """Publish requests that crash upstreams to other replicas.

        :param requests: seconds that are left, by the fingerprint of a request.
        :param suspicions: requests that may crash upstreams.
        """
        if self._blocked.publish(requests, suspicions, self._clock.now()):
            self.feed.wake()

    def list_remote_suspicions(self) -> list[blocked.Suspicion]:
        """Return what other replicas suspect, as far as it is new."""
        return self._blocked.pop_suspicions()

    def list_remote_blocked(self) -> dict[int, float]:
        """Return such requests that other replicas published since."""
        return self._blocked.pop_remote()

    def list_remote_strained(self) -> set[identifiers.ServiceName]:
        """Return the strained services that other replicas published."""
        return {
            identifiers.ServiceName(service)
            for batch in self._peer_batches.values()
            for service in batch.strained
        }

    def count_replicas(self) -> int:
        """Return the number of replicas, this one included."""
        return len(self._list_peers()) + 1

    def find_replica_in_domain(
        self,
        domain: identifiers.FailureDomain,
    ) -> identifiers.Address | None:
        """Return a replica in a failure domain, if one is reachable.

        This replica and those that answered the last poll are reachable.
        """
        return self._directory.find_replica(domain, self._peer_batches)

    async def run(self, pool: links.LinkPool) -> None:
        """Follow the other replicas until cancelled."""
        try:
            while True:
                self._follow_new_peers(pool)
                self._update_services()
                self.feed.table.remove_expired_tombstones(self._clock.now())
                await asyncio.sleep(PEER_REFRESH_SECONDS)
        finally:
            for task in self._peer_tasks.values():
                task.cancel()
            self._peer_tasks.clear()

    def _is_earlier(self, record: records.UpstreamRecord) -> bool:
        """Tell whether a later incarnation of an upstream is known."""
        row = self.feed.table.rows.get(record.upstream)
        return row is not None and record.born_ms < row.record.born_ms

    def _update_services(self) -> None:
        """Apply the services of a new configuration."""
        services = self._service_watch.find_change(self._group)
        if services is not None:
            self.feed.replace_services(services, self._clock.now())

    def _is_majority_at(self, position: int) -> bool:
        """Tell whether a majority of the replicas has seen ``position``.

        Before the storage is loaded the membership is unknown.
        """
        if self._group is None:
            return False
        informed = self.feed.list_replicas_at(position, self._clock.now())
        return self._group.is_majority(informed)

    def _list_peers(self) -> list[identifiers.Address]:
        if self._group is None:
            return []
        known = self._group.list_replicas()
        return [one for one in known if one != self._address]

    def _follow_new_peers(self, pool: links.LinkPool) -> None:
        peers = self._list_peers()
        for address in peers:
            if address not in self._peer_tasks:
                following = self._follow_peer(address, pool)
                self._peer_tasks[address] = asyncio.create_task(following)
        for address in list(self._peer_tasks):
            if address not in peers:
                self._peer_tasks.pop(address).cancel()
                self._peer_batches.pop(address, None)

    async def _follow_peer(
        self,
        address: identifiers.Address,
        pool: links.LinkPool,
    ) -> None:
        epoch = positions.NO_EPOCH
        position = 0
        while True:
            try:
                epoch, position = await self._poll_peer(
                    address, pool, epoch, position
                )
            except Exception:
                # Without its task, this replica would never learn another
                # change of the peer.
                _log.exception(
                    'changes not applied', extra={'replica': address}
                )
                await asyncio.sleep(followers.RETRY_BACKOFF_SECONDS)

    async def _poll_peer(
        self,
        address: identifiers.Address,
        pool: links.LinkPool,
        epoch: int,
        position: int,
    ) -> tuple[int, int]:
        """Request changes from a replica; return the position to continue at.

        :param epoch: epoch of ``position``.
        """
        request = messages.structs.FollowChanges(
            host=self._address,
            domain=self._domain,
            is_replica=True,
            epoch=epoch,
            position=position,
            document_version=documents.NO_VERSION,
            wait_ms=int(PEER_POLL_SECONDS * 1000),
            address=self._address,
        )
        answer = await pool.find(address).call(
            messages.methods.FOLLOW,
            request,
            messages.structs.ChangeBatch,
            PEER_POLL_SECONDS + followers.ANSWER_MARGIN_SECONDS,
        )
        if not isinstance(answer, result.Success):
            await pool.remove(address)
            self._peer_batches.pop(address, None)
            await asyncio.sleep(followers.RETRY_BACKOFF_SECONDS)
            return epoch, position
        batch = answer.unwrap()
        self._process_batch(address, batch)
        return batch.epoch, batch.position

    def _process_batch(
        self,
        address: identifiers.Address,
        batch: messages.Struct,
    ) -> None:
        places.clean_batch(batch)
        self._peer_batches[address] = batch
        now = self._clock.now()
        self._blocked.receive(batch, now)
        self.quotas.receive(address, batch)
        self.spares.receive(address, batch, now)
        self._directory.record(address, batch)
        self.feed.merge_batch(batch, now)

    async def _answer_follower(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        feed = self.feed
        # The table may change while the follower waits.
        position = feed.find_position(request)
        request.position = position
        request.epoch = feed.epoch
        host = identifiers.HostId(request.host)
        follower = feeds.FollowerState(
            identifiers.Address(request.address),
            identifiers.FailureDomain(request.domain),
            request.is_replica,
            position,
            self._clock.now(),
            request.allocator,
        )
        feed.update_follower(host, follower)
        wait = min(self._compute_wait(request), call.timeout)
        if not self._has_newer_document(request):
            await feed.wait(position, wait, is_replica=request.is_replica)
            await asyncio.sleep(BATCHING_SECONDS)
        batch = feed.collect(request, self._clock.now())
        self._add_replica_state(batch, request)
        return result.Success(batch)

    def _compute_wait(self, request: messages.Struct) -> float:
        """Return how long to wait for changes before an answer, in seconds.

        A host without a configuration cannot serve requests. A replica without
        a quorum, for example one that has lost its disk, may lack a
        configuration that another replica holds, so the wait is short.
        """
        wait = request.wait_ms / 1000
        group = self._group
        if request.is_replica or group is None:
            return wait
        has_configuration = request.document_version > documents.NO_VERSION
        if has_configuration or group.has_quorum():
            return wait
        return min(wait, UNCONFIGURED_POLL_SECONDS)

    def _has_newer_document(self, request: messages.Struct) -> bool:
        if request.is_replica or self._group is None:
            return False
        held = self._group.read_document()
        return held.version > request.document_version

    def _add_replica_state(
        self,
        batch: messages.Struct,
        request: messages.Struct,
    ) -> None:
        """Add the fields that do not come from the feed."""
        group = self._group
        now = self._clock.now()
        hosts = self.feed.list_hosts(now)
        batch.hosts = len(hosts)
        batch.strained = sorted(self._strained) if request.is_replica else []
        if request.is_replica and self._underused is not None:
            batch.underused = sorted(self._underused)
        self._blocked.add_rows(batch, now, is_replica=request.is_replica)
        self.quotas.add_rows(batch, hosts, is_replica=request.is_replica)
        self.spares.add_rows(batch, is_replica=request.is_replica)
        batch.substitutes = self._directory.list_substitutes(
            hosts, request, self._peer_batches.values()
        )
        # A replica reports other ones to hosts only.
        others = [] if request.is_replica else self._list_peers()
        batch.replicas = self._directory.list_places(others)
        batch.document_version = documents.NO_VERSION
        batch.has_quorum = False
        batch.is_up_to_date = False
        if request.is_replica or group is None:
            return
        batch.hosts += sum(one.hosts for one in self._peer_batches.values())
        batch.has_quorum = group.has_quorum()
        batch.is_up_to_date = group.is_up_to_date()
        batch.document_version = group.read_document().version


def create_service(
    address: identifiers.Address,
    domain: identifiers.FailureDomain,
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
    clock: clocks.Clock,
    read_services: configurations.ServiceReader = (
        configurations.read_no_services
    ),
) -> RegistryService:
    """Return a registry service without upstreams."""
    return RegistryService(address, domain, regions, clock, read_services)
