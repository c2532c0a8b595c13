"""Connections that a client keeps are closed, whoever is asked next."""

import os

import pytest
import trio

from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import Server, bound_address, listen

IDLE_SECONDS = 0.05
SERVERS = 20
# Connections that may be idle for less than the limit, at both ends.
RECENT = 4


async def _answer(exchange) -> None:
    await exchange.respond(Response(status=200, body=b'ok'))


async def _ask(client: HttpClient, address: Address, **options: bool) -> None:
    answer = await client.fetch(
        address, Request(method='GET', path='/'), timeout_seconds=5, **options
    )
    assert answer.ok.body == b'ok'


async def _ask_new_server(client: HttpClient, **options: bool) -> None:
    """Ask a server that is there for this one request."""
    listeners = await listen(Address(host='127.0.0.1', port=0))
    async with trio.open_nursery() as nursery:
        await nursery.start(Server(handler=_answer).serve, listeners)
        await _ask(client, bound_address(listeners), **options)
        nursery.cancel_scope.cancel()


def _count_descriptors() -> int:
    return len(os.listdir('/proc/self/fd'))


@pytest.mark.parametrize('new_connection', [False, True])
def test_descriptors_stay_level_while_servers_come_and_go(new_connection):
    """Guards against connections to servers that are never asked again."""

    async def run() -> None:
        client = HttpClient(limits=ClientLimits(idle_seconds=IDLE_SECONDS))
        await _ask_new_server(client)
        before = _count_descriptors()
        for _ in range(SERVERS):
            await _ask_new_server(client, new_connection=new_connection)
            await trio.sleep(IDLE_SECONDS)
        assert _count_descriptors() <= before + RECENT
        assert len(client._idle) <= RECENT
        client.close()

    trio.run(run)


def test_client_that_keeps_no_connections_remembers_no_addresses():
    async def run() -> None:
        client = HttpClient(limits=ClientLimits(idle_connections=0))
        await _ask_new_server(client)
        assert not client._idle

    trio.run(run)


def test_connection_that_is_used_again_in_time_is_kept():
    connections = []

    async def run() -> None:
        server = Server(handler=_answer)
        serve_stream = server.handle_stream

        async def count(stream) -> None:
            connections.append(stream)
            await serve_stream(stream)

        server.handle_stream = count
        listeners = await listen(Address(host='127.0.0.1', port=0))
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, listeners)
            client = HttpClient(limits=ClientLimits(idle_seconds=5.0))
            for _ in range(5):
                await _ask(client, bound_address(listeners))
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert len(connections) == 1
