"""Invalid responses of upstreams on the request path of the gateway."""

import asyncio

import pytest

from wagtailspread.entry.tests import odd_exchanges
from wagtailspread.gateway.tests import raw_upstreams, test_servers
from wagtailspread.testing import invalid_responses

_OWN_HEADERS = b'Attempt-Id: a1\r\nResponse-Signature: s1\r\n'
_FIELDS = ('Host: a.example', 'Attempt-Id: a1', 'Deadline-Ms: 3000')


def create_script(name, ending, *, is_early):
    """Return a script that sends an invalid response to some requests.

    :param is_early: whether it does not read the body of the request.
    """
    response = invalid_responses.INVALID_RESPONSES[name]

    async def answer(reader, writer, head):
        if '/a/good' in head:
            return await raw_upstreams.reply()(reader, writer, head)
        if not is_early:
            await raw_upstreams.read_body(reader, head)
        writer.write(invalid_responses.write(response, _OWN_HEADERS))
        await writer.drain()
        await asyncio.sleep(0.05)
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
    script = create_script(name, ending, is_early=is_upload)
    async with test_servers.run_upstreams(script) as upstreams:
        async with test_servers.run_server(upstreams) as (_, base):
            address = base.partition('//')[2]
            target = odd_exchanges.Target(address, '/a/', _FIELDS)
            received = await odd_exchanges.receive(
                target, kind, is_upload=is_upload
            )
    assert not invalid_responses.is_complete_success(received)
    assert not any(one in received[:20] for one in odd_exchanges.PROMISES)
