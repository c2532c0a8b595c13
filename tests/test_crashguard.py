"""A request that crashes endpoints is refused everywhere, others are not."""

import trio

from fake_network import FakeNetwork
from forward_harness import make_endpoints, make_route
from limpetdrift.coordination.crash_guard import CRASH_LIMIT, CrashGuard
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.quarantine_replication import QuarantineReplicator
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.verdict import Reason, Verdict
from limpetdrift.protocol.work import CallerRequest
from limpetdrift.state.suspects import CrashSuspects
from limpetdrift.transport.messages import Address
from virtual_time import background_tasks, in_virtual_time

ENTRIES = 4


def make_work(body: bytes, request_id: str = 'a') -> CallerRequest:
    return CallerRequest(
        request_id=request_id,
        method='POST',
        target='/x',
        headers=(),
        body=body,
        route=make_route(),
        service='s',
        version=1,
        arrived_at=0.0,
        deadline=10.0,
        account='acme',
    )


class GuardWorld:
    """Guards of several entries, and which endpoints are dead."""

    def __init__(self) -> None:
        self.dead: set[str] = set()
        self.endpoints = make_endpoints(6)
        self.guards: list[CrashGuard] = []
        self._nodes: list[Node] = []
        network = FakeNetwork(seed=1)
        for number in range(ENTRIES):
            self._join(number, network)

    def start(self, nursery: trio.Nursery) -> None:
        for guard in self.guards:
            nursery.start_soon(guard.run)

    async def crash(self, guard: int, body: bytes, endpoint: int) -> None:
        """Let a request of an entry be on an endpoint that dies."""
        crashed = self.endpoints[endpoint]
        self.dead.add(crashed.name)
        self.guards[guard].report_broken_connection(make_work(body), crashed)
        await trio.sleep(0.1)

    def _join(self, number: int, network: FakeNetwork) -> None:
        address = Address(host=f'10.0.0.{number}', port=1)
        node = Node(
            name=f'e{number}',
            incarnation=1,
            role=Role.ENTRY,
            region='r',
            failure_domain='d',
            caller_address=address,
            peer_address=address,
        )
        self._nodes.append(node)
        peer_routes = PeerRoutes()
        suspects = CrashSuspects()
        replicator = QuarantineReplicator(
            node=node,
            suspects=suspects,
            live_entries=lambda: tuple(self._nodes),
            call=network.add_peer(address, peer_routes),
        )
        replicator.register(peer_routes)
        self.guards.append(
            CrashGuard(
                suspects=suspects,
                replicator=replicator,
                is_dead=self._is_dead,
            ),
        )

    async def _is_dead(self, endpoint) -> bool:
        await trio.sleep(0.01)
        return endpoint.name in self.dead


@in_virtual_time
async def test_request_that_crashes_endpoints_is_refused_by_all_entries():
    world = GuardWorld()
    async with background_tasks(world):
        for number in range(CRASH_LIMIT):
            assert world.guards[0].refusal(make_work(b'bad')) is None
            await world.crash(number, b'bad', number)
        for guard in world.guards:
            # It comes again under another id.
            refusal = guard.refusal(make_work(b'bad', 'b'))
            assert refusal.reason is Reason.QUARANTINED
            assert refusal.verdict is Verdict.NOT_RUN
            assert guard.refusal(make_work(b'good')) is None


@in_virtual_time
async def test_broken_connections_alone_refuse_nothing():
    """Endpoints that lose answers but live have not crashed."""
    world = GuardWorld()
    async with background_tasks(world):
        for _ in range(2 * CRASH_LIMIT):
            endpoint = world.endpoints[0]
            world.guards[0].report_broken_connection(
                make_work(b'good'), endpoint
            )
            await trio.sleep(0.1)
        assert world.guards[0].refusal(make_work(b'good')) is None


@in_virtual_time
async def test_requests_beside_a_crash_are_not_refused():
    world = GuardWorld()
    async with background_tasks(world):
        for number in range(CRASH_LIMIT):
            await world.crash(0, b'bad', number)
            await world.crash(1, b'beside-%d' % number, number)
        for number in range(CRASH_LIMIT):
            work = make_work(b'beside-%d' % number)
            assert all(guard.refusal(work) is None for guard in world.guards)


@in_virtual_time
async def test_one_crash_counts_once_for_all_who_asked_the_same():
    """Seen in the soak, seed 10: many equal requests at one endpoint."""
    world = GuardWorld()
    async with background_tasks(world):
        for _ in range(2 * CRASH_LIMIT):
            await world.crash(0, b'same', 0)
            await world.crash(1, b'same', 0)
        assert world.guards[0].refusal(make_work(b'same')) is None


@in_virtual_time
async def test_request_that_ends_well_in_between_is_no_suspect():
    world = GuardWorld()
    async with background_tasks(world):
        for number in range(2 * CRASH_LIMIT):
            await world.crash(0, b'same', number % 6)
            world.guards[0].report_success(make_work(b'same'))
            await trio.sleep(0.1)
        for guard in world.guards:
            assert guard.refusal(make_work(b'same')) is None
