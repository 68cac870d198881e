"""Configuration files: INI text to sections and keys with line numbers.

``iniconfig`` does the parsing, since ``configparser`` keeps no line numbers.
The text is also cut into sections without changing a byte, for deltas.

>>> parsed = parse_file('base.ini', '[fleet]\\nname = columnas\\n').unwrap()
>>> parsed.sections[0].entries['name']
Entry(key='name', text='columnas', line=2)
"""

import dataclasses
import re
import typing

import iniconfig

from returns import result

from wagtailspread.configuration import findings

#: Most bytes of one file; 11,000 routes take about 1.5 MB.
MAX_FILE_BYTES = 16 * 1024 * 1024

_NAME = re.compile('[a-z0-9][a-z0-9._-]{0,62}', re.ASCII)
_UNPRINTABLE = re.compile(r'[\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029]')


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    :param line: line number from 1.
    """

    key: str
    text: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedSection:
    """One section, such as ``[service vitrina]``.

    :param kind: first word of the header.
    :param name: second word; empty if there is none.
    :param line: line number of the header, from 1.
    """

    kind: str
    name: str
    line: int
    entries: typing.Mapping[str, Entry]

    @property
    def header(self) -> str:
        """Return the header without brackets."""
        return f'{self.kind} {self.name}'.strip()


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """One file.

    :param text: the text that was parsed, with normalised line ends.
    """

    name: str
    text: str
    sections: tuple[ParsedSection, ...]

    def find(self, header: str) -> ParsedSection | None:
        """Return the section with this header, if there is one."""
        for section in self.sections:
            if section.header == header:
                return section
        return None


def normalise_text(text: str) -> str:
    r"""Return the text with ``\n`` line ends and one at its end.

    >>> normalise_text('[fleet]\r\nname = a')
    '[fleet]\nname = a\n'
    """
    text = text.replace('\r\n', '\n')
    if text and not text.endswith('\n'):
        text = f'{text}\n'
    return text


def parse_file(
    name: str,
    text: str,
) -> result.Result[ParsedFile, findings.Findings]:
    """Parse one file.

    :param name: file name for findings.
    :param text: the whole file.
    :returns: the sections, or the findings that keep them from being read.
    """
    text = normalise_text(text)
    broken = _find_unreadable(name, text)
    if broken is not None:
        return result.Failure((broken,))
    try:
        config = iniconfig.IniConfig(name, text)
    except iniconfig.ParseError as error:
        return result.Failure((_explain(name, error),))
    sections = tuple(_read_section(section) for section in config)
    problems = tuple(_check_headers(name, sections))
    if problems:
        return result.Failure(problems)
    return result.Success(ParsedFile(name, text, sections))


def is_name(text: str) -> bool:
    """Tell whether the text may name a section.

    >>> is_name('vitrina'), is_name('Vitrina!')
    (True, False)
    """
    return _NAME.fullmatch(text) is not None


def split_text(text: str) -> dict[str, str]:
    r"""Return the parts of a text by section header, in order.

    The part before the first section has the empty name. The parts joined are
    the text again.

    >>> split_text('# top\n[fleet]\nname = a\n')
    {'': '# top\n', 'fleet': '[fleet]\nname = a\n'}
    """
    parts: dict[str, str] = {}
    header = ''
    lines: list[str] = []
    for line in text.splitlines(keepends=True):
        if line.startswith('['):
            if lines:
                parts[header] = ''.join(lines)
            header = _normalise_header(line)
            lines = []
        lines.append(line)
    if lines:
        parts[header] = ''.join(lines)
    return parts


def _normalise_header(line: str) -> str:
    return ' '.join(line[1:].partition(']')[0].split())


def _find_unreadable(name: str, text: str) -> findings.Finding | None:
    if len(text) > MAX_FILE_BYTES:
        return findings.Finding(
            name,
            0,
            '',
            f'at most {MAX_FILE_BYTES} characters',
            findings.FindingKind.OUT_OF_RANGE,
        )
    match = _UNPRINTABLE.search(text)
    if match is None:
        return None
    return findings.Finding(
        name,
        text.count('\n', 0, match.start()) + 1,
        '',
        'printable characters',
        findings.FindingKind.MALFORMED,
    )


def _explain(name: str, error: iniconfig.ParseError) -> findings.Finding:
    line = error.lineno + 1
    if error.msg.startswith('duplicate'):
        subject = error.msg.partition("'")[2].rstrip("'")
        return findings.Finding(
            name,
            line,
            subject,
            'each section and key once',
            findings.FindingKind.DUPLICATE,
        )
    return findings.Finding(
        name,
        line,
        '',
        f'"[section]" or "key = value" ({error.msg})',
        findings.FindingKind.MALFORMED,
    )


def _read_section(section: iniconfig.SectionWrapper) -> ParsedSection:
    kind, _, name = ' '.join(section.name.split()).partition(' ')
    entries = {
        key: Entry(key, text, section.lineof(key) or 0)
        for key, text in section.items()
    }
    return ParsedSection(
        kind,
        name,
        section.config.lineof(section.name) or 0,
        entries,
    )


def _check_headers(
    name: str,
    sections: tuple[ParsedSection, ...],
) -> typing.Iterator[findings.Finding]:
    seen: set[str] = set()
    for section in sections:
        if section.header in seen:
            yield findings.Finding(
                name,
                section.line,
                f'[{section.header}]',
                'each section and key once',
                findings.FindingKind.DUPLICATE,
            )
        seen.add(section.header)
        if section.name and not is_name(section.name):
            yield findings.Finding(
                name,
                section.line,
                f'[{section.header}]',
                'a name of lower case letters, digits, ".", "_" and "-"',
                findings.FindingKind.MALFORMED,
            )
