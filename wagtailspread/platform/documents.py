"""Decodes the platform's configuration into routes, limits and workspaces."""

import typing

from wagtailspread.core import identifiers
from wagtailspread.platform import values
from wagtailspread.routing import terms
from wagtailspread.wire import messages
from wagtailspread.workspaces import caps, keys

#: Value of a timeout or an objective that a route does not have.
_NO_LIMIT: float | None = None
#: Largest weight of a part; the sum of many such weights is exact enough.
_MAX_WEIGHT = float(messages.MAX_I32)
#: Maximum length of the name of a workspace, in bytes of UTF-8. The name is
#: sent in a header and with each placement request.
_MAX_NAME_BYTES = 255


def decode_version(body: bytes) -> int:
    """Return the version of a document.

    :raises values.FormatError: if the document or its version is malformed.
    """
    return values.read_integer(values.read_object(body), 'version')


def decode(body: bytes) -> terms.RoutingSettings:
    """Return the routes and limits in a document.

    :raises values.FormatError: if a field is missing or malformed.
    """
    fields = values.read_object(body)
    routes: list[terms.Route] = []
    for host in values.read_objects(fields, 'virtualHosts'):
        name = values.read_text(host, 'host')
        for route in values.read_objects(host, 'pathRoutes'):
            routes.append(_decode_route(name, route))
    services = values.read_objects(fields, 'services')
    version = values.read_integer(fields, 'version')
    return terms.RoutingSettings(
        version=version,
        routes=tuple(routes),
        connections=dict(map(_decode_service, services)),
        limits=_decode_limits(fields.get('limits')),
        workspaces=_decode_workspaces(fields, version),
    )


def read_valid(body: bytes) -> terms.RoutingSettings | None:
    """Return the routes and limits in a document, ``None`` if invalid."""
    try:
        settings = decode(body)
    except values.FormatError:
        return None
    return settings if terms.find_fault(settings) is None else None


def list_services(body: bytes) -> frozenset[identifiers.ServiceName] | None:
    """Return the services that a document names, ``None`` if malformed."""
    try:
        services = values.read_objects(values.read_object(body), 'services')
        return frozenset(dict(map(_decode_service, services)))
    except values.FormatError:
        return None


def _decode_service(
    fields: dict[str, typing.Any],
) -> tuple[identifiers.ServiceName, int]:
    name = identifiers.ServiceName(values.read_text(fields, 'name'))
    connections = values.read_integer(
        fields, 'maxConnections', messages.MAX_I32
    )
    return name, connections


def _decode_limits(fields: typing.Any) -> terms.CallerLimits:
    if fields is None:
        return terms.CallerLimits()
    if not isinstance(fields, dict):
        raise values.create_error('limits', 'an object', fields)
    return terms.CallerLimits(
        header_bytes=values.read_integer(fields, 'maxHeaderBytes'),
        body_bytes=values.read_integer(fields, 'maxBodyBytes'),
        header_seconds=values.read_seconds(fields.get('headerTimeout')),
        idle_seconds=values.read_seconds(fields.get('idleTimeout')),
    )


def _decode_route(
    host: str,
    fields: dict[str, typing.Any],
) -> terms.Route:
    try:
        kind = terms.RequestKind(fields.get('kind'))
    except ValueError as error:
        raise values.create_error(
            'kind',
            'safe, unsafe or upload',
            fields.get('kind'),
        ) from error
    prefix = (
        ''
        if fields.get('pathPrefix') == ''
        else values.read_text(fields, 'pathPrefix')
    )
    return terms.Route(
        name=values.read_text(fields, 'name'),
        host=host,
        prefix=prefix,
        kind=kind,
        parts=_decode_parts(fields),
        max_attempts=values.read_integer(
            fields, 'maxAttempts', messages.MAX_I32
        ),
        priority=_decode_priority(fields),
        timeout=_decode_duration(fields, 'timeout'),
        # The platform calls the objective an SLO's latency.
        objective=_decode_duration(fields, 'sloLatency'),
        allows_anonymous=_decode_flag(fields, 'allowAnonymous'),
    )


def _decode_priority(fields: dict[str, typing.Any]) -> int:
    if fields.get('priority') is None:
        return 0
    priority = int(values.read_number(fields, 'priority'))
    if not messages.is_integer(priority, -messages.MAX_I16, messages.MAX_I16):
        raise values.create_error(
            'priority', f'at most {messages.MAX_I16}', priority
        )
    return priority


def _decode_flag(fields: dict[str, typing.Any], name: str) -> bool:
    found = fields.get(name)
    if found is None:
        return False
    if not isinstance(found, bool):
        raise values.create_error(name, 'true or false', found)
    return found


def _decode_workspaces(
    fields: dict[str, typing.Any],
    version: int,
) -> tuple[terms.Workspace, ...]:
    # The platform calls a workspace a tenant.
    if fields.get('tenants') is None:
        return ()
    return tuple(
        _decode_workspace(tenant, version)
        for tenant in values.read_objects(fields, 'tenants')
    )


def _decode_workspace(
    fields: dict[str, typing.Any],
    version: int,
) -> terms.Workspace:
    name = values.read_text(fields, 'name')
    if not messages.is_text(name, 1, _MAX_NAME_BYTES):
        # A line break would end the header that carries the name.
        raise values.create_error(
            'name', f'at most {_MAX_NAME_BYTES} bytes of printable text', name
        )
    return terms.Workspace(
        name=identifiers.WorkspaceName(name),
        digests=_decode_keys(fields.get('apiKeys')),
        priority=_decode_workspace_priority(fields),
        cap=caps.Cap(
            rate=_decode_amount(fields, 'ratePerS'),
            burst=_decode_amount(fields, 'burst'),
            version=version,
        ),
    )


def _decode_keys(found: typing.Any) -> tuple[keys.KeyDigest, ...]:
    """Return the digests of the keys in a list.

    No error contains a value of the list or the field, since it may be a key.
    """
    if not isinstance(found, list):
        raise values.FormatError('apiKeys: expected a list of texts')
    digests: dict[keys.KeyDigest, None] = {}
    for key in found:
        try:
            values.read_text({'key': key}, 'key')
        except values.FormatError:
            raise values.FormatError(
                'apiKeys: expected only non-empty texts in the list'
            ) from None
        digests[keys.compute_digest(key)] = None
    return tuple(digests)


def _decode_workspace_priority(fields: dict[str, typing.Any]) -> int | None:
    if fields.get('priority') is None:
        return None
    number = values.read_number(fields, 'priority')
    if number < 0 or not number.is_integer():
        raise values.create_error('priority', 'a non-negative integer', number)
    return _decode_priority(fields)


def _decode_amount(fields: dict[str, typing.Any], name: str) -> float:
    """Return a part of a cap; 0 if the field is absent."""
    if fields.get(name) is None:
        return 0.0
    amount = values.read_number(fields, name)
    if amount < 0:
        raise values.create_error(name, 'a non-negative number', amount)
    return amount


def _decode_duration(
    fields: dict[str, typing.Any],
    name: str,
) -> float | None:
    if fields.get(name) is None:
        return _NO_LIMIT
    return values.read_seconds(fields[name])


def _decode_parts(
    fields: dict[str, typing.Any],
) -> tuple[terms.SplitPart, ...]:
    if fields.get('trafficSplit') is None:
        service = values.read_text(fields, 'service')
        return (terms.SplitPart(identifiers.ServiceName(service), 1.0),)
    return tuple(
        terms.SplitPart(
            identifiers.ServiceName(values.read_text(part, 'service')),
            _decode_weight(part),
        )
        for part in values.read_objects(fields, 'trafficSplit')
    )


def _decode_weight(fields: dict[str, typing.Any]) -> float:
    weight = values.read_number(fields, 'weight')
    if weight > _MAX_WEIGHT:
        raise values.create_error('weight', f'at most {_MAX_WEIGHT}', weight)
    return weight
