"""Reads route sections and reports overlapping routes."""

import typing

from wagtailspread.configuration import (
    files,
    findings,
    readers,
    routes,
    schemas,
    sections,
)
from wagtailspread.core import identifiers, priorities

_Kind = findings.FindingKind
_BOOLEANS = {'yes': True, 'no': False}


def read_route(reader: readers.SectionReader) -> schemas.RouteSettings:
    """Return the route of one section; findings are added to the reader."""
    methods = _read_methods(reader)
    return schemas.RouteSettings(
        name=reader.name,
        service=identifiers.ServiceName(reader.read_text('service')),
        path_prefix=_read_path(reader),
        methods=methods,
        priority=_read_priority(reader),
        is_idempotent=_read_idempotent(reader, methods),
    )


def check_routes(
    base: files.ParsedFile,
    configured: typing.Sequence[schemas.RouteSettings],
    services: typing.Collection[identifiers.ServiceName],
) -> typing.Iterator[findings.Finding]:
    """Report routes to unknown services and routes that overlap.

    Two routes overlap if they share a path and a method. A longer path is not
    an overlap, since the longest prefix has precedence.
    """
    routes_by_prefix: dict[str, dict[str, str]] = {}
    for route in configured:
        if route.service not in services and route.service:
            hint = readers.suggest(route.service, sorted(services))
            yield _report(
                base,
                route,
                'service',
                f'a service: {hint}',
                _Kind.UNKNOWN_NAME,
            )
        other = _find_overlap(route, routes_by_prefix)
        if other is not None:
            yield _report(
                base,
                route,
                'path',
                f'a path and methods that [route {other}] does not have',
                _Kind.OVERLAPPING_ROUTES,
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
    unknown = [
        method for method in methods if method not in sections.KNOWN_METHODS
    ]
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
    """Read the key; it is required if a method is not idempotent."""
    text = reader.read_text('idempotent')
    if text in _BOOLEANS:
        return _BOOLEANS[text]
    if text:
        reader.report('idempotent', 'yes or no', _Kind.BAD_VALUE)
    elif sections.UNSAFE_METHODS.intersection(methods):
        reader.report(
            'idempotent',
            'yes or no, since POST and PATCH are not idempotent by themselves',
            _Kind.MISSING_KEY,
        )
    return True


def _find_overlap(
    route: schemas.RouteSettings,
    routes_by_prefix: dict[str, dict[str, str]],
) -> str | None:
    prefix = routes.normalise_prefix(route.path_prefix)
    by_method = routes_by_prefix.setdefault(prefix, {})
    for method in route.methods:
        other = by_method.setdefault(method, route.name)
        if other != route.name:
            return other
    return None


def _report(
    base: files.ParsedFile,
    route: schemas.RouteSettings,
    key: str,
    expected: str,
    kind: findings.FindingKind,
) -> findings.Finding:
    section = base.find(f'{sections.ROUTE.kind} {route.name}')
    line = section.line_of(key) if section else 0
    return findings.Finding(base.name, line, key, expected, kind)
