"""Downloads the configuration document from replicas over links of any speed.

Each call requests only as many bytes as the link transfers within the call's
timeout, and received chunks are retained. A download therefore continues over a
slow link, at another replica or with a newer version without a restart.
"""

import asyncio
import dataclasses
import typing

import logbook

from returns import result

from wagtailspread.configuration import chunks, documents
from wagtailspread.core import failures, identifiers
from wagtailspread.wire import links, messages

#: Initial and shortest timeout of a call, in seconds. A replica that has
#: failed is detected within this time.
INITIAL_CALL_SECONDS = 0.5
#: Longest timeout of a call, in seconds.
MAX_CALL_SECONDS = 2.0
#: Bytes of chunks that the first call requests, before compression.
INITIAL_CALL_BYTES = 16 * 1024
#: Maximum number of chunk ids in one request.
MAX_REQUESTED_CHUNKS = chunks.MAX_ANSWER_BYTES // chunks.MIN_CHUNK_BYTES
#: Limit on an unpacked answer, in bytes: the requested size or one chunk,
#: including the length fields.
MAX_RECEIVED_BYTES = 2 * chunks.MAX_ANSWER_BYTES
#: Backoff after no replica could provide the version, in seconds.
RETRY_BACKOFF_SECONDS = 0.1

#: An answer within the call's timeout divided by this number counts as fast.
_FAST_ANSWER_DIVISOR = 4

_log = logbook.Logger('downloads')


@dataclasses.dataclass(slots=True)
class _CallLimits:
    """Timeout and size of the next call, adapted to the link to one replica.

    :param seconds: timeout of the next call.
    :param size: bytes of chunks that the next call requests.
    """

    seconds: float = INITIAL_CALL_SECONDS
    size: int = INITIAL_CALL_BYTES

    def back_off(self) -> None:
        """Request less and wait longer after a call that failed."""
        self.seconds = min(2 * self.seconds, MAX_CALL_SECONDS)
        # A replica sends at least one chunk, even if it is larger than this.
        self.size = max(self.size // 2, chunks.MIN_CHUNK_BYTES)

    def ramp_up(self, duration: float) -> None:
        """Request more and shorten the timeout after a fast answer.

        :param duration: time until the answer arrived, in seconds.
        """
        if duration * _FAST_ANSWER_DIVISOR < self.seconds:
            self.seconds = max(self.seconds / 2, INITIAL_CALL_SECONDS)
            self.size = min(2 * self.size, chunks.MAX_ANSWER_BYTES)


class DocumentDownloader:
    """Updates the document of a host to the newest version that it knows of.

    :param version: version of the last document downloaded completely.
    """

    def __init__(
        self,
        pool: links.LinkPool,
        list_sources: typing.Callable[[], list[identifiers.Address]],
        apply: typing.Callable[[int, bytes], None],
    ) -> None:
        """Start without a document.

        :param list_sources: returns the replicas to ask, by preference.
        :param apply: is called with the version and the body of each document.
        """
        self.version = documents.NO_VERSION
        self._wanted_version = documents.NO_VERSION
        self._pool = pool
        self._list_sources = list_sources
        self._apply = apply
        self._assembly = chunks.create_assembly()
        self._has_work = asyncio.Event()
        self._limits_by_replica: dict[identifiers.Address, _CallLimits] = {}

    def request_version(self, version: int) -> None:
        """Request the download of this version or a newer one."""
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
            self._limits_by_replica.clear()

    async def _try_all_replicas(self) -> bool:
        """Ask all replicas and log any error, so that the task continues."""
        try:
            return await self._download_from_any()
        except Exception:
            _log.exception('download failed')
            return False

    async def _download_from_any(self) -> bool:
        """Ask the replicas in turn; tell whether one provided a document."""
        for address in self._list_sources():
            if await self._download(address):
                return True
        return False

    async def _download(self, address: identifiers.Address) -> bool:
        """Download the document of one replica; tell whether it succeeded.

        A replica may publish a newer version during the download; its manifest
        is then read again. If the manifest is unchanged, the replica lacks
        chunks of its document, and the download from it ends.
        """
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
        """Fetch missing chunks; tell whether all calls succeeded.

        It also ends when the replica holds none of the missing chunks, because
        it has published a newer version.
        """
        while missing := self._assembly.list_missing():
            arrived = await self._read_chunks(address, missing)
            if not arrived:
                return arrived is not None
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
            # A document that cannot be applied must not prevent the download
            # of later versions.
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
        """Return how many missing chunks arrived, ``None`` after a failure."""
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
        """Return the answer and adapt the limits of the next call.

        :returns: ``None`` if the call failed or was rejected.
        """
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
                limits.ramp_up(duration)
            return answer.unwrap()
        if isinstance(answer.failure(), failures.CallRejected):
            # The replica holds no document yet. This is no sign of a slow
            # link, so the limits stay.
            return None
        self._log_failure(address, answer.failure().describe())
        if limits.seconds >= MAX_CALL_SECONDS:
            # The connection may be dead. The registry uses it too, so it is
            # not closed after a shorter timeout, which a slow link explains.
            await self._pool.remove(address)
        limits.back_off()
        return None

    def _find_limits(self, address: identifiers.Address) -> _CallLimits:
        return self._limits_by_replica.setdefault(address, _CallLimits())

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
