"""Invalid responses of upstreams on the request path of the entry hosts."""

import asyncio

import pytest

from wagtailspread.entry.tests import fleets, odd_exchanges, test_exchanges
from wagtailspread.gateway.tests import raw_upstreams
from wagtailspread.testing import invalid_responses

_FIELDS = ('Host: h', 'Wagtailspread-Deadline-Ms: 3000')
_LINGER_SECONDS = 0.05


def create_script(name, ending):
    """Return a script that sends an invalid response to some requests.

    It does not read the body of the request.
    """
    response = invalid_responses.INVALID_RESPONSES[name]

    async def answer(upstream, reader, writer):
        head = await upstream.read_head(reader)
        while b'/vitrina/good' in head:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            head = await upstream.read_head(reader)
        writer.write(invalid_responses.write(response, b''))
        await writer.drain()
        await asyncio.sleep(_LINGER_SECONDS)
        if ending is invalid_responses.Ending.RESET:
            raw_upstreams.abort(writer)

    return answer


@pytest.mark.parametrize('kind', odd_exchanges.KINDS)
@pytest.mark.parametrize('is_upload', [False, True], ids=['short', 'upload'])
@pytest.mark.parametrize(('name', 'ending'), invalid_responses.list_cases())
async def test_invalid_response_is_not_passed_on_as_complete(
    name, ending, is_upload, kind
):
    """Guards against a part that a client takes for the whole response."""
    script = create_script(name, ending)
    async with fleets.start_fleet() as (hosts, upstreams):
        await test_exchanges.start_script(hosts[0], upstreams, script)
        target = odd_exchanges.Target(hosts[0].address, '/vitrina/', _FIELDS)
        received = await odd_exchanges.receive(
            target, kind, is_upload=is_upload
        )
    assert not invalid_responses.is_complete_success(received)
    assert not any(one in received[:20] for one in odd_exchanges.PROMISES)
