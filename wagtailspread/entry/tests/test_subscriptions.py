"""Tests of the copy of the configuration on a host."""

import asyncio

from returns import result

from wagtailspread.core import clocks, failures
from wagtailspread.entry import subscriptions
from wagtailspread.entry.tests import fleets
from wagtailspread.wire import credentials, links, listeners, messages


class Holder:
    """Configuration holder that stores the version and the applied deltas."""

    def __init__(self, version=0):
        self.version = version
        self.applied = []

    def apply(self, delta):
        self.version = delta.to_version
        self.applied.append(delta)
        return result.Success(self.version)

    def read_delta(self, known_version):
        return messages.structs.ConfigurationDelta(
            from_version=known_version,
            to_version=self.version,
            sections=[],
        )


class Source:
    """A replica that answers with a version, or not at all."""

    def __init__(self, version=None):
        self.version = version

    async def fetch_configuration(self, known_version, wait):
        if self.version is None:
            return result.Failure(failures.Unreachable(''))
        return result.Success(Holder(self.version).read_delta(known_version))


def create_links():
    peer = credentials.Peer(fleets.MEMBER, 'h9', 'entry')
    local_credentials = credentials.Credentials(peer, fleets.KEY)
    return local_credentials, links.LinkPool(
        local_credentials, fleets.DIRECTORY
    )


def create_subscription(holder, source, peers=(), copy=None, clock=None):
    _, pool = create_links()
    return subscriptions.Subscription(
        holder,
        source,
        lambda: list(peers),
        pool,
        clock or clocks.SystemClock(),
        copy,
    )


async def test_version_never_decreases():
    """Guards against a lagging replica that reverts a host."""
    holder = Holder(7)
    await create_subscription(holder, Source(5)).poll()
    assert holder.version == 7
    await create_subscription(holder, Source(8)).poll()
    assert holder.version == 8


async def test_host_without_replicas_follows_a_peer():
    """Guards against hosts that miss a change while no replica answers."""
    local_credentials, _ = create_links()
    listener = listeners.create_listener(local_credentials, fleets.DIRECTORY)
    create_subscription(Holder(9), Source()).register(listener)
    address = await listener.start(fleets.ANY_PORT)
    holder = Holder(3)
    subscription = create_subscription(holder, Source(), [address])
    running = asyncio.create_task(subscription.run())
    await asyncio.sleep(0.2)
    assert holder.version == 9
    assert subscription.is_current()
    running.cancel()
    await listener.close()


async def test_waiting_peer_is_answered_when_a_newer_version_arrives():
    """Guards against changes that spread only with the next poll."""
    source = Source(4)
    holder = Holder(3)
    subscription = create_subscription(holder, source)
    request = messages.structs.FetchConfiguration(
        known_version=3,
        wait_ms=2000,
    )
    waiting = asyncio.create_task(subscription.answer_fetch(None, request))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    await subscription.poll()
    answer = await asyncio.wait_for(waiting, 0.1)
    assert answer.unwrap().to_version == 4


async def test_host_starts_with_its_copy_and_ignores_a_truncated_one(tmp_path):
    """Guards against a failed restart while no replica or peer answers."""
    copy = subscriptions.CopyFile(tmp_path)
    await create_subscription(Holder(), Source(6), copy=copy).poll()
    holder = Holder()
    create_subscription(holder, Source(), copy=copy)
    assert holder.version == 6
    path = tmp_path / 'configuration.bin'
    path.write_bytes(path.read_bytes()[:3])
    empty = Holder()
    create_subscription(empty, Source(), copy=copy)
    assert empty.version == 0


async def test_host_without_contact_is_not_current_unless_alone():
    """Guards against callers routed to an isolated host."""
    clock = clocks.ManualClock(100)
    subscription = create_subscription(
        Holder(1), Source(2), ['a:1'], clock=clock
    )
    assert not subscription.is_current()
    await subscription.poll()
    assert subscription.is_current()
    clock.advance(subscriptions.CONTACT_SECONDS)
    assert not subscription.is_current()
    assert create_subscription(Holder(1), Source(), clock=clock).is_current()


async def test_a_copy_is_confirmed_only_by_a_replica():
    """Guards against refusing a key that a newer version has."""
    lagging = create_subscription(Holder(3), Source())
    assert not await lagging.confirm()
    holder = Holder(3)
    assert await create_subscription(holder, Source(4)).confirm()
    assert holder.version == 4


async def test_a_confirmation_does_not_wait_for_a_silent_replica():
    """Guards against clients that wait long for a refusal."""

    class Silent:
        async def fetch_configuration(self, known_version, wait):
            await asyncio.Event().wait()

    async with asyncio.timeout(20 * subscriptions.CONFIRM_SECONDS):
        assert not await create_subscription(Holder(3), Silent()).confirm()


async def test_confirmations_share_a_call_of_a_replica():
    """Guards against unknown keys that load the replicas."""
    calls = []

    class Counting(Source):
        async def fetch_configuration(self, known_version, wait):
            calls.append(known_version)
            await asyncio.sleep(0)
            return await super().fetch_configuration(known_version, wait)

    subscription = create_subscription(Holder(3), Counting(3))
    confirmed = await asyncio.gather(
        *(subscription.confirm() for _ in range(50))
    )
    assert all(confirmed)
    assert await subscription.confirm()
    assert len(calls) == 1
