"""A replica's copy of the document that was last in force, on its disk.

After a start a replica knows what its log holds, but only a new leader tells
which of that is committed. Until then hosts that start as well would refuse
every caller. The copy holds a document that was committed, so it may be in
force at once; the log brings anything newer.

>>> import tempfile
>>> folder = pathlib.Path(tempfile.mkdtemp())
>>> document = documents.VersionedDocument()
>>> _ = document.put(7, b'seven')
>>> create_copy(folder).write(document)
>>> create_copy(folder).load().version
7
"""

import asyncio
import hashlib
import os
import pathlib

import logbook

from wagtailspread.configuration import documents

#: Name of the file below the data folder.
FILE_NAME = 'document'
_DIGEST_BYTES = hashlib.sha256().digest_size
_VERSION_BYTES = 8

_log = logbook.Logger('copies')


class DocumentCopy:
    """The file with the copy. Use :func:`create_copy`."""

    def __init__(self, path: pathlib.Path) -> None:
        """Keep the path; nothing is read yet."""
        self._path = path
        self._save_task: asyncio.Task[None] | None = None
        self._next_document: documents.VersionedDocument | None = None

    def load(self) -> documents.VersionedDocument:
        """Return the copy, or no document if there is none or it is damaged."""
        found = documents.VersionedDocument()
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return found
        except OSError as error:
            _log.error('copy unreadable', extra={'reason': str(error)})
            return found
        digest, record = content[:_DIGEST_BYTES], content[_DIGEST_BYTES:]
        is_intact = hashlib.sha256(record).digest() == digest
        if not is_intact or len(record) < _VERSION_BYTES:
            _log.error('copy damaged', extra={'bytes': len(content)})
            return found
        version = int.from_bytes(record[:_VERSION_BYTES], 'big', signed=True)
        found.put(version, record[_VERSION_BYTES:])
        return found

    def write(self, document: documents.VersionedDocument) -> None:
        """Replace the copy and sync it.

        :raises OSError: if the disk takes no more, or fails.
        """
        version = document.version.to_bytes(_VERSION_BYTES, 'big', signed=True)
        record = version + document.body
        temporary = self._path.with_suffix('.new')
        with temporary.open('wb') as file:
            file.write(hashlib.sha256(record).digest() + record)
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path)

    def save(self, document: documents.VersionedDocument) -> None:
        """Write a document in the background, the newest one last."""
        newest = documents.VersionedDocument()
        newest.put(document.version, document.body)
        self._next_document = newest
        if self._save_task is None or self._save_task.done():
            self._save_task = asyncio.create_task(self._save_all())

    async def _save_all(self) -> None:
        while self._next_document is not None:
            document, self._next_document = self._next_document, None
            try:
                await asyncio.to_thread(self.write, document)
            except OSError as error:
                # Without a copy the next start waits for a leader.
                _log.warning('copy not written', extra={'reason': str(error)})


def create_copy(folder: pathlib.Path) -> DocumentCopy:
    """Return the copy below a data folder, which exists."""
    return DocumentCopy(folder / FILE_NAME)
