"""Tests of the size of documents in messages, the log and snapshots."""

import asyncio

from returns import result

from wagtailspread.configuration import documents as configurations
from wagtailspread.core import clocks
from wagtailspread.processes import machines as process_machines
from wagtailspread.replica import documents, machines, packing
from wagtailspread.replica.tests import test_packing
from wagtailspread.wire import messages

_BODY = test_packing.create_body(11_000)
#: Largest message of a put or read between regions, in bytes.
_MAX_BYTES = (
    test_packing.REGION_BYTES_PER_SECOND
    * test_packing.PUT_SHARE
    * documents.CALL_TIMEOUT_SECONDS
)


class _Driver:
    """Driver of a leader that records commands and applies them at once."""

    def __init__(self):
        self.machine = process_machines.create_machine()
        self.replica = self
        self.state = self
        self.membership = self
        self.is_leader = True
        self.applied = 0
        self.commands = []

    def quorum(self):
        """Return a majority of five."""
        return 3

    def read_index(self, _now):
        """Return that no entry has to be applied before a read."""
        return result.Success(0)

    def find_leader_address(self):
        """Return ``None``, since this replica is the leader."""

    async def run_command(self, command):
        """Record and apply a command."""
        self.commands.append(command)
        return result.Success(self.machine.apply(1, command))


def create_service(driver):
    """Return the document service of a replica."""
    return documents.DocumentService(
        driver,
        None,
        clocks.SystemClock(),
        2,
        configurations.VersionedDocument(),
    )


async def test_a_put_is_a_small_entry_of_the_log():
    """Guards against entries too large for the link between regions."""
    driver = _Driver()
    service = create_service(driver)
    async with asyncio.timeout(5):
        assert await service.put(3, _BODY)
    (command,) = driver.commands
    assert len(command) < _MAX_BYTES
    assert driver.machine.document.body == _BODY
    assert (await service.read()).body == _BODY
    answer = (await service._read_locally()).unwrap()
    assert len(messages.encode(answer)) < _MAX_BYTES


def test_a_snapshot_holds_the_document_compressed():
    """Guards against snapshots with the uncompressed document."""
    machine = process_machines.create_machine()
    command = machines.encode_command(
        machines.CommandKind.PUT_DOCUMENT,
        packing.pack(3, _BODY),
        1.0,
    )
    machine.apply(1, command)
    snapshot = machine.take_snapshot()
    assert len(snapshot) < _MAX_BYTES
    restored = process_machines.create_machine()
    restored.restore(snapshot)
    assert restored.document.body == _BODY


async def test_a_put_that_stores_nothing_is_not_confirmed():
    """Guards against a confirmation of a document that no replica has."""
    driver = _Driver()
    service = create_service(driver)
    malformed = messages.structs.DocumentState(
        version=3, body=b'', packed=b'no zlib'
    )
    outcome = await service._put_locally(malformed)
    assert isinstance(outcome, result.Failure)
    assert driver.machine.document.version == configurations.NO_VERSION
