"""Checks of a base file with its overlays, as a whole.

The result is the effective settings of each site, or all findings with their
file, line, key and expected value.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import (
    files,
    findings,
    memberships,
    readers,
    route_checks,
    schemas,
    section_caches,
    sections,
    service_checks,
    workspace_checks,
)
from wagtailspread.core import identifiers

SiteSettings = dict[identifiers.MemberId, schemas.Settings]
CheckResult = result.Result[SiteSettings, findings.Findings]

_Kind = findings.FindingKind
_Layer = tuple[str, files.ParsedSection]
_ReadSection = typing.Callable[[readers.SectionReader], typing.Any]


def check_files(
    base: files.ParsedFile,
    overlays: typing.Sequence[files.ParsedFile] = (),
    in_force: memberships.Membership | None = None,
    cache: section_caches.SectionCache | None = None,
) -> CheckResult:
    """Check files and return the effective settings of each site.

    :param base: the base file.
    :param overlays: overlays, named after their members.
    :param in_force: the members in force; if omitted, every member section of
        the base file is in force, as for the first version.
    :param cache: values of sections read for the previous version.
    :returns: settings by member, or all findings.
    """
    checker = _Checker(base, cache or section_caches.create_section_cache())
    settings = checker.read_base()
    if in_force is not None:
        settings = dataclasses.replace(settings, members=in_force.members)
    sites = {member: settings for member in settings.members}
    for overlay in overlays:
        member = checker.check_owner(overlay, settings)
        effective = checker.apply_overlay(settings, overlay)
        if member is not None:
            sites[member] = effective
    if checker.sink:
        return result.Failure(findings.sort_findings(checker.sink))
    return result.Success(sites)


def read_listed_members(
    base: files.ParsedFile,
    cache: section_caches.SectionCache,
) -> memberships.Membership:
    """Return the members that a base file lists, without unreadable sections.

    :param cache: values of sections read for the previous version.
    """
    return memberships.create_membership(
        _Checker(base, cache).read_members().values(),
    )


class _Checker:
    """Reads all sections of a base file and of its overlays."""

    def __init__(
        self,
        base: files.ParsedFile,
        cache: section_caches.SectionCache,
    ) -> None:
        self.sink: list[findings.Finding] = []
        self._base = base
        self._cache = cache

    def read_base(self) -> schemas.Settings:
        """Return the settings that all sites share."""
        self.sink.extend(readers.check_kinds(self._base, sections.BASE_KINDS))
        services = {
            service.name: service
            for service in self._read_all(
                sections.SERVICE,
                service_checks.read_service,
            )
        }
        regions = self._read_regions()
        routes = tuple(
            self._read_all(sections.ROUTE, route_checks.read_route),
        )
        self.sink.extend(
            route_checks.check_routes(self._base, routes, services),
        )
        self._check_required_sections(routes)
        fleets = self._read_all(sections.FLEET, service_checks.read_fleet)
        workspaces = tuple(
            self._read_all(sections.WORKSPACE, workspace_checks.read_workspace),
        )
        self.sink.extend(
            workspace_checks.check_workspaces(self._base, workspaces),
        )
        return schemas.Settings(
            services=services,
            routes=routes,
            regions=regions,
            members=self.read_members(),
            fleet=''.join(fleets),
            workspaces=workspaces,
        )

    def read_members(
        self,
    ) -> dict[identifiers.MemberId, schemas.MemberSettings]:
        """Return the members that the base file lists."""
        listed = self._read_all(sections.MEMBER, service_checks.read_member)
        members = {
            member.name: member for member in listed if member is not None
        }
        seen: dict[bytes, str] = {}
        for name, member in members.items():
            other = seen.setdefault(member.public_key, name)
            if other != name:
                self._report_shared_key(name, other)
        return members

    def check_owner(
        self,
        overlay: files.ParsedFile,
        settings: schemas.Settings,
    ) -> identifiers.MemberId | None:
        """Return the owner of the overlay; report an overlay without one."""
        member = schemas.overlay_member(overlay.name)
        if member in settings.members:
            return member
        names = ', '.join(map(schemas.overlay_name, settings.members))
        self._report(
            overlay.name,
            0,
            '',
            f'the base file or an overlay of a member ({names})',
            _Kind.UNKNOWN_FILE,
        )
        return None

    def apply_overlay(
        self,
        settings: schemas.Settings,
        overlay: files.ParsedFile,
    ) -> schemas.Settings:
        """Return the effective settings of the overlay's site."""
        self.sink.extend(readers.check_kinds(overlay, sections.OVERLAY_KINDS))
        services = dict(settings.services)
        for section in overlay.sections:
            if section.kind == sections.OVERRIDE.kind:
                self._override(overlay, section, services)
            elif section.kind == sections.LEAVE.kind:
                self.sink.extend(
                    readers.check_keys(overlay.name, section, sections.LEAVE),
                )
        return dataclasses.replace(settings, services=services)

    def _override(
        self,
        overlay: files.ParsedFile,
        section: files.ParsedSection,
        services: dict[identifiers.ServiceName, schemas.ServiceSettings],
    ) -> None:
        base = self._base.find(section.header)
        if base is None:
            hint = readers.suggest(section.name, services)
            self._report(
                overlay.name,
                section.line,
                f'[{section.header}]',
                f'a service: {hint}',
                _Kind.UNKNOWN_NAME,
            )
            return
        effective = self._read(
            sections.OVERRIDE,
            ((self._base.name, base), (overlay.name, section)),
            service_checks.read_service,
        )
        services[effective.name] = effective

    def _read_all(
        self,
        kind: sections.SectionKind,
        read: _ReadSection,
    ) -> list[typing.Any]:
        return [
            self._read(kind, ((self._base.name, section),), read)
            for section in self._base.by_kind.get(kind.kind, ())
        ]

    def _read(
        self,
        kind: sections.SectionKind,
        layers: tuple[_Layer, ...],
        read: _ReadSection,
    ) -> typing.Any:
        bodies = tuple(section.body for _, section in layers)
        cached = self._cache.find(bodies)
        if cached is not None:
            return cached
        findings_before = len(self.sink)
        file, section = layers[-1]
        self.sink.extend(readers.check_keys(file, section, kind))
        merged_kind = sections.SERVICE if kind is sections.OVERRIDE else kind
        section_value = read(
            readers.SectionReader(merged_kind, layers, self.sink),
        )
        if len(self.sink) == findings_before:
            self._cache.store(bodies, section_value)
        return section_value

    def _read_regions(
        self,
    ) -> dict[identifiers.RegionName, schemas.RegionSettings]:
        regions = {
            region.name: region
            for region in self._read_all(
                sections.REGION,
                service_checks.read_region,
            )
        }
        seen: set[str] = set()
        for name, region in regions.items():
            repeated = seen.intersection(region.domains)
            if repeated or len(set(region.domains)) < len(region.domains):
                section = self._base.find(f'{sections.REGION.kind} {name}')
                self._report(
                    self._base.name,
                    section.line_of('domains') if section else 0,
                    'domains',
                    'each failure domain in one region, once',
                    _Kind.DUPLICATE,
                )
            seen.update(region.domains)
        return regions

    def _report_shared_key(self, member: str, other: str) -> None:
        """Report a key that two members share: its owner could vote twice."""
        section = self._base.find(f'{sections.MEMBER.kind} {member}')
        self._report(
            self._base.name,
            section.line_of('public_key') if section else 0,
            'public_key',
            f'another key than that of [member {other}]',
            _Kind.DUPLICATE,
        )

    def _check_required_sections(
        self,
        routes: tuple[schemas.RouteSettings, ...],
    ) -> None:
        required = [sections.FLEET, sections.MEMBER]
        services = self._base.by_kind.get(sections.SERVICE.kind, [])
        if services:
            required.append(sections.REGION)
        for kind in required:
            if kind.kind not in self._base.by_kind:
                header = kind.header()
                self._report(
                    self._base.name,
                    0,
                    header,
                    f'a section {header}',
                    _Kind.MISSING_SECTION,
                )
        routed = {route.service for route in routes}
        for section in services:
            if section.name not in routed:
                self._report(
                    self._base.name,
                    section.line,
                    f'[{section.header}]',
                    'a [route NAME] section that names this service',
                    _Kind.SERVICE_WITHOUT_ROUTE,
                )

    def _report(
        self,
        file: str,
        line: int,
        key: str,
        expected: str,
        kind: findings.FindingKind,
    ) -> None:
        self.sink.append(findings.Finding(file, line, key, expected, kind))
