"""Reads the route sections and finds routes that overlap."""

import typing

from wagtailspread.configuration import (
    findings,
    readers,
    routes,
    schemas,
    sections,
)
from wagtailspread.core import identifiers, priorities

_Kind = findings.FindingKind
_TRUTHS = {'yes': True, 'no': False}


def read_routes(
    route_readers: typing.Iterable[readers.SectionReader],
    services: tuple[identifiers.ServiceName, ...],
) -> tuple[schemas.RouteSettings, ...]:
    """Return the routes; faults are reported through the readers."""
    known = frozenset(services)
    taken: dict[tuple[str, str], str] = {}
    found = []
    for reader in route_readers:
        route = _read_route(reader, known)
        _check_overlap(reader, route, taken)
        found.append(route)
    return tuple(found)


def _read_route(
    reader: readers.SectionReader,
    services: frozenset[identifiers.ServiceName],
) -> schemas.RouteSettings:
    service = identifiers.ServiceName(reader.read_text('service'))
    if service and service not in services:
        hint = readers.suggest(service, sorted(services))
        reader.report('service', f'a service: {hint}', _Kind.UNKNOWN_NAME)
    methods = _read_methods(reader)
    return schemas.RouteSettings(
        name=reader.header.strip('[]').partition(' ')[2],
        service=service,
        path_prefix=_read_path(reader),
        methods=methods,
        priority=_read_priority(reader),
        is_idempotent=_read_idempotent(reader, methods),
    )


def _read_path(reader: readers.SectionReader) -> str:
    path = reader.read_text('path')
    if not path:
        return path
    segments = path.split('/')
    is_plain = (
        path.startswith('/')
        and not {'?', '#', ' ', '\n'}.intersection(path)
        and not {'.', '..'}.intersection(segments)
        and '//' not in path
    )
    if not is_plain:
        reader.report(
            'path',
            'an absolute path without query, dot segments or blanks',
            _Kind.BAD_VALUE,
        )
    elif segments[1] == sections.RESERVED_PREFIX[1:]:
        reader.report(
            'path',
            f'a path outside {sections.RESERVED_PREFIX}/, which the entry '
            'hosts answer themselves',
            _Kind.OVERLAPPING_ROUTES,
        )
    return path


def _read_methods(reader: readers.SectionReader) -> tuple[str, ...]:
    methods = reader.read_words('methods')
    unknown = [one for one in methods if one not in sections.KNOWN_METHODS]
    if unknown:
        hint = readers.suggest(unknown[0], sections.KNOWN_METHODS)
        reader.report('methods', f'HTTP methods: {hint}', _Kind.BAD_VALUE)
    return tuple(dict.fromkeys(methods))


def _read_priority(reader: readers.SectionReader) -> priorities.Priority:
    text = reader.read_text('priority')
    if text in sections.PRIORITY_NAMES:
        return priorities.parse_priority(text)
    expected = ', '.join(sections.PRIORITY_NAMES)
    reader.report('priority', f'one of {expected}', _Kind.BAD_VALUE)
    return priorities.Priority.STANDARD


def _read_idempotent(
    reader: readers.SectionReader,
    methods: tuple[str, ...],
) -> bool:
    """Read the key; it is required if a method is not idempotent by itself."""
    text = reader.read_text('idempotent')
    if text in _TRUTHS:
        return _TRUTHS[text]
    if text:
        reader.report('idempotent', 'yes or no', _Kind.BAD_VALUE)
    elif not sections.IDEMPOTENT_METHODS.issuperset(methods):
        reader.report(
            'idempotent',
            'yes or no, since POST and PATCH are not idempotent by themselves',
            _Kind.MISSING_KEY,
        )
    return True


def _check_overlap(
    reader: readers.SectionReader,
    route: schemas.RouteSettings,
    taken: dict[tuple[str, str], str],
) -> None:
    prefix = routes.normalise_prefix(route.path_prefix)
    for method in route.methods:
        other = taken.setdefault((prefix, method), route.name)
        if other != route.name:
            reader.report(
                'path',
                f'a path and methods that [route {other}] does not have',
                _Kind.OVERLAPPING_ROUTES,
            )
            return
