"""Loopback ports that stay reserved until the process that asked ends.

A port that was found free and is used later may be taken meanwhile: by another
test run, or as the local port of any outgoing connection. So ports come from
below the range of outgoing connections, and a locked file reserves each one
among the processes of all test runs of a user.

References: Linux, ip(7), on ip_local_port_range.
"""

import contextlib
import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile

from wagtailspread.core import identifiers

#: Ports to choose from. Outgoing connections use 32768 and above by default.
FIRST_PORT = 20_000
LAST_PORT = 31_999

#: Second bytes of loopback addresses to choose from.
_FIRST_NETWORK = 10
_LAST_NETWORK = 250

_FOLDER = pathlib.Path(tempfile.gettempdir()) / f'test-ports-{os.getuid()}'
#: Descriptors of the locked files; closing one would release its port.
_LOCKS: list[int] = []


class NoFreePort(Exception):
    """All ports are reserved or in use."""


def reserve_address() -> identifiers.Address:
    """Return a loopback address that no other caller gets.

    :raises NoFreePort: if there is none left.
    """
    ports = list(range(FIRST_PORT, LAST_PORT + 1))
    # Not the shared generator, which tests seed.
    random.SystemRandom().shuffle(ports)
    for port in ports:
        if _try_reserving(port):
            return identifiers.Address(f'127.0.0.1:{port}')
    raise NoFreePort(f'ports {FIRST_PORT} to {LAST_PORT} are taken')


def reserve_addresses(count: int) -> tuple[identifiers.Address, ...]:
    """Return distinct reserved addresses in ascending order."""
    return tuple(sorted(reserve_address() for _ in range(count)))


@functools.cache
def reserve_network() -> int:
    """Return the second byte of loopback addresses that only this process uses.

    For programs whose ports are fixed, and whose addresses differ.

    :raises NoFreePort: if there is none left.
    """
    for number in range(_FIRST_NETWORK, _LAST_NETWORK + 1):
        if _try_locking(f'network-{number}'):
            return number
    raise NoFreePort('loopback networks are taken')


def _try_locking(name: str) -> bool:
    """Lock a file until this process ends, unless another one holds it."""
    _FOLDER.mkdir(exist_ok=True)
    lock = os.open(_FOLDER / name, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _LOCKS.append(lock)
    return True


def _try_reserving(port: int) -> bool:
    if not _try_locking(str(port)):
        return False
    with contextlib.closing(socket.socket()) as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
