"""What the claim table reads from requests, and the answers it makes."""

import sys

from wagtailspread.idempotency import keys, records, snapshots
from wagtailspread.wire import messages


def read_scope(request: messages.Struct) -> keys.Scope:
    """Return the scope of the key that a request is about."""
    return keys.digest_scope(
        request.service_name or '',
        request.caller or '',
        request.key or '',
    )


def read_attempt(request: messages.Struct) -> str:
    """Return the attempt; bytes that are not UTF-8 are kept as surrogates."""
    attempt = request.attempt or ''
    return snapshots.decode_text(attempt)


def share_host(host: str | None) -> str:
    """Return the one copy of a host's id that all its records share."""
    return sys.intern(host) if isinstance(host, str) else ''


def is_running(record: records.Record, request: messages.Struct) -> bool:
    """Tell whether the attempt of a request holds the key."""
    if record.state is not keys.KeyState.RUNNING:
        return False
    return record.attempt == read_attempt(request)


def create_answer(
    state: keys.ClaimState,
    stored: bytes | None = None,
) -> messages.Struct:
    """Return a thrift ``ClaimAnswer``.

    :param stored: an encoded thrift ``StoredAnswer``, if there is one.
    """
    answer = None
    if stored is not None:
        answer = messages.decode(messages.structs.StoredAnswer, stored)
    return messages.structs.ClaimAnswer(state=state.value, answer=answer)
