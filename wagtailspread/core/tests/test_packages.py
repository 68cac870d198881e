"""Tests of packages whose own code runs late."""

import asyncio
import contextlib
import importlib
import sys

import pytest

from wagtailspread.core import packages

_CODE = {
    '__init__.py': "__version__ = '1.2'\nfrom . import heavy\nname = 7\n",
    'part.py': 'from . import helper, __version__ as version\n',
    'helper.py': '',
    'heavy.py': '',
    'inner/__init__.py': 'name = 8\n',
    'inner/part.py': '',
}


@pytest.fixture(autouse=True)
def library(tmp_path, monkeypatch):
    """Create a library that can be imported."""
    for name, code in _CODE.items():
        path = tmp_path / 'deferrable' / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(code)
    monkeypatch.syspath_prepend(tmp_path)
    yield
    for name in list_loaded():
        sys.modules.pop(name)


def list_loaded():
    """Return the modules of the library that are imported."""
    return {one for one in sys.modules if one.split('.')[0] == 'deferrable'}


def test_only_what_a_part_needs_is_imported():
    """Guards against a package that imports all of its parts."""
    part = packages.import_part('deferrable.inner.part')
    assert part.__name__ == 'deferrable.inner.part'
    part = packages.import_part('deferrable.part')
    assert part.version == '1.2'
    assert 'deferrable.heavy' not in list_loaded()


def test_other_names_run_the_code_of_the_package():
    """Guards against a name that is missing since the package was deferred."""
    packages.defer('deferrable')
    deferrable = importlib.import_module('deferrable')
    part = deferrable.part
    assert deferrable.name == 7
    assert 'deferrable.heavy' in list_loaded()
    assert deferrable.part is part
    assert not hasattr(deferrable, 'missing')


def test_a_package_that_is_imported_stays():
    """Guards against two copies of one library."""
    deferrable = importlib.import_module('deferrable')
    packages.defer('deferrable')
    assert sys.modules['deferrable'] is deferrable
    assert packages.import_part('deferrable.part') is deferrable.part


@pytest.mark.parametrize('name', ['deferrable.part', 'deferrable.missing'])
def test_only_packages_can_be_deferred(name):
    """Guards against a module without its content."""
    packages.defer('deferrable')
    with pytest.raises(ModuleNotFoundError):
        packages.defer(name)


def test_a_hidden_module_is_back_afterwards():
    """Guards against a process without a module that it needs later."""
    known = importlib.import_module('ssl')
    with packages.hide('ssl'), contextlib.suppress(ImportError):
        pytest.fail(repr(importlib.import_module('ssl')))
    assert sys.modules['ssl'] is known
    with packages.hide('deferrable'):
        assert sys.modules['deferrable'] is None
    assert not list_loaded()


async def test_modules_are_imported_with_pauses():
    """Guards against requests that wait until all of them are imported."""
    names = ['deferrable.helper', 'deferrable.inner.part']
    packages.defer('deferrable')
    importing = asyncio.create_task(packages.import_gradually(names, 0.01))
    await asyncio.sleep(0)
    assert 'deferrable.helper' in list_loaded()
    assert 'deferrable.inner.part' not in list_loaded()
    assert (await importing).__name__ == 'deferrable.inner.part'
