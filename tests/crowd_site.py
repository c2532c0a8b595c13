"""An entry with lowered limits, and what it holds while a crowd calls it."""

from contextlib import asynccontextmanager

import trio

from crowd_callers import Crowd
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from platform_site import open_site, wait_ready
from process_usage import Usage
from soak.site import HOST

BODY_LIMIT_BYTES = 1_048_576
MEMORY_MB = 128
MEMORY_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 4200
# Ends a test of a process that hangs; a process that doesn't is much faster.
HANG_SECONDS = 60.0
PLAY_SECONDS = 10.0
# Offsets of the listeners' ports.
CALLERS, READINESS, PEERS, DIRECTORY = range(4)


@asynccontextmanager
async def open_entry(folder, **limits):
    """Open a site with one entry of lowered limits that serves."""
    async with open_site(
        folder,
        engines=1,
        desks=1,
        limits={'memoryMb': MEMORY_MB, 'maxFds': DESCRIPTORS} | limits,
        configuration={'limits': {'maxBodyBytes': BODY_LIMIT_BYTES}},
    ) as site:
        await wait_ready(HttpClient(), listener_address(site, READINESS))
        await ask_until_served(site, 'before')
        yield site


def listener_address(site, listener):
    return Address(host=site.entries[0].host, port=site.port + listener)


async def ask_until_served(site, name):
    """Send ordinary requests, one after the other, until one is served."""
    client = HttpClient()
    with trio.move_on_after(HANG_SECONDS):
        for number in range(1000):
            answer = await client.fetch(
                listener_address(site, CALLERS),
                Request(
                    method='POST',
                    path='/twice/x',
                    headers=(
                        ('host', HOST),
                        ('attempt-id', f'{name}-{number}'),
                        ('authorization', 'Bearer key-0'),
                        ('deadline-ms', '15000'),
                    ),
                    body=b'hello',
                ),
                timeout_seconds=15.0,
                new_connection=True,
            )
            if answer.is_ok() and answer.ok.status == 200:
                return
            await trio.sleep(0.2)
    raise AssertionError(f'no request was served {name} the crowd')


async def play(site, size, make_parts, listener=CALLERS, **kind):
    """Play a crowd; return the peaks of what the entry holds."""
    process = site.entries[0].popen
    usage = Usage(pid=process.pid)
    crowd = Crowd(
        address=listener_address(site, listener),
        size=size,
        make_parts=make_parts,
        **kind,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(usage.watch)
        async with trio.open_nursery() as callers:
            await crowd.run(callers, PLAY_SECONDS)
            await ask_until_served(site, 'beside')
            callers.cancel_scope.cancel()
        await ask_until_served(site, 'after')
        nursery.cancel_scope.cancel()
    assert process.poll() is None
    return usage
