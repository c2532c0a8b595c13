"""``limpet-entry`` lives through crowds of callers outside of its limits.

As in ``test_crowds``; its memory is named in its own settings.
"""

from functools import partial

import pytest
import trio

from crowd_callers import Crowd, chunked_body, small_chunks
from limpet_standins.processes import Processes
from limpet_standins.small_site import (
    SiteSizes,
    publish_instances,
    start_engines,
    start_entries,
    start_platform,
)
from limpetdrift.transport.messages import parse_address
from process_usage import Usage
from test_operator_processes import complete_chat

pytestmark = pytest.mark.alone

MEMORY_BYTES = 134_217_728
CROWD = 150
BODY_BYTES = 983_040
PLAY_SECONDS = 10.0
CALM_SECONDS = 60.0
SHAPES = {
    'large': partial(chunked_body, length=BODY_BYTES),
    'small': partial(small_chunks, length=BODY_BYTES),
    'whole': partial(chunked_body, length=BODY_BYTES, is_whole=True),
}


def start_site(processes):
    site = start_platform(processes)
    start_engines(site, SiteSizes(engines=1))
    publish_instances(site)
    start_entries(site, 1, {'memory': '128MiB'})
    return site


async def check_crowd(site, address, make_parts):
    process = site.processes[site.entries[0]].popen
    usage = Usage(pid=process.pid)
    crowd = Crowd(
        address=parse_address(address), size=CROWD, make_parts=make_parts
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(usage.watch)
        async with trio.open_nursery() as callers:
            await crowd.run(callers, PLAY_SECONDS)
            await ask_until_served(site)
            callers.cancel_scope.cancel()
        await ask_until_served(site)
        nursery.cancel_scope.cancel()
    assert process.poll() is None
    assert usage.memory_bytes <= MEMORY_BYTES


async def ask_until_served(site):
    with trio.fail_after(CALM_SECONDS):
        for _ in range(1000):
            if (await complete_chat(site)).is_ok():
                return
            await trio.sleep(0.2)


@pytest.mark.parametrize('shape', SHAPES)
@pytest.mark.parametrize('listener', ['callers', 'peers'])
def test_memory_of_an_entry_with_a_crowd(shape, listener):
    with Processes() as processes:
        site = start_site(processes)
        addresses = processes[site.entries[0]].addresses
        trio.run(check_crowd, site, addresses[listener], SHAPES[shape])
