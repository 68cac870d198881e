"""Schema of the sections: keys, quantities, limits and defaults."""

import dataclasses
import typing

from wagtailspread.configuration import units

PRIORITY_NAMES = ('urgent', 'standard', 'bulk')

#: Methods that a route may accept.
KNOWN_METHODS = (
    'GET',
    'HEAD',
    'OPTIONS',
    'PUT',
    'DELETE',
    'POST',
    'PATCH',
)
#: Methods that HTTP does not define as idempotent (RFC 9110, section 9.2.2).
UNSAFE_METHODS = frozenset(('POST', 'PATCH'))

#: Reserved prefix of the paths that the entry hosts answer themselves.
RESERVED_PREFIX = '/-'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRule:
    """Valid values of a key.

    :param quantity: quantity of a number; ``None`` for text.
    :param default: text used when the key is absent; ``None`` if the key is
        required.
    :param low: minimum, as text with its unit.
    :param high: maximum, as text with its unit.
    :param is_overridable: whether an overlay may set the key.
    :param description: description of a text value, for messages.
    """

    key: str
    quantity: units.Quantity | None = None
    default: str | None = None
    low: str = ''
    high: str = ''
    is_overridable: bool = False
    description: str = 'a text'

    def describe(self) -> str:
        """Return a description of valid values, for messages."""
        if self.quantity is None:
            return self.description
        quantity = self.quantity.describe()
        return f'{quantity}, from {self.low} to {self.high}'


class SectionKind(typing.NamedTuple):
    """A kind of section.

    :param kind: first word of the header.
    :param is_named: whether the header has a name after the kind.
    :param rules: rules of the keys that the section may contain.
    """

    kind: str
    is_named: bool
    rules: tuple[KeyRule, ...]

    def find(self, key: str) -> KeyRule | None:
        """Return the rule of a key, if there is one."""
        for rule in self.rules:
            if rule.key == key:
                return rule
        return None

    def header(self) -> str:
        """Return the header with brackets, for messages."""
        return f'[{self.kind} NAME]' if self.is_named else f'[{self.kind}]'

    def keys(self) -> tuple[str, ...]:
        """Return the names of the keys."""
        return tuple(rule.key for rule in self.rules)


def _create_text(
    key: str, description: str, default: str | None = None
) -> KeyRule:
    return KeyRule(key, default=default, description=description)


def _create_share(
    key: str, default: str, is_overridable: bool = False
) -> KeyRule:
    return KeyRule(key, units.SHARE, default, '0%', '100%', is_overridable)


def _create_duration(
    key: str,
    default: str,
    low: str,
    high: str,
    is_overridable: bool = False,
) -> KeyRule:
    return KeyRule(key, units.DURATION, default, low, high, is_overridable)


def _create_queue(priority: str) -> KeyRule:
    return KeyRule(
        f'queue_{priority}',
        units.COUNT,
        default='64',
        low='0',
        high='100000',
        is_overridable=True,
    )


FLEET = SectionKind(
    'fleet',
    is_named=False,
    rules=(_create_text('name', 'the name of the fleet'),),
)
MEMBER = SectionKind(
    'member',
    is_named=True,
    rules=(
        _create_text('public_key', 'an Ed25519 public key in base64'),
        _create_text('contact', 'whom to ask', default=''),
    ),
)
REGION = SectionKind(
    'region',
    is_named=True,
    rules=(
        _create_text('domains', 'the failure domains of the region'),
        KeyRule('hosts', units.COUNT, low='1', high='100000'),
        KeyRule('link', units.RATE, low='1kbit/s', high='1000Gbit/s'),
        KeyRule('tie_breaker', default=''),
    ),
)
SERVICE = SectionKind(
    'service',
    is_named=True,
    rules=(
        _create_share('floor', '60%'),
        _create_share('share_urgent', '60%', is_overridable=True),
        _create_share('share_standard', '30%', is_overridable=True),
        _create_share('share_bulk', '10%', is_overridable=True),
        _create_queue('urgent'),
        _create_queue('standard'),
        _create_queue('bulk'),
        _create_duration('deadline', '2s', '10ms', '1h', is_overridable=True),
        KeyRule('max_body', units.SIZE, '1MiB', '0B', '16GiB', True),
        _create_duration('warm_up', '10s', '0s', '1h', is_overridable=True),
        _create_share('retry_share', '10%'),
        _create_duration('quarantine', '60s', '1s', '24h'),
        _create_duration('key_lifetime', '24h', '1min', '30d'),
    ),
)
ROUTE = SectionKind(
    'route',
    is_named=True,
    rules=(
        _create_text('service', 'the name of a service'),
        _create_text('path', 'an absolute path, such as /columns'),
        _create_text('methods', 'HTTP methods', default='GET HEAD'),
        _create_text(
            'priority', 'urgent, standard or bulk', default='standard'
        ),
        _create_text('idempotent', 'yes or no', default=''),
    ),
)
WORKSPACE = SectionKind(
    'workspace',
    is_named=True,
    rules=(
        _create_text('keys', 'SHA-256 digests of keys in hex'),
        _create_text('priority', 'urgent, standard or bulk', default=''),
        KeyRule('rate', units.NUMBER, default='0', low='0', high='1000000'),
        KeyRule('burst', units.NUMBER, default='0', low='0', high='1000000'),
    ),
)
_AGREEMENT_RULES = (
    _create_text('digest', 'the digest of the member section'),
    _create_text('membership', 'the digest of the members in force'),
)
APPROVAL = SectionKind('approval', is_named=True, rules=_AGREEMENT_RULES)
REMOVAL = SectionKind('removal', is_named=True, rules=_AGREEMENT_RULES)
LEAVE = SectionKind('leave', is_named=False, rules=())
OVERRIDE = SectionKind(
    'service',
    is_named=True,
    rules=tuple(rule for rule in SERVICE.rules if rule.is_overridable),
)

BASE_KINDS = (FLEET, MEMBER, REGION, SERVICE, ROUTE, WORKSPACE)
OVERLAY_KINDS = (OVERRIDE, APPROVAL, REMOVAL, LEAVE)
