"""Decodes the settings file that the platform writes for each process."""

import dataclasses
import os
import pathlib
import typing

from wagtailspread.core import identifiers
from wagtailspread.platform import names, values

#: Bytes in a megabyte and in a megabit.
_MEGABYTE = 1_000_000.0
_MEGABIT = 125_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class BootSettings:
    """Settings of one process.

    :param regions: the region of each failure domain.
    :param listen: addresses to listen on, by the platform's names.
    :param link_port: port of the fleet's internal protocol, the same on all
        machines.
    :param seeds: addresses of some replicas for the fleet's internal protocol.
    :param is_first_start: whether the whole fleet starts for the first time.
    :param data_folder: folder for persistent data, if the process has one.
    :param tolerated_losses: number of replicas whose disks may be lost at the
        same time.
    :param bounds: numeric limits by the platform's names; durations are in
        seconds.
    :param memory_bytes: memory that the process may use; ``None`` if unknown.
    :param link_rate: rate of the machine's network link in bytes per second;
        ``None`` if unknown.
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
        """Address of this process for the fleet's internal protocol."""
        return identifiers.Address(f'{self.ip}:{self.link_port}')


def find_path() -> pathlib.Path:
    """Return the path of the settings file.

    :raises KeyError: if the environment variable with the path is not set.
    """
    return pathlib.Path(os.environ[names.SETTINGS_VARIABLE])


def load() -> BootSettings:
    """Return the settings in the current settings file.

    :raises KeyError: if the environment variable with the path is not set.
    :raises OSError: if the file cannot be read.
    :raises values.FormatError: if a field is missing or malformed.
    """
    return decode(find_path().read_text('utf-8'))


def decode(text: str) -> BootSettings:
    """Return the settings in the text of a settings file.

    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(text)
    ports = fields.get('internalPorts')
    if not isinstance(ports, list) or not ports:
        raise values.create_error(
            'internalPorts',
            'a non-empty list of ports',
            ports,
        )
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
    """Return a limit of the process, or ``None`` if it is not set.

    :param unit: bytes, or bytes per second, in one unit of the field.
    """
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
    """Return the addresses of the seeds for the fleet's internal protocol.

    The platform lists the addresses that upstreams and operators call.
    """
    if not isinstance(seeds, list):
        raise values.create_error('seeds', 'a list of addresses', seeds)
    ips = [str(seed).rpartition(':')[0] for seed in seeds]
    return tuple(identifiers.Address(f'{ip}:{port}') for ip in ips)


def _decode_bounds(texts: list[str]) -> dict[str, float]:
    """Return the bounds that are durations or numbers; others are ignored."""
    bounds = {}
    for text in texts:
        name, _, value = str(text).partition('=')
        try:
            bounds[name] = values.read_seconds(value)
        except values.FormatError:
            if value.replace('.', '', 1).isdecimal():
                bounds[name] = float(value)
    return bounds
