"""Tests that a site's processes get their addresses to themselves.

An entry of one test failed to start since another test had drawn the same port
before either of them listened on it.
"""

import socket

import pytest
import trio

from limpet_standins.processes import free_address
from limpetdrift.transport.messages import parse_address
from limpetdrift.transport.server import listen


def test_reserved_address_is_not_drawn_again():
    address = parse_address(free_address())
    with socket.socket() as other, pytest.raises(OSError, match='in use'):
        other.bind((address.host, address.port))


def test_process_listens_on_its_reserved_address():
    trio.run(_listen_twice)


async def _listen_twice():
    """Listen, be called, and listen again, as after a restart."""
    address = parse_address(free_address())
    for _ in range(2):
        listeners = await listen(address)
        async with listeners[0]:
            caller = await trio.open_tcp_stream(address.host, address.port)
            await caller.aclose()
