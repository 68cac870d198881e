"""Loads settings from the configuration files that a host received.

A host reloads the files after each delta. Unchanged sections are not read
again, so that the change of one route does not block a host.
"""

import typing

from returns import result

from wagtailspread.configuration import (
    checks,
    files,
    findings,
    memberships,
    schemas,
    section_caches,
)


class SettingsLoader:
    """Loads successive versions. Use :func:`create_loader`."""

    def __init__(self) -> None:
        """Start without files."""
        self._parsed: dict[str, files.ParsedFile] = {}
        self._cache = section_caches.create_section_cache()

    def load(self, texts: typing.Mapping[str, str]) -> checks.CheckResult:
        """Check the files and return the effective settings of each site.

        :param texts: texts by file name, including the members file if there
            is one.
        :returns: settings by member, or all findings.
        """
        sink: list[findings.Finding] = []
        parsed = self._parse_all(texts, sink)
        if schemas.BASE_FILE not in texts:
            sink.append(_report_missing_base())
        if sink:
            return result.Failure(findings.sort_findings(sink))
        self._parsed = parsed
        others = dict(parsed)
        base = others.pop(schemas.BASE_FILE)
        listed = others.pop(schemas.MEMBERS_FILE, None)
        try:
            in_force = memberships.read_membership(listed) if listed else None
        except (KeyError, ValueError):
            return result.Failure((_report_broken_members(),))
        checked = checks.check_files(
            base,
            tuple(others.values()),
            in_force,
            self._cache,
        )
        self._cache = self._cache.commit()
        return checked

    def _parse_all(
        self,
        texts: typing.Mapping[str, str],
        sink: list[findings.Finding],
    ) -> dict[str, files.ParsedFile]:
        parsed = {}
        for name in sorted(texts):
            outcome = files.parse_file(
                name,
                texts[name],
                self._parsed.get(name),
            )
            if isinstance(outcome, result.Failure):
                sink.extend(outcome.failure())
            else:
                parsed[name] = outcome.unwrap()
        return parsed


def create_loader() -> SettingsLoader:
    """Return a loader without files."""
    return SettingsLoader()


def load_settings(texts: typing.Mapping[str, str]) -> checks.CheckResult:
    """Load files without a previous version; see :class:`SettingsLoader`."""
    return create_loader().load(texts)


def _report_missing_base() -> findings.Finding:
    return findings.Finding(
        schemas.BASE_FILE,
        0,
        '',
        f'a file {schemas.BASE_FILE}',
        findings.FindingKind.MISSING_SECTION,
    )


def _report_broken_members() -> findings.Finding:
    return findings.Finding(
        schemas.MEMBERS_FILE,
        0,
        '',
        'the file as the replicas wrote it',
        findings.FindingKind.MALFORMED,
    )
