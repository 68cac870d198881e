"""Announcements of upstreams, as JSON posts to ``/-/announce``."""

import dataclasses
import json
import typing

from returns import result

from wagtailspread.core import failures, identifiers
from wagtailspread.entry import slots

#: Largest accepted announcement, in bytes.
MAX_ANNOUNCEMENT_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidAnnouncement(failures.Failure):
    """An announcement that is not taken.

    :param status: HTTP status of the answer.
    """

    status: int
    detail: str


def parse_announcement(
    body: bytes,
) -> result.Result[slots.Announcement, InvalidAnnouncement]:
    """Return the announcement in a JSON text."""
    try:
        fields = json.loads(body)
        return result.Success(_read_fields(fields))
    except (ValueError, KeyError, TypeError) as error:
        detail = type(error).__name__
        return result.Failure(InvalidAnnouncement(400, detail))


def _read_fields(fields: dict[str, typing.Any]) -> slots.Announcement:
    return slots.Announcement(
        identifiers.ServiceName(fields['service']),
        identifiers.UpstreamId(fields['id']),
        fields['address'],
        identifiers.RegionName(fields['region']),
        identifiers.FailureDomain(fields['domain']),
        int(fields['slots']),
        int(fields['connections']),
        slots.UpstreamState(fields['state']),
        identifiers.Incarnation(fields['incarnation']),
    )
