"""Tests of peer calls over the fake network."""

from dataclasses import dataclass

from expression import Result

from fake_network import FakeNetwork
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, Verdict
from virtual_time import in_virtual_time


@dataclass(frozen=True, kw_only=True)
class Echo:
    text: str


HERE = Address(host='127.0.0.1', port=1)
THERE = Address(host='127.0.0.1', port=2)


def make_network():
    async def echo(message):
        return Result.Ok(Echo(text=message.text.upper()))

    network = FakeNetwork(seed=1)
    routes = PeerRoutes()
    routes.add('echo', Echo, echo)
    network.add_peer(THERE, routes)
    return network, network.add_peer(HERE, PeerRoutes())


@in_virtual_time
async def test_call_returns_the_reply_of_the_peer():
    _, call = make_network()
    answer = await call(
        THERE, 'echo', Echo(text='a'), Echo, timeout_seconds=1.0
    )
    assert answer.ok == Echo(text='A')


@in_virtual_time
async def test_call_has_not_run_at_a_dead_peer_and_may_have_run_behind_a_cut():
    network, call = make_network()
    network.cut(THERE, HERE)
    cut = await call(THERE, 'echo', Echo(text='a'), Echo, timeout_seconds=1.0)
    assert cut.error.verdict is Verdict.MAY_HAVE_RUN
    network.kill(THERE)
    dead = await call(THERE, 'echo', Echo(text='a'), Echo, timeout_seconds=1.0)
    assert dead.error.reason is Reason.CONNECT_FAILED
    assert dead.error.verdict is Verdict.NOT_RUN
