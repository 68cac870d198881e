"""Handlers for the calls of hosts and operators to a replica."""

import asyncio
import dataclasses
import json
import typing

from returns import result

from wagtailspread.core import clocks, failures, identifiers
from wagtailspread.replica import drivers, machines, reports
from wagtailspread.wire import listeners, messages

#: Upper limit of the wait of a long poll, in seconds.
MAX_WAIT_SECONDS = 60.0

_COMMANDS: tuple[tuple[int, machines.CommandKind, typing.Any], ...] = (
    (
        messages.methods.SUBMIT,
        machines.CommandKind.SUBMIT,
        messages.structs.SubmissionAnswer,
    ),
    (
        messages.methods.CLAIM_KEY,
        machines.CommandKind.CLAIM_KEY,
        messages.structs.ClaimAnswer,
    ),
    (
        messages.methods.FINISH_KEY,
        machines.CommandKind.FINISH_KEY,
        messages.structs.Empty,
    ),
    (
        messages.methods.RELEASE_KEY,
        machines.CommandKind.RELEASE_KEY,
        messages.structs.Empty,
    ),
)


class Location(typing.Protocol):
    """Location of a replica, as part of its settings."""

    @property
    def address(self) -> identifiers.Address:
        """Address of the replica."""

    @property
    def region(self) -> identifiers.RegionName:
        """Region of the replica."""

    @property
    def domain(self) -> identifiers.FailureDomain:
        """Failure domain of the replica."""


class ConfigurationHandler:
    """Answers long polls for the configuration from the applied state.

    Every replica answers. Its version may be older than the one that the
    leader has committed, but the versions at one replica never decrease.
    """

    def __init__(self, driver: drivers.Driver) -> None:
        """Register to be called after entries are applied."""
        self._driver = driver
        self._changed = asyncio.Event()
        driver.on_apply = self._wake

    async def answer(
        self,
        _call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        """Wait for a newer version and return the changes up to it.

        The delta is empty if there is no newer version within the wait.
        """
        configuration = self._machine().configuration
        wait = min(request.wait_ms / 1000, MAX_WAIT_SECONDS)
        if configuration.version <= request.known_version:
            await self._wait_for_newer(request.known_version, wait)
        if configuration.version <= request.known_version:
            return result.Success(_create_empty_delta(request.known_version))
        return result.Success(
            configuration.delta_since(request.known_version),
        )

    async def _wait_for_newer(self, version: int, wait: float) -> None:
        try:
            async with asyncio.timeout(wait):
                await self._wait_for_version(version)
        except TimeoutError:
            return

    async def _wait_for_version(self, version: int) -> None:
        configuration = self._machine().configuration
        while configuration.version <= version:
            await self._changed.wait()

    def _machine(self) -> machines.StateMachine:
        return typing.cast(machines.StateMachine, self._driver.machine)

    def _wake(self) -> None:
        waiting = self._changed
        self._changed = asyncio.Event()
        waiting.set()


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFailed(failures.Failure):
    """A command raised an exception in the state machine.

    :param kind: name of the :class:`machines.CommandKind`.
    """

    kind: str


class CommandHandler:
    """Runs commands of one kind and answers after they are applied."""

    def __init__(
        self,
        driver: drivers.Driver,
        clock: clocks.Clock,
        kind: machines.CommandKind,
        answer_type: typing.Any,
    ) -> None:
        """Create the handler for one kind of command."""
        self._driver = driver
        self._clock = clock
        self._kind = kind
        self._answer_type = answer_type

    async def answer(
        self,
        call: listeners.Call,
        request: messages.Struct,
    ) -> listeners.HandlerResult:
        """Propose the command and return its answer.

        :returns: the answer or a failure, such as ``NotLeader``,
            ``OutcomeUnknown`` or ``CommandFailed``.
        """
        command = machines.encode_command(
            self._kind,
            request,
            self._clock.wall(),
        )
        try:
            async with asyncio.timeout(call.timeout):
                outcome = await self._driver.run_command(command)
        except TimeoutError:
            return result.Failure(drivers.OutcomeUnknown())
        if not isinstance(outcome, result.Success):
            return outcome
        payload = outcome.unwrap()
        if not payload:
            return result.Failure(CommandFailed(self._kind.name))
        return result.Success(
            messages.decode_trusted(self._answer_type, payload)
        )


class StatusHandler:
    """Reports the state of this replica and its view of the membership."""

    def __init__(
        self,
        driver: drivers.Driver,
        clock: clocks.Clock,
        location: Location,
    ) -> None:
        """Create the handler."""
        self._driver = driver
        self._clock = clock
        self._location = location

    async def answer(
        self,
        _call: listeners.Call,
        _request: messages.Struct,
    ) -> listeners.HandlerResult:
        """Return the report as JSON text."""
        report = reports.create_report(
            self._driver,
            self._location.address,
            self._clock.now(),
        )
        report['region'] = self._location.region
        report['domain'] = self._location.domain
        machine = typing.cast(machines.StateMachine, self._driver.machine)
        report['configuration'] = machine.configuration.describe()
        return result.Success(
            messages.structs.StatusReport(json=json.dumps(report)),
        )


def add_handlers(
    listener: listeners.Listener,
    driver: drivers.Driver,
    clock: clocks.Clock,
    location: Location,
) -> None:
    """Add the handlers for hosts and operators to ``listener``."""
    for method, kind, answer_type in _COMMANDS:
        listener.add(
            method,
            machines.REQUEST_TYPES[kind],
            CommandHandler(driver, clock, kind, answer_type).answer,
        )
    listener.add(
        messages.methods.FETCH_CONFIGURATION,
        messages.structs.FetchConfiguration,
        ConfigurationHandler(driver).answer,
    )
    listener.add(
        messages.methods.STATUS,
        messages.structs.Empty,
        StatusHandler(driver, clock, location).answer,
    )


def _create_empty_delta(version: int) -> messages.Struct:
    return messages.structs.ConfigurationDelta(
        from_version=version,
        to_version=version,
        sections=[],
    )
