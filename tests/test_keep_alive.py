"""Connections to machines that stop acknowledging."""

import socket

import trio

from limpetdrift.transport.client import (
    KEEP_ALIVE_TIMEOUT_SECONDS,
    ClientLimits,
    HttpClient,
)
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import Server, bound_address, listen


def read_options(stream) -> dict[str, int]:
    options = {
        'idle': socket.TCP_KEEPIDLE,
        'interval': socket.TCP_KEEPINTVL,
        'probes': socket.TCP_KEEPCNT,
        'user_timeout': socket.TCP_USER_TIMEOUT,
    }
    found = {
        name: stream.getsockopt(socket.IPPROTO_TCP, option)
        for name, option in options.items()
    }
    found['enabled'] = stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    return found


def open_options(limits: ClientLimits) -> dict[str, int]:
    """Return the options of a connection that a client has opened."""
    found = {}

    async def answer(exchange) -> None:
        await exchange.respond(Response(status=200))

    async def run() -> None:
        listeners = await listen(Address(host='127.0.0.1', port=0))
        async with trio.open_nursery() as nursery:
            await nursery.start(Server(handler=answer).serve, listeners)
            client = HttpClient(limits=limits)
            address = bound_address(listeners)
            request = Request(method='GET', path='/')
            async with client.stream(address, request) as response:
                found.update(read_options(response._connection.stream))
            nursery.cancel_scope.cancel()

    trio.run(run)
    return found


def test_machine_that_dies_while_it_reads_a_prompt_breaks_the_connection():
    """Guards against memory that stays reserved for a dead engine's prompt."""
    options = open_options(ClientLimits(probes_keep_alive=True))
    assert options['enabled']
    seconds = options['idle'] + options['interval'] * options['probes']
    assert seconds == KEEP_ALIVE_TIMEOUT_SECONDS


def test_connections_are_not_probed_by_default():
    assert not open_options(ClientLimits())['enabled']


def test_no_user_timeout_ends_the_probes_early():
    """Where it is set, it replaces the number of probes."""
    for probes_keep_alive in (True, False):
        limits = ClientLimits(probes_keep_alive=probes_keep_alive)
        assert not open_options(limits)['user_timeout']
