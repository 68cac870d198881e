"""The program of the hosts that accept the requests of callers."""

from wagtailspread.entry import deliveries, holdings
from wagtailspread.gateway import buffers, hosts
from wagtailspread.placement import costs
from wagtailspread.platform import documents, names, processes, settings

#: Time to stop a process if the platform does not set it, in seconds.
DEFAULT_GRACE_SECONDS = 6.0
#: Time until a revoked key is refused if the platform does not set it, in
#: seconds.
DEFAULT_REVOKE_SECONDS = 5.0
#: Part of that time that an answer of a replica and opening a connection to an
#: upstream may take, in seconds: an answer arrives up to 0.9 s after the
#: replica has read its version, and a connection takes up to 0.4 s.
REVOKE_MARGIN_SECONDS = 1.5


async def run(boot: settings.BootSettings) -> None:
    """Run a host until SIGTERM or SIGINT."""
    stopping = processes.watch_signals()
    host = hosts.create_host(
        _create_host_settings(boot),
        documents.read_valid,
    )
    await host.start()
    await stopping.wait()
    await host.stop()


def _create_host_settings(
    boot: settings.BootSettings,
) -> hosts.GatewaySettings:
    local_credentials, directory = processes.create_credentials(
        boot, hosts.ROLE
    )
    bounds = boot.bounds
    return hosts.GatewaySettings(
        host=boot.host,
        location=costs.Location(boot.domain, boot.regions),
        caller_address=boot.find_listen_address('front'),
        ready_address=boot.find_listen_address('readinessAddr'),
        ready_path=names.READY_PATH,
        link_address=boot.link_address,
        find_seeds=processes.Seeds(boot).find,
        local_credentials=local_credentials,
        directory=directory,
        header_names=names.HEADERS,
        retry_budget=processes.create_retry_settings(boot),
        stop_seconds=bounds.get('grace', DEFAULT_GRACE_SECONDS),
        response_limits=buffers.create_limits(
            boot.memory_bytes, boot.link_rate
        ),
        key_seconds=_find_key_seconds(boot.bounds),
        caller_bytes=holdings.compute_total(boot.memory_bytes),
        unread_bytes=deliveries.compute_total(boot.memory_bytes),
        cap_limits=processes.create_cap_limits(boot),
    )


def _find_key_seconds(bounds: dict[str, float]) -> float | None:
    """Return how long a host that is cut off accepts keys.

    >>> _find_key_seconds({}), _find_key_seconds({'revokeEverywhere': 1.0})
    (None, 3.5)
    """
    if not bounds.get('revokeEverywhere'):
        return None
    seconds = bounds.get('revoke', DEFAULT_REVOKE_SECONDS)
    return max(seconds - REVOKE_MARGIN_SECONDS, 0.0)
