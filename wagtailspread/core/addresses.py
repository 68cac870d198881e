"""Addresses of processes as ``ip:port``."""

import functools
import ipaddress

MAX_PORT = 65535
#: Addresses whose check is kept; the same ones arrive again and again.
_MAX_CACHED = 4096


def is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address and a port.

    >>> is_address('0.0.0.0:80'), is_address('999.1.1.1:80')
    (True, False)
    >>> is_address('10.0.0.1:99999'), is_address('10.0.0.1:0')
    (False, False)
    """
    return _parse(text) is not None


@functools.lru_cache(_MAX_CACHED)
def is_connectable(text: str) -> bool:
    """Tell whether a connection to an address may be opened.

    >>> is_connectable('10.0.0.1:80'), is_connectable('0.0.0.0:80')
    (True, False)

    :param text: an IPv4 address and a port.

    References: RFC 1112 and RFC 1122, section 3.2.1.3, on addresses that name
    no host.
    """
    ip = _parse(text)
    if ip is None:
        return False
    return not (ip.is_multicast or ip.is_unspecified or ip.is_reserved)


def _parse(text: str) -> ipaddress.IPv4Address | None:
    """Return the IP of an address, ``None`` if it or the port is invalid."""
    ip, _, port = text.rpartition(':')
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    if not is_number or not 0 < int(port) <= MAX_PORT:
        return None
    try:
        return ipaddress.IPv4Address(ip)
    except ValueError:
        return None
