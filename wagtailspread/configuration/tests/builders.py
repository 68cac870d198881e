"""Builds keys, base files and signed submissions for tests."""

import base64
import hashlib
import itertools

from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.configuration import signatures, versions
from wagtailspread.wire import messages, signing

_COUNTER = itertools.count(1)

COMMON = """[region r]
domains = d1, d2
hosts = 4
link = 30Mbit/s
[service vitrina]
floor = 60%
[route columns]
service = vitrina
path = /columns
"""


def create_key(name):
    """Return a key that depends only on the name."""
    seed = hashlib.sha256(name.encode()).digest()
    return ed25519.Ed25519PrivateKey.from_private_bytes(seed)


def write_member(name, key_name=None):
    """Return a member section with the key of ``key_name``."""
    public = signing.public_bytes(create_key(key_name or name))
    encoded = base64.b64encode(public).decode()
    return f'[member {name}]\npublic_key = {encoded}\n'


def write_base(*members, common=COMMON):
    """Return a base file with these members."""
    sections = ''.join(write_member(name) for name in members)
    return f'[fleet]\nname = columnas\n{sections}{common}'


def sign(member, based_on, texts, submission_id=None, key_name=None):
    """Return a submission signed by the member, with an unused id.

    :param key_name: name of the signing key; by default the member's own.
    """
    submission = signatures.create_submission(
        submission_id or f'id-{next(_COUNTER)}',
        based_on,
        member,
        texts,
    )
    signatures.sign_submission(submission, create_key(key_name or member))
    return submission


def start(*members, common=COMMON):
    """Return a state whose first version has these members."""
    state = versions.create_configuration()
    answer = state.submit(
        signatures.create_submission(
            'first',
            0,
            members[0],
            {'base.ini': write_base(*members, common=common)},
        ),
    )
    assert answer.status == 'accepted', answer
    return state


def submit(state, member, texts, **options):
    """Submit texts based on the active version; return the answer.

    Both are encoded and decoded, as between processes, where empty fields
    become ``None``.
    """
    options.setdefault('based_on', state.version)
    sent = messages.encode(sign(member, texts=texts, **options))
    received = messages.decode(messages.structs.Submission, sent)
    answer = messages.encode(state.submit(received))
    return messages.decode(messages.structs.SubmissionAnswer, answer)


def write_agreement(state, subject, kind='approval'):
    """Return the section with which a member agrees to a pending change."""
    change_kind = 'join' if kind == 'approval' else 'removal'
    for pending in state.pending:
        if (pending.subject, pending.kind.value) == (subject, change_kind):
            return write_section(
                kind,
                subject,
                pending.digest,
                pending.membership,
            )
    raise LookupError(f'expected a pending {change_kind} of {subject!r}')


def write_section(kind, subject, digest, membership):
    """Return an approval or a removal section."""
    return f'[{kind} {subject}]\ndigest = {digest}\nmembership = {membership}\n'


def kinds(answer):
    """Return the kinds of the findings of an answer."""
    return [finding.kind for finding in answer.findings]
