"""The one-file program runs as a single process, without io_uring."""

import asyncio
import pathlib

import aiohttp

from wagtailspread.testing import fleets

PROGRAM = pathlib.Path('dist/wagtailspread')


def list_children(pid):
    tasks = pathlib.Path(f'/proc/{pid}/task')
    return [
        child
        for task in tasks.iterdir()
        for child in (task / 'children').read_text().split()
    ]


def list_special_files(pid):
    return [
        str(link.readlink())
        for link in pathlib.Path(f'/proc/{pid}/fd').iterdir()
        if 'io_uring' in str(link.readlink())
    ]


async def test_program_serves_as_single_processes(tmp_path, monkeypatch):
    """Guards against a packaging tool that starts a child process."""
    monkeypatch.setenv('SHIV_ROOT', str(tmp_path / 'unpacked'))
    folder = tmp_path / 'fleet'
    folder.mkdir()
    seen = []
    with fleets.Fleet(folder, (str(PROGRAM),)) as fleet:
        fleet.start_replicas()
        fleet.start_entries(1)
        watched = [*fleet.replicas, *fleet.entries]
        async with aiohttp.ClientSession() as session:

            async def is_ready():
                for process in watched:
                    seen.extend(list_children(process.popen.pid))
                return await fleets.is_ready(session, fleet.entries[0])

            assert await fleets.wait_until(is_ready, 40) is not None
        await asyncio.sleep(0.2)
        for process in watched:
            seen.extend(list_children(process.popen.pid))
            seen.extend(list_special_files(process.popen.pid))
    assert not seen
