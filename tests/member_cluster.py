"""A cluster of nodes with membership on a fake network, in virtual time."""

import random

import trio

from fake_network import FakeNetwork
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Node, Role
from limpetdrift.transport.messages import Address


def make_node(index, incarnation=1, region='kiambu'):
    domain = index % 3
    subnet = len(region)
    block, number = divmod(index, 256)
    host = f'10.{subnet}.{block}.{number}'
    return Node(
        name=f'{region}-{index}',
        incarnation=incarnation,
        role=Role.ENTRY,
        region=region,
        failure_domain=f'{region}-domain-{domain}',
        caller_address=Address(host=host, port=8100),
        peer_address=Address(host=host, port=8101),
    )


# Number of seed addresses of each region. The instance list names all nodes, so
# a restarted node finds any that is still running.
SEEDS_PER_REGION = 6


class Cluster:
    """Starts, kills and restarts nodes by region and index.

    ``extend`` makes a further task of each node from its ``Membership``.
    """

    def __init__(self, *, nursery, seed=1, regions=('kiambu',), extend=None):
        self.network = FakeNetwork(seed=seed)
        self.running = {}
        self._nursery = nursery
        self._randomness = random.Random(seed)
        self._scopes = {}
        self._incarnations = {}
        self._extend = extend
        self._seeds = tuple(
            make_node(index, region=region).peer_address
            for region in regions
            for index in range(SEEDS_PER_REGION)
        )

    def start(self, index, region='kiambu'):
        key = (region, index)
        incarnation = self._incarnations.get(key, 0) + 1
        self._incarnations[key] = incarnation
        node = make_node(index, incarnation, region)
        routes = PeerRoutes()
        membership = Membership(
            node=node,
            call=self.network.add_peer(node.peer_address, routes),
            seeds=lambda: self._seeds,
            randomness=random.Random(self._randomness.random()),
        )
        membership.register(routes)
        scope = trio.CancelScope()
        self.running[key] = membership
        self._scopes[key] = scope
        tasks = [membership.run]
        if self._extend is not None:
            tasks.append(self._extend(membership))
        self._nursery.start_soon(run_in, scope, tasks)
        return membership

    def start_all(self, count, region='kiambu'):
        return [self.start(index, region) for index in range(count)]

    def kill(self, index, region='kiambu'):
        membership = self.running.pop((region, index))
        self._scopes.pop((region, index)).cancel()
        self.network.kill(membership.node.peer_address)
        return membership

    def has_converged(self, region='kiambu'):
        """Return whether each running node holds exactly these nodes as live.

        Only nodes of ``region`` are checked; leaving ones count as live.
        """
        running = [
            membership
            for (node_region, _), membership in self.running.items()
            if node_region == region
        ]
        expected = {(each.node.name, each.node.incarnation) for each in running}
        return all(held_live(each) == expected for each in running)


async def run_in(scope, tasks):
    with scope:
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)


def held_live(membership):
    return {
        (member.node.name, member.node.incarnation)
        for member in membership.members()
        if member.state in {MemberState.LIVE, MemberState.LEAVING}
    }


async def wait_for(condition, seconds):
    """Wait until a condition holds; return the seconds that this took.

    Raises ``trio.TooSlowError`` after ``seconds``.
    """
    started = trio.current_time()
    with trio.fail_after(seconds):
        while not condition():  # noqa: ASYNC110
            await trio.sleep(0.05)
    # Without the rounding error of many steps: fifty add up to 2.5 s and more.
    return round(trio.current_time() - started, 6)
