"""Clients get a success with a body that is not the target's whole body."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness

TARGETS = 10
#: Part of the targets that spoil answers, and one of how many answers.
SPOILING = 4
EVERY = 44
REQUESTS = 1600
PARALLEL = 20
PATH = '/lepu270/2f/ms20'
DEADLINE_MS = 4000
#: Sizes of the chunks of an answer.
CHUNKS = (200, 150, 50)


class ChunkingTarget(harness.Target):
    """A target that answers in chunks, as HTTP/1.1 allows.

    A faulty one leaves out the last byte of a chunk in some of its answers: the
    answer is truncated within.
    """

    def __init__(self, *settings, spoils):
        super().__init__(*settings)
        self.spoils = spoils
        self.count = 0
        self.bodies = {}

    def answer(self, writer, attempt):
        body = create_body(attempt)
        self.count += 1
        is_spoilt = self.spoils and self.count % EVERY == 0
        lines = [
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {attempt}',
            f'Response-Signature: s.{attempt}',
            'Transfer-Encoding: chunked',
        ]
        writer.write('\r\n'.join((*lines, '', '')).encode())
        start = 0
        for number, size in enumerate(CHUNKS):
            piece = body[start : start + size]
            start += size
            if is_spoilt and number == 1:
                piece = piece[:-1]
            writer.write(f'{size:x}\r\n'.encode() + piece + b'\r\n')
        writer.write(b'0\r\n\r\n')
        return 'spoilt' if is_spoilt else 'answered'


def create_body(attempt):
    """Return the body of the whole answer to a request."""
    return (f'{attempt}:' + 'layout ' * 80).encode()[: sum(CHUNKS)]


async def play(record, has_trouble):
    fleet = harness.Fleet(replicas=3, hosts=2)
    arrivals = []
    zones = list(harness.ZONES)
    targets = [
        ChunkingTarget(
            f'i-{number}',
            'huvo11a',
            f'127.{fleet.network}.3.{number + 1}',
            zones[number % len(zones)],
            record,
            arrivals,
            6,
            spoils=has_trouble and number < SPOILING,
        )
        for number in range(TARGETS)
    ]
    route = harness.create_route(
        'r-lookup', '/lepu270/', 'safe', 'huvo11a', 2000, 800
    )
    configuration = harness.create_configuration(7, [route], ['huvo11a'])
    answers = {}
    try:
        await harness.set_up(
            record, fleet, configuration, targets, harness.CONTACT_SECONDS + 1
        )
        numbers = iter(range(REQUESTS))
        await asyncio.gather(
            *(ask_all(record, fleet, numbers, answers) for _ in range(PARALLEL))
        )
    finally:
        fleet.close()
    return find_break(record, answers, arrivals)


async def ask_all(record, fleet, numbers, answers):
    for number in numbers:
        attempt = f'a{number:06d}'
        ip = fleet.hosts[number % len(fleet.hosts)]
        record.add('sent', attempt, 'GET', PATH, 'to', ip)
        answers[attempt] = await ask(ip, attempt)
        status, body, _ = answers[attempt]
        record.add('answered', attempt, status, len(body), 'bytes')


async def ask(ip, attempt):
    """Return status, body and signature of an answer; the status 0 if none."""
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(
                ip, harness.FRONT_PORT
            )
            try:
                writer.write(
                    harness.create_head('GET', PATH, attempt, DEADLINE_MS)
                )
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                headers = harness.read_headers(head)
                body = await harness.read_body(reader, headers)
                signature = headers.get('response-signature', '')
                return int(head.split()[1]), body, signature
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b'', ''


def find_break(record, answers, arrivals):
    """Tell whether the rule MIXED is broken."""
    wrong = [
        attempt
        for attempt, (status, body, _) in answers.items()
        if 200 <= status < 300 and body != create_body(attempt)
    ]
    for attempt in wrong[:3]:
        status, body, signature = answers[attempt]
        whole = create_body(attempt)
        at = next(
            (
                n
                for n, pair in enumerate(zip(body, whole))
                if len(set(pair)) > 1
            ),
            min(len(body), len(whole)),
        )
        record.say(
            attempt,
            'got',
            status,
            'with the signature',
            signature,
            'and, from byte',
            at,
            'on,',
            body[at : at + 12],
            'in place of',
            whole[at : at + 12],
        )
    spoilt = sum(one['how'] == 'spoilt' for one in arrivals)
    statuses = [status for status, _, _ in answers.values()]
    counts = {one: statuses.count(one) for one in sorted(set(statuses))}
    record.say('answers by status:', counts)
    record.say(
        'MIXED broken:' if wrong else 'MIXED holds:',
        len(wrong),
        'clients got a success with a body that is not whole;',
        spoilt,
        'answers of targets were spoilt',
    )
    return bool(wrong)


harness.run(pathlib.Path(__file__).resolve().parent, play)
