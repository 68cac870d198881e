"""Output of the configuration commands, as text and as JSON."""

import dataclasses
import json
import typing

import click

from wagtailspread.configuration import checks, findings, schemas
from wagtailspread.core import priorities
from wagtailspread.routing import terms

_MILLISECONDS = 1000
_MINUTE = 60
_HOUR = 3600
_PERCENT = 100
_KIBIBYTE = 1024
_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One effective setting of one site.

    :param subject: section of the setting, such as ``service vitrina``.
    :param value: value as text, with its unit.
    """

    site: str
    subject: str
    key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A setting that differs between two sets of files.

    :param before: value as text; empty if the setting was added.
    :param after: value as text; empty if the setting was removed.
    """

    site: str
    subject: str
    key: str
    before: str
    after: str

    def describe(self) -> str:
        """Return the difference as one line of text."""
        before = self.before or '(none)'
        after = self.after or '(none)'
        return f'[{self.site}] {self.subject} {self.key}: {before} -> {after}'


def list_settings(sites: checks.SiteSettings) -> list[Setting]:
    """Return the effective settings of all sites, one for each key."""
    rows: list[Setting] = []
    for site, settings in sites.items():
        for subject, keys in _list_subjects(settings):
            rows.extend(
                Setting(site, subject, key, value)
                for key, value in keys.items()
            )
    return rows


def compare_settings(
    before: checks.SiteSettings,
    after: checks.SiteSettings,
) -> list[Difference]:
    """Return the settings that differ between two sets of files."""
    old = {_locate(row): row.value for row in list_settings(before)}
    new = {_locate(row): row.value for row in list_settings(after)}
    return [
        Difference(*location, old.get(location, ''), new.get(location, ''))
        for location in dict.fromkeys((*old, *new))
        if old.get(location) != new.get(location)
    ]


def write_lines(lines: typing.Iterable[str]) -> None:
    """Print lines of text."""
    for line in lines:
        click.echo(line)


def write_json(document: dict[str, typing.Any]) -> None:
    """Print a document as JSON."""
    click.echo(json.dumps(document, indent=2, sort_keys=True))


def encode_findings(
    found: typing.Iterable[findings.Finding],
) -> list[dict[str, typing.Any]]:
    """Return findings as dictionaries that JSON can represent."""
    return [
        {**dataclasses.asdict(finding), 'kind': finding.kind.value}
        for finding in found
    ]


def format_settings(rows: typing.Iterable[Setting]) -> typing.Iterator[str]:
    """Return lines of text with settings grouped by site and subject.

    >>> rows = [Setting('andino', 'service vitrina', 'floor', '60%')]
    >>> list(format_settings(rows))
    ['site andino', '  service vitrina: floor=60%']
    """
    site = ''
    grouped: dict[tuple[str, str], list[str]] = {}
    for row in rows:
        pairs = grouped.setdefault((row.site, row.subject), [])
        pairs.append(f'{row.key}={row.value}')
    for (name, subject), pairs in grouped.items():
        if name != site:
            site = name
            yield f'site {site}'
        joined = ' '.join(pairs)
        yield f'  {subject}: {joined}'


def format_duration(seconds: float) -> str:
    """Return a duration in seconds as text with its unit.

    >>> format_duration(0.25), format_duration(90), format_duration(86400)
    ('250ms', '90s', '24h')
    """
    if not float(seconds).is_integer():
        return f'{seconds * _MILLISECONDS:g}ms'
    for unit, length in (('h', _HOUR), ('min', _MINUTE)):
        if seconds and seconds % length == 0:
            return f'{seconds / length:g}{unit}'
    return f'{seconds:g}s'


def format_share(share: float) -> str:
    """Return a share from 0 to 1 as text in percent.

    >>> format_share(0.6)
    '60%'
    """
    return f'{share * _PERCENT:g}%'


def format_size(size: int) -> str:
    """Return a size in bytes as text, in the largest unit without fraction.

    >>> format_size(65536), format_size(100)
    ('64KiB', '100B')
    """
    for unit in ('B', 'KiB', 'MiB'):
        if size % _KIBIBYTE or not size:
            return f'{size}{unit}'
        size //= _KIBIBYTE
    return f'{size}GiB'


def _locate(setting: Setting) -> tuple[str, str, str]:
    return setting.site, setting.subject, setting.key


def _list_subjects(
    settings: schemas.Settings,
) -> typing.Iterator[tuple[str, dict[str, str]]]:
    yield 'fleet', {'name': settings.fleet}
    for member in settings.members.values():
        yield f'member {member.name}', {'key': member.public_key.hex()}
    for region in settings.regions.values():
        yield f'region {region.name}', _format_region(region)
    for service in settings.services.values():
        yield f'service {service.name}', _format_service(service)
    for route in settings.routes:
        yield f'route {route.name}', _format_route(route)
    for workspace in settings.workspaces:
        yield f'workspace {workspace.name}', _format_workspace(workspace)


def _format_region(region: schemas.RegionSettings) -> dict[str, str]:
    rate = region.link_bytes * _BITS / 10**6
    return {
        'domains': ','.join(region.domains),
        'hosts': str(region.hosts),
        'link': f'{rate:g}Mbit/s',
        'tie_breaker': region.tie_breaker or 'none',
    }


def _format_service(service: schemas.ServiceSettings) -> dict[str, str]:
    return {
        'floor': format_share(service.floor),
        'shares': '/'.join(map(format_share, service.shares)),
        'queues': '/'.join(map(str, service.queue_limits)),
        'deadline': format_duration(service.deadline),
        'max_body': format_size(service.max_body),
        'warm_up': format_duration(service.warm_up),
        'retry_share': format_share(service.retry_share),
        'quarantine': format_duration(service.quarantine),
        'key_lifetime': format_duration(service.key_lifetime),
    }


def _format_route(route: schemas.RouteSettings) -> dict[str, str]:
    return {
        'service': route.service,
        'path': route.path_prefix,
        'methods': ','.join(route.methods),
        'priority': route.priority.name.lower(),
        'idempotent': 'yes' if route.is_idempotent else 'no',
    }


def _format_workspace(workspace: terms.Workspace) -> dict[str, str]:
    """Return the settings of a workspace; of its keys only their number."""
    cap = workspace.cap
    priority = 'of the route'
    if workspace.priority is not None:
        priority = priorities.Priority(workspace.priority).name.lower()
    return {
        'keys': str(len(workspace.digests)),
        'priority': priority,
        'rate': f'{cap.rate:g}/s' if cap.is_limited else 'unlimited',
        'burst': f'{cap.burst:g}',
    }
