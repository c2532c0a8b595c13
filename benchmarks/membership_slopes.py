"""Measures the cost of membership for a node, by the number of nodes.

Included are the nodes' copies of the list of endpoints, at the ratio of 700
endpoints to 330 nodes. All nodes run in one process and in virtual time, on
the tests' in-memory network, with real JSON bodies but no HTTP. Nodes start
with full tables, so the window shows a site without changes. Processor time
is read from the real clock over the window. It includes that of the simulated
network, which is measured separately on messages that are not processed, and
printed beside it. Run it with

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
from limpetdrift.coordination.membership.gossip import Gossip, GossipHooks
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
ENDPOINTS_PER_NODE = 700 / 330
WARM_UP_SECONDS = 3.0
WINDOW_SECONDS = 10.0
DISSEMINATION_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05
CALIBRATION_MESSAGES = 4000


@dataclass(frozen=True, kw_only=True)
class Row:
    """The figures of one size; bytes, messages and processor time per node.

    The last three fields are the times until all nodes have received that an
    endpoint is leaving, with and without pushes, and that a node is dead.
    Fields are printed under their names; ``sign`` stands for the record that
    an endpoint is leaving.
    """

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
    """Return the records of members, encoded as for the network."""
    records = [MemberRecord(node=make_node(index)) for index in range(count)]
    return [encode(record) for record in records]


@cache
def encoded_endpoints(count):
    """Return the records of endpoints, encoded as for the network."""
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
    """Fill a node's tables, with no records left to disseminate."""
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
    endpoints = round(size * ENDPOINTS_PER_NODE)
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
    """Run a site of one size and return its figures."""
    harness = EndpointHarness(nursery=nursery, engines=endpoints)
    members = harness.cluster.start_all(size)
    for member in members:
        fill(member.gossip, size, endpoints)
    await trio.sleep(WARM_UP_SECONDS)
    assert len({member.gossip.endpoints.digest for member in members}) == 1
    assert len({member.gossip.members.table.digest for member in members}) == 1
    figures = await measure_window(harness.network, size)
    leaving_seconds = await time_leaving(harness, members, 'engine-1')
    death_seconds = await time_death(harness, members)
    for member in members:
        member.push = lambda: None
    unpushed_seconds = await time_leaving(harness, members, 'engine-2')
    return Row(
        nodes=size,
        endpoints=endpoints,
        **figures,
        state_bytes=state_bytes(size, endpoints),
        sign_seconds=leaving_seconds,
        sign_without_push_seconds=unpushed_seconds,
        death_seconds=death_seconds,
    )


async def measure_window(network, size):
    """Return the cost of a window of time without changes."""
    bytes_before, messages_before = network.bytes, network.messages
    gc.collect()
    cpu_before = time.process_time()
    await trio.sleep(WINDOW_SECONDS)
    processor_time = time.process_time() - cpu_before
    node_seconds = size * WINDOW_SECONDS
    messages = (network.messages - messages_before) / node_seconds
    return {
        'bytes_a_second': (network.bytes - bytes_before) / node_seconds,
        'messages_a_second': messages,
        'cpu_ms_a_second': processor_time * 1000 / node_seconds,
        'network_ms_a_second': 0.0,
    }


async def measure_message():
    """Return the processor time of the simulated network per message, in ms."""
    network = FakeNetwork(seed=3)
    routes = PeerRoutes()
    reply = MemberVersion(name='', incarnation=0, version=0)

    async def handle_message(message):
        return Ok(reply)

    routes.add('word', MemberVersion, handle_message)
    address = make_node(0).peer_address
    send = network.add_peer(address, routes)
    before = time.process_time()
    for _ in range(CALIBRATION_MESSAGES // 2):
        await send(address, 'word', reply, MemberVersion, timeout_seconds=1.0)
    processor_time = time.process_time() - before
    return processor_time * 1000 / CALIBRATION_MESSAGES


async def time_until(condition):
    """Return the seconds until a condition holds, or until the timeout."""
    started = trio.current_time()
    with trio.move_on_after(DISSEMINATION_TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(POLL_INTERVAL_SECONDS)
    return round(trio.current_time() - started, 2)


async def time_leaving(harness, members, name):
    """Return the seconds until all nodes hold an endpoint as leaving."""
    harness.signal_leaving(members[0], name)
    return await time_until(
        lambda: all(
            member.gossip.endpoints.find(name).leaving for member in members
        ),
    )


async def time_death(harness, members):
    """Return the seconds until all nodes hold a killed node as dead."""
    killed = members[7]
    harness.kill(7)
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
    """Return the size of the tables of one node in bytes."""
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
    """Print a least-squares fit over the number of nodes for each figure."""
    sizes = [row.nodes for row in rows]
    for name in asdict(rows[0]):
        if name in {'nodes', 'endpoints'}:
            continue
        fit = linear_regression(sizes, [asdict(row)[name] for row in rows])
        at_size = fit.intercept + fit.slope * max(SIZES)
        print(
            f'{name}: {fit.intercept:.4g} + {fit.slope:.4g} * nodes; '
            f'{at_size:.4g} at {max(SIZES)}',
        )


def main(sizes):
    """Measure each size and print the fits."""
    message_ms = run_in_virtual_time(measure_message)
    rows = []
    for size in sizes:
        started = time.monotonic()
        rows.append(measure(size, message_ms))
        took = time.monotonic() - started
        print(asdict(rows[-1]), f'took {took:.0f} s', flush=True)
    print_fits(rows)


if __name__ == '__main__':
    main([int(each) for each in sys.argv[1:]] or SIZES)
