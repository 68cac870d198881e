"""Signatures of submissions, and the text that they cover.

Each field is prefixed with its length, so that different submissions have
different texts. The text starts with a label for domain separation: the
connections of the fleet use the same keys, and a signature of a submission
must not authenticate a connection.
"""

import hashlib
import typing

from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.core import identifiers
from wagtailspread.wire import credentials, messages

_LABEL = 'wagtailspread submission 1'


def is_well_formed(submission: messages.Struct) -> bool:
    """Return whether all text fields are strings.

    The thrift decoder leaves a string that is not UTF-8 as bytes.

    :param submission: a thrift ``Submission``.
    """
    texts = [submission.id or '', submission.member or '']
    for file in submission.files or ():
        texts.extend((file.name or '', file.text or ''))
    return all(isinstance(text, str) for text in texts)


def encode_signed_text(submission: messages.Struct) -> bytes:
    """Return the text that the signature of a submission covers.

    :param submission: a thrift ``Submission``.
    """
    fields = [
        _LABEL,
        submission.id or '',
        str(submission.based_on or 0),
        submission.member or '',
    ]
    for file in submission.files or ():
        fields.extend((file.name or '', file.text or ''))
    return b''.join(_frame(field) for field in fields)


def digest_submission(submission: messages.Struct) -> str:
    """Return a digest of a submission and its signature, as hex."""
    digest = hashlib.sha256(encode_signed_text(submission))
    digest.update(submission.signature or b'')
    return digest.hexdigest()


def sign_submission(
    submission: messages.Struct,
    key: ed25519.Ed25519PrivateKey,
) -> None:
    """Set the signature of a submission.

    :param key: private key of the submission's member.
    """
    submission.signature = key.sign(encode_signed_text(submission))


def is_signed(submission: messages.Struct, public_key: bytes | None) -> bool:
    """Return whether a submission was signed with the key of its member.

    :param public_key: raw Ed25519 public key; ``None`` for an unknown member.
    """
    return credentials.verify_signature(
        public_key,
        submission.signature or b'',
        encode_signed_text(submission),
    )


def create_submission(
    submission_id: identifiers.SubmissionId,
    based_on: int,
    member: identifiers.MemberId,
    texts: typing.Mapping[str, str],
) -> messages.Struct:
    """Return an unsigned thrift ``Submission``.

    :param based_on: version that the files are based on.
    :param texts: texts by file name.
    """
    return messages.structs.Submission(
        id=submission_id,
        based_on=based_on,
        files=[
            messages.structs.SubmittedFile(name=name, text=text)
            for name, text in texts.items()
        ],
        member=member,
        signature=b'',
    )


def _frame(field: str) -> bytes:
    encoded = field.encode('utf-8', 'surrogatepass')
    return len(encoded).to_bytes(8, 'big') + encoded
