"""Files that contain one or more checksummed frames."""

import dataclasses
import enum
import os
import pathlib
import struct
import zlib

from collections import abc

from wagtailspread.core import failures

#: Format version of all files in a data folder.
FORMAT_VERSION = 1
_FILE_MAGIC = b'WTSP'
_FRAME_MAGIC = b'\xd7WTF'
_FILE_HEADER = struct.Struct('>4sHH')
_FRAME_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _FILE_HEADER.size


class FileKind(enum.IntEnum):
    """Type of a file, stored in its header."""

    IDENTITY = 1
    JOURNAL = 2
    SNAPSHOT = 3
    SYNCED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFull(failures.Failure):
    """The disk or the quota is full.

    :param reason: message of the operating system.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DiskFailed(failures.Failure):
    """A file operation failed.

    :param reason: message of the operating system.
    """

    reason: str


class FrameDamaged(Exception):
    """A file does not hold the data that was synced to it.

    :param name: name of the file.
    :param reason: code of the damage.
    """

    def __init__(self, name: str, reason: str) -> None:
        """Store the name and the reason for the reported failure."""
        super().__init__(name, reason)
        self.name = name
        self.reason = reason


def pack_frame(payload: bytes) -> bytes:
    """Return the payload, prefixed with magic, length and checksum."""
    checksum = zlib.crc32(payload)
    return _FRAME_HEADER.pack(_FRAME_MAGIC, len(payload), checksum) + payload


def read_frames(
    path: pathlib.Path,
    synced_bytes: int | None,
    *,
    is_last: bool,
) -> abc.Iterator[bytes]:
    """Yield the payloads of the frames in a journal file.

    An invalid frame at the end of the last file is truncated if it was never
    synced. It counts as synced if a valid frame follows it, or if it starts
    before the position that was recorded after the last sync.

    :param synced_bytes: size of the synced part of the file, if recorded.
    :param is_last: whether it is the last journal file.
    :raises FrameDamaged: if a synced frame is invalid.
    """
    content = path.read_bytes()
    _check_header(path, content, FileKind.JOURNAL)
    offset = HEADER_BYTES
    while offset < len(content):
        payload = _read_frame(content, offset)
        if payload is None:
            break
        yield payload
        offset += _FRAME_HEADER.size + len(payload)
    if offset < (synced_bytes or 0):
        raise FrameDamaged(path.name, 'synced-frame')
    if offset < len(content):
        _check_unsynced(path, content, offset, is_last=is_last)
        _truncate_file(path, offset)


def read_frame_file(path: pathlib.Path, kind: FileKind) -> bytes:
    """Return the payload of a file with a single frame.

    :raises FrameDamaged: if the header or the frame is invalid.
    """
    content = path.read_bytes()
    _check_header(path, content, kind)
    payload = _read_frame(content, HEADER_BYTES)
    if payload is None:
        raise FrameDamaged(path.name, 'checksum')
    return payload


def write_frame_file(
    path: pathlib.Path, kind: FileKind, payload: bytes
) -> None:
    """Write and sync a file with a single frame."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _pack_file_header(kind) + pack_frame(payload))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_unsynced(path: pathlib.Path, kind: FileKind, payload: bytes) -> None:
    """Overwrite a file with a single frame in place, without a sync."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        write_all(descriptor, _pack_file_header(kind) + pack_frame(payload))
    finally:
        os.close(descriptor)


def create_file(path: pathlib.Path, kind: FileKind) -> None:
    """Create and sync a file that only has a header."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, _pack_file_header(kind))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, content: bytes) -> None:
    """Write all bytes, even if a single call writes only some of them."""
    remaining = memoryview(content)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


def sync_folder(folder: pathlib.Path) -> None:
    """Sync a folder, so that created, renamed and removed files are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _pack_file_header(kind: FileKind) -> bytes:
    return _FILE_HEADER.pack(_FILE_MAGIC, FORMAT_VERSION, kind)


def _check_header(path: pathlib.Path, content: bytes, kind: FileKind) -> None:
    if len(content) < HEADER_BYTES:
        raise FrameDamaged(path.name, 'header')
    magic, version, found_kind = _FILE_HEADER.unpack_from(content)
    if magic != _FILE_MAGIC or found_kind != kind:
        raise FrameDamaged(path.name, 'header')
    if version != FORMAT_VERSION:
        raise FrameDamaged(path.name, f'format-version-{version}')


def _read_frame(content: bytes, offset: int) -> bytes | None:
    if offset + _FRAME_HEADER.size > len(content):
        return None
    magic, length, checksum = _FRAME_HEADER.unpack_from(content, offset)
    start = offset + _FRAME_HEADER.size
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
    position = content.find(_FRAME_MAGIC, offset + 1)
    while position >= 0:
        if _read_frame(content, position) is not None:
            return True
        position = content.find(_FRAME_MAGIC, position + 1)
    return False


def _truncate_file(path: pathlib.Path, size: int) -> None:
    descriptor = os.open(path, os.O_WRONLY)
    try:
        os.ftruncate(descriptor, size)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
