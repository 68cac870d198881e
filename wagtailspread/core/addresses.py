"""Addresses of processes as ``ip:port``."""

import ipaddress

MAX_PORT = 65535


def is_connectable(text: str) -> bool:
    """Tell whether a connection to an address may be opened.

    >>> is_connectable('10.0.0.1:80'), is_connectable('10.0.0.1:99999')
    (True, False)
    >>> is_connectable('999.1.1.1:80'), is_connectable('0.0.0.0:80')
    (False, False)

    :param text: an IPv4 address and a port, such as ``10.0.0.1:80``.

    References: RFC 1112 and RFC 1122, section 3.2.1.3, on addresses that name
    no host.
    """
    ip, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return False
    if not 0 < int(port) <= MAX_PORT:
        return False
    try:
        parsed = ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return not (
        parsed.is_multicast or parsed.is_unspecified or parsed.is_reserved
    )
