"""Crowds of callers that the fuzzer draws for a running entry.

Each crowd has a listener, a size, a shape of what its callers send, and a
point at which they stop. The entry has to stay within its limits, and to
answer an ordinary request beside the crowd and after it.
"""

from functools import partial
from pathlib import Path

import trio
from hypothesis import strategies as st

from crowd_callers import (
    announced_body,
    chunked_body,
    giant_chunk,
    long_answer,
    many_lines,
    nothing,
    requests_in_a_row,
    small_chunks,
    unfinished_head,
)
from crowd_site import DESCRIPTORS, MEMORY_BYTES, open_entry, play

MAX_CROWD = 150
MAX_BODY_BYTES = 1_500_000
MAX_SMALL_CHUNKS_BYTES = 60_000
MAX_REQUESTS = 200
MAX_HEAD_BYTES = 20_000
MAX_HEAD_LINES = 6500
LISTENERS = 4

_LENGTHS = st.integers(0, MAX_BODY_BYTES)
_SHAPES = st.one_of(
    st.builds(
        partial, st.just(chunked_body), length=_LENGTHS, is_whole=st.booleans()
    ),
    st.builds(
        partial,
        st.just(small_chunks),
        length=st.integers(0, MAX_SMALL_CHUNKS_BYTES),
        is_whole=st.booleans(),
    ),
    st.builds(partial, st.just(giant_chunk), length=_LENGTHS),
    st.builds(
        partial,
        st.just(announced_body),
        announced=st.integers(0, 4 * MAX_BODY_BYTES),
        length=_LENGTHS,
    ),
    st.builds(
        partial, st.just(requests_in_a_row), count=st.integers(1, MAX_REQUESTS)
    ),
    st.builds(
        partial,
        st.just(unfinished_head),
        length=st.integers(200, MAX_HEAD_BYTES),
    ),
    st.builds(
        partial,
        st.just(many_lines),
        lines=st.integers(0, MAX_HEAD_LINES),
        announced=st.sampled_from((0, 10)),
        key=st.sampled_from(('key-0', 'unknown')),
    ),
    st.builds(partial, st.just(long_answer), length=_LENGTHS),
    st.just(nothing),
)
# The offset of a listener's port, the size of a crowd, what it sends, and
# whether it reads slowly or not at all.
CROWDS = st.tuples(
    st.integers(0, LISTENERS - 1),
    st.integers(1, MAX_CROWD),
    _SHAPES,
    st.booleans(),
)
# Played one after the other on one entry.
CROWDS_IN_A_ROW = st.lists(CROWDS, min_size=1, max_size=3)


def check_crowds(crowds: list[tuple], folder: Path) -> None:
    """Play crowds on a new site; raise ``AssertionError`` on a fault."""
    trio.run(_check_crowds, crowds, folder)


async def _check_crowds(crowds: list[tuple], folder: Path) -> None:
    async with open_entry(folder) as site:
        for listener, size, make_parts, reads_slowly in crowds:
            usage = await play(
                site, size, make_parts, listener, reads_slowly=reads_slowly
            )
            assert usage.memory_bytes <= MEMORY_BYTES, 'too much memory'
            assert usage.descriptors <= DESCRIPTORS, 'too many descriptors'
