"""Records of the claim table and the size that they count for."""

import dataclasses

from wagtailspread.idempotency import keys
from wagtailspread.wire import messages

#: Most bytes of a stored answer's body.
MAX_BODY_BYTES = 64 * 1024
#: Most bytes of a stored answer's headers.
MAX_HEADER_BYTES = 16 * 1024
#: Bytes that a record counts for beside its variable parts.
RECORD_BYTES = 512
#: Bytes that an attempt counts for, whether it runs or was released.
ATTEMPT_BYTES = 96
#: Bytes of an answer that do not count; one without body and headers has
#: fewer, so that an attempt can always be finished.
FREE_ANSWER_BYTES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One key. A change stores another record, so that a copy of the table's
    dictionary is a copy of the table.

    :param attempt: the attempt that was granted last.
    :param fingerprint: of the request; ``None`` if a release came before any
        claim.
    :param deadline: wall seconds after which the attempt reads as unknown.
    :param expires: wall seconds after which the key is forgotten.
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
        """Return the bytes that this record counts for."""
        attempts = len(self.released)
        if self.state is not keys.KeyState.RELEASED:
            attempts += 1
        size = max(0, len(self.answer or b'') - FREE_ANSWER_BYTES)
        return RECORD_BYTES + ATTEMPT_BYTES * attempts + size


def bound_answer(answer: messages.Struct, room: int) -> bytes:
    """Return the encoded answer; parts that are too large are left out.

    An answer without its body or headers is marked as not complete.

    :param answer: a thrift ``StoredAnswer``, or ``None``.
    :param room: bytes left in the store.
    """
    if answer is None:
        answer = messages.structs.StoredAnswer(status=0, is_complete=False)
    headers = answer.headers or []
    size = sum(len(part) for pair in headers for part in pair)
    if len(answer.body or b'') <= MAX_BODY_BYTES and size <= MAX_HEADER_BYTES:
        encoded = messages.encode(answer)
        if len(encoded) <= room + FREE_ANSWER_BYTES:
            return encoded
    return messages.encode(
        messages.structs.StoredAnswer(
            status=answer.status,
            headers=[],
            body=b'',
            is_complete=False,
        ),
    )
