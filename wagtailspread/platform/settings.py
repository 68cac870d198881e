"""Decodes the settings file that the platform writes for each process."""

import dataclasses
import math
import os
import pathlib
import re
import typing

from wagtailspread.core import addresses, identifiers
from wagtailspread.platform import names, values
from wagtailspread.wire import messages

#: Bytes in a megabyte and in a megabit.
_MEGABYTE = 1_000_000.0
_MEGABIT = 125_000.0

_BOOLEANS = {'true': 1.0, 'false': 0.0}
_NUMBER = re.compile(r'\d+(?:\.\d*)?', re.ASCII)
#: Digits of a port, and one more, which makes it too large.
_MAX_PORT_DIGITS = 6


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
        seconds, and a boolean is 1 or 0.
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

    def find_listen_address(self, name: str) -> identifiers.Address:
        """Return the address to listen on for a name of the platform.

        :raises values.FormatError: if the settings have no valid address.
        """
        address = self.listen.get(name)
        if address is None:
            raise values.create_error(f'listen.{name}', 'IPv4:PORT', address)
        return identifiers.Address(address)


def find_path() -> pathlib.Path:
    """Return the path of the settings file.

    :raises KeyError: if the environment variable with the path is not set.
    """
    return pathlib.Path(os.environ[names.SETTINGS_VARIABLE])


def load() -> BootSettings:
    """Return the settings in the current settings file.

    :raises KeyError: if the environment variable with the path is not set.
    :raises OSError: if the file cannot be read.
    :raises values.FormatError: if the file is not UTF-8, or if a field is
        missing or malformed.
    """
    return decode(find_path().read_bytes())


def decode(text: bytes | str) -> BootSettings:
    """Return the settings in the content of a settings file.

    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(text)
    port = _decode_link_port(fields.get('internalPorts'))
    memory = _read_limit(fields, 'memoryMb', _MEGABYTE)
    return BootSettings(
        host=identifiers.HostId(values.read_text(fields, 'nodeName')),
        ip=values.read_text(fields, 'ip'),
        domain=identifiers.FailureDomain(values.read_text(fields, 'zone')),
        regions=_decode_regions(fields),
        listen=_decode_listen(fields),
        link_port=port,
        seeds=_decode_seeds(fields.get('seeds'), port),
        is_first_start=fields.get('bootstrap') is True,
        data_folder=_decode_folder(fields),
        tolerated_losses=_decode_tolerance(fields),
        bounds=_decode_bounds(fields.get('bounds')),
        memory_bytes=None if memory is None else int(memory),
        link_rate=_read_limit(fields, 'linkMbps', _MEGABIT),
    )


def _read_optional_object(
    fields: dict[str, typing.Any],
    name: str,
) -> dict[str, typing.Any]:
    """Return the object in a field, or an empty one if there is none."""
    found = fields.get(name)
    if found is None:
        return {}
    if not isinstance(found, dict):
        raise values.create_error(name, 'an object', found)
    return found


def _decode_link_port(ports: typing.Any) -> int:
    """Return the first internal port."""
    if not isinstance(ports, list) or not ports:
        raise values.create_error(
            'internalPorts',
            'a non-empty list of ports',
            ports,
        )
    found = ports[0]
    if isinstance(found, str) and found.isascii() and found.isdecimal():
        found = int(found[:_MAX_PORT_DIGITS])
    if not messages.is_integer(found, 1, addresses.MAX_PORT):
        raise values.create_error('internalPorts', 'ports', ports[0])
    return found


def _decode_regions(
    fields: dict[str, typing.Any],
) -> dict[identifiers.FailureDomain, identifiers.RegionName]:
    zones = _read_optional_object(fields, 'zones')
    return {
        identifiers.FailureDomain(domain): identifiers.RegionName(
            values.read_text(zones, domain)
        )
        for domain in zones
    }


def _decode_listen(fields: dict[str, typing.Any]) -> dict[str, str]:
    """Return the addresses to listen on.

    Entries of another form belong to roles that this program does not know.
    """
    return {
        name: address
        for name, address in _read_optional_object(fields, 'listen').items()
        if isinstance(address, str) and addresses.is_address(address)
    }


def _decode_folder(fields: dict[str, typing.Any]) -> pathlib.Path | None:
    if not fields.get('dataDir'):
        return None
    return pathlib.Path(values.read_text(fields, 'dataDir'))


def _decode_tolerance(fields: dict[str, typing.Any]) -> int:
    """Return the number of replicas whose disks may be lost at once."""
    tolerance = _read_optional_object(fields, 'faultTolerance')
    if not tolerance.get('machines'):
        return 0
    return values.read_integer(tolerance, 'machines', messages.MAX_I16)


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


def _decode_bounds(texts: typing.Any) -> dict[str, float]:
    """Return the bounds that are durations, numbers or booleans.

    The others are ignored.

    A bound that this program does not know may have any form.
    """
    if texts is None:
        return {}
    if not isinstance(texts, list):
        raise values.create_error('bounds', 'a list of texts', texts)
    bounds = {}
    for text in texts:
        name, _, value = str(text).partition('=')
        number = _decode_bound(value)
        if number is not None:
            bounds[name] = number
    return bounds


def _decode_bound(text: str) -> float | None:
    """Return a duration in seconds or a number, ``None`` for another text.

    >>> _decode_bound('2500ms'), _decode_bound('true'), _decode_bound('x')
    (2.5, 1.0, None)
    """
    flag = _BOOLEANS.get(text.lower())
    if flag is not None:
        return flag
    try:
        return values.read_seconds(text)
    except values.FormatError:
        if not _NUMBER.fullmatch(text):
            return None
    number = float(text)
    return number if math.isfinite(number) else None
