"""Keeps a host's configuration current: from a replica, or from a peer.

A long poll stays open at one replica. When gossip tells of a newer version
and the replicas do not deliver it, the host fetches it from that peer.
"""

import asyncio
import typing

from returns import result

from wagtailspread.core import clocks, identifiers
from wagtailspread.membership import agents
from wagtailspread.observability import logs
from wagtailspread.processes import copies
from wagtailspread.wire import links, listeners, messages

_LOGGER = logs.get_logger('configuration')
#: Longest time that one long poll stays open, in seconds.
POLL_SECONDS = 20.0
#: Pause after a failed poll, in seconds.
RETRY_SECONDS = 0.5
#: Time between two looks for a peer with a newer version, in seconds.
RELAY_SECONDS = 0.2
_RELAY_TIMEOUT = 2.0


class Source(typing.Protocol):
    """The replicas, as a source of configuration."""

    async def fetch_configuration(
        self,
        known_version: identifiers.ConfigurationVersion,
        wait: float,
    ) -> links.CallResult:
        """Return a delta, after ``wait`` seconds at the latest."""


class Subscription:
    """Two loops that move a copy to the newest version."""

    def __init__(
        self,
        copy: copies.ConfigurationCopy,
        source: Source,
        agent: agents.Agent,
        pool: links.LinkPool,
        clock: clocks.Clock,
    ) -> None:
        """Keep the parts; nothing runs yet."""
        self.replica_heard = -RETRY_SECONDS
        self._copy = copy
        self._source = source
        self._agent = agent
        self._pool = pool
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []

    def attach(self, listener: listeners.Listener) -> None:
        """Serve the own copy to peers."""
        listener.add(
            messages.methods.FETCH_CONFIGURATION,
            messages.structs.FetchConfiguration,
            self._serve,
        )

    def start(self) -> None:
        """Begin to follow, in the running event loop."""
        self._agent.configuration_version = self._copy.version
        self._tasks = [
            asyncio.create_task(self._follow_replicas()),
            asyncio.create_task(self._follow_peers()),
        ]

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow_replicas(self) -> None:
        known = self._copy.version
        while True:
            fetched = await self._source.fetch_configuration(
                known,
                POLL_SECONDS,
            )
            if isinstance(fetched, result.Success):
                self.replica_heard = self._clock.now()
                known = self._take(fetched.unwrap(), known)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow_peers(self) -> None:
        while True:
            await asyncio.sleep(RELAY_SECONDS)
            newest = self._agent.find_newest()
            if newest is not None:
                await self._fetch_from(newest)

    async def _fetch_from(self, newest: agents.NewestVersion) -> None:
        request = messages.structs.FetchConfiguration(
            known_version=self._copy.version,
            wait_ms=0,
        )
        fetched = await self._pool.find(newest.address).call(
            messages.methods.FETCH_CONFIGURATION,
            request,
            messages.structs.ConfigurationDelta,
            _RELAY_TIMEOUT,
        )
        if isinstance(fetched, result.Success):
            self._take(fetched.unwrap(), self._copy.version)

    def _take(
        self,
        delta: messages.Struct,
        known: identifiers.ConfigurationVersion,
    ) -> identifiers.ConfigurationVersion:
        """Apply a delta and return the version to ask from next."""
        if self._copy.apply(delta):
            self._agent.configuration_version = self._copy.version
        elif delta.to_version > self._copy.version:
            _LOGGER.warning(
                'delta does not apply; asking for the full text',
                extra={'from': known, 'to': delta.to_version},
            )
            return identifiers.ConfigurationVersion(0)
        return self._copy.version

    async def _serve(
        self,
        _call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        return result.Success(self._copy.delta_since(request.known_version))
