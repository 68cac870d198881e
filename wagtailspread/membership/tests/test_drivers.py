"""Tests of agents over real loopback connections."""

import asyncio
import random

import pytest

from wagtailspread.core import clocks
from wagtailspread.membership import agents, drivers, simulations, tables
from wagtailspread.wire import credentials, links, listeners, messages, signing

KEY = signing.create_key()


class Host:
    """One host with its listener, links and driver."""

    def __init__(self, number):
        row = simulations.create_row(number, 1)
        peer = credentials.Peer(row.member, row.host, 'entry')
        self.credentials = credentials.Credentials(peer, KEY)
        keys = {row.member: signing.public_bytes(KEY)}
        self.directory = credentials.FixedDirectory(keys)
        self.pool = links.LinkPool(self.credentials, self.directory)
        self.listener = listeners.create_listener(
            self.credentials, self.directory
        )
        self.number = number

    async def start(self, seeds):
        address = await self.listener.start('127.0.0.1:0')
        row = tables.dataclasses.replace(
            simulations.create_row(self.number, 1),
            address=address,
        )
        self.agent = agents.create_agent(
            row,
            seeds,
            agents.MembershipPolicy(),
            random.Random(self.number),
        )
        self.driver = drivers.create_driver(
            self.agent,
            self.pool,
            clocks.SystemClock(),
        )
        self.driver.attach(self.listener)
        self.driver.start()
        return address

    async def stop(self):
        await self.driver.close()
        await self.pool.close()
        await self.listener.close()


async def wait_for(condition, seconds=8.0):
    for _ in range(int(seconds / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    pytest.fail('the expected view was not reached in time')


async def test_killed_host_is_dead_and_a_departed_one_left():
    """Guards against confusing a crash with an announced shutdown."""
    hosts = [Host(number) for number in range(4)]
    seed = await hosts[0].start([])
    for host in hosts[1:]:
        await host.start([seed])
    await wait_for(
        lambda: all(len(host.agent.list_members()) == 4 for host in hosts),
    )
    await hosts[1].stop()
    await hosts[2].driver.leave()
    await hosts[2].stop()
    agent = hosts[3].agent
    await wait_for(
        lambda: (
            agent.find('host-1').state is tables.HostState.DEAD
            and agent.find('host-2').state is tables.HostState.LEFT
        ),
    )
    for host in (hosts[0], hosts[3]):
        await host.stop()


async def test_gossip_with_the_sender_of_another_host_is_refused():
    """Guards against an authenticated host that sends rows as another."""
    first, second = Host(0), Host(1)
    address = await first.start([])
    gossip = drivers.encode_message(
        simulations.dissemination.Message(
            simulations.dissemination.Kind.ACK,
            0,
            'host-9',
            'host-9',
            (),
            3,
        ),
    )
    outcome = await second.pool.find(address).call(
        messages.methods.GOSSIP,
        gossip,
        messages.structs.Empty,
        1.0,
    )
    assert outcome.failure().reason == 'ForeignSender'
    await second.pool.close()
    await first.stop()
