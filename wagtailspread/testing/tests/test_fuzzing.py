"""Runs the fuzz targets with fixed seeds, and with a decoder that fails."""

import pytest

from wagtailspread.testing import fuzz_targets, fuzzing


@pytest.mark.parametrize(
    'target', fuzz_targets.list_targets(), ids=lambda one: one.name
)
def test_odd_input_is_refused_or_survives_the_whole_way(target):
    """Guards against input of one party that ends or stops another one."""
    findings = [
        finding
        for seed in range(8)
        for finding in fuzzing.run_round([target], seed)
    ]
    assert not findings, findings[0].describe()


def test_a_decoder_that_raises_is_a_finding():
    """Guards against a fuzzer that hides failures."""

    def fail(body):
        raise RuntimeError(body)

    target = fuzz_targets.FuzzTarget('failing', lambda random: b'x', fail)
    (finding,) = fuzzing.run_round([target], 1)
    assert 'RuntimeError' in finding.describe()


def test_each_decoder_accepts_some_inputs():
    """Guards against targets whose inputs are all refused."""
    import random

    for target in fuzz_targets.list_targets():
        generator = random.Random(3)
        bodies = [target.mutate(generator) for _ in range(200)]
        assert any(target.run(body) for body in bodies), target.name
