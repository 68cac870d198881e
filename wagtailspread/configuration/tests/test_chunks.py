"""Tests of content-defined chunking of documents."""

import random
import zlib

import hypothesis
import pytest

from hypothesis import strategies
from wagtailspread.configuration import chunks

_BODIES = strategies.one_of(
    strategies.binary(max_size=4096),
    strategies.lists(
        strategies.sampled_from([b'}', b'\n', b'a' * 700, b'{"a":1}', b'\0']),
        max_size=400,
    ).map(b''.join),
)


@hypothesis.given(body=_BODIES)
def test_chunks_assemble_to_the_document(body):
    """Guards against chunking that drops or repeats a part of a document."""
    pieces = chunks.split(body)
    assert b''.join(pieces) == body
    assert all(0 < len(piece) <= chunks.MAX_CHUNK_BYTES for piece in pieces)
    manifest = chunks.create_manifest(3, body)
    assembly = chunks.create_assembly()
    assembly.start(manifest)
    for chunk in pieces:
        assembly.add(chunk)
    assert not assembly.list_missing()
    assert assembly.finish() == body


@pytest.mark.parametrize('size', [200_000, chunks.MAX_CHUNK_BYTES + 1])
@pytest.mark.parametrize('byte', [b'x', b'}', b'\n'])
def test_repeated_byte_is_split(size, byte):
    """Guards against a chunk that is too large for a slow link.

    A repeated byte has no segment ends, or only equal segments, so the content
    alone does not limit the size of a chunk.
    """
    pieces = chunks.split(byte * size)
    assert max(map(len, pieces)) <= chunks.MAX_CHUNK_BYTES
    assert b''.join(pieces) == byte * size


def test_chunks_of_another_document_are_refused():
    """Guards against a document assembled from parts of two versions."""
    assembly = chunks.create_assembly()
    manifest = chunks.create_manifest(1, b'first')
    assembly.start(chunks.Manifest(2, b'other', manifest.chunks))
    assembly.add(b'first')
    with pytest.raises(chunks.DamagedDocument):
        assembly.finish()
    assembly.start(manifest)
    assert assembly.list_missing() == list(manifest.chunks)


def test_chunks_are_reused_for_a_newer_version():
    """Guards against a download that restarts at each change."""
    generator = random.Random(1)
    lines = [b'%x\n' % generator.getrandbits(800) for _ in range(1000)]
    assembly = chunks.create_assembly()
    assembly.start(chunks.create_manifest(1, b''.join(lines)))
    for chunk in chunks.split(b''.join(lines))[:20]:
        assembly.add(chunk)
    lines[900] = b'changed\n'
    newer = b''.join(lines)
    assembly.start(chunks.create_manifest(2, newer))
    expected = len(chunks.split(newer)) - 20
    assert len(assembly.list_missing()) == expected


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'no zlib',
        chunks.pack([b'a' * 100])[:-4],
        chunks.pack([b'a' * 2000]),
        zlib.compress(chunks._LENGTH.pack(9) + b'short'),
    ],
    ids=['empty', 'other', 'cut', 'large', 'short'],
)
def test_invalid_packed_chunks_are_refused(packed):
    """Guards against a peer that exhausts memory or sends invalid bytes."""
    with pytest.raises(chunks.DamagedChunks):
        chunks.unpack(packed, 1000)
