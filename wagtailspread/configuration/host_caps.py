"""The share of one entry host in the cap of a workspace.

>>> cap = divide_cap(caps.Cap(rate=100.0, burst=20.0), hosts=8, version=3)
>>> cap.rate, cap.burst, cap.version
(12.5, 2.5, 3)
"""

from wagtailspread.configuration import schemas
from wagtailspread.workspaces import caps


def count_hosts(settings: schemas.Settings) -> int:
    """Return the number of configured entry hosts of all regions."""
    return sum(region.hosts for region in settings.regions.values())


def divide_cap(cap: caps.Cap, hosts: int, version: int) -> caps.Cap:
    """Return the share of one host in a cap.

    :param hosts: number of configured hosts of all regions.
    :param version: of the configuration with this cap and number.
    """
    return caps.Cap(cap.rate / hosts, cap.burst / hosts, version)
