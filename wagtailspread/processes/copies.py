"""A host's copy of the configuration in force.

The copy only moves to higher versions. It is written to the host's folder, if
it has one, so that a restart begins with it.
"""

import json
import os
import pathlib
import random
import typing

from wagtailspread.configuration import deltas, loaders, routes, schemas
from wagtailspread.core import identifiers
from wagtailspread.observability import logs
from wagtailspread.wire import messages

_LOGGER = logs.get_logger('configuration')
_FORMAT = 1
_FILE_NAME = 'configuration.json'

#: Called after a new version is in force.
ChangeListener = typing.Callable[[schemas.Settings], None]


class ConfigurationCopy:
    """Files, settings and routes of the version in force on this host.

    :param member: the site whose effective settings apply.
    :param trusted_keys: keys of members until a configuration is known.
    """

    def __init__(
        self,
        member: identifiers.MemberId,
        trusted_keys: dict[identifiers.MemberId, bytes],
        folder: pathlib.Path | None,
    ) -> None:
        """Start without a version."""
        self.version = identifiers.ConfigurationVersion(0)
        self.settings: schemas.Settings | None = None
        self.listeners: list[ChangeListener] = []
        self._member = member
        self._trusted_keys = trusted_keys
        self._folder = folder
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

    def apply(self, delta: messages.Struct) -> bool:
        """Take a delta and tell whether the version rose.

        A delta that starts from another version than the one in force is not
        applied; the host then asks for the full text.
        """
        if delta.to_version <= self.version:
            return False
        if delta.from_version not in {0, self.version}:
            return False
        texts = deltas.apply_delta(self._texts, delta)
        if not self._adopt(texts, delta.to_version):
            return False
        self._save()
        return True

    def delta_since(self, version: int) -> messages.Struct:
        """Return the full text for a peer that has an older version."""
        if self.version <= version:
            return messages.structs.ConfigurationDelta(
                from_version=version,
                to_version=version,
                sections=[],
            )
        return deltas.create_full(self._texts, self.version)

    def load(self) -> None:
        """Begin with the copy in the host's folder, if there is one."""
        if self._folder is None:
            return
        path = self._folder / _FILE_NAME
        if not path.exists():
            return
        try:
            saved = json.loads(path.read_text('utf-8'))
            texts, version = saved['texts'], saved['version']
        except (ValueError, KeyError, TypeError):
            _LOGGER.warning('saved configuration is unreadable')
            return
        if saved.get('format') == _FORMAT:
            self._adopt(texts, version)

    def _adopt(self, texts: dict[str, str], version: int) -> bool:
        checked = self._loader.load(texts)
        settings = checked.value_or({}).get(self._member)
        if settings is None:
            _LOGGER.error(
                'configuration has no settings for this member',
                extra={'version': version, 'member': self._member},
            )
            return False
        self._texts = texts
        self._routes = routes.create_route_table(settings)
        self.settings = settings
        self.version = identifiers.ConfigurationVersion(version)
        _LOGGER.info('configuration in force', extra={'version': version})
        for listener in self.listeners:
            listener(settings)
        return True

    def _save(self) -> None:
        if self._folder is None:
            return
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / _FILE_NAME
        # A random name keeps two processes on one folder from mixing writes.
        partial = path.with_suffix(f'.{random.getrandbits(32):08x}')
        text = json.dumps(
            {
                'format': _FORMAT,
                'version': self.version,
                'texts': self._texts,
            }
        )
        with partial.open('w', encoding='utf-8') as stream:
            stream.write(text)
            stream.flush()
            os.fsync(stream.fileno())
        partial.replace(path)
