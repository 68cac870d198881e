"""The active files, with the version in which each section last changed.

This table gives the delta since any version that is still covered. No older
texts are stored, and a host that missed many versions receives each changed
section once.
"""

import dataclasses
import typing

from wagtailspread.configuration import deltas, files
from wagtailspread.wire import messages

#: Removed sections that are stored for deltas.
MAX_TOMBSTONES = 4096
#: Cached deltas to the active version: many hosts request the same delta at
#: the same time.
MAX_CACHED_DELTAS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SectionId:
    """Identifies a section of a file."""

    file: str
    name: str


@dataclasses.dataclass(slots=True)
class History:
    """Texts and the versions of their changes. Use :func:`create_history`.

    :param texts: texts by file name.
    :param version: active version; 0 before the first version.
    :param oldest: oldest version from which a delta can be computed.
    :param changed: version of the last change, by section.
    :param removed: tombstones: version of the removal, by section, oldest
        first.
    :param reordered: version of the last reordering of unchanged sections, by
        file.
    :param touched: version of the last change, by file.
    """

    texts: dict[str, str]
    version: int
    oldest: int
    changed: dict[SectionId, int]
    removed: dict[SectionId, int]
    reordered: dict[str, int]
    touched: dict[str, int]
    _cached_deltas: dict[int, messages.Struct] = dataclasses.field(
        default_factory=dict,
        compare=False,
        repr=False,
    )
    _parts: dict[str, deltas.Parts] = dataclasses.field(
        default_factory=dict,
        compare=False,
        repr=False,
    )

    def replace(
        self,
        texts: typing.Mapping[str, str],
        parts: typing.Mapping[str, deltas.Parts] | None = None,
    ) -> None:
        """Replace the active files and increment the version.

        :param texts: texts by file name.
        :param parts: texts of sections by file; a file that is missing here
            is split again.
        """
        self.version += 1
        for name in sorted({*self.texts, *texts}):
            before = self.texts.get(name, '')
            after = texts.get(name, '')
            if before != after:
                given_parts = (parts or {}).get(name)
                new = given_parts or files.split_text(after)
                self._record_changes(name, before, new)
        self.texts = dict(sorted(texts.items()))
        self._evict_tombstones()
        self._cached_deltas.clear()

    def delta_since(self, version: int) -> messages.Struct:
        """Return what changed after a version, as a thrift struct.

        :param version: version that the receiver has; 0 if it has none.
        :returns: a delta, the full text if the version is no longer covered,
            or an empty delta if the receiver is up to date; it is shared and
            must not be modified.
        """
        if version >= self.version:
            return deltas.create_delta(version, self.version, [])
        if version not in self._cached_deltas:
            if len(self._cached_deltas) >= MAX_CACHED_DELTAS:
                self._cached_deltas.clear()
            self._cached_deltas[version] = self._create_delta(version)
        return self._cached_deltas[version]

    def _create_delta(self, version: int) -> messages.Struct:
        if version < self.oldest:
            return deltas.create_full(self.texts, self.version)
        sections = list(self._removed_since(version))
        for name, text in self.texts.items():
            sections.extend(self._changed_since(version, name, text))
        return deltas.create_delta(version, self.version, sections)

    def _record_changes(
        self,
        file: str,
        before: str,
        new: deltas.Parts,
    ) -> None:
        self.touched[file] = self.version
        old = self._parts.get(file) or files.split_text(before)
        self._parts[file] = new
        changed = deltas.find_changed(old, new)
        if deltas.is_reordered(old, new, changed):
            self.reordered[file] = self.version
        for name in new:
            if name in changed:
                self.changed[SectionId(file, name)] = self.version
                self.removed.pop(SectionId(file, name), None)
        for name in old:
            if name not in new:
                self.changed.pop(SectionId(file, name), None)
                self.removed[SectionId(file, name)] = self.version

    def _evict_tombstones(self) -> None:
        while len(self.removed) > MAX_TOMBSTONES:
            evicted = self.removed.pop(next(iter(self.removed)))
            self.oldest = max(self.oldest, evicted)

    def _removed_since(
        self,
        version: int,
    ) -> typing.Iterator[messages.Struct]:
        for section, removed in self.removed.items():
            if removed > version:
                yield deltas.create_removed_section(section.file, section.name)

    def _changed_since(
        self,
        version: int,
        file: str,
        text: str,
    ) -> typing.Iterator[messages.Struct]:
        is_reordered = self.reordered.get(file, 0) > version
        if not is_reordered and self.touched.get(file, 0) <= version:
            return
        after = ''
        parts = self._parts.get(file) or files.split_text(text)
        for name, part in parts.items():
            changed = self.changed.get(SectionId(file, name), 0)
            if is_reordered or changed > version:
                yield deltas.create_section(file, name, part, after)
            after = name


def create_history() -> History:
    """Return a history without files."""
    return History(
        texts={},
        version=0,
        oldest=1,
        changed={},
        removed={},
        reordered={},
        touched={},
    )
