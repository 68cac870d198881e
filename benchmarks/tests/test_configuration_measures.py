"""The measurements run and print lines of one form."""

import re

from benchmarks import configuration_measures


def test_lines_have_one_form() -> None:
    """Guards against lines that the summary cannot read."""
    scale = configuration_measures.Scale(
        services=7,
        routes=50,
        keys=200,
        timed_keys=100,
        lookups=100,
        changes=5,
    )
    lines = configuration_measures.measure_configuration(scale)
    form = re.compile(r'[a-z-]+ [\w-]+ ours=[-+.e\d]+ unit=\S+')
    assert len(lines) > 15
    assert all(form.fullmatch(line) for line in lines)
