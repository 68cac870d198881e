"""Test of the measures of workspaces."""

from benchmarks import workspace_measures


def test_each_measure_has_a_line() -> None:
    """Guards against a measurement that fails at another size."""
    lines = workspace_measures.measure_workspaces(50, 100)
    names = [line.split()[0] for line in lines]
    assert names == [
        'workspace-index',
        'workspace-document',
        'workspace-memory',
        'workspace-peak',
        'workspace-apply',
        'workspace-look-up',
    ]
