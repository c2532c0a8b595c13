"""Probes of endpoints whose path comes from the configuration."""

import pytest
import trio

from limpetdrift.platform.endpoint_client import make_probe
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import Server, bound_address, listen


@pytest.mark.parametrize(
    'path',
    [
        '/health',
        '/h\u00e9alth',
        '/health check',
        '/a\nb',
        '/\u0142',
        '/a%20b?c=d',
    ],
)
def test_path_that_no_head_can_hold_is_no_cut_link(path):
    """Guards against a whole service that counts as cut off for its path."""

    async def answer(exchange):
        await exchange.respond(Response(status=200))

    async def run():
        async with trio.open_nursery() as nursery:
            listeners = await listen(Address(host='127.0.0.1', port=0))
            nursery.start_soon(Server(handler=answer).serve, listeners)
            endpoint = ListedEndpoint(
                name='i-1',
                lifetime=1,
                service='s',
                address=str(bound_address(listeners)),
                failure_domain='d',
                slots=8,
            )
            probe = make_probe(HttpClient(), lambda service: path)
            is_reached = await probe(endpoint)
            nursery.cancel_scope.cancel()
        return is_reached

    assert trio.run(run)
