"""Reserved ports are not given out twice."""

import subprocess
import sys

from wagtailspread.testing import ports


def test_reserved_ports_are_distinct_and_not_for_outgoing_connections():
    """Guards against a process whose port another one has taken."""
    addresses = [ports.reserve_address() for _ in range(200)]
    assert len(set(addresses)) == 200
    found = [int(address.rpartition(':')[2]) for address in addresses]
    with open('/proc/sys/net/ipv4/ip_local_port_range') as limits:
        first_outgoing = int(limits.read().split()[0])
    assert max(found) < first_outgoing


def test_another_process_does_not_get_a_reserved_port():
    """Guards against test runs beside each other that share a port."""
    address = ports.reserve_address()
    port = address.rpartition(':')[2]
    code = (
        'from wagtailspread.testing import ports\n'
        f'ports.FIRST_PORT = ports.LAST_PORT = {port}\n'
        'try:\n'
        '    ports.reserve_address()\n'
        'except ports.NoFreePort:\n'
        '    print("taken")\n'
    )
    ended = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    assert ended.stdout == b'taken\n'
