"""Differences between two versions of the files, section by section.

A delta is the thrift struct ``ConfigurationDelta``, which is sent to hosts
unchanged. A changed section contains the name of the preceding section, so
that the receiver gets the same text as the replicas, byte for byte.

>>> old = {'base.ini': '[fleet]\\nname = a\\n[region r]\\nhosts = 3\\n'}
>>> new = {'base.ini': '[fleet]\\nname = b\\n[region r]\\nhosts = 3\\n'}
>>> delta = compute_delta(old, new)
>>> [section.name for section in delta.sections]
['fleet']
>>> apply_delta(old, delta) == new
True
"""

import typing

from wagtailspread.configuration import files
from wagtailspread.wire import messages

#: Texts by file name.
Texts = typing.Mapping[str, str]
#: Texts of the sections of one file by header, in file order.
Parts = typing.Mapping[str, str]


def compute_delta(
    old: Texts,
    new: Texts,
    from_version: int = 1,
    to_version: int = 2,
) -> messages.Struct:
    """Return the delta from the old files to the new files.

    :param from_version: version of the old files; not 0, which marks a full
        text.
    :param to_version: version of the new files.
    :returns: a thrift ``ConfigurationDelta``.
    """
    sections: list[messages.Struct] = []
    for name in sorted({*old, *new}):
        sections.extend(
            _compare_parts(
                name,
                files.split_text(old.get(name, '')),
                files.split_text(new.get(name, '')),
            ),
        )
    return create_delta(from_version, to_version, sections)


def create_delta(
    from_version: int,
    to_version: int,
    sections: list[messages.Struct],
) -> messages.Struct:
    """Return a thrift ``ConfigurationDelta``."""
    return messages.structs.ConfigurationDelta(
        from_version=from_version,
        to_version=to_version,
        sections=sections,
    )


def create_full(texts: Texts, version: int) -> messages.Struct:
    """Return a delta that contains the full text of all files."""
    sections = [
        create_section(name, '', texts[name], '') for name in sorted(texts)
    ]
    return create_delta(0, version, sections)


def create_section(
    file: str,
    name: str,
    text: str,
    after: str,
) -> messages.Struct:
    """Return a thrift ``Section`` that is new or changed.

    :param after: header of the preceding section; empty for the first one.
    """
    return messages.structs.Section(
        file=file,
        name=name,
        text=text,
        is_removed=False,
        after=after,
    )


def create_removed_section(file: str, name: str) -> messages.Struct:
    """Return a thrift ``Section`` that is removed."""
    return messages.structs.Section(
        file=file,
        name=name,
        text='',
        is_removed=True,
        after='',
    )


def apply_delta(texts: Texts, delta: messages.Struct) -> dict[str, str]:
    """Return the new files.

    :param texts: the files of the version that the delta starts from; they
        are ignored if the delta is a full text.
    :param delta: a thrift ``ConfigurationDelta``.
    """
    by_file: dict[str, list[messages.Struct]] = {}
    for section in delta.sections or ():
        by_file.setdefault(section.file, []).append(section)
    updated = dict(texts) if delta.from_version else {}
    for name, changes in by_file.items():
        parts = files.split_text(updated.pop(name, ''))
        text = ''.join(_apply_changes(parts, changes))
        if text:
            updated[name] = text
    return dict(sorted(updated.items()))


def list_differences(delta: messages.Struct) -> list[str]:
    """Return a human-readable line for each section of a delta.

    >>> removed = create_removed_section('a.ini', 'leave')
    >>> list_differences(create_delta(1, 2, [removed]))
    ['a.ini [leave] removed']
    """
    lines = []
    if not delta.from_version:
        return [f'{section.file} changed' for section in delta.sections or ()]
    for section in delta.sections or ():
        verb = 'removed' if section.is_removed else 'changed'
        label = f'[{section.name}]' if section.name else 'text before sections'
        lines.append(f'{section.file} {label} {verb}')
    return lines


def is_reordered(
    old: Parts, new: Parts, changed: typing.Container[str]
) -> bool:
    """Return whether the order of the unchanged sections differs."""
    unchanged_before = [
        name for name in old if name in new and name not in changed
    ]
    unchanged_after = [
        name for name in new if name in old and name not in changed
    ]
    return unchanged_before != unchanged_after


def find_changed(old: Parts, new: Parts) -> set[str]:
    """Return the headers of new and changed sections."""
    return {name for name, text in new.items() if old.get(name) != text}


def _compare_parts(
    file: str,
    old: Parts,
    new: Parts,
) -> typing.Iterator[messages.Struct]:
    changed = find_changed(old, new)
    if is_reordered(old, new, changed):
        changed = set(new)
    for name in old:
        if name not in new:
            yield create_removed_section(file, name)
    after = ''
    for name, text in new.items():
        if name in changed:
            yield create_section(file, name, text, after)
        after = name


def _apply_changes(
    parts: Parts,
    changes: list[messages.Struct],
) -> typing.Iterator[str]:
    changed_names = {section.name or '' for section in changes}
    order = [name for name in parts if name not in changed_names]
    updated = dict(parts)
    position = 0
    previous: str | None = None
    for section in changes:
        if section.is_removed:
            continue
        name = section.name or ''
        if section.after != previous or previous is None:
            position = _find_position(order, name, section.after or '')
        order.insert(position, name)
        position += 1
        previous = name
        updated[name] = section.text or ''
    return (updated[name] for name in order)


def _find_position(order: list[str], name: str, after: str) -> int:
    if not name:
        return 0
    if after in order:
        return order.index(after) + 1
    return len(order) if after else 0
