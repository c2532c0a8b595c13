"""Requests that end without a whole response are logged with the reason."""

import pytest
import trio
from trio.testing import lockstep_stream_pair, memory_stream_pair

from limpetdrift.transport import cut_exchanges
from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.messages import Response
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import run_in_virtual_time


async def abort(exchange):
    await exchange.start(200)
    await exchange.abort()


async def fail_after_the_head(exchange):
    await exchange.start(200)
    raise ValueError('no such service')


async def forget(exchange):
    await trio.lowlevel.checkpoint()


async def answer_slowly(exchange):
    await exchange.start(200)
    await trio.sleep(3)
    await exchange.finish()


async def answer_at_length(exchange):
    await exchange.respond(Response(status=200, body=b'x' * 100_000))


async def answer(exchange):
    await exchange.respond(Response(status=200, body=b'ok'))


async def read_to_the_end(stream):
    with trio.move_on_after(10):
        await read_all(stream)


async def leave(stream):
    await trio.sleep(1)
    await stream.aclose()
    await trio.sleep(5)


async def read_for_a_second(stream):
    with trio.move_on_after(1):
        await read_all(stream)


async def read_nothing(stream):
    await trio.sleep(60)


def play(monkeypatch, handler, behave, pair=memory_stream_pair):
    """Return the logged reasons, and the server."""
    lines = []
    servers = []

    def record(message, **fields):
        lines.append(fields)

    monkeypatch.setattr(cut_exchanges, 'warn', record)
    monkeypatch.setattr(cut_exchanges, 'note', record)
    monkeypatch.setattr(cut_exchanges, 'is_sampled', bool)

    async def body():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(
                nursery=nursery,
                handler=handler,
                limits=ServerLimits(write_seconds=5),
            )
            servers.append(harness.server)
            stream = harness.connect(pair)
            await stream.send_all(HEAD)
            await behave(stream)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    return lines, servers[0]


@pytest.mark.parametrize(
    ('handler', 'behave', 'pair', 'reason', 'begun'),
    [
        (abort, read_to_the_end, memory_stream_pair, 'aborted', True),
        (
            fail_after_the_head,
            read_to_the_end,
            memory_stream_pair,
            'handler-error',
            True,
        ),
        (forget, read_to_the_end, memory_stream_pair, 'unanswered', False),
        (answer_slowly, leave, memory_stream_pair, 'peer-closed', True),
        (
            answer_at_length,
            read_nothing,
            lockstep_stream_pair,
            'slow-reader',
            True,
        ),
        (
            answer_slowly,
            read_for_a_second,
            memory_stream_pair,
            'cancelled',
            True,
        ),
    ],
)
def test_cut_exchange_is_logged_once(
    monkeypatch, handler, behave, pair, reason, begun
):
    lines, _ = play(monkeypatch, handler, behave, pair)
    assert [line['reason'] for line in lines] == [reason]
    assert lines[0]['id'] == 'r-1'
    assert lines[0]['path'] == '/x'
    assert lines[0]['begun'] is begun


def test_exchanges_cut_by_the_end_of_the_server_are_counted(monkeypatch):
    _, server = play(monkeypatch, answer_slowly, read_for_a_second)
    assert server.cut_at_end.count == 1
    assert abs(server.cut_at_end.longest_seconds - 1) < 0.01


def test_whole_answers_and_idle_connections_are_not_logged(monkeypatch):
    lines, _ = play(monkeypatch, answer, read_nothing)
    assert not lines
