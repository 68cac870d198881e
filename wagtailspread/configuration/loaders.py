"""Settings of the files that a host received.

A host loads the files again after each delta. Sections that did not change
are not read again, so that a change of one route does not block a host.
"""

import typing

from returns import result

from wagtailspread.configuration import (
    checks,
    files,
    findings,
    memberships,
    readings,
    schemas,
)


class SettingsLoader:
    """Loads one version after the other. Use :func:`create_loader`."""

    def __init__(self) -> None:
        """Start without files."""
        self._parsed: dict[str, files.ParsedFile] = {}
        self._known = readings.create_readings()

    def load(self, texts: typing.Mapping[str, str]) -> checks.CheckResult:
        """Check the files and return the effective settings of each site.

        :param texts: texts by file name, with the members file if there is
            one.
        :returns: settings by member, or all findings.
        """
        problems: list[findings.Finding] = []
        parsed = self._parse_all(texts, problems)
        if schemas.BASE_FILE not in texts:
            problems.append(_report_missing_base())
        if problems:
            return result.Failure(findings.sort_findings(problems))
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
            self._known,
        )
        self._known = self._known.succeed()
        return checked

    def _parse_all(
        self,
        texts: typing.Mapping[str, str],
        problems: list[findings.Finding],
    ) -> dict[str, files.ParsedFile]:
        parsed = {}
        for name in sorted(texts):
            one = files.parse_file(name, texts[name], self._parsed.get(name))
            if isinstance(one, result.Failure):
                problems.extend(one.failure())
            else:
                parsed[name] = one.unwrap()
        return parsed


def create_loader() -> SettingsLoader:
    """Return a loader without files."""
    return SettingsLoader()


def load_settings(texts: typing.Mapping[str, str]) -> checks.CheckResult:
    """Check the files once; see :meth:`SettingsLoader.load`."""
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
