"""Addresses of replicas and substitutes, as processes report them."""

import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.registry import records
from wagtailspread.wire import messages

#: Hosts per region that act as allocators, in order, when no replica answers.
MAX_SUBSTITUTES = 3

_log = logbook.Logger('places')


def choose_substitutes(
    candidates: typing.Iterable[messages.Struct],
    regions: dict[identifiers.FailureDomain, identifiers.RegionName],
) -> dict[identifiers.RegionName | None, list[messages.Struct]]:
    """Return the candidates with the lowest addresses of each region.

    Processes with the same candidates choose the same substitutes.

    :param candidates: structs ``ReplicaPlace``.
    :param regions: the region of each failure domain.
    """
    chosen: dict[identifiers.RegionName | None, list[messages.Struct]] = {}
    for candidate in sorted(candidates, key=lambda one: str(one.address)):
        region = regions.get(candidate.domain)
        substitutes = chosen.setdefault(region, [])
        if len(substitutes) < MAX_SUBSTITUTES:
            substitutes.append(candidate)
    return chosen


def clean_batch(batch: messages.Struct) -> None:
    """Replace missing lists of a received batch; drop malformed places.

    A peer of another version may omit a field, and one malformed place must
    not cost the others.

    :param batch: struct ``ChangeBatch``, which is changed in place.
    """
    batch.hosts = batch.hosts or 0
    batch.strained = _list_texts(batch.strained)
    batch.heard = _list_texts(batch.heard)
    batch.silent = _list_texts(batch.silent)
    if batch.underused is not None:
        batch.underused = _list_texts(batch.underused)
    batch.replicas = _list_valid_places(batch.replicas)
    batch.substitutes = _list_valid_places(batch.substitutes)


def _list_texts(found: list[typing.Any] | None) -> list[str]:
    return [one for one in found or () if isinstance(one, str)]


def _list_valid_places(
    places: list[messages.Struct] | None,
) -> list[messages.Struct]:
    valid = []
    for place in places or ():
        # A replica that does not know a domain reports an empty one.
        if messages.is_text(
            place.address, 1, records.MAX_TEXT_BYTES
        ) and messages.is_text(place.domain, 0, records.MAX_TEXT_BYTES):
            valid.append(place)
        else:
            _log.warning(
                'place skipped',
                extra={'address': str(place.address)[:64]},
            )
    return valid
