"""Finds the workspace of a key.

The workspaces are kept in columns, since 77,000 objects with two digests each
would take most of the 32 MB that a host has for all control state.

>>> from wagtailspread.routing import terms
>>> key = keys.compute_digest('k1')
>>> directory = create_directory((terms.Workspace('w1', (key,)),), version=3)
>>> directory.find(key).name, directory.find(keys.compute_digest('k2'))
('w1', None)
"""

import array
import bisect
import sys
import typing

from wagtailspread.core import identifiers
from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, keys

#: Stands for a workspace without a priority; priorities are never this low.
_NO_PRIORITY = -(1 << 15)


class _Columns(typing.NamedTuple):
    """Workspaces in the order of the configuration, and their digests.

    :param digests: of all keys, sorted and joined.
    :param owners: index of the workspace of each digest.
    :param names: of all workspaces as UTF-8, joined.
    :param name_ends: end of each name in ``names``.
    """

    digests: bytes
    owners: 'array.array[int]'
    names: bytes
    name_ends: 'array.array[int]'
    priorities: 'array.array[int]'
    rates: 'array.array[float]'
    bursts: 'array.array[float]'


class WorkspaceDirectory:
    """The workspaces of one version. Use :func:`create_directory`.

    :param version: of the configuration.
    """

    def __init__(self, columns: _Columns, version: int) -> None:
        """Keep the columns."""
        self.version = version
        self._columns = columns

    def __len__(self) -> int:
        """Return the number of workspaces."""
        return len(self._columns.name_ends)

    @property
    def used_bytes(self) -> int:
        """Memory of the columns."""
        return sum(map(sys.getsizeof, self._columns))

    def find(self, digest: keys.KeyDigest) -> terms.Workspace | None:
        """Return the workspace of a key with no digest but this one."""
        owners = self._columns.owners
        found = bisect.bisect_left(
            range(len(owners)), digest, key=self._get_digest
        )
        if found == len(owners) or self._get_digest(found) != digest:
            return None
        return self._create_workspace(owners[found], digest)

    def _get_digest(self, index: int) -> keys.KeyDigest:
        start = index * keys.DIGEST_BYTES
        end = start + keys.DIGEST_BYTES
        return keys.KeyDigest(self._columns.digests[start:end])

    def _create_workspace(
        self,
        index: int,
        digest: keys.KeyDigest,
    ) -> terms.Workspace:
        columns = self._columns
        start = columns.name_ends[index - 1] if index else 0
        name = columns.names[start : columns.name_ends[index]].decode()
        priority = columns.priorities[index]
        return terms.Workspace(
            identifiers.WorkspaceName(name),
            (digest,),
            None if priority == _NO_PRIORITY else priority,
            caps.Cap(columns.rates[index], columns.bursts[index], self.version),
        )


def create_directory(
    workspaces: typing.Sequence[terms.Workspace],
    version: int,
) -> WorkspaceDirectory:
    """Return a directory of the workspaces of one version.

    :param workspaces: no two of them have a common digest.
    """
    entries = sorted(
        (digest, index)
        for index, workspace in enumerate(workspaces)
        for digest in workspace.digests
    )
    names = [workspace.name.encode() for workspace in workspaces]
    name_ends = array.array('I')
    end = 0
    for name in names:
        end += len(name)
        name_ends.append(end)
    priorities = [
        _NO_PRIORITY if workspace.priority is None else workspace.priority
        for workspace in workspaces
    ]
    columns = _Columns(
        b''.join(digest for digest, _ in entries),
        array.array('I', (index for _, index in entries)),
        b''.join(names),
        name_ends,
        array.array('h', priorities),
        array.array('d', (workspace.cap.rate for workspace in workspaces)),
        array.array('d', (workspace.cap.burst for workspace in workspaces)),
    )
    return WorkspaceDirectory(columns, version)
