"""Serves the configuration document of a replica in chunks.

A manifest is 500 times smaller than its document, and the follower limits the
size of an answer with chunks, so no answer blocks a slow link.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import chunks, documents
from wagtailspread.core import failures
from wagtailspread.wire import listeners, messages


class NoDocument(failures.Failure):
    """The replica holds no configuration document yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PublishedVersion:
    """One version of the document, split into chunks."""

    manifest: chunks.Manifest
    chunks: dict[chunks.ChunkId, bytes]


_EMPTY_VERSION = _PublishedVersion(
    chunks.Manifest(documents.NO_VERSION, b'', ()), {}
)


class DocumentPublisher:
    """Serves manifests and chunks to the followers of one replica.

    :param read_document: returns the newest document known to be committed.
    """

    def __init__(
        self,
        read_document: typing.Callable[[], documents.VersionedDocument],
    ) -> None:
        """Start without a published version."""
        self._read_document = read_document
        self._newest = _EMPTY_VERSION
        # Retained so that followers can complete a download of this version
        # after a newer one has been published.
        self._previous = _EMPTY_VERSION

    def register(self, listener: listeners.Listener) -> None:
        """Register the methods for followers at a listener."""
        structs = messages.structs
        listener.add(
            messages.methods.READ_MANIFEST,
            structs.Empty,
            self._answer_manifest,
        )
        listener.add(
            messages.methods.READ_CHUNKS,
            structs.ReadChunks,
            self._answer_chunks,
        )

    def find_manifest(self) -> chunks.Manifest | None:
        """Publish the newest document and return its manifest.

        :returns: ``None`` if there is no document yet.
        """
        document = self._read_document()
        if document.version != self._newest.manifest.version:
            self._previous = self._newest
            self._newest = _PublishedVersion(
                *chunks.split_with_manifest(document.version, document.body),
            )
        manifest = self._newest.manifest
        return None if manifest.version == documents.NO_VERSION else manifest

    def collect(
        self,
        wanted: typing.Iterable[chunks.ChunkId],
        max_bytes: int,
    ) -> list[bytes]:
        """Return the wanted chunks that are available, up to a size limit.

        :param max_bytes: limit on the total size, in bytes, which is also
            limited by the size of an answer. The first chunk is returned
            even if it is larger.
        """
        found: list[bytes] = []
        remaining_bytes = min(max_bytes, chunks.MAX_ANSWER_BYTES)
        for identity in wanted:
            chunk = self._newest.chunks.get(identity)
            if chunk is None:
                chunk = self._previous.chunks.get(identity)
            if chunk is None:
                continue
            remaining_bytes -= len(chunk)
            if found and remaining_bytes < 0:
                break
            found.append(chunk)
        return found

    async def _answer_manifest(
        self,
        _call: listeners.Call,
        _request: messages.Struct,
    ) -> listeners.HandlerResult:
        manifest = self.find_manifest()
        if manifest is None:
            return result.Failure(NoDocument())
        return result.Success(
            messages.structs.DocumentManifest(
                version=manifest.version,
                digest=manifest.digest,
                chunks=chunks.join_ids(manifest.chunks),
            ),
        )

    async def _answer_chunks(
        self,
        _call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        self.find_manifest()
        found = self.collect(
            chunks.split_ids(request.chunks),
            request.most_bytes,
        )
        packed = chunks.pack(found)
        return result.Success(messages.structs.ChunkBatch(packed=packed))


def create_publisher(
    read_document: typing.Callable[[], documents.VersionedDocument],
) -> DocumentPublisher:
    """Return a publisher that has read no document yet."""
    return DocumentPublisher(read_document)
