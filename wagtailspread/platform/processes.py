"""What both programs of the platform share."""

import asyncio
import hashlib
import json
import signal

import logbook

from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailspread.core import identifiers
from wagtailspread.placement import budgets
from wagtailspread.platform import settings, values
from wagtailspread.wire import credentials

#: The one member of a fleet whose hosts the platform starts.
MEMBER = identifiers.MemberId('fleet')
#: Budget of repeated sends if the platform does not say: none but a tenth.
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_RETRY_WINDOW_SECONDS = 10.0

_log = logbook.Logger('platform')


def create_key(boot: settings.BootSettings) -> ed25519.Ed25519PrivateKey:
    """Return the key that all processes of a fleet derive from its layout.

    The platform gives its processes no secret. The key tells fleets apart; it
    does not keep out a process that can read the same settings.
    """
    layout = json.dumps([boot.regions, boot.link_port], sort_keys=True)
    seed = hashlib.sha256(layout.encode()).digest()
    return ed25519.Ed25519PrivateKey.from_private_bytes(seed)


def watch_signals() -> asyncio.Event:
    """Return the event that SIGTERM sets.

    The settings are read again whenever seeds are needed, so SIGHUP has
    nothing to do.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _note_change)
    return stopping


def _note_change() -> None:
    _log.info('settings changed')


def create_retry_terms(
    boot: settings.BootSettings,
) -> budgets.RetryBudgetSettings:
    """Return the fleet's budget of repeated sends."""
    bounds = boot.bounds
    return budgets.RetryBudgetSettings(
        bounds.get('retryRatio', DEFAULT_RETRY_RATIO),
        bounds.get('retrySlack', 0.0),
        bounds.get('retryWindow', DEFAULT_RETRY_WINDOW_SECONDS),
    )


def create_own(
    boot: settings.BootSettings,
    role: str,
) -> tuple[credentials.Credentials, credentials.FixedDirectory]:
    """Return the proof of a process, and the keys that it accepts."""
    key = create_key(boot)
    peer = credentials.Peer(MEMBER, boot.host, role)
    public = credentials.public_bytes(key)
    directory = credentials.FixedDirectory({MEMBER: public})
    return credentials.Credentials(peer, key), directory


class Seeds:
    """The seeds of the settings, which may change at any time."""

    def __init__(self, boot: settings.BootSettings) -> None:
        """Start with the seeds of the start."""
        self._known = boot.seeds

    def find(self) -> tuple[identifiers.Address, ...]:
        """Return the seeds as of now."""
        try:
            self._known = settings.load().seeds
        except (OSError, values.FormatError) as error:
            _log.warning('settings unreadable', extra={'reason': str(error)})
        return self._known
