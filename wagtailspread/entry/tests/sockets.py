"""Raw HTTP over loopback sockets, for input that HTTP clients cannot send."""

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True)
class RawAnswer:
    """An answer as it was received; header names are in lower case."""

    status: int
    headers: dict
    body: bytes


def parse_answer(raw):
    head, _, body = raw.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    fields = [line.partition(':') for line in lines]
    headers = {name.lower(): text.strip() for name, _, text in fields}
    return RawAnswer(int(first.split()[1]), headers, body)


async def send_raw(address, raw, timeout=3.0):
    """Send bytes and return everything received until the connection ends."""
    ip, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(raw)
    try:
        async with asyncio.timeout(timeout):
            return await reader.read()
    finally:
        writer.close()


async def request_raw(address, raw, timeout=3.0):
    return parse_answer(await send_raw(address, raw, timeout))


class ScriptedUpstream:
    """Upstream that runs a script for each connection."""

    def __init__(self, script):
        self.connections = 0
        self.requests = 0
        self._script = script

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self._script(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def read_head(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        return head
