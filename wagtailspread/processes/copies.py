"""A host's copy of the active configuration.

The version of the copy never decreases.

See also: :mod:`wagtailspread.entry.subscriptions`, which updates the copy.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import deltas, loaders, routes, schemas
from wagtailspread.core import failures, identifiers
from wagtailspread.observability import logs
from wagtailspread.wire import messages
from wagtailspread.workspaces import directories

_LOGGER = logs.get_logger('configuration')

#: Called with the settings of a new version after it was applied.
ChangeListener = typing.Callable[[schemas.Settings], None]


@dataclasses.dataclass(frozen=True, slots=True)
class StaleDelta(failures.Failure):
    """A delta that does not start from the active version, or is not newer.

    :param version: version that the delta starts from or leads to.
    :param in_force: active version of the copy.
    """

    version: int
    in_force: int


@dataclasses.dataclass(frozen=True, slots=True)
class MissingMember(failures.Failure):
    """A configuration without settings for the member of this host."""

    member: identifiers.MemberId


class ConfigurationCopy:
    """Files, settings and routes of the version that is active on this host.

    :param workspaces: of the active version.
    :param member: member whose effective settings apply.
    :param trusted_keys: raw public keys of members; used until a configuration
        is known.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted_keys: dict[identifiers.MemberId, bytes],
    ) -> None:
        """Create a copy without a configuration; its version is 0."""
        self.version = identifiers.ConfigurationVersion(0)
        self.settings: schemas.Settings | None = None
        self.listeners: list[ChangeListener] = []
        self._member = member
        self._trusted_keys = trusted_keys
        self._texts: dict[str, str] = {}
        self._loader = loaders.create_loader()
        self._routes: routes.RouteTable | None = None
        self.workspaces = directories.create_directory((), version=0)

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of an approved member, ``None`` if unknown."""
        if self.settings is None:
            return self._trusted_keys.get(member)
        found = self.settings.members.get(member)
        return found.public_key if found else None

    def match(self, method: str, path: str) -> schemas.RouteSettings | None:
        """Return the route that matches a request, ``None`` if none does."""
        if self._routes is None:
            return None
        return self._routes.match(method, path)

    def find_service(
        self,
        service: identifiers.ServiceName,
    ) -> schemas.ServiceSettings | None:
        """Return the settings of a service, ``None`` if it is unknown."""
        if self.settings is None:
            return None
        return self.settings.services.get(service)

    def apply(
        self,
        delta: messages.Struct,
    ) -> result.Result[int, failures.Failure]:
        """Apply a ``ConfigurationDelta`` that leads to a higher version.

        A delta that starts from a version other than the active one is refused,
        because the result would be a configuration that was never accepted.

        :returns: the new version; a :class:`StaleDelta` or
            :class:`MissingMember` if the delta is not applied.
        """
        if delta.to_version <= self.version:
            return result.Failure(StaleDelta(delta.to_version, self.version))
        if delta.from_version not in {0, self.version}:
            return result.Failure(StaleDelta(delta.from_version, self.version))
        texts = deltas.apply_delta(self._texts, delta)
        return self._activate(texts, delta.to_version)

    def read_delta(self, known_version: int) -> messages.Struct:
        """Return a ``ConfigurationDelta`` for a peer.

        It contains the full configuration if the peer has an older version, and
        is empty otherwise.
        """
        if self.version <= known_version:
            return messages.structs.ConfigurationDelta(
                from_version=known_version,
                to_version=known_version,
                sections=[],
            )
        return deltas.create_full(self._texts, self.version)

    def _activate(
        self,
        texts: dict[str, str],
        version: int,
    ) -> result.Result[int, failures.Failure]:
        settings = self._loader.load(texts).value_or({}).get(self._member)
        if settings is None:
            _LOGGER.error(
                'configuration has no settings for this member',
                extra={'version': version, 'member': self._member},
            )
            return result.Failure(MissingMember(self._member))
        self._texts = texts
        self._routes = routes.create_route_table(settings)
        self.workspaces = directories.create_directory(
            settings.workspaces, version
        )
        self.settings = settings
        self.version = identifiers.ConfigurationVersion(version)
        _LOGGER.info('configuration in force', extra={'version': version})
        for listener in self.listeners:
            listener(settings)
        return result.Success(version)
