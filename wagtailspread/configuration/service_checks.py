"""Reads service, region, member and fleet sections into settings."""

import base64
import binascii

from wagtailspread.configuration import (
    findings,
    readers,
    schemas,
    sections,
)
from wagtailspread.core import identifiers

_Kind = findings.FindingKind
_PUBLIC_KEY_BYTES = 32
#: Decimal places of a sum of shares; absorbs the rounding errors of floats.
_SHARE_PLACES = 9


def read_service(reader: readers.SectionReader) -> schemas.ServiceSettings:
    """Return the limits of a service; findings are added to the reader."""
    deadline = reader.read_number('deadline')
    key_lifetime = reader.read_number('key_lifetime')
    if key_lifetime <= deadline:
        reader.report(
            'key_lifetime',
            'a duration above the deadline, so that no key is forgotten while '
            'its request runs',
            _Kind.IMPOSSIBLE_LIMIT,
        )
    return schemas.ServiceSettings(
        name=identifiers.ServiceName(reader.name),
        floor=reader.read_number('floor'),
        shares=_read_shares(reader),
        queue_limits=_read_queue_limits(reader),
        deadline=deadline,
        max_body=reader.read_count('max_body'),
        warm_up=reader.read_number('warm_up'),
        retry_share=reader.read_number('retry_share'),
        quarantine=reader.read_number('quarantine'),
        key_lifetime=key_lifetime,
    )


def read_region(reader: readers.SectionReader) -> schemas.RegionSettings:
    """Return one region; findings are added to the reader."""
    domains = reader.read_words('domains')
    return schemas.RegionSettings(
        name=identifiers.RegionName(reader.name),
        domains=tuple(map(identifiers.FailureDomain, domains)),
        hosts=reader.read_count('hosts'),
        link_bytes=reader.read_number('link'),
        tie_breaker=identifiers.HostId(reader.read_text('tie_breaker')),
    )


def read_member(
    reader: readers.SectionReader,
) -> schemas.MemberSettings | None:
    """Return one member, or ``None`` if its key cannot be decoded."""
    key = _decode_key(reader.read_text('public_key'))
    if key is None:
        reader.report(
            'public_key',
            'a raw Ed25519 public key of 32 bytes in base64',
            _Kind.BAD_VALUE,
        )
        return None
    return schemas.MemberSettings(identifiers.MemberId(reader.name), key)


def read_fleet(reader: readers.SectionReader) -> str:
    """Return the name of the fleet."""
    return reader.read_text('name')


def _read_shares(reader: readers.SectionReader) -> schemas.ByPriorityShares:
    urgent, standard, bulk = (
        reader.read_number(f'share_{name}') for name in sections.PRIORITY_NAMES
    )
    if round(urgent + standard + bulk, _SHARE_PLACES) > 1:
        reader.report(
            'share_bulk',
            'shares of all priorities of at most 100% together',
            _Kind.IMPOSSIBLE_LIMIT,
        )
    return urgent, standard, bulk


def _read_queue_limits(
    reader: readers.SectionReader,
) -> schemas.ByPriorityCounts:
    urgent, standard, bulk = (
        reader.read_count(f'queue_{name}') for name in sections.PRIORITY_NAMES
    )
    return urgent, standard, bulk


def _decode_key(text: str) -> bytes | None:
    try:
        key = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return None
    return key if len(key) == _PUBLIC_KEY_BYTES else None
