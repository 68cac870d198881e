"""Tests of the search for the workspace of a key."""

import pytest

from hypothesis import given, strategies

from wagtailspread.routing import terms
from wagtailspread.workspaces import caps, directories, keys

#: Workspaces of the design size, and keys of each (DEVELOPERS.md).
WORKSPACES = 77_000
#: Memory for all control state of a host, in bytes (DEVELOPERS.md).
HOST_BYTES = 32_000_000


def create_workspace(number, **changes):
    """Return a workspace with two keys."""
    digests = tuple(
        keys.compute_digest(f'key-{number}-{count}') for count in range(2)
    )
    return terms.Workspace(f'workspace-{number:06}', digests, **changes)


def test_each_key_leads_to_its_workspace():
    """Guards against requests that are counted for another workspace."""
    workspaces = [
        create_workspace(0, priority=0),
        create_workspace(1, cap=caps.Cap(0.5, 174.0, 9)),
        create_workspace(2),
    ]
    directory = directories.create_directory(workspaces, 9)
    assert len(directory) == 3
    for workspace in workspaces:
        for digest in workspace.digests:
            found = directory.find(digest)
            assert found.digests == (digest,)
            assert found.name == workspace.name
            assert found.priority == workspace.priority
            cap = found.cap
            assert (cap.rate, cap.burst) == (
                workspace.cap.rate,
                workspace.cap.burst,
            )
            assert cap.version == 9


@pytest.mark.parametrize('count', [0, 1, 2, 100])
def test_an_unknown_key_leads_to_no_workspace(count):
    """Guards against serving a key that was taken away."""
    workspaces = [create_workspace(number) for number in range(count)]
    directory = directories.create_directory(workspaces, 1)
    for number in range(count, count + 50):
        for digest in create_workspace(number).digests:
            assert directory.find(digest) is None


@given(
    strategies.dictionaries(
        strategies.binary(min_size=16, max_size=16),
        strategies.text('äb', min_size=1, max_size=3),
        max_size=20,
    ),
    strategies.binary(min_size=16, max_size=16),
)
def test_a_directory_finds_what_a_mapping_finds(owners, other):
    """Guards against errors at the ends of the sorted digests."""
    workspaces = [
        terms.Workspace(name, (digest,)) for digest, name in owners.items()
    ]
    directory = directories.create_directory(workspaces, 1)
    for digest in (*owners, other, bytes(16), b'\xff' * 16):
        found = directory.find(digest)
        assert (found and found.name) == owners.get(digest)


def test_the_design_size_leaves_room_for_other_state():
    """Guards against a directory that takes most of a host's memory."""
    workspaces = [create_workspace(number) for number in range(WORKSPACES)]
    directory = directories.create_directory(workspaces, 1)
    assert directory.used_bytes < HOST_BYTES / 4
