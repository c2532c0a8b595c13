"""Signals in series: a process that stops answers what it has admitted."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import trio

import limpetdrift
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Request, parse_address

TIMEOUT_SECONDS = 30.0
# Serves a stream of ten parts; the drain waits until the server is idle.
PROGRAM = """
import trio
from limpetdrift.programs.serving import (
    announce, listen_and_serve, stop_on_signals,
)
from limpetdrift.transport.messages import Address
from limpetdrift.transport.server import Server

async def stream(exchange):
    await exchange.start(200)
    for _ in range(10):
        await exchange.send(b'part ')
        await trio.sleep(0.15)
    await exchange.finish()

async def main():
    server = Server(handler=stream)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            stop_on_signals, server.wait_idle, nursery.cancel_scope
        )
        listening = Address(host='127.0.0.1', port=0)
        address = await listen_and_serve(listening, server, nursery)
        announce('server', address=address)

trio.run(main)
"""


@pytest.fixture
def process():
    source = str(Path(limpetdrift.__file__).parents[1])
    popen = subprocess.Popen(
        [sys.executable, '-c', PROGRAM],
        env=os.environ | {'PYTHONPATH': source},
        stdout=subprocess.PIPE,
    )
    yield popen
    popen.kill()
    popen.wait()
    popen.stdout.close()


def read_while_signalled(process, *numbers):
    """Read the stream; send the signals in its midst, 0.2 s apart.

    Return the body, ``None`` if it was cut off, and the exit status.
    """
    address = parse_address(json.loads(process.stdout.readline())['address'])

    async def send_signals():
        for number in numbers:
            await trio.sleep(0.2)
            process.send_signal(number)

    async def run():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_signals)
            answer = await HttpClient().fetch(
                address,
                Request(method='GET', path='/'),
                timeout_seconds=TIMEOUT_SECONDS,
            )
        return answer.ok.body if answer.is_ok() else None

    body = trio.run(run)
    return body, process.wait(timeout=TIMEOUT_SECONDS)


@pytest.mark.parametrize(
    'numbers',
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM),
        (signal.SIGINT, signal.SIGTERM),
    ],
)
def test_second_sigterm_cuts_off_no_admitted_request(process, numbers):
    assert read_while_signalled(process, *numbers) == (b'part ' * 10, 0)


@pytest.mark.parametrize(
    'numbers',
    [(signal.SIGINT, signal.SIGINT), (signal.SIGTERM, signal.SIGINT)],
)
def test_sigint_during_the_drain_stops_at_once(process, numbers):
    body, exit_status = read_while_signalled(process, *numbers)
    assert body is None
    assert exit_status == 0
