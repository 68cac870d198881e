"""Tests of the order of hosts for a pair of service and region."""

import subprocess
import sys

from wagtailspread.allocation import ownership

HOSTS = tuple(f'h{number}' for number in range(44))


def test_order_is_equal_in_every_process():
    """Guards against two owners caused by per-process hash seeds."""
    program = (
        'from wagtailspread.allocation import ownership;'
        "print(ownership.find_owner('v', 'r', [f'h{n}' for n in range(44)]))"
    )
    completed = subprocess.run(
        [sys.executable, '-c', program],
        env={'PYTHONHASHSEED': '12345'},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == ownership.find_owner('v', 'r', HOSTS)


def test_order_does_not_depend_on_the_input_order():
    """Guards against two owners when hosts list members differently."""
    forward = ownership.order_hosts('v', 'r', HOSTS)
    assert ownership.order_hosts('v', 'r', reversed(HOSTS)) == forward


def test_loss_of_a_host_reassigns_only_its_pairs():
    """Guards against a loss that changes the owners of unrelated pairs."""
    services = [f's{number}' for number in range(300)]
    lost, *live = HOSTS
    for service in services:
        order = ownership.order_hosts(service, 'r', HOSTS)
        expected = order[1] if order[0] == lost else order[0]
        assert ownership.find_owner(service, 'r', live) == expected


def test_pairs_spread_over_the_hosts():
    """Guards against one host that owns most pairs."""
    owned = dict.fromkeys(HOSTS, 0)
    for number in range(1200):
        owned[ownership.find_owner(f's{number}', 'r', HOSTS)] += 1
    assert max(owned.values()) < 3 * 1200 / len(HOSTS)
    assert min(owned.values()) > 0


def test_pair_has_no_owner_without_hosts():
    """Guards against an error before any host is known."""
    assert ownership.find_owner('v', 'r', []) is None
