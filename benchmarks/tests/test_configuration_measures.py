"""Test of the format of the configuration measures."""

import re

from benchmarks import configuration_measures


def test_all_lines_have_the_same_format() -> None:
    """Guards against lines that the summary of the measures cannot parse."""
    scale = configuration_measures.Scale(
        services=7,
        routes=50,
        keys=200,
        timed_keys=100,
        lookups=100,
        changes=5,
    )
    lines = configuration_measures.measure_configuration(scale)
    line_format = re.compile(r'[a-z-]+ [\w-]+ ours=[-+.e\d]+ unit=\S+')
    assert len(lines) > 15
    assert all(line_format.fullmatch(line) for line in lines)
