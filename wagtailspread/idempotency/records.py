"""Records of the claim table and their accounted size."""

import dataclasses

from wagtailspread.idempotency import keys
from wagtailspread.wire import messages

#: Maximum size of the body of a stored answer in bytes.
MAX_BODY_BYTES = 64 * 1024
#: Maximum size of the headers of a stored answer in bytes.
MAX_HEADER_BYTES = 16 * 1024
#: Accounted size of a record without its variable parts, in bytes.
RECORD_BYTES = 512
#: Accounted size of an attempt, running or released, in bytes.
ATTEMPT_BYTES = 96
#: Size of an answer in bytes that is not accounted. An answer without body and
#: headers is smaller, so an attempt can be finished even in a full store.
FREE_ANSWER_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """State of one key.

    Records are immutable and replaced on change, so a shallow copy of the
    table's dictionary is a copy of the table.

    :param attempt: the attempt that was granted last.
    :param fingerprint: of the request; ``None`` if a release arrived before
        any claim.
    :param deadline: wall seconds after which the attempt is unknown.
    :param expires: wall seconds after which the key is removed.
    :param answer: encoded thrift ``StoredAnswer``, once finished.
    :param released: attempts that must not run.
    """

    state: keys.KeyState
    attempt: str
    host: str
    fingerprint: bytes | None
    deadline: float
    expires: float
    answer: bytes | None = None
    released: tuple[str, ...] = ()

    def count_bytes(self) -> int:
        """Return the accounted size of this record in bytes."""
        attempts = len(self.released)
        if self.state is not keys.KeyState.RELEASED:
            attempts += 1
        size = max(0, len(self.answer or b'') - FREE_ANSWER_BYTES)
        return RECORD_BYTES + ATTEMPT_BYTES * attempts + size


def bound_answer(answer: messages.Struct, free_bytes: int) -> bytes:
    """Return the encoded answer, without body and headers if too large.

    An answer without body and headers is marked as not complete.

    :param answer: a thrift ``StoredAnswer``, or ``None``.
    :param free_bytes: bytes available in the store.
    """
    if answer is None:
        answer = messages.structs.StoredAnswer(status=0, is_complete=False)
    headers = answer.headers or []
    size = sum(len(part) for pair in headers for part in pair)
    if len(answer.body or b'') <= MAX_BODY_BYTES and size <= MAX_HEADER_BYTES:
        encoded = messages.encode(answer)
        if len(encoded) <= free_bytes + FREE_ANSWER_BYTES:
            return encoded
    return messages.encode(
        messages.structs.StoredAnswer(
            status=answer.status,
            headers=[],
            body=b'',
            is_complete=False,
        ),
    )
