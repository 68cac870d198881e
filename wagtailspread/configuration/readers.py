"""Reads the keys of one section and collects what is wrong with them."""

import dataclasses
import difflib
import typing

from returns import result

from wagtailspread.configuration import files, findings, sections, units

_Kind = findings.FindingKind


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a value comes from.

    :param line: line number from 1.
    """

    file: str
    line: int


class SectionReader:
    """Reads keys with the rules of their section.

    A fault is added to ``sink`` and the reader goes on with the default, so
    that one check reports all faults of a file.

    :param layers: the section in the base file, then in an overlay.
    """

    def __init__(
        self,
        kind: sections.SectionKind,
        layers: tuple[tuple[str, files.ParsedSection], ...],
        sink: list[findings.Finding],
    ) -> None:
        """Merge the layers; a later one wins."""
        self._kind = kind
        self._sink = sink
        file, section = layers[-1]
        self.header = f'[{section.header}]'
        self.place = Place(file, section.line)
        self._entries = {
            key: (file, entry)
            for file, section in layers
            for key, entry in section.entries.items()
        }

    def read_text(self, key: str) -> str:
        """Return the text of a key; empty if it is missing."""
        found = self._entries.get(key)
        rule = self._kind.find(key)
        default = rule.default if rule else None
        if found is not None and (found[1].text or default is not None):
            return found[1].text
        if default is None:
            self.report(key, self._describe(key), _Kind.MISSING_KEY)
        return default or ''

    def read_words(self, key: str) -> tuple[str, ...]:
        """Return the words of a key, separated by blanks or commas."""
        return tuple(self.read_text(key).replace(',', ' ').split())

    def read_number(self, key: str) -> float:
        """Return the value of a key in the base unit of its quantity."""
        rule = self._kind.find(key)
        text = self.read_text(key)
        if rule is None or rule.quantity is None or not text:
            return 0.0
        read = units.read_quantity(text, rule.quantity)
        if isinstance(read, result.Failure):
            self.report(key, rule.describe(), _Kind(read.failure().value))
            return self._read_default(rule)
        number = read.unwrap()
        if self._is_in_range(rule, number):
            return number
        is_share = rule.quantity is units.SHARE
        self.report(
            key,
            rule.describe(),
            _Kind.IMPOSSIBLE_LIMIT if is_share else _Kind.OUT_OF_RANGE,
        )
        return self._read_default(rule)

    def read_count(self, key: str) -> int:
        """Return a whole number; reports a fraction."""
        number = self.read_number(key)
        if not number.is_integer():
            self.report(key, 'a whole number', _Kind.BAD_VALUE)
        return int(number)

    def report(
        self,
        key: str,
        expected: str,
        kind: findings.FindingKind,
    ) -> None:
        """Add a finding at the line of a key, or of the section."""
        place = self.locate(key)
        self._sink.append(
            findings.Finding(
                place.file,
                place.line,
                key or self.header,
                expected,
                kind,
            ),
        )

    def locate(self, key: str) -> Place:
        """Return where the key is, or else where the section is."""
        found = self._entries.get(key)
        if found is None:
            return self.place
        return Place(found[0], found[1].line)

    def _describe(self, key: str) -> str:
        rule = self._kind.find(key)
        return rule.describe() if rule else ''

    def _read_default(self, rule: sections.KeyRule) -> float:
        if rule.quantity is None or rule.default is None:
            return 0.0
        return units.read_quantity(rule.default, rule.quantity).unwrap()

    def _is_in_range(self, rule: sections.KeyRule, number: float) -> bool:
        if rule.quantity is None:
            return True
        low = units.read_quantity(rule.low, rule.quantity).unwrap()
        high = units.read_quantity(rule.high, rule.quantity).unwrap()
        return low <= number <= high


def check_known(
    parsed: files.ParsedFile,
    kinds: typing.Sequence[sections.SectionKind],
) -> typing.Iterator[findings.Finding]:
    """Report sections and keys that the file may not hold."""
    by_name = {kind.kind: kind for kind in kinds}
    for section in parsed.sections:
        kind = by_name.get(section.kind)
        if kind is None or kind.is_named != bool(section.name):
            yield findings.Finding(
                parsed.name,
                section.line,
                f'[{section.header}]',
                _suggest_section(section.kind, kinds),
                _Kind.UNKNOWN_SECTION,
            )
        else:
            yield from _check_keys(parsed.name, section, kind)


def suggest(word: str, known: typing.Iterable[str]) -> str:
    """Return the nearest known word as a hint, else all of them.

    >>> suggest('dedline', ['deadline', 'floor'])
    'deadline (nearest name)'
    >>> suggest('zzz', ['deadline', 'floor'])
    'one of deadline, floor'
    """
    names = list(known)
    nearest = difflib.get_close_matches(word, names, n=1)
    if nearest:
        return f'{nearest[0]} (nearest name)'
    if not names:
        return 'no key'
    shown = ', '.join(names[:20])
    return f'one of {shown}'


def _suggest_section(
    kind: str,
    kinds: typing.Sequence[sections.SectionKind],
) -> str:
    for one in kinds:
        if one.kind == kind:
            return f'[{kind} NAME]' if one.is_named else f'[{kind}]'
    hint = suggest(kind, [known.kind for known in kinds])
    return f'a section {hint}'


def _check_keys(
    file: str,
    section: files.ParsedSection,
    kind: sections.SectionKind,
) -> typing.Iterator[findings.Finding]:
    known = kind.keys()
    for entry in section.entries.values():
        if entry.key in known:
            continue
        is_base_key = (
            kind is sections.OVERRIDE
            and sections.SERVICE.find(entry.key) is not None
        )
        yield findings.Finding(
            file,
            entry.line,
            entry.key,
            suggest(entry.key, known),
            _Kind.NOT_OVERRIDABLE if is_base_key else _Kind.UNKNOWN_KEY,
        )
