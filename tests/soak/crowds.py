"""Crowds of callers outside of the limits, beside the faults of a soak run.

Each crowd calls one listener of one entry, and leaves after some seconds. The
entries' memory, unread bytes included, stays within that of their machines.
"""

import random
import time
from functools import partial

import trio

from crowd_callers import (
    Crowd,
    announced_body,
    chunked_body,
    giant_chunk,
    many_lines,
    nothing,
    small_chunks,
    unfinished_head,
)
from limpetdrift.transport.messages import Address
from process_usage import SAMPLE_SECONDS, Usage
from soak.site import EntryProcess, Site

# Memory of an entry's machine where its settings name none.
MEMORY_BYTES = 300_000_000
BODY_BYTES = 4_000_000
SMALL_CHUNKS_BYTES = 200_000
MAX_CROWD = 60
MAX_STAY_SECONDS = 4.0
LISTENERS = 4
# None ends a request, whose run the checks would not know.
SHAPES = (
    partial(chunked_body, length=BODY_BYTES),
    partial(chunked_body, length=3 * BODY_BYTES),
    partial(announced_body, announced=BODY_BYTES, length=BODY_BYTES // 2),
    partial(small_chunks, length=SMALL_CHUNKS_BYTES),
    partial(giant_chunk, length=BODY_BYTES),
    partial(unfinished_head, length=16_000),
    partial(many_lines, lines=3000, announced=10),
    partial(many_lines, lines=6000, announced=10),
    nothing,
)


async def play_crowds(site: Site, seed: int, until: float) -> None:
    """Play one crowd after the other until a time of the monotonic clock."""
    randomness = random.Random(f'crowds-{seed}')
    while time.monotonic() < until:
        entry = randomness.choice(site.entries)
        crowd = Crowd(
            address=Address(
                host=entry.host,
                port=entry.port + randomness.randrange(LISTENERS),
            ),
            size=randomness.randint(1, MAX_CROWD),
            make_parts=randomness.choice(SHAPES),
        )
        stay_seconds = randomness.uniform(0, MAX_STAY_SECONDS)
        async with trio.open_nursery() as nursery:
            await crowd.run(nursery, stay_seconds)
            await trio.sleep(stay_seconds)
            nursery.cancel_scope.cancel()


async def watch_memory(site: Site, violations: set[str]) -> None:
    """Add a line for each entry that exceeds its memory, until cancelled."""
    while True:
        for entry in site.entries:
            held_bytes = _held_bytes(entry)
            if held_bytes > MEMORY_BYTES:
                violations.add(f'memory: {entry.name} holds {held_bytes}')
        await trio.sleep(SAMPLE_SECONDS)


def _held_bytes(entry: EntryProcess) -> int:
    if entry.popen is None or entry.popen.poll() is not None:
        return 0
    usage = Usage(pid=entry.popen.pid)
    try:
        usage.sample()
    except (OSError, ValueError):
        # It has ended meanwhile.
        return 0
    return usage.memory_bytes
