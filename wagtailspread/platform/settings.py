"""Decodes the settings file that the platform gives to each process."""

import dataclasses
import os
import pathlib
import typing

from wagtailspread.core import identifiers
from wagtailspread.platform import names, values

#: Bytes of a megabyte, and of a megabit.
_MEGABYTE = 1_000_000.0
_MEGABIT = 125_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettings:
    """What the platform says of one process.

    :param regions: the region of each failure domain.
    :param link_port: port of the fleet's own protocol, the same everywhere.
    :param seeds: addresses of the fleet's own protocol at some replicas.
    :param is_first_start: whether the whole fleet starts for the first time.
    :param tolerated_losses: replicas whose disks may be lost at the same time.
    :param bounds: limits of the platform by its names, in seconds or numbers.
    :param memory_bytes: that the process may use; ``None`` if it is not said.
    :param link_rate: of the machine's link, in bytes a second, if it is said.
    """

    host: identifiers.HostId
    ip: str
    domain: identifiers.FailureDomain
    regions: dict[identifiers.FailureDomain, identifiers.RegionName]
    listen: dict[str, str]
    link_port: int
    seeds: tuple[identifiers.Address, ...]
    is_first_start: bool
    data_folder: pathlib.Path | None
    tolerated_losses: int
    bounds: dict[str, float]
    memory_bytes: int | None
    link_rate: float | None

    @property
    def link_address(self) -> identifiers.Address:
        """Address of the fleet's own protocol at this process."""
        return identifiers.Address(f'{self.ip}:{self.link_port}')


def find_path() -> pathlib.Path:
    """Return the path of the settings file.

    :raises KeyError: if the platform names none.
    """
    return pathlib.Path(os.environ[names.SETTINGS_VARIABLE])


def load() -> BootSettings:
    """Read the settings file as it is now.

    :raises values.FormatError: if a field is missing or malformed.
    """
    return decode(find_path().read_text('utf-8'))


def decode(text: str) -> BootSettings:
    """Return the settings in a file.

    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(text)
    ports = fields.get('internalPorts')
    if not isinstance(ports, list) or not ports:
        raise values.FormatError('internalPorts')
    listen = fields.get('listen')
    folder = fields.get('dataDir')
    tolerance = fields.get('faultTolerance') or {}
    memory = _read_limit(fields, 'memoryMb', _MEGABYTE)
    return BootSettings(
        host=identifiers.HostId(values.read_text(fields, 'nodeName')),
        ip=values.read_text(fields, 'ip'),
        domain=identifiers.FailureDomain(values.read_text(fields, 'zone')),
        regions=dict(fields.get('zones') or {}),
        listen=listen if isinstance(listen, dict) else {},
        link_port=int(ports[0]),
        seeds=_decode_seeds(fields.get('seeds'), int(ports[0])),
        is_first_start=fields.get('bootstrap') is True,
        data_folder=pathlib.Path(folder) if folder else None,
        tolerated_losses=int(tolerance.get('machines') or 0),
        bounds=_decode_bounds(fields.get('bounds') or []),
        memory_bytes=None if memory is None else int(memory),
        link_rate=_read_limit(fields, 'linkMbps', _MEGABIT),
    )


def _read_limit(
    fields: dict[str, typing.Any],
    name: str,
    unit: float,
) -> float | None:
    """Return a limit of the process in bytes, or ``None`` if it has none."""
    limits = fields.get('limits')
    if not isinstance(limits, dict):
        return None
    try:
        found = values.read_number(limits, name)
    except values.FormatError:
        return None
    return found * unit if found > 0 else None


def _decode_seeds(
    seeds: typing.Any,
    port: int,
) -> tuple[identifiers.Address, ...]:
    """Return where the replicas among the seeds speak the own protocol.

    The platform names the addresses that upstreams and operators call.
    """
    if not isinstance(seeds, list):
        raise values.FormatError('seeds')
    ips = [str(seed).rpartition(':')[0] for seed in seeds]
    return tuple(identifiers.Address(f'{ip}:{port}') for ip in ips)


def _decode_bounds(texts: list[str]) -> dict[str, float]:
    """Return the bounds that are durations or numbers; others are not used."""
    bounds = {}
    for text in texts:
        name, _, value = str(text).partition('=')
        try:
            bounds[name] = values.read_seconds(value)
        except values.FormatError:
            if value.replace('.', '', 1).isdecimal():
                bounds[name] = float(value)
    return bounds
