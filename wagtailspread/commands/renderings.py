"""Output of the configuration commands, for people and as JSON."""

import dataclasses
import json
import typing

import click

from wagtailspread.configuration import checks, findings, schemas

_MILLISECONDS = 1000
_MINUTE = 60
_HOUR = 3600
_PERCENT = 100
_KIBIBYTE = 1024
_BITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One effective setting of one site."""

    site: str
    subject: str
    key: str
    shown: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A setting that differs; an empty value stands for none."""

    site: str
    subject: str
    key: str
    before: str
    after: str

    def describe(self) -> str:
        """Return one line for people."""
        before = self.before or '(none)'
        after = self.after or '(none)'
        return f'[{self.site}] {self.subject} {self.key}: {before} -> {after}'


def list_settings(sites: checks.SiteSettings) -> list[Setting]:
    """Return the effective settings of all sites, one key at a time."""
    rows: list[Setting] = []
    for site, settings in sites.items():
        for subject, keys in _list_subjects(settings):
            rows.extend(
                Setting(site, subject, key, shown)
                for key, shown in keys.items()
            )
    return rows


def compare_settings(
    before: checks.SiteSettings,
    after: checks.SiteSettings,
) -> list[Difference]:
    """Return the settings that differ between two sets of files."""
    old = {_locate(one): one.shown for one in list_settings(before)}
    new = {_locate(one): one.shown for one in list_settings(after)}
    return [
        Difference(*place, old.get(place, ''), new.get(place, ''))
        for place in dict.fromkeys((*old, *new))
        if old.get(place) != new.get(place)
    ]


def write_lines(lines: typing.Iterable[str]) -> None:
    """Print lines for people."""
    for line in lines:
        click.echo(line)


def write_json(document: dict[str, typing.Any]) -> None:
    """Print a document for programs."""
    click.echo(json.dumps(document, indent=2, sort_keys=True))


def encode_findings(
    found: typing.Iterable[findings.Finding],
) -> list[dict[str, typing.Any]]:
    """Return findings as JSON objects."""
    return [
        {**dataclasses.asdict(one), 'kind': one.kind.value} for one in found
    ]


def show_settings(rows: typing.Iterable[Setting]) -> typing.Iterator[str]:
    """Return lines that group settings by site and subject.

    >>> rows = [Setting('andino', 'service vitrina', 'floor', '60%')]
    >>> list(show_settings(rows))
    ['site andino', '  service vitrina: floor=60%']
    """
    site = ''
    grouped: dict[tuple[str, str], list[str]] = {}
    for row in rows:
        pairs = grouped.setdefault((row.site, row.subject), [])
        pairs.append(f'{row.key}={row.shown}')
    for (name, subject), pairs in grouped.items():
        if name != site:
            site = name
            yield f'site {site}'
        shown = ' '.join(pairs)
        yield f'  {subject}: {shown}'


def show_duration(seconds: float) -> str:
    """Return a duration with its unit.

    >>> show_duration(0.25), show_duration(90), show_duration(86400)
    ('250ms', '90s', '24h')
    """
    if not float(seconds).is_integer():
        return f'{seconds * _MILLISECONDS:g}ms'
    for unit, length in (('h', _HOUR), ('min', _MINUTE)):
        if seconds and seconds % length == 0:
            return f'{seconds / length:g}{unit}'
    return f'{seconds:g}s'


def show_share(share: float) -> str:
    """Return a share in percent.

    >>> show_share(0.6)
    '60%'
    """
    return f'{share * _PERCENT:g}%'


def show_size(size: int) -> str:
    """Return a size in the largest unit that leaves no fraction.

    >>> show_size(65536), show_size(100)
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
        yield f'region {region.name}', _show_region(region)
    for service in settings.services.values():
        yield f'service {service.name}', _show_service(service)
    for route in settings.routes:
        yield f'route {route.name}', _show_route(route)


def _show_region(region: schemas.RegionSettings) -> dict[str, str]:
    rate = region.link_bytes * _BITS / 10**6
    return {
        'domains': ','.join(region.domains),
        'hosts': str(region.hosts),
        'link': f'{rate:g}Mbit/s',
        'tie_breaker': region.tie_breaker or 'none',
    }


def _show_service(service: schemas.ServiceSettings) -> dict[str, str]:
    return {
        'floor': show_share(service.floor),
        'shares': '/'.join(map(show_share, service.shares)),
        'queues': '/'.join(map(str, service.queue_limits)),
        'deadline': show_duration(service.deadline),
        'max_body': show_size(service.max_body),
        'warm_up': show_duration(service.warm_up),
        'retry_share': show_share(service.retry_share),
        'quarantine': show_duration(service.quarantine),
        'key_lifetime': show_duration(service.key_lifetime),
    }


def _show_route(route: schemas.RouteSettings) -> dict[str, str]:
    return {
        'service': route.service,
        'path': route.path_prefix,
        'methods': ','.join(route.methods),
        'priority': route.priority.name.lower(),
        'idempotent': 'yes' if route.is_idempotent else 'no',
    }
