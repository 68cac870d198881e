"""Decodes requests to the claim table and encodes its answers."""

import sys

from wagtailspread.idempotency import keys, records, snapshots
from wagtailspread.wire import messages


def read_scope(request: messages.Struct) -> keys.Scope:
    """Return the scope of the key in a request."""
    return keys.digest_scope(
        request.service_name or '',
        request.caller or '',
        request.key or '',
    )


def read_attempt(request: messages.Struct) -> str:
    """Return the attempt; bytes that are not UTF-8 become surrogates."""
    attempt = request.attempt or ''
    return snapshots.decode_text(attempt)


def intern_host(host: str | None) -> str:
    """Return the interned id of a host, shared by all its records."""
    return sys.intern(host) if isinstance(host, str) else ''


def is_running(record: records.Record, request: messages.Struct) -> bool:
    """Return whether the attempt of a request is running."""
    if record.state is not keys.KeyState.RUNNING:
        return False
    return record.attempt == read_attempt(request)


def create_answer(
    state: keys.ClaimState,
    stored: bytes | None = None,
) -> messages.Struct:
    """Return a thrift ``ClaimAnswer``.

    :param stored: encoded thrift ``StoredAnswer``, or ``None``.
    """
    answer = None
    if stored is not None:
        answer = messages.decode(messages.structs.StoredAnswer, stored)
    return messages.structs.ClaimAnswer(state=state.value, answer=answer)
