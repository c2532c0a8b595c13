"""Answers that come as their request is cancelled, on real connections.

A request gets a whole answer or a whole failure, unless bytes of an answer
were sent that can't be completed; then its connection is reset.
"""

import re
from contextlib import suppress
from dataclasses import replace

import pytest
import trio

from forward_harness import ForwardHarness, make_route, whole_response
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.transport.server import LAST_WRITE_SECONDS
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import run_in_virtual_time

DEADLINE_SECONDS = 1.0
SEEDS = range(12)
# More than the buffers of a pair of sockets take, and less than the longest
# body that is read before any of it is sent.
LONG_BODY = b'x' * 1_000_000
PLAIN_KINDS = (RequestKind.IDEMPOTENT, RequestKind.NON_IDEMPOTENT)


def socket_pair():
    """Return the ends of a connection of real sockets."""
    return map(trio.SocketStream, trio.socket.socketpair())


async def wait_for_arrival(seconds):
    """Wait as for bytes of a connection, which another task hands over.

    A sleep would not do: a cancellation of the same moment still ends it.
    """
    arrived = trio.Event()

    async def arrive():
        await trio.sleep(seconds)
        arrived.set()

    trio.lowlevel.spawn_system_task(arrive)
    await arrived.wait()


def answer_after(seconds, body=b'ok'):
    """Return an endpoint's answer whose body comes after a time."""

    async def chunks():
        await wait_for_arrival(seconds)
        yield body

    return replace(whole_response(200), chunks=chunks)


def stream_after(*pauses):
    """Return an endpoint's stream of one event after each pause."""

    async def script(seen):
        for number, seconds in enumerate(pauses, start=1):
            await wait_for_arrival(seconds)
            yield f'id: {number}\ndata: x\n\n'.encode()

    return script


def play(call, *scripts, kind=RequestKind.NON_IDEMPOTENT, attempts=1, seed=1):
    """Run ``call`` on a connection to a forwarder; return what it returns."""
    results = []

    async def body():
        harness = ForwardHarness(*scripts)
        route = make_route(
            kind=kind,
            timeout_seconds=DEADLINE_SECONDS,
            attempt_limit=attempts,
        )

        async def handle(exchange):
            await harness.serve(route, exchange)

        async with trio.open_nursery() as nursery:
            site = ServerHarness(nursery=nursery, handler=handle)
            stream = site.connect(socket_pair)
            with trio.fail_after(30):
                results.append(await call(stream, site.server))
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body, seed=seed)
    return results[0]


async def read_answer(stream):
    """Return the next answer with a content length, or what came of it."""
    received = b''
    while not is_whole(received):
        chunk = await stream.receive_some(65_536)
        if not chunk:
            break
        received += chunk
    return received


def is_whole(received):
    """Return whether the bytes are a whole answer with a content length."""
    head, separator, body = received.partition(b'\r\n\r\n')
    length = re.search(rb'content-length: (\d+)', head.lower())
    return bool(separator and length and len(body) == int(length[1]))


async def ask_twice(stream, server):
    """Return the answers to two requests on one connection."""
    answers = []
    for _ in range(2):
        with suppress(trio.BrokenResourceError):
            await stream.send_all(HEAD)
        answers.append(await read_answer(stream))
    return answers


async def read_late(stream, server):
    """Return the answer, read from some time after the deadline on."""
    await stream.send_all(HEAD)
    await trio.sleep(DEADLINE_SECONDS + 1)
    return await read_answer(stream)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('kind', PLAIN_KINDS)
def test_answer_that_comes_as_the_deadline_passes_is_not_lost(kind, seed):
    """Guards against a kept connection that closes without the answer."""
    scripts = (answer_after(DEADLINE_SECONDS), whole_response(200))
    first, second = play(ask_twice, *scripts, kind=kind, seed=seed)
    assert is_whole(first)
    assert first.startswith((b'HTTP/1.1 200 ', b'HTTP/1.1 502 '))
    assert second.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('seed', SEEDS)
def test_stream_that_begins_as_the_deadline_passes_gets_a_part_or_a_failure(
    seed,
):
    async def ask(stream, server):
        await stream.send_all(HEAD)
        return await read_answer(stream)

    script = stream_after(DEADLINE_SECONDS, 1.0)
    received = play(ask, script, kind=RequestKind.STREAMING, seed=seed)
    assert is_whole(received) or received.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('seed', SEEDS)
def test_stream_whose_end_comes_as_the_deadline_passes_is_begun(seed):
    async def ask(stream, server):
        await stream.send_all(HEAD)
        return await read_all(stream)

    half = DEADLINE_SECONDS / 2
    script = stream_after(half, half)
    received = play(ask, script, kind=RequestKind.STREAMING, seed=seed)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'id: 1\n' in received


@pytest.mark.parametrize('seed', SEEDS)
def test_answers_of_two_attempts_at_the_deadline_are_not_lost(seed):
    begun_at = []

    def answer_at_the_deadline():
        async def chunks():
            begun_at.append(trio.current_time())
            elapsed = begun_at[-1] - begun_at[0]
            await wait_for_arrival(DEADLINE_SECONDS - elapsed)
            yield b'ok'

        return replace(whole_response(200), chunks=chunks)

    # The second attempt begins while the first endpoint is silent.
    scripts = (
        answer_at_the_deadline(),
        answer_at_the_deadline(),
        whole_response(200),
    )
    first, second = play(
        ask_twice,
        *scripts,
        kind=RequestKind.IDEMPOTENT,
        attempts=2,
        seed=seed,
    )
    assert len(begun_at) == 2
    assert is_whole(first)
    assert second.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('kind', PLAIN_KINDS)
def test_whole_answer_to_a_slow_reader_is_not_cut_by_the_deadline(kind):
    script = answer_after(DEADLINE_SECONDS / 2, LONG_BODY)
    received = play(read_late, script, kind=kind)
    assert is_whole(received)
    assert received.endswith(LONG_BODY)


@pytest.mark.parametrize('seed', SEEDS)
def test_answer_that_comes_as_a_suspended_process_goes_on_is_not_lost(seed):
    async def chunks():
        trio.lowlevel.current_clock().jump(DEADLINE_SECONDS + 1)
        await trio.lowlevel.cancel_shielded_checkpoint()
        yield b'late'

    late = replace(whole_response(200), chunks=chunks)
    scripts = (late, whole_response(200))
    first, second = play(ask_twice, *scripts, seed=seed)
    assert is_whole(first)
    assert second.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('seed', SEEDS)
def test_answer_that_comes_as_the_server_closes_is_not_lost(seed):
    seconds = DEADLINE_SECONDS / 2

    async def ask(stream, server):
        await stream.send_all(HEAD)
        await server.close(seconds)
        return await read_answer(stream)

    assert is_whole(play(ask, answer_after(seconds), seed=seed))


def test_whole_answer_under_way_is_not_cut_by_the_close_of_the_server():
    async def ask(stream, server):
        await stream.send_all(HEAD)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.close, DEADLINE_SECONDS / 2)
            await trio.sleep(DEADLINE_SECONDS / 2 + LAST_WRITE_SECONDS / 2)
            return await read_answer(stream)

    received = play(ask, answer_after(DEADLINE_SECONDS / 4, LONG_BODY))
    assert received.endswith(LONG_BODY)


def test_caller_that_reads_nothing_is_cut_off_after_the_write_limit():
    async def ask(stream, server):
        await stream.send_all(HEAD)
        with trio.fail_after(25):
            await trio.sleep(DEADLINE_SECONDS)
            await server.wait_idle()
        return await read_answer(stream)

    received = play(ask, answer_after(DEADLINE_SECONDS / 2, LONG_BODY))
    assert received.startswith(b'HTTP/1.1 200 ')
    assert not is_whole(received)
