"""A request that can't be parsed ends no process."""

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.transport import receiving
from limpetdrift.transport.messages import Response
from server_harness import ServerHarness, read_all
from virtual_time import run_in_virtual_time

VISIBLE = st.text(st.characters(min_codepoint=33, max_codepoint=126))


def first_bytes(target):
    """Return the status line's start that a caller of a target gets."""
    received = []

    async def answer(exchange):
        await exchange.respond(Response(status=200))

    async def body():
        async with trio.open_nursery() as nursery:
            harness = ServerHarness(nursery=nursery, handler=answer)
            stream = harness.connect()
            await stream.send_all(
                b'GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
                % target
            )
            received.append((await read_all(stream))[:12])

    run_in_virtual_time(body)
    return received[0]


@pytest.mark.parametrize('target', [b'//[', b'//[/x', b'http://[x'])
def test_malformed_target_is_refused_and_ends_no_process(target):
    assert first_bytes(target) == b'HTTP/1.1 400'


@pytest.mark.parametrize('target', [b'/', b'/%ff?%ff=%', b'//a/x', b'*'])
def test_odd_target_is_served(target):
    assert first_bytes(target) == b'HTTP/1.1 200'


@given(text=VISIBLE)
def test_any_target_gets_an_answer(text):
    status = first_bytes(b'/' + text.encode())
    assert status in {b'HTTP/1.1 200', b'HTTP/1.1 400'}


def test_error_in_one_connection_ends_no_other(monkeypatch):
    def fail(head, body):
        raise KeyError('unforeseen')

    monkeypatch.setattr(receiving, '_make_request', fail)
    assert first_bytes(b'/') == b''
