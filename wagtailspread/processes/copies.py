"""A host's copy of the configuration in force.

The copy only moves to higher versions.

See also: :mod:`wagtailspread.entry.subscriptions` keeps it up to date.
"""

import dataclasses
import typing

from returns import result

from wagtailspread.configuration import deltas, loaders, routes, schemas
from wagtailspread.core import failures, identifiers
from wagtailspread.observability import logs
from wagtailspread.wire import messages

_LOGGER = logs.get_logger('configuration')

#: Called after a new version is in force.
ChangeListener = typing.Callable[[schemas.Settings], None]


@dataclasses.dataclass(frozen=True, slots=True)
class StaleDelta(failures.Failure):
    """A delta that does not continue the version in force."""

    version: int
    in_force: int


@dataclasses.dataclass(frozen=True, slots=True)
class MissingMember(failures.Failure):
    """A configuration without settings for the host's member."""

    member: identifiers.MemberId


class ConfigurationCopy:
    """Files, settings and routes of the version in force on this host.

    :param member: the site whose effective settings apply.
    :param trusted_keys: keys of members until a configuration is known.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted_keys: dict[identifiers.MemberId, bytes],
    ) -> None:
        """Start without a version."""
        self.version = identifiers.ConfigurationVersion(0)
        self.settings: schemas.Settings | None = None
        self.listeners: list[ChangeListener] = []
        self._member = member
        self._trusted_keys = trusted_keys
        self._texts: dict[str, str] = {}
        self._loader = loaders.create_loader()
        self._routes: routes.RouteTable | None = None

    def find_key(self, member: identifiers.MemberId) -> bytes | None:
        """Return the public key of an approved member."""
        if self.settings is None:
            return self._trusted_keys.get(member)
        found = self.settings.members.get(member)
        return found.public_key if found else None

    def match(self, method: str, path: str) -> schemas.RouteSettings | None:
        """Return the route of a request, or ``None``."""
        if self._routes is None:
            return None
        return self._routes.match(method, path)

    def find_service(
        self,
        service: identifiers.ServiceName,
    ) -> schemas.ServiceSettings | None:
        """Return the settings of a service, or ``None`` if unknown."""
        if self.settings is None:
            return None
        return self.settings.services.get(service)

    def apply(
        self,
        delta: messages.Struct,
    ) -> result.Result[int, failures.Failure]:
        """Put a delta in force if it leads to a higher version.

        A delta that starts from another version than the one in force would
        give a configuration that was never accepted, and is refused.
        """
        if delta.to_version <= self.version:
            return result.Failure(StaleDelta(delta.to_version, self.version))
        if delta.from_version not in {0, self.version}:
            return result.Failure(StaleDelta(delta.from_version, self.version))
        texts = deltas.apply_delta(self._texts, delta)
        return self._adopt(texts, delta.to_version)

    def read_delta(self, known_version: int) -> messages.Struct:
        """Return the full text for a peer that has an older version."""
        if self.version <= known_version:
            return messages.structs.ConfigurationDelta(
                from_version=known_version,
                to_version=known_version,
                sections=[],
            )
        return deltas.create_full(self._texts, self.version)

    def _adopt(
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
        self.settings = settings
        self.version = identifiers.ConfigurationVersion(version)
        _LOGGER.info('configuration in force', extra={'version': version})
        for listener in self.listeners:
            listener(settings)
        return result.Success(version)
