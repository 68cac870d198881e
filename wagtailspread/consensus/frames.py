"""Files of frames with checksums, and files that are replaced as a whole."""

import dataclasses
import enum
import os
import pathlib
import struct
import zlib

from collections import abc

from wagtailspread.core import failures

#: Version of the layout of all files in a data folder.
FORMAT_VERSION = 1
_MAGIC = b'WTSP'
_FRAME_MAGIC = b'\xd7WTF'
_HEADER = struct.Struct('>4sHH')
_FRAME = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size


class FileKind(enum.IntEnum):
    """What a file holds; part of its header."""

    IDENTITY = 1
    JOURNAL = 2
    SNAPSHOT = 3
    SYNCED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFull(failures.Failure):
    """There is no space left for what must be durable."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFailed(failures.Failure):
    """A read, write or sync failed."""

    reason: str


class FrameDamaged(Exception):
    """A file does not hold what was synced.

    :param name: of the file.
    :param reason: what is wrong.
    """

    def __init__(self, name: str, reason: str) -> None:
        """Keep both for the typed failure."""
        super().__init__(name, reason)
        self.name = name
        self.reason = reason


def pack_frame(payload: bytes) -> bytes:
    """Return the payload with its length and checksum in front."""
    checksum = zlib.crc32(payload)
    return _FRAME.pack(_FRAME_MAGIC, len(payload), checksum) + payload


def read_frames(
    path: pathlib.Path,
    synced: int | None,
    *,
    is_last: bool,
) -> abc.Iterator[bytes]:
    """Return the payloads of the frames in a file.

    A broken frame at the end of the last file is cut off if it was never
    synced. It was synced if a valid frame follows it, or if it begins before
    the position that was noted after the last sync.

    :param synced: bytes of the file that are known to be synced.
    :raises FrameDamaged: if a synced frame is broken.
    """
    content = path.read_bytes()
    _check_header(path, content, FileKind.JOURNAL)
    offset = HEADER_BYTES
    while offset < len(content):
        payload = _read_frame(content, offset)
        if payload is None:
            break
        yield payload
        offset += _FRAME.size + len(payload)
    if offset < (synced or 0):
        raise FrameDamaged(path.name, 'synced-frame')
    if offset < len(content):
        _check_unsynced(path, content, offset, is_last=is_last)
        _cut_off(path, offset)


def read_whole(path: pathlib.Path, kind: FileKind) -> bytes:
    """Return the payload of a file with one frame.

    :raises FrameDamaged: if it does not hold one.
    """
    content = path.read_bytes()
    _check_header(path, content, kind)
    payload = _read_frame(content, HEADER_BYTES)
    if payload is None:
        raise FrameDamaged(path.name, 'checksum')
    return payload


def write_whole(path: pathlib.Path, kind: FileKind, payload: bytes) -> None:
    """Write and sync a file with one frame."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _create_header(kind) + pack_frame(payload))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_unsynced(path: pathlib.Path, kind: FileKind, payload: bytes) -> None:
    """Overwrite a small file in place, without a sync."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        write_all(descriptor, _create_header(kind) + pack_frame(payload))
    finally:
        os.close(descriptor)


def create_file(path: pathlib.Path, kind: FileKind) -> None:
    """Create and sync a file that holds only its header."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _create_header(kind))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, content: bytes) -> None:
    """Write all bytes, however many calls it takes."""
    rest = memoryview(content)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def sync_folder(folder: pathlib.Path) -> None:
    """Make created, renamed and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _create_header(kind: FileKind) -> bytes:
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, kind)


def _check_header(path: pathlib.Path, content: bytes, kind: FileKind) -> None:
    if len(content) < HEADER_BYTES:
        raise FrameDamaged(path.name, 'header')
    magic, version, found = _HEADER.unpack_from(content)
    if magic != _MAGIC or found != kind:
        raise FrameDamaged(path.name, 'header')
    if version != FORMAT_VERSION:
        raise FrameDamaged(path.name, f'format-version-{version}')


def _read_frame(content: bytes, offset: int) -> bytes | None:
    if offset + _FRAME.size > len(content):
        return None
    magic, length, checksum = _FRAME.unpack_from(content, offset)
    start = offset + _FRAME.size
    payload = content[start : start + length]
    if magic != _FRAME_MAGIC or len(payload) != length:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def _check_unsynced(
    path: pathlib.Path,
    content: bytes,
    offset: int,
    *,
    is_last: bool,
) -> None:
    if not is_last or _has_frame_after(content, offset):
        raise FrameDamaged(path.name, 'frame-in-the-middle')


def _has_frame_after(content: bytes, offset: int) -> bool:
    place = content.find(_FRAME_MAGIC, offset + 1)
    while place >= 0:
        if _read_frame(content, place) is not None:
            return True
        place = content.find(_FRAME_MAGIC, place + 1)
    return False


def _cut_off(path: pathlib.Path, size: int) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
