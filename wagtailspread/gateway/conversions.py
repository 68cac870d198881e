"""Conversions of placements to and from messages.

>>> encode_seconds(1.5), encode_seconds(-1.0)
(1500, 0)
"""

import math

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import messages
from wagtailspread.registry import records
from wagtailspread.wire import messages as wire
from wagtailspread.workspaces import presences

_MILLISECONDS = 1000

_log = logbook.Logger('placement')


def encode_seconds(seconds: float) -> int:
    """Return a duration as milliseconds that fit a message."""
    return int(min(max(seconds, 0.0) * _MILLISECONDS, wire.MAX_I32))


def read_answer(
    found: wire.Struct, allocator: identifiers.Address
) -> messages.Answer | None:
    """Return an allocator's answer, ``None`` if it is malformed."""
    try:
        record = None if found.row is None else records.from_row(found.row)
        return messages.Answer(
            messages.Decision(found.decision),
            record,
            found.retry_after_ms / _MILLISECONDS,
        )
    except (TypeError, ValueError) as error:
        _log.warning(
            'placement answer malformed',
            extra={'allocator': allocator, 'reason': str(error)},
        )
        return None


def add_workspace(
    encoded: wire.Struct,
    placement_request: messages.PlacementRequest,
    fleet_hosts: int,
) -> None:
    """Add the workspace of a request and its cap to a ``PlaceRequest``.

    :param fleet_hosts: number of hosts of the fleet; 0 if it is unknown.
    """
    if not placement_request.workspace:
        return
    encoded.workspace = placement_request.workspace
    cap = placement_request.cap
    if cap.is_limited:
        encoded.cap_rate = cap.rate
        encoded.cap_burst = cap.burst
        encoded.cap_version = cap.version
        encoded.is_permitted = placement_request.is_permitted or None
        encoded.fleet_hosts = fleet_hosts or None


def add_presence(encoded: wire.Struct, presence: presences.Presence) -> None:
    """Add what a host states about its contact to a ``PlaceRequest``."""
    encoded.interval_ms = max(1, encode_seconds(presence.interval_seconds))
    if math.isfinite(presence.elsewhere_seconds):
        encoded.elsewhere_ms = encode_seconds(presence.elsewhere_seconds)


def create_withdrawal(
    placement_request: messages.PlacementRequest,
) -> wire.Struct:
    """Return the settlement of a request that was not sent."""
    return wire.structs.Settlement(
        request=placement_request.request_id,
        upstream='',
        evidence=int(messages.Evidence.NONE),
        took_ms=0,
    )


def create_release(
    placement_request: messages.PlacementRequest,
    record: records.UpstreamRecord,
) -> wire.Struct:
    """Return the settlement of a request that goes to another upstream."""
    return wire.structs.Settlement(
        request=placement_request.request_id,
        upstream=record.upstream,
        evidence=int(messages.Evidence.NONE),
        took_ms=0,
    )
