"""Composition and lifecycle of a gateway host."""

import asyncio
import dataclasses
import random
import typing

import logbook

from wagtailspread.core import clocks, identifiers, packages, tasks
from wagtailspread.entry import deliveries, holdings
from wagtailspread.gateway import attempts, buffers, exchanges, headers
from wagtailspread.gateway import placements, readiness, servers, stops
from wagtailspread.placement import budgets, costs, permits, selection
from wagtailspread.registry import blocked, downloads, followers, records
from wagtailspread.registry import tables as registries
from wagtailspread.routing import tables, terms
from wagtailspread.wire import credentials, links, listeners, messages
from wagtailspread.workspaces import caps, fleets

ROLE = 'host'
#: Time between two checks whether all requests have ended, in seconds.
STOP_POLL_SECONDS = 0.05
#: Timeout for opening a connection to a replica, in seconds. A lost SYN packet
#: is retransmitted only after one second; a new attempt is made sooner.
CONNECT_SECONDS = 0.3
#: Minimum number of hosts that are assumed to share the retry budget. It also
#: applies until their number is known.
MIN_BUDGET_HOSTS = 40
#: Longest time for which the allocator of the host waits for a configuration
#: before its modules are imported, in seconds.
MAX_SUBSTITUTE_DELAY_SECONDS = 3.0
#: Pause after the import of each of them, in seconds.
SUBSTITUTE_PAUSE_SECONDS = 0.05
#: The modules of the allocator, each before those that import it.
_SUBSTITUTE_MODULES = (
    'wagtailspread.placement.floors',
    'wagtailspread.placement.open_requests',
    'wagtailspread.placement.allocators',
    'wagtailspread.placement.services',
    'wagtailspread.gateway.substitutes',
)

_log = logbook.Logger('gateway')


@dataclasses.dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one host.

    :param ready_path: path of the balancer's readiness check.
    :param link_address: for the internal protocol of the fleet.
    :param find_seeds: returns current addresses of some replicas.
    :param stop_seconds: maximum duration of a stop, in seconds.
    :param response_limits: limits of the responses that are being read.
    :param key_seconds: time for which keys of workspaces are accepted after a
        replica last confirmed the active version; ``None`` for no limit.
    :param caller_bytes: memory that all callers together may hold.
    :param unread_bytes: memory for responses that clients do not read.
    :param cap_limits: how far the caps of workspaces may be exceeded.
    """

    host: identifiers.HostId
    location: costs.Location
    caller_address: identifiers.Address
    ready_address: identifiers.Address
    ready_path: str
    link_address: identifiers.Address
    find_seeds: typing.Callable[[], typing.Iterable[identifiers.Address]]
    local_credentials: credentials.Credentials
    directory: credentials.MemberDirectory
    header_names: headers.HeaderNames
    retry_budget: budgets.RetryBudgetSettings
    stop_seconds: float
    response_limits: buffers.ResponseLimits
    key_seconds: float | None = None
    caller_bytes: int = holdings.compute_total()
    unread_bytes: int = deliveries.compute_total()
    cap_limits: caps.Limits = caps.Limits()


class DocumentReader(typing.Protocol):
    """Parses the configuration document of the platform."""

    def __call__(self, body: bytes) -> terms.RoutingSettings | None:
        """Return the settings, or ``None`` if the document is invalid."""


class GatewayHost:
    """One host with all its components. Use :func:`create_host`."""

    def __init__(
        self,
        settings: GatewaySettings,
        read_document: DocumentReader,
        clock: clocks.Clock,
    ) -> None:
        """Create the components; needs a running event loop."""
        self._settings = settings
        self._read_document = read_document
        self._clock = clock
        self._host_count = 0
        self._fleet = fleets.create_size()
        self._has_caps = False
        self._is_stopping = False
        # Registry and placement use separate connections, so that waiting
        # calls of one do not delay the other. Documents are sent in parts
        # over the registry connection: one more connection per host would
        # keep replicas busy for a while when all hosts start at once.
        self._pool = _create_pool(settings)
        self._placement_pool = _create_pool(settings)
        self.selector = selection.create_selector(
            registries.create_table(),
            settings.location.regions,
        )
        self._placer = placements.create_placer(
            settings.host,
            settings.location,
            self._placement_pool,
            self.selector,
            self._create_budget(settings.retry_budget),
            clock,
            permits.create_lone_permits(settings.cap_limits, self._fleet),
        )
        self._exchanger = exchanges.create_exchanger(
            settings.header_names,
            settings.response_limits,
        )
        self._stop_limit = stops.StopLimit()
        runner = attempts.AttemptRunner(
            settings.host,
            settings.location.domain,
            self._placer,
            self._exchanger,
            self._stop_limit,
            lambda: self.follower.lag.is_obsolete(clock.now()),
            self._has_old_keys,
        )
        self.server = servers.create_server(
            runner,
            settings.header_names,
            tables.SplitCounter(random.Random()),
            lambda: self.follower.lag.is_current(clock.now()),
            self._stop_limit,
            lambda: self.follower.lag.is_behind,
        )
        self.server.site.budget.total_bytes = settings.caller_bytes
        self.server.deliveries.total_bytes = settings.unread_bytes
        self._readiness = readiness.ReadinessServer(
            settings.ready_path,
            self.is_ready,
        )
        sources = followers.SourceList(settings.find_seeds, self._get_distance)
        self.follower = followers.ChangeFollower(
            settings.host,
            settings.link_address,
            settings.location.domain,
            sources,
            self._pool,
            clock,
            self._apply_changes,
            self.selector.registry,
        )
        self.follower.find_allocator = self._find_allocator
        self.downloader = downloads.DocumentDownloader(
            self._pool,
            self.follower.list_sources,
            self._apply_document,
        )
        self._listener = listeners.create_listener(
            settings.local_credentials,
            settings.directory,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers to this host."""
        has_configuration = self.server.routes is not None
        has_upstreams = bool(self.selector.registry.rows)
        return has_configuration and has_upstreams and not self._is_stopping

    async def start(self) -> None:
        """Start listening and following the replicas."""
        functions = {
            'follower': self.follower.follow,
            'downloader': self.downloader.run,
            'substitute allocator': self._run_substitute,
            'response log': self.server.response_log.run,
        }
        self._tasks = [
            asyncio.create_task(tasks.keep_running(name, run))
            for name, run in functions.items()
        ]
        await self._listener.start(self._settings.link_address)
        await self._readiness.start(self._settings.ready_address)
        await self.server.site.start(self._settings.caller_address)
        _log.info('host started')

    async def stop(self) -> None:
        """Report not ready, wait until open requests end, then close.

        New connections are accepted at first. Then kept connections without a
        request are closed, and a request that comes late is refused unless it
        ends in time. Requests that are still open near the end are answered by
        the host. See also :class:`~wagtailspread.gateway.stops.StopSchedule`.
        """
        loop = asyncio.get_running_loop()
        schedule = stops.create_schedule(
            loop.time(), self._settings.stop_seconds
        )
        self._stop_limit.apply(schedule)
        self._is_stopping = True
        site = self.server.site
        site.close_after_answers()
        await asyncio.sleep(schedule.accept_until - loop.time())
        await site.stop_listening()
        while site.close_idle() and loop.time() < schedule.close_at:
            await asyncio.sleep(STOP_POLL_SECONDS)
        left = site.count_active()
        # Their handlers would otherwise delay the stop beyond its end.
        site.abort_unread()
        await site.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._placer.close()
        await self._listener.close()
        await self._exchanger.close()
        await self._readiness.close()
        await self._pool.close()
        await self._placement_pool.close()
        counts = self.server.response_log.counts
        _log.info(
            'host stopped',
            extra={
                'open_requests': left,
                'counts': dict(counts),
                'pipelined_requests': site.count_pipelined(),
                'unread_ends': dict(self.server.deliveries.ended),
                'most_unread_bytes': self.server.deliveries.most_bytes,
            },
        )

    async def _run_substitute(self) -> None:
        """Run the allocator that is used if no replica answers.

        Its modules are imported when requests can be served, and with pauses in
        which they are.
        """
        loop = asyncio.get_running_loop()
        latest = loop.time() + MAX_SUBSTITUTE_DELAY_SECONDS
        while self.server.routes is None and loop.time() < latest:
            await asyncio.sleep(SUBSTITUTE_PAUSE_SECONDS)
        substitutes = await packages.import_gradually(
            _SUBSTITUTE_MODULES, SUBSTITUTE_PAUSE_SECONDS
        )
        service = substitutes.create_service(
            self.selector.registry,
            self._settings.location.regions,
            self._settings.retry_budget,
            self._placer.crashes,
            self._clock,
            lambda: self.selector.silent,
            permits.QuotaSettings(
                self._settings.cap_limits,
                caps.AllowancePart.SUBSTITUTE,
                self._fleet.estimate,
            ),
        )
        service.register(self._listener)
        await service.run()

    def _create_budget(
        self, retries: budgets.RetryBudgetSettings
    ) -> budgets.SharedRetryBudget:
        return budgets.create_budget(
            retries,
            budgets.BudgetShare.HOST,
            lambda: max(self._host_count, MIN_BUDGET_HOSTS),
        )

    def _has_old_keys(self) -> bool:
        """Tell whether keys may have been revoked too long ago."""
        seconds = self._settings.key_seconds
        if seconds is None:
            return False
        start = self._clock.now() - seconds
        return not self.follower.lag.was_confirmed_since(start)

    def _get_distance(self, domain: identifiers.FailureDomain) -> int:
        """Return 0 for the local failure domain, 1 in its region, else 2."""
        location = self._settings.location
        if domain == location.domain:
            return 0
        region = location.regions.get(location.domain)
        return 1 if location.regions.get(domain) == region else 2

    def _find_allocator(self) -> identifiers.Address | None:
        """Return the allocator to ask, if the configuration has caps."""
        return self._placer.find_allocator() if self._has_caps else None

    def _apply_changes(self, batch: messages.Struct) -> None:
        """Apply the changes that a replica sent."""
        now = self._clock.now()
        registry = self.selector.registry
        for record in records.from_rows(batch.rows):
            registry.merge(record, now)
        if batch.rows:
            registry.remove_expired_tombstones(now)
            self.selector.prune(now)
        registry.replace_upheld(frozenset(batch.upheld or ()))
        self.selector.silent = frozenset(batch.silent)
        # A replica that has just started knows of few hosts.
        self._host_count = max(self._host_count, batch.hosts)
        self._fleet.record(batch.hosts, now)
        for fingerprint, seconds in blocked.read_blocked(batch).items():
            self._placer.crashes.block(fingerprint, now + seconds)
        self._placer.update_allocators(batch.replicas, batch.substitutes)
        if self.follower.lag.is_behind:
            self.downloader.request_version(self.follower.lag.newest_version)

    def _apply_document(self, version: int, body: bytes) -> None:
        settings = self._read_document(body)
        if settings is None:
            _log.error(
                'configuration invalid',
                extra={'configuration_version': version},
            )
            return
        self.server.apply_settings(settings)
        self.selector.registry.replace_services(
            settings.connections, self._clock.now()
        )
        self._has_caps = any(
            workspace.cap.is_limited for workspace in settings.workspaces
        )
        lag = self.follower.lag.describe(self._clock.now())
        self.follower.lag.record_active_version(version)
        _log.info(
            'configuration in force',
            extra={
                'configuration_version': version,
                'behind_seconds': lag['behind_seconds'],
            },
        )


def create_host(
    settings: GatewaySettings,
    read_document: DocumentReader,
    clock: clocks.Clock | None = None,
) -> GatewayHost:
    """Return a host that is not started; needs a running event loop."""
    return GatewayHost(settings, read_document, clock or LoopClock())


def _create_pool(settings: GatewaySettings) -> links.LinkPool:
    return links.LinkPool(
        settings.local_credentials,
        settings.directory,
        CONNECT_SECONDS,
    )


class LoopClock:
    """Clock of the event loop, shared by all components of a host."""

    def now(self) -> float:
        """Return the event loop's seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return clocks.SystemClock.wall()
