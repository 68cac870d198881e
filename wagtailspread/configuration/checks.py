"""Checks of a base file with its overlays, as a whole.

The result is the effective settings of each site, or everything that is wrong
with file, line, key and what was expected.
"""

import base64
import binascii
import typing

from returns import result

from wagtailspread.configuration import (
    files,
    findings,
    memberships,
    readers,
    route_checks,
    schemas,
    sections,
)
from wagtailspread.core import identifiers

SiteSettings = dict[identifiers.MemberId, schemas.Settings]
CheckResult = result.Result[SiteSettings, findings.Findings]

_Kind = findings.FindingKind
_PUBLIC_KEY_BYTES = 32


def check_files(
    base: files.ParsedFile,
    overlays: typing.Sequence[files.ParsedFile] = (),
    in_force: memberships.Membership | None = None,
) -> CheckResult:
    """Check files and return the effective settings of each site.

    :param base: the base file.
    :param overlays: overlays, named after their members.
    :param in_force: the members in force; without it, every member section of
        the base file counts, as it does for the first version.
    :returns: settings by member, or all findings.
    """
    sink = list(readers.check_known(base, sections.BASE_KINDS))
    checker = _Checker(base, sink)
    settings = checker.read_base()
    if in_force is not None:
        settings = _replace_members(settings, in_force)
    sites = {member: settings for member in settings.members}
    for overlay in overlays:
        sink.extend(readers.check_known(overlay, sections.OVERLAY_KINDS))
        member = _check_owner(overlay, settings, sink)
        if member is not None:
            sites[member] = checker.apply_overlay(settings, overlay)
    if sink:
        return result.Failure(findings.sort_findings(sink))
    return result.Success(sites)


def load_settings(texts: typing.Mapping[str, str]) -> CheckResult:
    """Check the texts of all files, as a host receives them.

    :param texts: texts by file name, with the members file if there is one.
    :returns: settings by member, or all findings.
    """
    parsed: dict[str, files.ParsedFile] = {}
    problems: list[findings.Finding] = []
    for name in sorted(texts):
        one = files.parse_file(name, texts[name])
        if isinstance(one, result.Failure):
            problems.extend(one.failure())
        else:
            parsed[name] = one.unwrap()
    if schemas.BASE_FILE not in texts:
        problems.append(_missing_base())
    if problems:
        return result.Failure(tuple(problems))
    base = parsed.pop(schemas.BASE_FILE)
    listed = parsed.pop(schemas.MEMBERS_FILE, None)
    in_force = memberships.read_membership(listed) if listed else None
    return check_files(base, tuple(parsed.values()), in_force)


def read_listed(
    base: files.ParsedFile,
    sink: list[findings.Finding],
) -> memberships.Membership:
    """Return the member sections of a base file.

    :param sink: gets what is wrong with them.
    """
    return memberships.create_membership(
        _Checker(base, sink).read_members().values(),
    )


def _missing_base() -> findings.Finding:
    return findings.Finding(
        schemas.BASE_FILE,
        0,
        '',
        f'a file {schemas.BASE_FILE}',
        _Kind.MISSING_SECTION,
    )


def _replace_members(
    settings: schemas.Settings,
    in_force: memberships.Membership,
) -> schemas.Settings:
    return schemas.Settings(
        services=settings.services,
        routes=settings.routes,
        regions=settings.regions,
        members=in_force.members,
        fleet=settings.fleet,
    )


def _check_owner(
    overlay: files.ParsedFile,
    settings: schemas.Settings,
    sink: list[findings.Finding],
) -> identifiers.MemberId | None:
    member = schemas.overlay_member(overlay.name)
    if member in settings.members:
        return member
    names = ', '.join(
        schemas.overlay_name(member) for member in settings.members
    )
    sink.append(
        findings.Finding(
            overlay.name,
            0,
            '',
            f'the base file or an overlay of a member ({names})',
            _Kind.UNKNOWN_FILE,
        ),
    )
    return None


class _Checker:
    def __init__(
        self,
        base: files.ParsedFile,
        sink: list[findings.Finding],
    ) -> None:
        self._base = base
        self._sink = sink
        self._sections: dict[str, list[files.ParsedSection]] = {}
        for section in base.sections:
            self._sections.setdefault(section.kind, []).append(section)

    def read_base(self) -> schemas.Settings:
        services = {
            settings.name: settings
            for settings in map(
                self._read_service,
                self._readers(sections.SERVICE),
            )
        }
        regions = self._read_regions()
        route_readers = self._readers(sections.ROUTE)
        routes = route_checks.read_routes(route_readers, tuple(services))
        self._check_complete(services, regions, routes)
        return schemas.Settings(
            services=services,
            routes=routes,
            regions=regions,
            members=self.read_members(),
            fleet=self._read_fleet(),
        )

    def apply_overlay(
        self,
        settings: schemas.Settings,
        overlay: files.ParsedFile,
    ) -> schemas.Settings:
        services = dict(settings.services)
        for section in overlay.sections:
            if section.kind != sections.SERVICE.kind:
                continue
            base = self._base.find(section.header)
            if base is None:
                self._report_unknown_service(overlay, section, services)
                continue
            reader = readers.SectionReader(
                sections.SERVICE,
                ((self._base.name, base), (overlay.name, section)),
                self._sink,
            )
            effective = self._read_service(reader)
            services[effective.name] = effective
        return schemas.Settings(
            services=services,
            routes=settings.routes,
            regions=settings.regions,
            members=settings.members,
            fleet=settings.fleet,
        )

    def _readers(
        self,
        kind: sections.SectionKind,
    ) -> list[readers.SectionReader]:
        return [
            readers.SectionReader(
                kind, ((self._base.name, section),), self._sink
            )
            for section in self._sections.get(kind.kind, ())
        ]

    def _read_service(
        self,
        reader: readers.SectionReader,
    ) -> schemas.ServiceSettings:
        urgent, standard, bulk = (
            reader.read_number(f'share_{name}')
            for name in sections.PRIORITY_NAMES
        )
        if round(urgent + standard + bulk, 9) > 1:
            reader.report(
                'share_bulk',
                'shares of all priorities of at most 100% together',
                _Kind.IMPOSSIBLE_LIMIT,
            )
        queue_urgent, queue_standard, queue_bulk = (
            reader.read_count(f'queue_{name}')
            for name in sections.PRIORITY_NAMES
        )
        return schemas.ServiceSettings(
            name=identifiers.ServiceName(_name_of(reader)),
            floor=reader.read_number('floor'),
            shares=(urgent, standard, bulk),
            queue_limits=(queue_urgent, queue_standard, queue_bulk),
            deadline=reader.read_number('deadline'),
            max_body=reader.read_count('max_body'),
            warm_up=reader.read_number('warm_up'),
            retry_share=reader.read_number('retry_share'),
            quarantine=reader.read_number('quarantine'),
            key_lifetime=reader.read_number('key_lifetime'),
        )

    def _read_regions(
        self,
    ) -> dict[identifiers.RegionName, schemas.RegionSettings]:
        regions = {}
        seen: set[str] = set()
        for reader in self._readers(sections.REGION):
            domains = reader.read_words('domains')
            if seen.intersection(domains) or len(set(domains)) < len(domains):
                reader.report(
                    'domains',
                    'each failure domain in one region, once',
                    _Kind.DUPLICATE,
                )
            seen.update(domains)
            name = identifiers.RegionName(_name_of(reader))
            regions[name] = schemas.RegionSettings(
                name=name,
                domains=tuple(map(identifiers.FailureDomain, domains)),
                hosts=reader.read_count('hosts'),
                link_bytes=reader.read_number('link'),
            )
        return regions

    def read_members(
        self,
    ) -> dict[identifiers.MemberId, schemas.MemberSettings]:
        listed = {}
        for reader in self._readers(sections.MEMBER):
            name = identifiers.MemberId(_name_of(reader))
            key = _decode_key(reader.read_text('public_key'))
            if key is None:
                reader.report(
                    'public_key',
                    'a raw Ed25519 public key of 32 bytes in base64',
                    _Kind.BAD_VALUE,
                )
            else:
                listed[name] = schemas.MemberSettings(name, key)
        return listed

    def _read_fleet(self) -> str:
        names = [
            reader.read_text('name') for reader in self._readers(sections.FLEET)
        ]
        return names[0] if names else ''

    def _check_complete(
        self,
        services: typing.Collection[str],
        regions: typing.Collection[str],
        routes: tuple[schemas.RouteSettings, ...],
    ) -> None:
        for kind in (sections.FLEET, sections.MEMBER):
            if kind.kind not in self._sections:
                self._report_missing(kind)
        if services and not regions:
            self._report_missing(sections.REGION)
        routed = {route.service for route in routes}
        for reader in self._readers(sections.SERVICE):
            if _name_of(reader) not in routed:
                reader.report(
                    '',
                    'a [route NAME] section that names this service',
                    _Kind.SERVICE_WITHOUT_ROUTE,
                )

    def _report_missing(self, kind: sections.SectionKind) -> None:
        header = f'[{kind.kind} NAME]' if kind.is_named else f'[{kind.kind}]'
        self._sink.append(
            findings.Finding(
                self._base.name,
                0,
                header,
                f'a section {header}',
                _Kind.MISSING_SECTION,
            ),
        )

    def _report_unknown_service(
        self,
        overlay: files.ParsedFile,
        section: files.ParsedSection,
        services: typing.Iterable[str],
    ) -> None:
        self._sink.append(
            findings.Finding(
                overlay.name,
                section.line,
                f'[{section.header}]',
                f'a service: {readers.suggest(section.name, services)}',
                _Kind.UNKNOWN_NAME,
            ),
        )


def _name_of(reader: readers.SectionReader) -> str:
    return reader.header.strip('[]').partition(' ')[2]


def _decode_key(text: str) -> bytes | None:
    try:
        key = base64.b64decode(text, validate=True)
    except binascii.Error:
        return None
    return key if len(key) == _PUBLIC_KEY_BYTES else None
