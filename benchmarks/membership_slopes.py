"""What membership and the view of endpoints cost a node, by their number.

All nodes run in one process and in virtual time, over the tests' network,
with real JSON bodies but no HTTP. There are 700 endpoints to 330 nodes. Nodes
begin with whole tables, so the window shows a site at rest. Processor time is
read on the real clock over the window; the network's share is measured apart
on messages that nobody reads, and taken off. Run it with

    PYTHONPATH=src:tests python benchmarks/membership_slopes.py
"""

import gc
import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass, replace
from functools import cache
from statistics import linear_regression

import trio
from expression import Ok

from endpoint_harness import EndpointHarness, make_endpoint
from fake_network import FakeNetwork
from limpetdrift.coordination.gossip import Gossip, GossipHooks
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.gossip import (
    EndpointRecord,
    ListingState,
    MemberRecord,
    MemberState,
    MemberVersion,
)
from member_cluster import make_node
from virtual_time import run_in_virtual_time

SIZES = (9, 30, 90, 180, 330)
SERVERS_A_NODE = 700 / 330
WARM_SECONDS = 3.0
WINDOW_SECONDS = 10.0
SPREAD_SECONDS = 30.0
LOOK_SECONDS = 0.05
CALIBRATION_MESSAGES = 4000


@dataclass(frozen=True, kw_only=True)
class Row:
    """The figures of one size; all but times are for one node."""

    nodes: int
    endpoints: int
    bytes_a_second: float
    messages_a_second: float
    cpu_ms_a_second: float
    network_ms_a_second: float
    state_bytes: int
    sign_seconds: float
    sign_without_push_seconds: float
    death_seconds: float


@cache
def encoded_members(count):
    """Return the members' records as they come over the network."""
    records = [MemberRecord(node=make_node(index)) for index in range(count)]
    return [encode(record) for record in records]


@cache
def encoded_endpoints(count):
    """Return the endpoints' records as they come over the network."""
    records = [
        EndpointRecord(
            name=make_endpoint(index).name,
            incarnation=1,
            listed=ListingState.LIVE,
            list_version=1,
            endpoint=make_endpoint(index),
        )
        for index in range(count)
    ]
    return [encode(record) for record in records]


def fill(gossip, nodes, endpoints):
    """Give a node tables of its own, with nothing left to hand out."""
    for record in encoded_members(nodes):
        gossip.members.merge(decode(record, MemberRecord).ok, now=0.0)
    gossip.merge_records(
        endpoints=[
            decode(record, EndpointRecord).ok
            for record in encoded_endpoints(endpoints)
        ],
        disseminate=False,
    )
    while gossip.members.table.next_for_gossip(sys.maxsize):
        pass


def measure(size, message_ms):
    """Return the figures of one size."""
    endpoints = round(size * SERVERS_A_NODE)
    rows = []

    async def body():
        async with trio.open_nursery() as nursery:
            row = await run_size(nursery, size, endpoints)
            rows.append(row)
            nursery.cancel_scope.cancel()

    run_in_virtual_time(body)
    network_ms = rows[0].messages_a_second * message_ms
    return replace(rows[0], network_ms_a_second=network_ms)


async def run_size(nursery, size, endpoints):
    """Run one site and measure it."""
    world = EndpointHarness(nursery=nursery, engines=endpoints)
    members = world.cluster.start_all(size)
    for member in members:
        fill(member.gossip, size, endpoints)
    await trio.sleep(WARM_SECONDS)
    assert len({member.gossip.endpoints.digest for member in members}) == 1
    assert len({member.gossip.members.table.digest for member in members}) == 1
    figures = await watch_window(world.network, size)
    sign = await time_sign(world, members, 'engine-1')
    death = await time_death(world, members)
    for member in members:
        member.push = lambda: None
    without = await time_sign(world, members, 'engine-2')
    return Row(
        nodes=size,
        endpoints=endpoints,
        **figures,
        state_bytes=state_bytes(size, endpoints),
        sign_seconds=sign,
        sign_without_push_seconds=without,
        death_seconds=death,
    )


async def watch_window(network, size):
    """Measure a window at rest."""
    bytes_before, messages_before = network.bytes, network.messages
    gc.collect()
    cpu_before = time.process_time()
    await trio.sleep(WINDOW_SECONDS)
    spent = time.process_time() - cpu_before
    whole = size * WINDOW_SECONDS
    messages = (network.messages - messages_before) / whole
    return {
        'bytes_a_second': (network.bytes - bytes_before) / whole,
        'messages_a_second': messages,
        'cpu_ms_a_second': spent * 1000 / whole,
        'network_ms_a_second': 0.0,
    }


async def measure_message():
    """Return the network's own processor time for one message, in ms."""
    network = FakeNetwork(seed=3)
    routes = PeerRoutes()
    word = MemberVersion(name='', incarnation=0, version=0)

    async def on_word(message):
        return Ok(word)

    routes.add('word', MemberVersion, on_word)
    address = make_node(0).peer_address
    call = network.add_peer(address, routes)
    before = time.process_time()
    for _ in range(CALIBRATION_MESSAGES // 2):
        await call(address, 'word', word, MemberVersion, timeout_seconds=1.0)
    spent = time.process_time() - before
    return spent * 1000 / CALIBRATION_MESSAGES


async def time_until(condition):
    """Return the seconds until a condition holds."""
    began = trio.current_time()
    with trio.move_on_after(SPREAD_SECONDS):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(LOOK_SECONDS)
    return round(trio.current_time() - began, 2)


async def time_sign(world, members, name):
    """Return the seconds until all hold an endpoint leaving."""
    world.signal_leaving(members[0], name)
    return await time_until(
        lambda: all(
            member.gossip.endpoints.find(name).leaving for member in members
        ),
    )


async def time_death(world, members):
    """Return the seconds until all hold a node dead."""
    killed = members[7]
    world.kill(7)
    members.remove(killed)
    members[0].record_connection_refused(killed.node.name)
    name = killed.node.name
    return await time_until(
        lambda: all(
            member.gossip.members.table.find(name).state is MemberState.DEAD
            for member in members
        ),
    )


def state_bytes(nodes, endpoints):
    """Return what the tables of one node take."""
    hooks = GossipHooks(
        on_members=lambda records: None,
        on_endpoints=lambda records: None,
        on_held=lambda held: None,
        own_version=lambda: MemberVersion(name='', incarnation=0, version=0),
    )
    gossip = Gossip(
        node=make_node(0),
        call=None,
        randomness=None,
        hooks=hooks,
    )
    gc.collect()
    tracemalloc.start()
    fill(gossip, nodes, endpoints)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def print_fits(rows):
    """Print a least-squares line over the number of nodes for each figure."""
    sizes = [row.nodes for row in rows]
    for name in asdict(rows[0]):
        if name in {'nodes', 'endpoints'}:
            continue
        line = linear_regression(sizes, [asdict(row)[name] for row in rows])
        at_size = line.intercept + line.slope * max(SIZES)
        print(
            f'{name}: {line.intercept:.4g} + {line.slope:.4g} * nodes; '
            f'{at_size:.4g} at {max(SIZES)}',
        )


def main(sizes):
    """Measure each size and print the fits."""
    message_ms = run_in_virtual_time(measure_message)
    rows = []
    for size in sizes:
        began = time.monotonic()
        rows.append(measure(size, message_ms))
        took = time.monotonic() - began
        print(asdict(rows[-1]), f'took {took:.0f} s', flush=True)
    print_fits(rows)


if __name__ == '__main__':
    main([int(each) for each in sys.argv[1:]] or SIZES)
