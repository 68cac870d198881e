"""Tests of downloads over slow links and from failing replicas."""

import asyncio

from returns import result

from wagtailspread.configuration import chunks, documents
from wagtailspread.core import failures
from wagtailspread.registry import downloads, publications
from wagtailspread.wire import messages


class Pool:
    """A link pool that calls publishers by address; some calls time out.

    :param calls: address, requested bytes and timeout of each call; the bytes
        are ``None`` in a call for a manifest and to a failed replica.
    :param failed: addresses at which all calls time out.
    :param closed: addresses whose connections were closed, in order.
    """

    def __init__(self, publishers, *, timeouts=0, duration=0.0):
        """Start without calls.

        :param timeouts: number of first chunk requests that time out.
        :param duration: time until each answer with chunks, in seconds.
        """
        self.calls = []
        self.failed = set()
        self.closed = []
        self._duration = duration
        self._publishers = publishers
        self._timeouts = timeouts
        self._address = ''

    def find(self, address):
        """Return the link to an address."""
        self._address = address
        return self

    async def remove(self, address):
        """Record the address whose connection is closed."""
        self.closed.append(address)

    async def call(self, method, request, _answer_type, timeout):
        """Return the answer of the publisher at the address."""
        publisher = self._publishers[self._address]
        if self._address in self.failed:
            self.calls.append((self._address, None, timeout))
            failure = failures.CallTimeout(self._address, timeout)
            return result.Failure(failure)
        if method == messages.methods.READ_MANIFEST:
            self.calls.append((self._address, None, timeout))
            answer = await publisher._answer_manifest(None, request)
            if isinstance(answer, result.Success):
                return answer
            name = type(answer.failure()).__name__
            return result.Failure(failures.CallRejected(self._address, name))
        self.calls.append((self._address, request.most_bytes, timeout))
        if self._timeouts:
            self._timeouts -= 1
            failure = failures.CallTimeout(self._address, timeout)
            return result.Failure(failure)
        await asyncio.sleep(self._duration)
        return await publisher._answer_chunks(None, request)


def create_document(version, lines):
    """Return a document with this number of lines."""
    document = documents.VersionedDocument()
    body = b''.join(b'line %d of a document\n' % one for one in range(lines))
    document.put(version, body)
    return document


async def download(pool, version, *sources, apply=None):
    """Download until a version is reached; return the applied documents."""
    applied = []
    downloader = downloads.DocumentDownloader(
        pool,
        lambda: list(sources),
        apply or (lambda *document: applied.append(document)),
    )
    downloader.request_version(version)
    running = asyncio.create_task(downloader.run())
    async with asyncio.timeout(5):
        while downloader.version < version:
            await asyncio.sleep(0.01)
    running.cancel()
    return applied


def publish(document):
    """Return the publisher of a document."""
    return publications.create_publisher(lambda: document)


async def test_requests_over_a_slow_link_become_smaller():
    """Guards against repeating a request too large for the link."""
    document = create_document(2, 20_000)
    pool = Pool({'r1': publish(document)}, timeouts=3)
    assert await download(pool, 2, 'r1') == [(2, document.body)]
    sizes = [size for _, size, _ in pool.calls if size is not None]
    seconds = [one for _, size, one in pool.calls if size is not None]
    assert sizes[:4] == [16384, 8192, 4096, 2048]
    assert seconds[:4] == [0.5, 1.0, 2.0, downloads.MAX_CALL_SECONDS]
    assert sizes[-1] > sizes[3]
    assert max(sizes) <= chunks.MAX_ANSWER_BYTES
    assert seconds[-1] == downloads.INITIAL_CALL_SECONDS


async def test_a_connection_that_stays_silent_is_replaced():
    """Guards against further calls on a dead connection."""
    document = create_document(1, 10)
    pool = Pool({'r1': publish(document)}, timeouts=4)
    await download(pool, 1, 'r1')
    seconds = [one for _, size, one in pool.calls if size is not None]
    assert seconds[:4] == [0.5, 1.0, 2.0, downloads.MAX_CALL_SECONDS]
    assert pool.closed == ['r1', 'r1']


async def test_a_link_that_needs_long_calls_keeps_them():
    """Guards against closing the connection at every second call.

    That happens if one fast answer restores a timeout too short for the link.
    """
    document = create_document(1, 1500)
    pool = Pool({'r1': publish(document)}, timeouts=1, duration=0.3)
    await download(pool, 1, 'r1')
    assert not pool.closed
    seconds = {one for _, size, one in pool.calls[2:] if size is not None}
    assert seconds == {1.0}


async def test_a_failed_replica_does_not_slow_down_another():
    """Guards against limits of a failed replica applied to a healthy one."""
    document = create_document(1, 10)
    pool = Pool({'lost': publish(document), 'r1': publish(document)})
    pool.failed.add('lost')
    await download(pool, 1, 'lost', 'r1')
    assert pool.calls[0] == ('lost', None, downloads.INITIAL_CALL_SECONDS)
    assert pool.calls[1] == ('r1', None, downloads.INITIAL_CALL_SECONDS)


async def test_a_replica_that_is_behind_does_not_end_the_download():
    """Guards against a host that stays at the nearest replica's version."""
    publishers = {
        'near': publish(create_document(1, 10)),
        'far': publish(create_document(2, 20)),
    }
    applied = await download(Pool(publishers), 2, 'near', 'far')
    assert [version for version, _ in applied] == [1, 2]


async def test_the_size_of_an_answer_is_limited():
    """Guards against a replica that sends a whole document in one answer."""
    document = create_document(1, 50_000)
    publisher = publish(document)
    wanted = publisher.find_manifest().chunks
    found = publisher.collect(wanted, 1 << 30)
    assert sum(map(len, found)) <= chunks.MAX_ANSWER_BYTES
    assert len(publisher.collect(wanted, 0)) == 1


async def test_chunks_of_the_previous_version_are_still_served():
    """Guards against downloads that each change interrupts."""
    document = create_document(1, 1000)
    publisher = publish(document)
    previous = publisher.find_manifest().chunks
    document.put(2, b'other')
    assert publisher.find_manifest().version == 2
    assert publisher.collect(previous, 1024)


async def test_a_replica_without_a_document_does_not_change_the_limits():
    """Guards against slow downloads after replicas that have just started."""
    document = create_document(1, 5000)
    publishers = {
        'new': publish(documents.VersionedDocument()),
        'old': publish(document),
    }
    pool = Pool(publishers)
    await download(pool, 1, 'new', 'old')
    (_, size, seconds) = pool.calls[2]
    assert (size, seconds) == (16384, downloads.INITIAL_CALL_SECONDS)


async def test_a_document_that_cannot_be_applied_does_not_end_downloads():
    """Guards against a host that stays at the version before the fault."""
    document = create_document(1, 10)
    applied = []

    def apply(version, _body):
        applied.append(version)
        if version == 1:
            document.put(2, b'two')
            raise ValueError(version)

    pool = Pool({'r1': publish(document)})
    await download(pool, 2, 'r1', apply=apply)
    assert applied == [1, 2]


async def test_a_manifest_without_fields_does_not_end_downloads():
    """Guards against a download task that one malformed answer ends."""
    document = create_document(1, 10)
    pool = Pool({'malformed': publish(document), 'r1': publish(document)})
    answers = [messages.structs.DocumentManifest(version=1)]
    call = pool.call

    async def answer_malformed(*arguments):
        if answers:
            return result.Success(answers.pop())
        return await call(*arguments)

    pool.call = answer_malformed
    assert await download(pool, 1, 'malformed', 'r1') == [(1, document.body)]
