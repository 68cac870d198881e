"""Credentials, signals, seeds and the retry budget of both programs."""

import asyncio
import hashlib
import json
import signal

import logbook

from wagtailspread.core import identifiers
from wagtailspread.placement import budgets
from wagtailspread.platform import settings, values
from wagtailspread.wire import credentials
from wagtailspread.workspaces import caps

#: The only member of a fleet whose processes the platform starts.
MEMBER = identifiers.MemberId('fleet')
#: Retries per request if the platform does not set a ratio.
DEFAULT_RETRY_RATIO = 0.1
#: Window of the retry budget if the platform does not set it, in seconds.
DEFAULT_RETRY_WINDOW_SECONDS = 10.0

_log = logbook.Logger('platform')


def derive_key(boot: settings.BootSettings) -> credentials.SharedSecret:
    """Return the secret that all processes of a fleet derive from its layout.

    The platform provides no secret to its processes. It distinguishes
    fleets; it does not exclude a process that can read the same settings.
    """
    layout = json.dumps([boot.regions, boot.link_port], sort_keys=True)
    return credentials.SharedSecret(hashlib.sha256(layout.encode()).digest())


def watch_signals() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set.

    SIGHUP is only logged, since the settings are read again whenever seeds are
    needed.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _log_change)
    return stopping


def _log_change() -> None:
    _log.info('settings changed')


def create_retry_settings(
    boot: settings.BootSettings,
) -> budgets.RetryBudgetSettings:
    """Return the settings of the fleet-wide retry budget."""
    bounds = boot.bounds
    return budgets.RetryBudgetSettings(
        bounds.get('retryRatio', DEFAULT_RETRY_RATIO),
        bounds.get('retrySlack', 0.0),
        bounds.get('retryWindow', DEFAULT_RETRY_WINDOW_SECONDS),
    )


def create_cap_limits(boot: settings.BootSettings) -> caps.Limits:
    """Return how far requests may exceed the caps of workspaces."""
    bounds = boot.bounds
    defaults = caps.Limits()
    return caps.Limits(
        bounds.get('quotaWindow', defaults.window),
        bounds.get('quotaOverage', defaults.overage),
        bounds.get('quotaSlack', defaults.slack),
    )


def create_credentials(
    boot: settings.BootSettings,
    role: str,
) -> tuple[credentials.Credentials, credentials.FixedDirectory]:
    """Return the credentials of a process and the keys that it accepts."""
    key = derive_key(boot)
    peer = credentials.Peer(MEMBER, boot.host, role)
    directory = credentials.FixedDirectory({MEMBER: key})
    return credentials.Credentials(peer, key), directory


class Seeds:
    """The seeds in the settings file, which may change at any time."""

    def __init__(self, boot: settings.BootSettings) -> None:
        """Store the seeds that were read at the start."""
        self._last_seeds = boot.seeds

    def find(self) -> tuple[identifiers.Address, ...]:
        """Return the current seeds.

        If the settings file is unreadable, these are the last ones read.
        """
        try:
            self._last_seeds = settings.load().seeds
        except (OSError, values.FormatError) as error:
            _log.warning('settings unreadable', extra={'reason': str(error)})
        return self._last_seeds
