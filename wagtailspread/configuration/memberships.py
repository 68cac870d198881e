"""The members in force, and the members file that the replicas generate.

A member is in force if the members file of the active version lists it. A
candidate, which only the base file lists, is not.

Hosts receive the members file with the other files, so that the members have
the same version as all other settings of a host. It cannot be submitted.
"""

import base64
import dataclasses
import hashlib
import typing

from wagtailspread.configuration import files, schemas
from wagtailspread.core import identifiers

_SECTION = 'member'
_KEY = 'public_key'


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Members and their keys: those in force, or those in a base file.

    :param members: members by name, sorted by name.
    """

    members: typing.Mapping[identifiers.MemberId, schemas.MemberSettings]

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the raw public key of a member, or ``None`` if unknown.

        This makes a membership a ``credentials.MemberDirectory``.
        """
        settings = self.members.get(member)
        return settings.public_key if settings else None

    def digest(self) -> str:
        """Return the digest of all names and keys, as hex."""
        joined = '\n'.join(
            member_digest(self.members[name]) for name in sorted(self.members)
        )
        return hashlib.sha256(joined.encode()).hexdigest()


def create_membership(
    members: typing.Iterable[schemas.MemberSettings],
) -> Membership:
    """Return a membership with its members sorted by name."""
    by_name = {member.name: member for member in members}
    return Membership({name: by_name[name] for name in sorted(by_name)})


def member_digest(member: schemas.MemberSettings) -> str:
    """Return the digest of a member's section, as hex.

    It covers the name and the key. A change of the contact or a comment does
    not invalidate an approval.
    """
    text = f'member {member.name}\n{member.public_key.hex()}\n'
    return hashlib.sha256(text.encode()).hexdigest()


def write_membership(membership: Membership) -> str:
    """Return the text of the members file."""
    parts = ['# Members in force. Written by the replicas.\n']
    for name, member in membership.members.items():
        key = base64.b64encode(member.public_key).decode()
        parts.append(f'[{_SECTION} {name}]\n{_KEY} = {key}\n')
    return ''.join(parts)


def read_membership(parsed: files.ParsedFile) -> Membership:
    """Return the members in a members file that the replicas generated.

    :raises KeyError: if a section lacks the public key.
    :raises ValueError: if the base64 text of a public key is malformed.
    """
    return create_membership(
        schemas.MemberSettings(
            identifiers.MemberId(section.name),
            base64.b64decode(section.entries[_KEY].text),
        )
        for section in parsed.sections
    )
