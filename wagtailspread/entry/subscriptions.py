"""Copy of the configuration on an entry host, updated from the replicas.

The host keeps a long poll open at a replica. When no replica answers, or when
gossip reports a newer version, the host fetches from a peer. The version never
decreases, and the copy stays active when all other processes fail.
"""

import asyncio
import contextlib
import os
import pathlib
import typing

import logbook

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.wire import links, listeners, messages

#: Timeout of a long poll, in seconds.
POLL_SECONDS = 3.0
#: Delay between retries while neither a replica nor a peer answers, in seconds.
RETRY_SECONDS = 0.5
#: Time without an answer after which a host is no longer ready, in seconds.
CONTACT_SECONDS = 5.0
#: Longest time in which a host makes sure that its copy is the newest version,
#: in seconds. A replica in another region answers within 0.1 s.
CONFIRM_SECONDS = 0.5
#: Age of an answer of a replica up to which it proves that, in seconds. Any
#: number of clients with unknown keys leads to one call in this time.
CONFIRMATION_AGE_SECONDS = 1.0
_CALL_SECONDS = 2.0
_COPY_NAME = 'configuration.bin'


_log = logbook.Logger('subscription')


class ConfigurationHolder(typing.Protocol):
    """Holder of the current configuration of this host."""

    @property
    def version(self) -> identifiers.ConfigurationVersion:
        """Return the current version, 0 if there is none."""

    def apply(
        self,
        delta: messages.Struct,
    ) -> result.Result[int, failures.Failure]:
        """Validate a ``ConfigurationDelta`` and apply it."""

    def read_delta(self, known_version: int) -> messages.Struct:
        """Return the delta from a version, or the full configuration."""


class ConfigurationSource(typing.Protocol):
    """Replicas from which the host reads the configuration."""

    async def fetch_configuration(
        self,
        known_version: identifiers.ConfigurationVersion,
        wait: float,
    ) -> result.Result[messages.Struct, failures.Failure]:
        """Return the delta from a version once there is a newer one.

        :param wait: longest time to wait for a newer version, in seconds.
        """


class CopyFile:
    """File with the last copy of the configuration.

    :param folder: folder of the file.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Start without reading or writing the file."""
        self._path = folder / _COPY_NAME

    def write(self, delta: messages.Struct) -> None:
        """Replace the copy atomically, so that a crash leaves it complete.

        :raises OSError: if the file cannot be written.
        """
        partial = self._path.with_suffix('.new')
        with partial.open('wb') as opened:
            opened.write(messages.encode(delta))
            opened.flush()
            os.fsync(opened.fileno())
        partial.replace(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def read(self) -> messages.Struct | None:
        """Return the copy, ``None`` if it is missing or unreadable."""
        try:
            payload = self._path.read_bytes()
            return messages.decode(
                messages.structs.ConfigurationDelta,
                payload,
            )
        except (OSError, messages.DecodeError):
            return None


class Subscription:
    """Keeps the configuration of this host up to date.

    :param list_peers: returns the control addresses of live hosts.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        source: ConfigurationSource,
        list_peers: typing.Callable[
            [],
            typing.Sequence[identifiers.Address],
        ],
        pool: links.LinkPool,
        clock: clocks.Clock,
        copy: CopyFile | None = None,
    ) -> None:
        """Start with the copy on disk, if there is one."""
        self._holder = holder
        self._source = source
        self._list_peers = list_peers
        self._pool = pool
        self._clock = clock
        self._copy = copy
        self._last_contact_at = float('-inf')
        self._confirmed_at = float('-inf')
        self._confirming: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        saved = None if copy is None else copy.read()
        if saved is not None:
            self._apply(saved)

    async def run(self) -> None:
        """Follow the replicas, else the peers, until cancelled."""
        while True:
            try:
                if await self.poll():
                    continue
                await self.fetch_from_peers()
            except Exception:
                _log.exception('configuration not updated')
            await asyncio.sleep(RETRY_SECONDS)

    async def poll(self) -> bool:
        """Wait for a newer version; return whether a replica answered."""
        answer = await self._source.fetch_configuration(
            self._holder.version,
            POLL_SECONDS,
        )
        if not isinstance(answer, result.Success):
            return False
        self._last_contact_at = self._clock.now()
        self._apply(answer.unwrap())
        return True

    async def fetch_from_peers(self) -> bool:
        """Ask peers in turn until one answers; return whether one did."""
        for address in self._list_peers():
            if await self.fetch_from(address):
                return True
        return False

    async def fetch_from(self, address: identifiers.Address) -> bool:
        """Fetch from one peer; return whether it answered."""
        answer = await self._pool.find(address).call(
            messages.methods.FETCH_CONFIGURATION,
            messages.structs.FetchConfiguration(
                known_version=self._holder.version,
                wait_ms=0,
            ),
            messages.structs.ConfigurationDelta,
            _CALL_SECONDS,
        )
        if not isinstance(answer, result.Success):
            return False
        self._last_contact_at = self._clock.now()
        self._apply(answer.unwrap())
        return True

    def is_current(self) -> bool:
        """Return whether a replica or peer answered recently.

        Without an answer the copy may be outdated. A fleet of one host has no
        peers and is always current once it has a version.
        """
        if not self._holder.version:
            return False
        if not self._list_peers():
            return True
        return self._clock.now() - self._last_contact_at < CONTACT_SECONDS

    async def confirm(self) -> bool:
        """Make sure that the copy is the newest version that a replica has.

        Concurrent calls share one call of a replica.

        :returns: ``False`` if no replica confirms it within
            :data:`CONFIRM_SECONDS`.
        """
        if self._is_confirmed():
            return True
        if self._confirming is None or self._confirming.done():
            self._confirming = asyncio.create_task(self._ask_replica())
        await asyncio.wait((self._confirming,))
        return self._is_confirmed()

    def register(self, listener: listeners.Listener) -> None:
        """Serve the copy to peers."""
        listener.add(
            messages.methods.FETCH_CONFIGURATION,
            messages.structs.FetchConfiguration,
            self.answer_fetch,
        )

    async def answer_fetch(
        self,
        _call: listeners.Call,
        struct: messages.Struct,
    ) -> listeners.HandlerResult:
        """Answer a peer with the delta from its version.

        If there is no newer version, the answer waits for one, for the time
        that the peer asks for but at most :data:`POLL_SECONDS`.
        """
        known = struct.known_version or 0
        wait = min((struct.wait_ms or 0) / 1000, POLL_SECONDS)
        if known >= self._holder.version and wait > 0:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                return result.Success(self._holder.read_delta(known))
        return result.Success(self._holder.read_delta(known))

    def _is_confirmed(self) -> bool:
        age = self._clock.now() - self._confirmed_at
        return bool(self._holder.version) and age < CONFIRMATION_AGE_SECONDS

    async def _ask_replica(self) -> None:
        asked_at = self._clock.now()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_SECONDS):
                answer = await self._source.fetch_configuration(
                    self._holder.version, 0.0
                )
            if not isinstance(answer, result.Success):
                return
            delta = answer.unwrap()
            self._apply(delta)
            if self._holder.version >= (delta.to_version or 0):
                self._confirmed_at = asked_at

    def _apply(self, delta: messages.Struct) -> None:
        if (delta.to_version or 0) <= self._holder.version:
            return
        applied = self._holder.apply(delta)
        if not isinstance(applied, result.Success):
            return
        self._changed.set()
        self._changed = asyncio.Event()
        if self._copy is None:
            return
        try:
            self._copy.write(self._holder.read_delta(0))
        except OSError as error:
            # The version is active; only the next start lacks it.
            _log.error('configuration not saved', extra={'reason': str(error)})
