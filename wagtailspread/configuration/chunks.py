"""Content-defined chunking of documents, so that only new chunks are sent.

The content of a document determines its chunk boundaries. A change in one
place therefore leaves the other chunks unchanged, even if their offsets
change. A manifest lists the chunk ids of a version in order; a receiver with
an earlier version, or a part of this one, requests only the missing chunks.

>>> routes = [b'{"path": "/%d/"}' % number for number in range(5000)]
>>> old, new = b','.join(routes), b','.join(routes[:9] + routes[10:])
>>> assembly = create_assembly()
>>> assembly.start(create_manifest(1, old))
>>> for chunk in split(old):
...     _ = assembly.add(chunk)
>>> assembly.finish() == old
True
>>> assembly.start(create_manifest(2, new))
>>> len(assembly.list_missing()), len(split(new)) > 20
(1, True)

References: A. Muthitacharoen, B. Chen, D. Mazieres, A Low-bandwidth Network
File System, SOSP 2001, on content-defined chunk boundaries.
"""

import dataclasses
import hashlib
import re
import struct
import typing
import zlib

#: Minimum size of a chunk, except for the last chunk of a document.
MIN_CHUNK_BYTES = 1024
#: Maximum size of a chunk: the capacity of a 64 kbit/s link in 2 s.
MAX_CHUNK_BYTES = 16 * 1024
#: Limit on the chunks in one answer, in bytes before compression.
MAX_ANSWER_BYTES = 64 * 1024
#: Length of a chunk id.
ID_BYTES = 8
#: On average, one segment in this many ends a chunk. Segments of 150 bytes, a
#: typical route, give chunks of 3 to 4 KiB.
_SEGMENTS_PER_END = 16
#: A segment ends with an object or a line, the units that changes add,
#: remove or replace.
_SEGMENT = re.compile(rb'[^}\n]{0,16383}[}\n]?', re.DOTALL)

_LENGTH = struct.Struct('>I')

ChunkId = typing.NewType('ChunkId', bytes)


class DamagedDocument(Exception):
    """The chunks of a manifest do not match the digest of its document."""


class DamagedChunks(Exception):
    """Packed chunks cannot be decoded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """The chunk ids of one version of a document.

    :param digest: SHA-256 digest of the whole document.
    :param chunks: chunk ids in document order.
    """

    version: int
    digest: bytes
    chunks: tuple[ChunkId, ...]


class Assembly:
    """Assembles documents from chunks. Use :func:`create_assembly`.

    Received chunks are stored until a document is finished that does not use
    them, so that a newer version that arrives during a download costs only its
    changed chunks.
    """

    def __init__(self) -> None:
        """Start without chunks."""
        self._chunks: dict[ChunkId, bytes] = {}
        self._manifest = Manifest(-1, b'', ())

    @property
    def version(self) -> int:
        """Version that is being assembled."""
        return self._manifest.version

    def start(self, manifest: Manifest) -> None:
        """Assemble this version from now on; stored chunks are reused."""
        self._manifest = manifest

    def list_missing(self) -> list[ChunkId]:
        """Return the ids of the missing chunks, without duplicates."""
        chunk_ids = dict.fromkeys(self._manifest.chunks)
        return [
            chunk_id for chunk_id in chunk_ids if chunk_id not in self._chunks
        ]

    def add(self, chunk: bytes) -> ChunkId:
        """Store a chunk; return its id."""
        chunk_id = compute_chunk_id(chunk)
        self._chunks[chunk_id] = chunk
        return chunk_id

    def finish(self) -> bytes:
        """Return the document, and drop the chunks that it does not use.

        :raises DamagedDocument: if the document does not match the digest in
            the manifest; all chunks are dropped then.
        """
        available, self._chunks = self._chunks, {}
        body = b''.join(
            available[chunk_id] for chunk_id in self._manifest.chunks
        )
        if _digest(body) != self._manifest.digest:
            raise DamagedDocument(
                f'document of version {self.version} does not match the digest '
                'in its manifest',
            )
        self._chunks = {
            chunk_id: available[chunk_id] for chunk_id in self._manifest.chunks
        }
        return body


def create_assembly() -> Assembly:
    """Return an assembly without chunks."""
    return Assembly()


def split(body: bytes) -> list[bytes]:
    """Return the chunks of a document in order.

    A chunk ends at a segment whose checksum selects it, or at the maximum
    size.
    """
    chunks: list[bytes] = []
    start = 0
    for segment in _SEGMENT.finditer(body):
        end = segment.end()
        size = end - start
        if size > MAX_CHUNK_BYTES:
            # A single segment never exceeds the maximum size of a chunk.
            chunks.append(body[start : segment.start()])
            start = segment.start()
            size = end - start
        if size >= MIN_CHUNK_BYTES and _ends_chunk(segment.group()):
            chunks.append(body[start:end])
            start = end
    if start < len(body):
        chunks.append(body[start:])
    return [chunk for chunk in chunks if chunk]


def create_manifest(version: int, body: bytes) -> Manifest:
    """Return the manifest of a document."""
    return split_with_manifest(version, body)[0]


def split_with_manifest(
    version: int,
    body: bytes,
) -> tuple[Manifest, dict[ChunkId, bytes]]:
    """Return the manifest of a document, and its chunks by id."""
    chunks = split(body)
    ids = tuple(map(compute_chunk_id, chunks))
    manifest = Manifest(version, _digest(body), ids)
    return manifest, dict(zip(ids, chunks, strict=True))


def compute_chunk_id(chunk: bytes) -> ChunkId:
    """Return the id of a chunk: a hash of its content."""
    digest = hashlib.blake2b(chunk, digest_size=ID_BYTES)
    return ChunkId(digest.digest())


def pack(chunks: typing.Iterable[bytes]) -> bytes:
    """Return chunks with length prefixes, compressed, for one message."""
    framed = (_LENGTH.pack(len(chunk)) + chunk for chunk in chunks)
    return zlib.compress(b''.join(framed))


def unpack(packed: bytes, max_bytes: int) -> list[bytes]:
    """Return the chunks of one message.

    >>> unpack(pack([b'first', b'second']), 100)
    [b'first', b'second']

    :param max_bytes: limit for their total size after decompression, with
        length prefixes.
    :raises DamagedChunks: if they exceed the limit or cannot be decoded.
    """
    reader = zlib.decompressobj()
    try:
        framed = reader.decompress(packed, max_bytes)
    except zlib.error as error:
        raise DamagedChunks(str(error)) from error
    if not reader.eof:
        raise DamagedChunks(
            f'packed chunks truncated or larger than {max_bytes} bytes '
            'after decompression',
        )
    chunks = []
    start = 0
    while start < len(framed):
        if len(framed) - start < _LENGTH.size:
            raise DamagedChunks(
                f'packed chunks truncated: expected {_LENGTH.size} bytes of '
                f'length, got {len(framed) - start}',
            )
        (size,) = _LENGTH.unpack_from(framed, start)
        start += _LENGTH.size
        if len(framed) - start < size:
            raise DamagedChunks(
                f'packed chunks truncated: expected a chunk of {size} bytes, '
                f'got {len(framed) - start}',
            )
        chunks.append(framed[start : start + size])
        start += size
    return chunks


def join_ids(ids: typing.Iterable[ChunkId]) -> bytes:
    """Return ids concatenated for one message."""
    return b''.join(ids)


def split_ids(joined: bytes) -> tuple[ChunkId, ...]:
    """Return the ids of one message.

    >>> split_ids(b'12345678abcdefgh')
    (b'12345678', b'abcdefgh')
    """
    return tuple(
        ChunkId(joined[start : start + ID_BYTES])
        for start in range(0, len(joined), ID_BYTES)
    )


def _ends_chunk(segment: bytes) -> bool:
    return zlib.crc32(segment) % _SEGMENTS_PER_END == 0


def _digest(body: bytes) -> bytes:
    return hashlib.sha256(body).digest()
