"""HTTP server of a replica for the calls of upstreams and operators."""

import asyncio
import json
import typing

import logbook

from wagtailspread.core import identifiers
from wagtailspread.entry import bodies, heads, holdings, sites, web
from wagtailspread.platform import documents, heartbeats, names, values
from wagtailspread.registry import records, services
from wagtailspread.replica import documents as replicated

#: Maximum size of a request body, in bytes. A configuration of 11,000 routes
#: takes about 2 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
#: Maximum size of the body of a call of an upstream, in bytes. A heartbeat
#: takes less than 1 KB.
MAX_CALL_BYTES = 64 * 1024
#: Timeout for the next bytes of a body, in seconds.
IDLE_SECONDS = 15.0
#: Maximum time of a body, in seconds. A link of 1.6 Mbit/s carries the largest
#: one in 84 s.
BODY_SECONDS = 120.0

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503

#: Characters of the id of an upstream in a log line about a malformed call.
_LOGGED_ID_LENGTH = 64

_log = logbook.Logger('control')


class ControlServer:
    """Translates HTTP requests to calls of the registry and the document.

    :param find_document: returns the current document service, if any.
    :param malformed_calls: number of calls of upstreams that were refused as
        malformed since the start.
    """

    def __init__(
        self,
        registry: services.RegistryService,
        find_document: typing.Callable[[], replicated.DocumentService | None],
        memory_bytes: int | None = None,
    ) -> None:
        """Create a server that is not listening.

        :param memory_bytes: memory of the process; ``None`` if unknown.
        """
        self.malformed_calls = 0
        self._registry = registry
        self._find_document = find_document
        # A change that has begun is completed when its operator leaves.
        self._site = sites.create_site(
            self._handle, heads.DEFAULT_LIMITS, is_cancelling=False
        )
        self._site.budget.total_bytes = holdings.compute_total(memory_bytes)
        self._address = identifiers.Address('')

    async def start(self, address: identifiers.Address) -> None:
        """Listen on ``address``; the port is the same at all replicas."""
        self._address = address
        await self._site.start(address)

    async def close(self) -> None:
        """Close all connections."""
        await self._site.close()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if path == names.GET_PATH:
            return await self._read_document()
        if request.method != 'POST':
            return web.Response(status=_NOT_FOUND)
        is_call = path.startswith(names.INSTANCES_PREFIX)
        if not is_call and path != names.PUT_PATH:
            return web.Response(status=_NOT_FOUND)
        limit = MAX_CALL_BYTES if is_call else MAX_BODY_BYTES
        body = await _read_body(request, limit)
        if body.fault is not None:
            return web.Response(status=body.fault.status)
        if is_call:
            instance_path = path.removeprefix(names.INSTANCES_PREFIX)
            return await self._handle_instance(instance_path, body.prefix)
        return await self._put_document(body.prefix)

    async def _handle_instance(
        self,
        instance_path: str,
        body: bytes,
    ) -> web.StreamResponse:
        upstream, _, call = instance_path.partition('/')
        try:
            if f'/{call}' == names.HEARTBEAT_SUFFIX:
                record = heartbeats.decode(upstream, body)
            elif f'/{call}' == names.LEAVE_SUFFIX:
                record = self._create_departure(upstream, body)
            else:
                return web.Response(status=_NOT_FOUND)
        except values.FormatError as error:
            self.malformed_calls += 1
            _log.info(
                'call malformed',
                extra={
                    'upstream': upstream[:_LOGGED_ID_LENGTH],
                    'reason': str(error),
                    'count': self.malformed_calls,
                },
            )
            return web.Response(status=_BAD_REQUEST)
        if record.state is records.UpstreamState.READY:
            self._registry.register(record)
            return self._confirm_heartbeat(record)
        if await self._registry.register_departure(record):
            return _answer_json({})
        return web.Response(status=_UNAVAILABLE)

    def _confirm_heartbeat(
        self,
        record: records.UpstreamRecord,
    ) -> web.StreamResponse:
        """Confirm a heartbeat.

        The answer has the address of a replica in the failure domain of the
        upstream, if one is reachable.
        """
        replica = self._registry.find_replica_in_domain(record.domain)
        if replica is None:
            return _answer_json({})
        ip = replica.rpartition(':')[0]
        port = self._address.rpartition(':')[2]
        return _answer_json({'heartbeatUrl': f'{ip}:{port}'})

    def _create_departure(
        self,
        upstream: str,
        body: bytes,
    ) -> records.UpstreamRecord:
        """Return the record of an upstream that leaves without draining."""
        record = self._registry.create_departure(
            identifiers.UpstreamId(upstream),
            heartbeats.decode_leave(body),
        )
        heartbeats.check_ranges(record)
        return record

    async def _put_document(self, body: bytes) -> web.StreamResponse:
        settings = documents.read_valid(body)
        if settings is None:
            return web.Response(status=_BAD_REQUEST)
        service = self._find_document()
        if service is not None and await service.put(settings.version, body):
            return _answer_json({})
        return web.Response(status=_UNAVAILABLE)

    async def _read_document(self) -> web.StreamResponse:
        service = self._find_document()
        document = None if service is None else await service.read()
        if document is None:
            return web.Response(status=_UNAVAILABLE)
        return web.Response(
            body=document.body,
            content_type='application/json',
        )


async def _read_body(
    request: web.BaseRequest,
    limit: int,
) -> bodies.RequestBody:
    """Return the body, which has a fault if it was not received in full."""
    end = asyncio.get_running_loop().time() + BODY_SECONDS
    body = bodies.RequestBody(
        request.content, limit, IDLE_SECONDS, end, limit + 1
    )
    if (request.content_length or 0) > limit:
        body.refuse()
    else:
        body.fault = await body.read_prefix()
    return body


def _answer_json(fields: dict[str, str]) -> web.Response:
    return web.Response(
        text=json.dumps(fields),
        content_type='application/json',
        status=_OK,
    )
