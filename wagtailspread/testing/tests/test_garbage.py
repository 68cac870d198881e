"""Tests of the garbage that tests leave to each other."""

import gc
import pathlib
import types
import weakref

import hypothesis
import pytest
from hypothesis import stateful, strategies


class Garbage:
    """An object in a cycle."""

    def __init__(self):
        """Create a cycle, which only a collection ends."""
        self.cycle = self


@hypothesis.given(strategies.integers())
def check_property(_number):
    """Stand in for a property test."""


class Machine(stateful.RuleBasedStateMachine):
    """Stands in for a test of a state machine."""


def check_plainly():
    """Stand in for any other test."""


@pytest.mark.parametrize(
    ('item', 'is_collected'),
    [
        (types.SimpleNamespace(cls=None, obj=check_property), True),
        (
            types.SimpleNamespace(
                cls=Machine.TestCase, obj=Machine.TestCase.runTest
            ),
            True,
        ),
        (types.SimpleNamespace(cls=None, obj=check_plainly), False),
        # An example in a docstring has no class.
        (types.SimpleNamespace(obj=None), False),
    ],
)
def test_a_property_test_starts_without_garbage(request, item, is_collected):
    """Guards against SystemErrors of the parser, which is not reentrant."""
    folder = pathlib.Path(request.config.rootpath)
    plugins = request.config.pluginmanager
    conftest = plugins.get_plugin(str(folder / 'conftest.py'))
    gc.disable()
    left = weakref.ref(Garbage())
    conftest.pytest_runtest_setup(item)
    gc.enable()
    assert (left() is None) == is_collected
