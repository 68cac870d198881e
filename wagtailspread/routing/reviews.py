"""Finds what is probably a mistake in a valid configuration.

A configuration with such findings is accepted. Each finding names an entry
that can't have the effect that it seems to be meant for.
"""

import collections
import dataclasses
import enum
import typing

from wagtailspread.routing import terms


#: Stands for the value of an entry that is not there.
_ABSENT = '(none)'


class WarningKind(enum.Enum):
    """Why an entry of a valid configuration is probably a mistake."""

    #: No path matches: only prefixes that end with a slash do.
    NEVER_MATCHES = 'never-matches'
    #: The host of a route has a port or a path, which no request's host has.
    ODD_HOST = 'odd-host'
    #: A part of a split with a weight of 0 gets no requests.
    UNUSED_PART = 'unused-part'
    #: The objective is later than the timeout, so no response can be late.
    OBJECTIVE_AFTER_TIMEOUT = 'objective-after-timeout'
    #: A service that no route leads to.
    UNUSED_SERVICE = 'unused-service'
    #: A service whose upstreams accept no connection.
    NO_CONNECTIONS = 'no-connections'
    #: A workspace without keys: no request belongs to it.
    NO_KEYS = 'no-keys'
    #: A burst without a rate limits nothing.
    BURST_WITHOUT_RATE = 'burst-without-rate'
    #: A cap that admits no request at once: each one waits for the rate.
    NO_BURST = 'no-burst'
    #: Anonymous routes have no effect without workspaces.
    ANONYMOUS_WITHOUT_WORKSPACES = 'anonymous-without-workspaces'
    #: Uploads are refused: no body is allowed.
    NO_BODY = 'no-body'
    #: A head may take longer than the whole request.
    HEAD_AFTER_TIMEOUT = 'head-after-timeout'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReviewWarning:
    """An entry that is probably a mistake.

    :param subject: kind and name of the entry, such as ``route r1``.
    """

    subject: str
    kind: WarningKind = dataclasses.field(compare=False)

    def describe(self) -> str:
        """Return a line for an operator."""
        return f'{self.subject}: {self.kind.value}'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Difference:
    """A change of one entry.

    :param subject: kind and name of the entry.
    :param before: empty if the entry is new.
    :param after: empty if the entry is gone.
    """

    subject: str
    field: str
    before: str
    after: str

    def describe(self) -> str:
        """Return a line for an operator."""
        before = self.before or _ABSENT
        after = self.after or _ABSENT
        return f'{self.subject}: {self.field}: {before} -> {after}'


def list_warnings(settings: terms.RoutingSettings) -> list[ReviewWarning]:
    """Return the entries of valid settings that are probably mistakes."""
    found = list(_review_services(settings))
    for route in settings.routes:
        for kind in _review_route(route, settings):
            found.append(ReviewWarning(f'route {route.name}', kind))
    for workspace in settings.workspaces:
        for kind in _review_workspace(workspace):
            found.append(ReviewWarning(f'workspace {workspace.name}', kind))
    return sorted(found)


def compare(
    before: terms.RoutingSettings, after: terms.RoutingSettings
) -> list[Difference]:
    """Return what differs between two versions, without keys."""
    old = _describe_settings(before)
    new = _describe_settings(after)
    found: list[Difference] = []
    subjects = sorted(set(old).union(new))
    for subject in subjects:
        old_fields = old.get(subject, {})
        new_fields = new.get(subject, {})
        names = sorted(set(old_fields).union(new_fields))
        for field in names:
            difference = Difference(
                subject,
                field,
                old_fields.get(field, ''),
                new_fields.get(field, ''),
            )
            if difference.before != difference.after:
                found.append(difference)
    return found


def _review_services(
    settings: terms.RoutingSettings,
) -> typing.Iterator[ReviewWarning]:
    used = {
        part.service
        for route in settings.routes
        for part in route.parts
        if part.weight > 0
    }
    for service, connections in settings.connections.items():
        subject = f'service {service}'
        if service not in used:
            yield ReviewWarning(subject, WarningKind.UNUSED_SERVICE)
        if not connections:
            yield ReviewWarning(subject, WarningKind.NO_CONNECTIONS)


def _review_route(
    route: terms.Route, settings: terms.RoutingSettings
) -> typing.Iterator[WarningKind]:
    if not route.prefix.endswith('/'):
        yield WarningKind.NEVER_MATCHES
    if ':' in route.host or '/' in route.host:
        yield WarningKind.ODD_HOST
    if any(not part.weight for part in route.parts):
        yield WarningKind.UNUSED_PART
    if route.allows_anonymous and not settings.workspaces:
        yield WarningKind.ANONYMOUS_WITHOUT_WORKSPACES
    is_upload = route.kind is terms.RequestKind.UPLOAD
    if is_upload and not settings.limits.body_bytes:
        yield WarningKind.NO_BODY
    if route.timeout is None:
        return
    if route.objective is not None and route.objective > route.timeout:
        yield WarningKind.OBJECTIVE_AFTER_TIMEOUT
    if settings.limits.header_seconds > route.timeout:
        yield WarningKind.HEAD_AFTER_TIMEOUT


def _review_workspace(
    workspace: terms.Workspace,
) -> typing.Iterator[WarningKind]:
    if not workspace.digests:
        yield WarningKind.NO_KEYS
    cap = workspace.cap
    if cap.burst > 0 and not cap.is_limited:
        yield WarningKind.BURST_WITHOUT_RATE
    if cap.is_limited and cap.burst < 1:
        yield WarningKind.NO_BURST


_Descriptions = dict[str, dict[str, str]]


def _describe_settings(settings: terms.RoutingSettings) -> _Descriptions:
    """Return the fields of all entries as texts, by subject."""
    described: _Descriptions = collections.defaultdict(dict)
    described['limits'] = _describe_fields(settings.limits)
    for service, connections in settings.connections.items():
        described[f'service {service}'] = {'connections': str(connections)}
    for route in settings.routes:
        described[f'route {route.name}'] = {
            **_describe_fields(route),
            'kind': route.kind.value,
            'parts': ', '.join(
                f'{part.service} {part.weight:g}' for part in route.parts
            ),
        }
    for workspace in settings.workspaces:
        described[f'workspace {workspace.name}'] = {
            'priority': str(workspace.priority),
            'rate': f'{workspace.cap.rate:g}',
            'burst': f'{workspace.cap.burst:g}',
            # Digests identify keys, so only their number and changes are told.
            'keys': _describe_keys(workspace),
        }
    return described


def _describe_fields(entry: typing.Any) -> dict[str, str]:
    return {
        field.name: str(getattr(entry, field.name))
        for field in dataclasses.fields(entry)
    }


def _describe_keys(workspace: terms.Workspace) -> str:
    """Return the number of keys, and a check sum that changes with them."""
    combined = 0
    for digest in workspace.digests:
        combined ^= int.from_bytes(digest[:2])
    return f'{len(workspace.digests)} ({combined:04x})'
