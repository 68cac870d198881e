"""Connection of the configuration commands to the replicas."""

import asyncio
import dataclasses
import importlib
import pathlib
import typing

import click

from returns import result

from wagtailspread.configuration import deltas, loaders, schemas
from wagtailspread.core import failures, identifiers
from wagtailspread.wire import credentials, links, messages, signing

#: Role of an operator's tool on connections of the fleet's internal protocol.
ROLE = 'operator'

_Command = typing.TypeVar('_Command', bound=typing.Callable[..., typing.Any])
CallResult = result.Result[messages.Struct, failures.Failure]


class ConfigurationClient(typing.Protocol):
    """Client of the replicas, as far as the commands use it."""

    async def fetch_configuration(
        self,
        known_version: int,
        wait: float,
    ) -> CallResult:
        """Return the ``ConfigurationDelta`` from a version.

        :param wait: longest time to wait for a newer version, in seconds.
        """

    async def submit(self, submission: messages.Struct) -> CallResult:
        """Return the ``SubmissionAnswer`` to a ``Submission``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Member that connects to the replicas, with the keys of both sides.

    :param addresses: addresses of replicas; the client discovers the others
        through them.
    :param key: private key of the member in PEM.
    :param trusted_keys: raw public keys of the members that run replicas.
    """

    addresses: tuple[identifiers.Address, ...]
    member: identifiers.MemberId
    key: bytes
    trusted_keys: typing.Mapping[identifiers.MemberId, bytes]


#: Creates a client; tests replace it through the context of the commands.
Connector = typing.Callable[[Identity], ConfigurationClient]


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveConfiguration:
    """The active configuration, as fetched from the replicas.

    :param texts: texts by file name, including the members file.
    """

    version: int
    texts: dict[str, str]


def connect(identity: Identity) -> ConfigurationClient:
    """Return a client of the replicas without sending anything."""
    local_credentials = credentials.Credentials(
        credentials.Peer(
            identity.member,
            identifiers.HostId(ROLE),
            ROLE,
        ),
        signing.load_key(identity.key),
    )
    directory = credentials.FixedDirectory(dict(identity.trusted_keys))
    pool = links.LinkPool(local_credentials, directory)
    clients = importlib.import_module('wagtailspread.replica.clients')
    return clients.create_client(identity.addresses, pool)


#: Options of all commands that connect to replicas; see :class:`Options`.
OPTIONS = (
    click.option(
        '--replica',
        'replicas',
        multiple=True,
        metavar='IP:PORT',
        help='Address of a replica; may be given several times.',
    ),
    click.option('--member', help='Name of your member.'),
    click.option(
        '--key',
        'key_path',
        type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
        help="The member's private key, as written by keygen.",
    ),
    click.option('--json', 'is_json', is_flag=True, help='Print JSON.'),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Values of the options of all commands that connect to replicas."""

    replicas: tuple[str, ...]
    member: str | None
    key_path: pathlib.Path | None
    is_json: bool

    def create_identity(self, texts: typing.Mapping[str, str]) -> Identity:
        """Return the identity that the options describe.

        :param texts: texts by file name; the base file contains the keys of
            the replicas' members.
        :raises click.UsageError: if an option is missing, or if the key file
            contains no Ed25519 key.
        """
        if not self.replicas or not self.member or self.key_path is None:
            raise click.UsageError('--replica, --member and --key are needed')
        key = self.key_path.read_bytes()
        try:
            signing.load_key(key)
        except (TypeError, ValueError) as error:
            raise click.UsageError(
                f'{self.key_path} is not an Ed25519 private key in PEM',
            ) from error
        return Identity(
            tuple(identifiers.Address(address) for address in self.replicas),
            identifiers.MemberId(self.member),
            key,
            _read_keys(texts),
        )


def add_options(
    *options: typing.Callable[[_Command], _Command],
) -> typing.Callable[[_Command], _Command]:
    """Return a decorator that adds the options to a command in order."""

    def decorate(command: _Command) -> _Command:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


def fetch_active(
    identity: Identity,
    connector: Connector | None,
) -> ActiveConfiguration:
    """Fetch the active configuration from the replicas.

    :param connector: ``None`` for :func:`connect`.
    :raises click.ClickException: if no replica answers.
    """
    client = (connector or connect)(identity)
    fetched = asyncio.run(_fetch(client))
    if isinstance(fetched, result.Failure):
        described = fetched.failure().describe()
        raise click.ClickException(f'no replica answered: {described}')
    delta = fetched.unwrap()
    return ActiveConfiguration(delta.to_version, deltas.apply_delta({}, delta))


async def _fetch(client: ConfigurationClient) -> CallResult:
    return await client.fetch_configuration(0, 0)


def _read_keys(
    texts: typing.Mapping[str, str],
) -> dict[identifiers.MemberId, bytes]:
    base = {schemas.BASE_FILE: texts.get(schemas.BASE_FILE, '')}
    sites = loaders.load_settings(base).value_or({})
    return {
        name: member.public_key
        for settings in sites.values()
        for name, member in settings.members.items()
    }
