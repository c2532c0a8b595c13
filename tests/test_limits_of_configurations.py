"""Limits on callers that a configuration gives."""

import json

import pytest
import trio

from limpetdrift.platform.callers import apply_limits
from limpetdrift.platform.configuration import decode_route_table
from limpetdrift.transport.messages import Response
from server_harness import HEAD, ServerHarness
from virtual_time import in_virtual_time


async def answer(exchange):
    await exchange.respond(Response(status=200))


@pytest.mark.parametrize('milliseconds', [0, -1, -1e12])
@pytest.mark.parametrize('name', ['headerTimeoutMs', 'idleTimeoutMs'])
@in_virtual_time
async def test_negative_limit_of_time_leaves_no_request_without_an_answer(
    name, milliseconds
):
    document = {'version': 1, 'limits': {name: milliseconds}}
    table = decode_route_table(json.dumps(document).encode()).ok
    async with trio.open_nursery() as nursery:
        site = ServerHarness(nursery=nursery, handler=answer)
        apply_limits(site.server, table)
        stream = site.connect()
        await stream.send_all(HEAD)
        with trio.fail_after(5):
            received = await stream.receive_some(65_536)
        nursery.cancel_scope.cancel()
    assert received.startswith(b'HTTP/1.1 200 ')
