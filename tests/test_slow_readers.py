"""Answers that their callers don't read count, and give way when stalled."""

import socket

import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.connection_account import (
    CONNECTION_BYTES,
    AccountLimits,
    ConnectionAccount,
)
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import Server, bound_address, listen
from limpetdrift.transport.shedding import STALL_SECONDS
from server_harness import HEAD

ANSWER_BYTES = 6_000_000
SLOW_CALLERS = 5
MEMORY_BYTES = SLOW_CALLERS * ANSWER_BYTES + 3 * CONNECTION_BYTES
WAIT_SECONDS = 30.0


async def answer(exchange):
    length = ANSWER_BYTES if exchange.request.path == '/x' else 2
    await exchange.respond(Response(status=200, body=b'z' * length))


async def connect_slowly(address):
    """Send a request whose answer is never read."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await sock.connect((address.host, address.port))
    stream = trio.SocketStream(sock)
    await stream.send_all(HEAD)
    return stream


async def ask(address):
    answered = await HttpClient().fetch(
        address,
        Request(method='GET', path='/short'),
        timeout_seconds=WAIT_SECONDS,
        new_connection=True,
    )
    return answered.is_ok() and answered.ok.status == 200


def test_answers_that_nobody_reads_make_room_for_others():
    """Guards against memory that callers hold by not reading."""

    async def check():
        account = ConnectionAccount(
            limits=AccountLimits(memory_bytes=MEMORY_BYTES)
        )
        listeners = await listen(Address(host='127.0.0.1', port=0))
        address = bound_address(listeners)
        async with trio.open_nursery() as nursery:
            server = Server(handler=answer, account=account)
            await nursery.start(server.serve, listeners)
            slow = [await connect_slowly(address) for _ in range(SLOW_CALLERS)]
            await trio.sleep(STALL_SECONDS + 0.5)
            assert account.used_bytes > MEMORY_BYTES
            assert await ask(address)
            assert account.used_bytes <= MEMORY_BYTES
            for stream in slow:
                await trio.aclose_forcefully(stream)
            nursery.cancel_scope.cancel()
        assert account.used_bytes == 0

    trio.run(check)
