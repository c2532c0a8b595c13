"""A process lives through crowds of callers outside of its limits.

Each test starts an entry with lowered limits, lets a crowd send what no sound
caller sends, and leaves its connections open. The memory of the process, what
it has not read included, stays within that of its machine, its descriptors
within their limit, and an ordinary request is answered while the crowd is
still there, and after it has gone.
"""

from functools import partial

import pytest
import trio

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
from crowd_site import (
    BODY_LIMIT_BYTES,
    CALLERS,
    DESCRIPTORS,
    DIRECTORY,
    HANG_SECONDS,
    MEMORY_BYTES,
    PEERS,
    READINESS,
    open_entry,
    play,
)
from process_usage import resident_bytes

pytestmark = pytest.mark.alone

SHORT_OF_LIMIT_BYTES = BODY_LIMIT_BYTES - 65_536
FAR_OVER_LIMIT_BYTES = 8 * BODY_LIMIT_BYTES
FEW_DESCRIPTORS = 300
LARGE_CROWD = 200
# Memory that may stay with the process after a crowd has gone.
KEPT_BYTES = 30_000_000
# Samples of memory after a crowd, five a second.
RETURN_SAMPLES = 100
LISTENERS = pytest.mark.parametrize(
    'listener',
    [
        pytest.param(CALLERS, id='callers'),
        pytest.param(PEERS, id='peers'),
        pytest.param(READINESS, id='readiness'),
        pytest.param(DIRECTORY, id='directory'),
    ],
)


async def check_memory(folder, size, make_parts, listener=CALLERS, **kind):
    async with open_entry(folder) as site:
        usage = await play(site, size, make_parts, listener, **kind)
        assert usage.memory_bytes <= MEMORY_BYTES
        assert usage.descriptors <= DESCRIPTORS


@LISTENERS
def test_memory_with_chunked_bodies_that_stop_short(tmp_path, listener):
    make_parts = partial(chunked_body, length=SHORT_OF_LIMIT_BYTES)
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts, listener)


@LISTENERS
def test_memory_with_announced_bodies_that_stop_short(tmp_path, listener):
    make_parts = partial(
        announced_body,
        announced=BODY_LIMIT_BYTES,
        length=SHORT_OF_LIMIT_BYTES,
    )
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts, listener)


def test_memory_with_chunked_bodies_over_the_limit(tmp_path):
    make_parts = partial(chunked_body, length=FAR_OVER_LIMIT_BYTES)
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts)


def test_memory_with_announced_bodies_over_the_limit(tmp_path):
    make_parts = partial(
        announced_body,
        announced=100 * BODY_LIMIT_BYTES,
        length=FAR_OVER_LIMIT_BYTES,
    )
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts)


def test_memory_with_chunks_of_a_giant_size(tmp_path):
    make_parts = partial(giant_chunk, length=SHORT_OF_LIMIT_BYTES)
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts)


def test_memory_with_whole_bodies(tmp_path):
    make_parts = partial(
        chunked_body, length=SHORT_OF_LIMIT_BYTES, is_whole=True
    )
    trio.run(check_memory, tmp_path, LARGE_CROWD, make_parts)


@pytest.mark.parametrize(
    'listener',
    [
        pytest.param(CALLERS, id='callers'),
        pytest.param(PEERS, id='peers'),
    ],
)
def test_answers_beside_small_chunks_that_stop_short(tmp_path, listener):
    make_parts = partial(small_chunks, length=SHORT_OF_LIMIT_BYTES)
    trio.run(check_memory, tmp_path, LARGE_CROWD // 2, make_parts, listener)


def test_memory_with_requests_in_a_row(tmp_path):
    make_parts = partial(requests_in_a_row, count=300)
    trio.run(check_memory, tmp_path, 3 * LARGE_CROWD, make_parts)


def test_memory_with_unfinished_heads(tmp_path):
    make_parts = partial(unfinished_head, length=16_000)
    trio.run(check_memory, tmp_path, 10 * LARGE_CROWD, make_parts)


@pytest.mark.parametrize('reads_slowly', [False, True])
@pytest.mark.parametrize('length', [20_000, 250_000, 900_000])
def test_memory_with_long_answers(tmp_path, length, reads_slowly):
    """Guards against answers that no account bounds (review/8 and 9)."""
    make_parts = partial(long_answer, length=length)
    trio.run(
        partial(
            check_memory,
            tmp_path,
            LARGE_CROWD,
            make_parts,
            reads_slowly=reads_slowly,
        )
    )


@LISTENERS
@pytest.mark.parametrize(('lines', 'announced'), [(3100, 0), (6000, 10)])
def test_memory_with_heads_of_many_lines(tmp_path, listener, lines, announced):
    """Guards against parsed lines that no account counts (review/6)."""
    make_parts = partial(many_lines, lines=lines, announced=announced)
    trio.run(check_memory, tmp_path, 2 * LARGE_CROWD, make_parts, listener)


@LISTENERS
def test_descriptors_with_idle_connections(tmp_path, listener):
    async def check():
        async with open_entry(tmp_path, maxFds=FEW_DESCRIPTORS) as site:
            usage = await play(site, 2 * FEW_DESCRIPTORS, nothing, listener)
            assert usage.descriptors <= FEW_DESCRIPTORS

    trio.run(check)


def test_memory_comes_back_after_a_crowd(tmp_path):
    async def check():
        async with open_entry(tmp_path) as site:
            pid = site.entries[0].popen.pid
            before = resident_bytes(pid)
            for is_whole in (True, False):
                make_parts = partial(
                    chunked_body,
                    length=SHORT_OF_LIMIT_BYTES,
                    is_whole=is_whole,
                )
                await play(site, LARGE_CROWD, make_parts)
            for _ in range(RETURN_SAMPLES):
                kept_bytes = resident_bytes(pid) - before
                if kept_bytes <= KEPT_BYTES:
                    return
                await trio.sleep(0.2)
            pytest.fail(f'{kept_bytes} bytes are kept')

    trio.run(check)


def test_request_with_a_head_of_many_lines_is_served_in_calm(tmp_path):
    async def check():
        async with open_entry(tmp_path) as site:
            stream = await trio.open_tcp_stream(site.entries[0].host, site.port)
            async with stream:
                for part in many_lines(0, 3100, 0):
                    await stream.send_all(part)
                answer = b''
                with trio.move_on_after(HANG_SECONDS):
                    answer = await stream.receive_some(65_536)
            assert answer.startswith(b'HTTP/1.1 200')

    trio.run(check)


def test_large_request_in_small_chunks_is_served_in_calm(tmp_path):
    async def check():
        async with open_entry(tmp_path) as site:
            stream = await trio.open_tcp_stream(site.entries[0].host, site.port)
            async with stream:
                for part in small_chunks(0, BODY_LIMIT_BYTES, is_whole=True):
                    await stream.send_all(part)
                answer = b''
                with trio.move_on_after(HANG_SECONDS):
                    answer = await stream.receive_some(65_536)
            assert answer.startswith(b'HTTP/1.1 200')

    trio.run(check)
