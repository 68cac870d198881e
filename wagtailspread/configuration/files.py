"""Parses INI configuration files into sections and keys with line numbers.

The text is split at its section headers, and ``iniconfig`` parses each part,
since ``configparser`` provides no line numbers. Parts that are unchanged since
the last version are not parsed again: with 11,000 routes, a full parse would
block a replica for more than a second at each change.

>>> parsed = parse_file('base.ini', '[fleet]\\nname = columnas\\n').unwrap()
>>> section = parsed.sections[0]
>>> section.entries['name'].text, section.line_of('name')
('columnas', 2)
"""

import dataclasses
import re
import typing

import iniconfig

from returns import result

from wagtailspread.configuration import findings

#: Limit for one file; 11,000 routes are about 1 MB.
MAX_FILE_CHARACTERS = 4 * 1024 * 1024

_NAME = re.compile('[a-z0-9][a-z0-9._-]{0,62}', re.ASCII)
_HEADER_START = re.compile(r'^(?=\[)', re.MULTILINE)
_UNPRINTABLE = re.compile(r'[\x00-\x08\x0b-\x1f\x7f\x85\u2028\u2029]')


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    :param offset: number of lines from the section's header to the key.
    """

    key: str
    text: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class SectionBody:
    """The content of a section, independent of its position in the file.

    Bodies are compared by identity: an unchanged section of a new version
    shares the body of the previous version.

    :param header: header without brackets, such as ``service vitrina``.
    :param kind: first word of the header.
    :param name: the rest of the header; may be empty.
    :param entries: entries by key.
    """

    header: str
    kind: str
    name: str
    entries: typing.Mapping[str, Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedSection:
    """One section, such as ``[service vitrina]``.

    :param line: line number of the header, from 1.
    """

    body: SectionBody
    line: int

    @property
    def header(self) -> str:
        """Return the header without brackets."""
        return self.body.header

    @property
    def kind(self) -> str:
        """Return the first word of the header."""
        return self.body.kind

    @property
    def name(self) -> str:
        """Return the name after the kind; may be empty."""
        return self.body.name

    @property
    def entries(self) -> typing.Mapping[str, Entry]:
        """Return the entries by key."""
        return self.body.entries

    def line_of(self, key: str) -> int:
        """Return the line of a key, or of the header if it is missing."""
        entry = self.body.entries.get(key)
        return self.line + entry.offset if entry else self.line


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """One parsed file.

    :param by_header: sections by header, in order.
    :param by_kind: sections by the first word of the header.
    :param parts: texts of sections by header; the text before the first
        section has the empty header.
    :param bodies: section bodies by the text that they were parsed from.
    """

    name: str
    by_header: typing.Mapping[str, ParsedSection]
    by_kind: typing.Mapping[str, list[ParsedSection]]
    parts: typing.Mapping[str, str]
    bodies: typing.Mapping[str, SectionBody]

    @property
    def sections(self) -> tuple[ParsedSection, ...]:
        """Return the sections in order."""
        return tuple(self.by_header.values())

    def find(self, header: str) -> ParsedSection | None:
        """Return the section with this header, if there is one."""
        return self.by_header.get(header)


def normalise_text(text: str) -> str:
    r"""Return the text with ``\n`` line ends, including the last line.

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
    previous: ParsedFile | None = None,
) -> result.Result[ParsedFile, findings.Findings]:
    """Parse one file.

    :param name: file name for findings.
    :param text: the whole file.
    :param previous: previous version, whose unchanged sections are reused.
    :returns: the parsed file, or the findings that make it unreadable.
    """
    text = normalise_text(text)
    unreadable = _find_unreadable(name, text)
    if unreadable is not None:
        return result.Failure((unreadable,))
    parser = _FileParser(name, previous.bodies if previous else {})
    for part in split_at_headers(text):
        parser.add(part)
        parser.line += part.count('\n')
    if parser.sink:
        return result.Failure(tuple(parser.sink))
    return result.Success(parser.finish())


def is_name(text: str) -> bool:
    """Return whether the text is a valid name of a section.

    >>> is_name('vitrina'), is_name('Vitrina!')
    (True, False)
    """
    return _NAME.fullmatch(text) is not None


def split_at_headers(text: str) -> list[str]:
    r"""Return a text split at its section headers.

    The joined parts equal the text.

    >>> split_at_headers('# top\n[fleet]\nname = a\n')
    ['# top\n', '[fleet]\nname = a\n']
    """
    return [part for part in _HEADER_START.split(text) if part]


def split_text(text: str) -> dict[str, str]:
    r"""Return the parts of a text by section header, in order.

    The part before the first section has the empty header. The joined parts
    equal the text.

    >>> split_text('# top\n[fleet]\nname = a\n')
    {'': '# top\n', 'fleet': '[fleet]\nname = a\n'}
    """
    return {read_header(part): part for part in split_at_headers(text)}


def read_header(part: str) -> str:
    r"""Return the normalised header of a part; empty if it has none.

    >>> read_header('[service  vitrina] \nfloor = 60%\n')
    'service vitrina'
    """
    if not part.startswith('['):
        return ''
    return ' '.join(part[1 : part.index('\n')].partition(']')[0].split())


class _FileParser:
    def __init__(
        self,
        name: str,
        reusable: typing.Mapping[str, SectionBody],
    ) -> None:
        self.sink: list[findings.Finding] = []
        #: Line number of the next part.
        self.line = 1
        self._name = name
        self._reusable = reusable
        self._by_header: dict[str, ParsedSection] = {}
        self._by_kind: dict[str, list[ParsedSection]] = {}
        self._parts: dict[str, str] = {}
        self._bodies: dict[str, SectionBody] = {}

    def add(self, part: str) -> None:
        body = self._reusable.get(part) or self._parse(part)
        if body is None:
            self._parts[''] = part
            return
        if body.header in self._by_header:
            self._report_duplicate(0, f'[{body.header}]')
        section = ParsedSection(body, self.line)
        self._parts[body.header] = part
        self._bodies[part] = body
        self._by_header[body.header] = section
        self._by_kind.setdefault(body.kind, []).append(section)

    def finish(self) -> ParsedFile:
        return ParsedFile(
            self._name,
            self._by_header,
            self._by_kind,
            self._parts,
            self._bodies,
        )

    def _parse(self, part: str) -> SectionBody | None:
        try:
            config = iniconfig.IniConfig(self._name, part)
        except iniconfig.ParseError as error:
            self._report_parse_error(error)
            return None
        header = read_header(part)
        bodies = [_read_body(section) for section in config]
        if [body.header for body in bodies] == [header]:
            return self._check_name(bodies[0])
        if bodies or header:
            self._report(0, header, '"[section]" alone in its line')
        return None

    def _check_name(self, body: SectionBody) -> SectionBody | None:
        if not body.name or is_name(body.name):
            return body
        self._report(
            0,
            body.header,
            'a name of lower case letters, digits, ".", "_" and "-"',
        )
        return None

    def _report_parse_error(self, error: iniconfig.ParseError) -> None:
        if error.msg.startswith('duplicate'):
            subject = error.msg.partition("'")[2].rstrip("'")
            self._report_duplicate(error.lineno, subject)
        else:
            expected = f'"[section]" or "key = value" ({error.msg})'
            self._report(error.lineno, '', expected)

    def _report_duplicate(self, offset: int, key: str) -> None:
        self.sink.append(
            findings.Finding(
                self._name,
                self.line + offset,
                key,
                'each section and key once',
                findings.FindingKind.DUPLICATE,
            ),
        )

    def _report(self, offset: int, header: str, expected: str) -> None:
        self.sink.append(
            findings.Finding(
                self._name,
                self.line + offset,
                f'[{header}]' if header else '',
                expected,
                findings.FindingKind.MALFORMED,
            ),
        )


def _find_unreadable(name: str, text: str) -> findings.Finding | None:
    if len(text) > MAX_FILE_CHARACTERS:
        return findings.Finding(
            name,
            0,
            '',
            f'at most {MAX_FILE_CHARACTERS} characters',
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


def _read_body(section: iniconfig.SectionWrapper) -> SectionBody:
    header = ' '.join(section.name.split())
    kind, _, name = header.partition(' ')
    header_line = section.config.lineof(section.name) or 0
    entries = {
        key: Entry(key, text, (section.lineof(key) or 0) - header_line)
        for key, text in section.items()
    }
    return SectionBody(header, kind, name, entries)
