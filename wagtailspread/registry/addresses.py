"""Which upstreams state an address."""

import typing

from wagtailspread.core import identifiers

_Upstreams = tuple[identifiers.UpstreamId, ...]


class AddressIndex:
    """Upstreams by address. An upstream that is gone may lack an address.

    >>> index = AddressIndex()
    >>> index.add('10.0.0.1:80', 'u1')
    >>> index.add('10.0.0.1:80', 'u2')
    >>> index.list_upstreams('10.0.0.1:80'), list(index.list_shared())
    (('u1', 'u2'), ['10.0.0.1:80'])
    """

    def __init__(self) -> None:
        """Start empty."""
        self._upstreams: dict[identifiers.Address, _Upstreams] = {}
        self._shared: set[identifiers.Address] = set()

    def __len__(self) -> int:
        """Return the number of addresses."""
        return len(self._upstreams)

    def add(
        self, address: identifiers.Address, upstream: identifiers.UpstreamId
    ) -> None:
        """Record that an upstream states an address."""
        known = self._upstreams.get(address, ())
        if address and upstream not in known:
            self._replace(address, (*known, upstream))

    def remove(
        self, address: identifiers.Address, upstream: identifiers.UpstreamId
    ) -> None:
        """Record that an upstream does not state an address any more."""
        known = self._upstreams.get(address, ())
        self._replace(address, tuple(one for one in known if one != upstream))

    def list_upstreams(self, address: identifiers.Address) -> _Upstreams:
        """Return the upstreams at an address."""
        return self._upstreams.get(address, ())

    def list_shared(self) -> typing.Sequence[identifiers.Address]:
        """Return the addresses that several upstreams state."""
        return sorted(self._shared)

    def _replace(
        self, address: identifiers.Address, upstreams: _Upstreams
    ) -> None:
        if upstreams:
            self._upstreams[address] = upstreams
        else:
            self._upstreams.pop(address, None)
        if len(upstreams) > 1:
            self._shared.add(address)
        else:
            self._shared.discard(address)
