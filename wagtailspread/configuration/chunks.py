"""Documents in chunks, so that only what is new of them has to travel.

A document is cut where its own content says so. A change in one place then
leaves the other chunks as they are, wherever they move to. A manifest names
the chunks of a version in order; who holds an earlier version, or a part of
this one, asks for the rest only.

>>> routes = [b'{"path": "/%d/"}' % number for number in range(5000)]
>>> old, new = b','.join(routes), b','.join(routes[:9] + routes[10:])
>>> assembly = create_assembly()
>>> assembly.start(describe(1, old))
>>> for chunk in split(old):
...     _ = assembly.add(chunk)
>>> assembly.finish() == old
True
>>> assembly.start(describe(2, new))
>>> len(assembly.list_missing()), len(split(new)) > 20
(1, True)

References: A. Muthitacharoen, B. Chen, D. Mazieres, A Low-bandwidth Network
File System, SOSP 2001, on chunks with content-defined ends.
"""

import dataclasses
import hashlib
import re
import struct
import typing
import zlib

#: Least bytes of a chunk, but for the last one of a document.
MIN_CHUNK_BYTES = 1024
#: Most bytes of a chunk: what a link of 64 kbit/s carries in 2 s.
MOST_BYTES = 16 * 1024
#: Bytes of a chunk's id.
ID_BYTES = 8
#: One segment in so many ends a chunk. Segments of 150 bytes, a usual route,
#: then make chunks of 3 to 4 KiB.
_SEGMENTS_PER_END = 16
#: A segment ends with an object or a line, the units that changes add,
#: remove or replace.
_SEGMENT = re.compile(rb'[^}\n]{0,16383}[}\n]?', re.DOTALL)

_LENGTH = struct.Struct('>I')

ChunkId = typing.NewType('ChunkId', bytes)


class DamagedDocument(Exception):
    """The chunks of a manifest do not make up its document."""


class DamagedChunks(Exception):
    """Packed chunks cannot be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """What a version of a document is made of.

    :param digest: of the whole document.
    :param chunks: ids in the order of the document.
    """

    version: int
    digest: bytes
    chunks: tuple[ChunkId, ...]


class Assembly:
    """Puts documents together. Use :func:`create_assembly`.

    Chunks that were taken are kept until a document is finished without them,
    so a newer version that comes meanwhile costs only what it changes.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self._held: dict[ChunkId, bytes] = {}
        self._manifest = Manifest(-1, b'', ())

    @property
    def version(self) -> int:
        """Version that is put together."""
        return self._manifest.version

    def start(self, manifest: Manifest) -> None:
        """Put this version together from now on."""
        self._manifest = manifest

    def list_missing(self) -> list[ChunkId]:
        """Return the ids of the chunks that are not held, each once."""
        named = dict.fromkeys(self._manifest.chunks)
        return [one for one in named if one not in self._held]

    def add(self, chunk: bytes) -> ChunkId:
        """Keep a chunk; return its id."""
        identity = identify(chunk)
        self._held[identity] = chunk
        return identity

    def finish(self) -> bytes:
        """Return the document, and drop the chunks that it does not use.

        :raises DamagedDocument: if it is not the one that was described;
            nothing is held then.
        """
        held, self._held = self._held, {}
        body = b''.join(held[one] for one in self._manifest.chunks)
        if _digest(body) != self._manifest.digest:
            raise DamagedDocument(self._manifest.version)
        self._held = {one: held[one] for one in self._manifest.chunks}
        return body


def create_assembly() -> Assembly:
    """Return an assembly that holds nothing."""
    return Assembly()


def split(body: bytes) -> list[bytes]:
    """Return the chunks of a document in order."""
    chunks: list[bytes] = []
    start = 0
    for segment in _SEGMENT.finditer(body):
        end = segment.end()
        size = end - start
        if size > MOST_BYTES:
            # The segment itself is at most as long as a chunk.
            chunks.append(body[start : segment.start()])
            start = segment.start()
            size = end - start
        if size >= MIN_CHUNK_BYTES and _ends_chunk(segment.group()):
            chunks.append(body[start:end])
            start = end
    if start < len(body):
        chunks.append(body[start:])
    return [one for one in chunks if one]


def describe(version: int, body: bytes) -> Manifest:
    """Return the manifest of a document."""
    return split_with_manifest(version, body)[0]


def split_with_manifest(
    version: int,
    body: bytes,
) -> tuple[Manifest, dict[ChunkId, bytes]]:
    """Return the manifest of a document, and its chunks by id."""
    pieces = split(body)
    ids = tuple(map(identify, pieces))
    manifest = Manifest(version, _digest(body), ids)
    return manifest, dict(zip(ids, pieces, strict=True))


def identify(chunk: bytes) -> ChunkId:
    """Return the id of a chunk, which follows from its content."""
    digest = hashlib.blake2b(chunk, digest_size=ID_BYTES)
    return ChunkId(digest.digest())


def pack(chunks: typing.Iterable[bytes]) -> bytes:
    """Return chunks as they travel together, compressed."""
    framed = (_LENGTH.pack(len(one)) + one for one in chunks)
    return zlib.compress(b''.join(framed))


def unpack(packed: bytes, most_bytes: int) -> list[bytes]:
    """Return the chunks that travelled together.

    >>> unpack(pack([b'first', b'second']), 100)
    [b'first', b'second']

    :param most_bytes: largest size of all of them without compression.
    :raises DamagedChunks: if they are larger or cannot be read.
    """
    reader = zlib.decompressobj()
    try:
        framed = reader.decompress(packed, most_bytes)
    except zlib.error as error:
        raise DamagedChunks(str(error)) from error
    if not reader.eof:
        raise DamagedChunks('too large or cut short')
    chunks = []
    start = 0
    while start < len(framed):
        if len(framed) - start < _LENGTH.size:
            raise DamagedChunks('cut short')
        (size,) = _LENGTH.unpack_from(framed, start)
        start += _LENGTH.size
        chunks.append(framed[start : start + size])
        start += size
    return chunks


def join_ids(ids: typing.Iterable[ChunkId]) -> bytes:
    """Return ids as they travel."""
    return b''.join(ids)


def split_ids(joined: bytes) -> tuple[ChunkId, ...]:
    """Return the ids that travelled together.

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
