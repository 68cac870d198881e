"""Fingerprints of requests, to recognise one that comes again."""

import hashlib
import struct

from wagtailspread.entry import bodies, web
from wagtailspread.placement import crashes

#: Bytes of a body that are hashed. The size is hashed as well.
MAX_HASHED_BYTES = 65536
_INTEGER = struct.Struct('>q')


def compute(
    request: web.BaseRequest,
    body: bodies.RequestBody | None,
) -> crashes.Fingerprint:
    """Return the fingerprint of a request.

    It covers the method, host, target, credentials and body, and not what
    changes when the caller sends the request again, such as the attempt id.
    The address of the connection is left out, since upstreams do not get it:
    it tells nothing about what crashes them, and may differ each time.
    """
    prefix = b'' if body is None else body.prefix[:MAX_HASHED_BYTES]
    size = request.content_length or len(prefix)
    head = (
        request.method,
        request.headers.get('Host', ''),
        request.headers.get('Authorization', ''),
        request.raw_path,
        str(size),
    )
    digest = hashlib.blake2b(
        '\0'.join(head).encode('utf-8', 'surrogateescape'),
        digest_size=_INTEGER.size,
    )
    digest.update(prefix)
    (fingerprint,) = _INTEGER.unpack(digest.digest())
    return int(fingerprint)
