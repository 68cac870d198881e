"""Tests that ejections are kept when a service gets another owner."""

from wagtailspread.entry.tests import fleets


class StubRegister:
    """Records the ejections that it adopts."""

    def __init__(self, ejected=()):
        self.ejected = list(ejected)

    def record_vote(self, host, now):
        """Ignore votes."""

    def adopt(self, ejected, now):
        self.ejected.extend(set(ejected) - set(self.ejected))

    def find_ejected(self):
        return self.ejected


def install_register(host, register):
    host.owners._create_coordinator = lambda _service: (
        host.coordinator,
        register,
    )


async def test_new_owner_adopts_the_ejections_of_the_failed_one():
    """Guards against partly failed upstreams being used after a failover."""
    registers = [StubRegister(['u0']), StubRegister(), StubRegister()]
    async with fleets.start_fleet(3, upstream_count=0) as (hosts, _):
        for host, register in zip(hosts, registers, strict=True):
            install_register(host, register)
        await hosts[2].heartbeat_sender.send_heartbeat(fleets.SERVICE)
        endpoints = hosts[2].client._ownership.endpoints
        endpoints.append(endpoints.pop(0))
        hosts[2].client.states[fleets.SERVICE].owner_checked_at = float('-inf')
        await hosts[2].heartbeat_sender.send_heartbeat(fleets.SERVICE)
        assert registers[1].ejected == ['u0']
        assert not registers[2].ejected


async def test_ejections_are_not_reported_back_to_their_owner():
    """Guards against readmitted upstreams being ejected again by hosts."""
    register = StubRegister(['u0'])
    async with fleets.start_fleet(2, upstream_count=0) as (hosts, _):
        install_register(hosts[0], register)
        await hosts[1].heartbeat_sender.send_heartbeat(fleets.SERVICE)
        register.ejected.clear()
        await hosts[1].heartbeat_sender.send_heartbeat(fleets.SERVICE)
        assert not register.ejected
