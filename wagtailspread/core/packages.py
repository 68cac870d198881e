"""Imports parts of a library without running the initialisation of its package.

The package of a library often imports all of its parts, also those that no
program of the fleet uses. :func:`defer` puts a package in place whose own code
runs only when a name of it is used that is no submodule. So
``from library import part`` imports this part and what the part needs.

>>> 'email.charset' in sys.modules or import_part('email.charset') is not None
True
"""

import asyncio
import contextlib
import importlib
import re
import sys
import types
import typing

from importlib import machinery, util

_VERSION_PATTERN = re.compile('^__version__ = [\'"](.*)[\'"]', re.MULTILINE)


class _DeferredPackage(types.ModuleType):
    """A package whose own code has not run. Use :func:`defer`."""

    def __getattr__(self, name: str) -> typing.Any:
        """Import a submodule, or run the code of the package for a name."""
        if name == '__version__':
            return _read_version(self)
        if name.startswith('__'):
            raise AttributeError(name)
        part = f'{self.__name__}.{name}'
        if util.find_spec(part) is not None:
            return importlib.import_module(part)
        # The class is replaced first, so that this happens once.
        object.__setattr__(self, '__class__', types.ModuleType)
        _get_loader(self).exec_module(self)
        return getattr(self, name)


def defer(package: str) -> None:
    """Run the code of a package only when it is needed.

    Does nothing if the package is imported already. A package around it is
    imported by this, so it is to be deferred first.
    """
    if package in sys.modules:
        return
    spec = util.find_spec(package)
    if spec is None or spec.submodule_search_locations is None:
        raise ModuleNotFoundError(f'{package}: expected a package')
    module = _DeferredPackage(package)
    module.__spec__ = spec
    module.__loader__ = spec.loader
    module.__package__ = package
    module.__file__ = spec.origin
    module.__path__ = spec.submodule_search_locations
    sys.modules[package] = module
    parent, _, name = package.rpartition('.')
    if parent:
        setattr(sys.modules[parent], name, module)


def import_part(part: str) -> typing.Any:
    """Import a module; the packages around it are deferred."""
    package = ''
    for name in part.split('.')[:-1]:
        package = f'{package}.{name}' if package else name
        defer(package)
    return importlib.import_module(part)


async def import_gradually(
    modules: typing.Iterable[str], pause_seconds: float
) -> typing.Any:
    """Import modules one after the other and return the last one.

    :param pause_seconds: pause after each one, in which other tasks run.
    """
    module = None
    for name in modules:
        module = importlib.import_module(name)
        await asyncio.sleep(pause_seconds)
    return module


@contextlib.contextmanager
def hide(name: str) -> typing.Iterator[None]:
    """Let imports of a module fail, as if it were not installed."""
    known = sys.modules.get(name)
    # The import system takes this value as a module that does not exist.
    sys.modules[name] = typing.cast(types.ModuleType, None)
    try:
        yield
    finally:
        sys.modules.pop(name)
        if known is not None:
            sys.modules[name] = known


def _get_loader(module: types.ModuleType) -> typing.Any:
    spec = typing.cast(machinery.ModuleSpec, module.__spec__)
    return spec.loader


def _read_version(module: types.ModuleType) -> str:
    """Return the version that the code of a package sets."""
    source = _get_loader(module).get_source(module.__name__)
    found = _VERSION_PATTERN.search(source)
    if found is None:
        raise AttributeError('__version__')
    return found[1]
