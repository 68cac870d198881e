"""Local file with a copy of the document that a replica last applied.

After a start, a replica does not know which entries of its log are committed
until there is a leader. Until then, hosts that start at the same time would
have no document and refuse every caller. The copy holds a committed document,
so it can be used at once; newer versions come from the log.

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

#: Name of the file in the data folder.
FILE_NAME = 'document'
#: Delay before a failed write is repeated, in seconds.
RETRY_SECONDS = 1.0
_DIGEST_BYTES = hashlib.sha256().digest_size
_VERSION_BYTES = 8

_log = logbook.Logger('copies')


class DocumentCopy:
    """File with a digest, the version and the document.

    Use :func:`create_copy`.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Create the copy without reading the file."""
        self._path = path
        self._save_task: asyncio.Task[None] | None = None
        self._next_document: documents.VersionedDocument | None = None

    def load(self) -> documents.VersionedDocument:
        """Return the stored document.

        A missing, unreadable or damaged file gives an empty document, whose
        version is :data:`documents.NO_VERSION`.
        """
        stored = documents.VersionedDocument()
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return stored
        except OSError as error:
            _log.error('copy unreadable', extra={'reason': str(error)})
            return stored
        digest, record = content[:_DIGEST_BYTES], content[_DIGEST_BYTES:]
        is_intact = hashlib.sha256(record).digest() == digest
        if not is_intact or len(record) < _VERSION_BYTES:
            _log.error('copy damaged', extra={'bytes': len(content)})
            return stored
        version = int.from_bytes(record[:_VERSION_BYTES], 'big', signed=True)
        stored.put(version, record[_VERSION_BYTES:])
        return stored

    def write(self, document: documents.VersionedDocument) -> None:
        """Replace the file atomically, after the new content is synced.

        :raises OSError: if the disk is full or fails.
        """
        version = document.version.to_bytes(_VERSION_BYTES, 'big', signed=True)
        record = version + document.body
        temporary = self._path.with_suffix('.new')
        try:
            with temporary.open('wb') as file:
                file.write(hashlib.sha256(record).digest() + record)
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(self._path)
        except OSError:
            # What was written takes room that the log may need.
            temporary.unlink(missing_ok=True)
            raise

    def save(self, document: documents.VersionedDocument) -> None:
        """Write a document in the background.

        Writes do not overlap; a document that waits is replaced by a later
        one. A failed write is repeated.
        """
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
                # The copy is optional: without it, the next start waits for a
                # leader.
                _log.warning('copy not written', extra={'reason': str(error)})
                if self._next_document is None:
                    self._next_document = document
                await asyncio.sleep(RETRY_SECONDS)


def create_copy(folder: pathlib.Path) -> DocumentCopy:
    """Return the copy in an existing data folder."""
    return DocumentCopy(folder / FILE_NAME)
