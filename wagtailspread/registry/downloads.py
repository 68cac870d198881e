"""Gets the configuration document from replicas, over links of any speed.

Each call asks for a part that the link carries in the time of the call, and
what has come stays. So a download goes on over a slow link, at another replica
and towards a newer version; it never begins anew.
"""

import asyncio
import dataclasses
import typing

import logbook

from returns import result

from wagtailspread.configuration import chunks, documents
from wagtailspread.core import failures, identifiers
from wagtailspread.registry import publications
from wagtailspread.wire import links, messages

#: Time for one call at first, in seconds. A replica that was lost is noticed
#: in that time.
INITIAL_CALL_SECONDS = 0.5
#: Longest time for one call, in seconds.
MAX_CALL_SECONDS = 2.0
#: Bytes of chunks that the first call asks for, before compression.
INITIAL_CALL_BYTES = 16 * 1024
#: Chunks that are named in one call.
MAX_REQUESTED_CHUNKS = publications.MAX_ANSWER_BYTES // chunks.MIN_CHUNK_BYTES
#: Most bytes of an answer: those asked for, or one chunk, with their lengths.
MAX_RECEIVED_BYTES = 2 * publications.MAX_ANSWER_BYTES
#: Pause when no replica has the version, in seconds.
RETRY_BACKOFF_SECONDS = 0.1

#: An answer in one part of so many of the time of its call came soon.
_FAST_ANSWER_DIVISOR = 4

_log = logbook.Logger('downloads')


@dataclasses.dataclass(slots=True)
class _CallLimits:
    """What the link to one replica carries.

    :param seconds: longest time for the next call.
    :param size: bytes of chunks that the next call asks for.
    """

    seconds: float = INITIAL_CALL_SECONDS
    size: int = INITIAL_CALL_BYTES

    def decrease(self) -> None:
        """Ask for less, and wait longer, after a call that failed."""
        self.seconds = min(2 * self.seconds, MAX_CALL_SECONDS)
        # One chunk is answered even if it is larger.
        self.size = max(self.size // 2, chunks.MIN_CHUNK_BYTES)

    def increase(self, duration: float) -> None:
        """Ask for more after an answer that came soon."""
        if duration * _FAST_ANSWER_DIVISOR < self.seconds:
            self.seconds = max(self.seconds / 2, INITIAL_CALL_SECONDS)
            self.size = min(2 * self.size, publications.MAX_ANSWER_BYTES)


class DocumentDownloader:
    """Keeps a host at the newest document that it has heard of.

    :param version: of the last whole document.
    """

    def __init__(
        self,
        pool: links.LinkPool,
        list_sources: typing.Callable[[], list[identifiers.Address]],
        apply: typing.Callable[[int, bytes], None],
    ) -> None:
        """Hold no document.

        :param list_sources: returns the replicas to ask, the best one first.
        :param apply: takes each whole document with its version.
        """
        self.version = documents.NO_VERSION
        self._wanted_version = documents.NO_VERSION
        self._pool = pool
        self._list_sources = list_sources
        self._apply = apply
        self._assembly = chunks.create_assembly()
        self._has_work = asyncio.Event()
        self._limits: dict[identifiers.Address, _CallLimits] = {}

    def get(self, version: int) -> None:
        """Get this version or a newer one."""
        if version > self._wanted_version:
            self._wanted_version = version
            self._has_work.set()

    async def run(self) -> None:
        """Download until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            while self.version < self._wanted_version:
                if not await self._try_all_replicas():
                    await asyncio.sleep(RETRY_BACKOFF_SECONDS)
            self._limits.clear()

    async def _try_all_replicas(self) -> bool:
        """Ask all replicas; whatever they answer, the task goes on."""
        try:
            return await self._download_from_any()
        except Exception:
            _log.exception('download failed')
            return False

    async def _download_from_any(self) -> bool:
        """Ask one replica after another; tell whether one was enough."""
        for address in self._list_sources():
            if await self._download(address):
                return True
        return False

    async def _download(self, address: identifiers.Address) -> bool:
        """Get the document of one replica; tell whether it is whole."""
        previous: chunks.Manifest | None = None
        while True:
            manifest = await self._read_manifest(address)
            if manifest is None or manifest.version <= self.version:
                return False
            if manifest == previous:
                _log.warning(
                    'chunks missing at a replica',
                    extra={'replica': address, 'version': manifest.version},
                )
                return False
            self._assembly.start(manifest)
            if not await self._fetch_missing(address):
                return False
            if not self._assembly.list_missing():
                return self._finish(manifest.version)
            previous = manifest

    async def _fetch_missing(self, address: identifiers.Address) -> bool:
        """Get chunks until none are missing; tell whether all calls worked.

        It ends too when the replica has none of them, since it has gone on to
        a newer version.
        """
        while missing := self._assembly.list_missing():
            taken = await self._read_chunks(address, missing)
            if not taken:
                return taken is not None
        return True

    def _finish(self, version: int) -> bool:
        try:
            body = self._assembly.finish()
        except chunks.DamagedDocument:
            _log.error('document damaged', extra={'version': version})
            return False
        self.version = version
        try:
            self._apply(version, body)
        except Exception:
            # The versions that follow must still be got.
            _log.exception('document not applied', extra={'version': version})
        return True

    async def _read_manifest(
        self,
        address: identifiers.Address,
    ) -> chunks.Manifest | None:
        answer = await self._call(
            address,
            messages.methods.READ_MANIFEST,
            messages.structs.Empty(),
            messages.structs.DocumentManifest,
        )
        if answer is None:
            return None
        return chunks.Manifest(
            answer.version,
            answer.digest,
            chunks.split_ids(answer.chunks),
        )

    async def _read_chunks(
        self,
        address: identifiers.Address,
        missing: list[chunks.ChunkId],
    ) -> int | None:
        """Return how many missing chunks came, ``None`` after a failure."""
        request = messages.structs.ReadChunks(
            chunks=chunks.join_ids(missing[:MAX_REQUESTED_CHUNKS]),
            most_bytes=self._find_limits(address).size,
        )
        answer = await self._call(
            address,
            messages.methods.READ_CHUNKS,
            request,
            messages.structs.ChunkBatch,
        )
        if answer is None:
            return None
        try:
            received = chunks.unpack(answer.packed, MAX_RECEIVED_BYTES)
        except chunks.DamagedChunks as error:
            self._log_failure(address, str(error))
            return None
        wanted = set(missing)
        for chunk in received:
            wanted.discard(self._assembly.add(chunk))
        return len(missing) - len(wanted)

    async def _call(
        self,
        address: identifiers.Address,
        method: int,
        request: messages.Struct,
        answer_type: typing.Any,
    ) -> messages.Struct | None:
        """Return the answer; adapt the next call to the link."""
        limits = self._find_limits(address)
        started = asyncio.get_running_loop().time()
        answer = await self._pool.find(address).call(
            method,
            request,
            answer_type,
            limits.seconds,
        )
        if isinstance(answer, result.Success):
            if method == messages.methods.READ_CHUNKS:
                duration = asyncio.get_running_loop().time() - started
                limits.increase(duration)
            return answer.unwrap()
        if isinstance(answer.failure(), failures.CallRejected):
            # The replica holds no document yet; nothing is wrong with the link.
            return None
        self._log_failure(address, answer.failure().describe())
        if limits.seconds >= MAX_CALL_SECONDS:
            # The connection may have gone silent. It is also that of the
            # registry, so a call that a slow link cuts short does not end it.
            await self._pool.forget(address)
        limits.decrease()
        return None

    def _find_limits(self, address: identifiers.Address) -> _CallLimits:
        return self._limits.setdefault(address, _CallLimits())

    def _log_failure(self, address: identifiers.Address, reason: str) -> None:
        _log.warning(
            'configuration part not received',
            extra={
                'replica': address,
                'reason': reason,
                'wanted_version': self._wanted_version,
                'asked_bytes': self._find_limits(address).size,
            },
        )
