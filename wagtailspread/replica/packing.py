"""The configuration document as it travels between replicas.

It is compressed once, where it is put, and stays so in the log, in snapshots
and on the links between regions. Text of 11,000 routes shrinks to a tenth.

>>> packed = pack(7, b'seven')
>>> unpack(packed).version, unpack(packed).body
(7, b'seven')
"""

import zlib

from wagtailspread.configuration import documents
from wagtailspread.wire import messages

#: Largest document, in bytes without compression: that of a call that puts it.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class DamagedDocument(Exception):
    """A packed document cannot be read."""


def pack(version: int, body: bytes) -> messages.Struct:
    """Return a document as it travels."""
    return messages.structs.DocumentState(
        version=version,
        body=b'',
        packed=zlib.compress(body),
    )


def unpack(state: messages.Struct) -> documents.VersionedDocument:
    """Return the document that travelled.

    Entries of earlier logs and answers of earlier replicas have the body
    itself.

    :raises DamagedDocument: if it is too large or cannot be read.
    """
    document = documents.VersionedDocument()
    if state.packed is None:
        document.put(state.version, state.body)
        return document
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(state.packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise DamagedDocument(str(error)) from error
    if not decompressor.eof:
        raise DamagedDocument('too large or cut short')
    document.put(state.version, body)
    return document
