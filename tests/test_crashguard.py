"""Requests that crash endpoints are refused by all entries, others are not."""

import random

import trio

from fake_network import FakeNetwork
from forward_harness import make_endpoints, make_route
from limpetdrift.coordination.crashes.crash_exchange import (
    CrashExchange,
    CrashExchangeInputs,
)
from limpetdrift.coordination.crashes.crash_guard import (
    BrokenAttempt,
    CrashGuard,
    CrashGuardInputs,
)
from limpetdrift.coordination.crashes.isolation_leases import IsolationLeases
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.work import CallerRequest, ListedEndpoint
from limpetdrift.state.crash_evidence import CrashEvidence
from limpetdrift.state.culprits import CRASH_LIMIT
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, Verdict
from virtual_time import background_tasks, in_virtual_time

ENTRIES = 4


def make_request(body: bytes, request_id: str = 'a') -> CallerRequest:
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


def make_broken(
    request: CallerRequest, endpoint: ListedEndpoint
) -> BrokenAttempt:
    return BrokenAttempt(
        request=request, endpoint=endpoint, seconds=0.1, events=0
    )


class GuardHarness:
    """The crash guards of several entries, and the set of dead endpoints."""

    def __init__(self) -> None:
        self.dead: set[str] = set()
        self.endpoints = make_endpoints(6)
        self.guards: list[CrashGuard] = []
        self._nodes: list[Node] = []
        network = FakeNetwork(seed=1)
        for number in range(ENTRIES):
            self._add_entry(number, network)

    def start(self, nursery: trio.Nursery) -> None:
        for guard in self.guards:
            nursery.start_soon(guard.run)

    async def crash(self, guard: int, body: bytes, endpoint: int) -> None:
        """Crash an endpoint while it runs a request of an entry."""
        crashed = self.endpoints[endpoint]
        self.dead.add(crashed.name)
        self.guards[guard].report_broken_connection(
            make_broken(make_request(body), crashed)
        )
        await trio.sleep(0.1)

    def _add_entry(self, number: int, network: FakeNetwork) -> None:
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
        call = network.add_peer(address, peer_routes)
        view = EndpointView(clock=trio.current_time)
        view.replace(self.endpoints)
        guard = CrashGuard(
            inputs=CrashGuardInputs(
                exchange=CrashExchange(
                    inputs=CrashExchangeInputs(
                        node=node,
                        evidence=CrashEvidence(clock=trio.current_time),
                        live_entries=lambda: tuple(self._nodes),
                        call=call,
                        clock=trio.current_time,
                        randomness=random.Random(number),
                    ),
                ),
                leases=IsolationLeases(
                    node=node,
                    live_entries=lambda: tuple(self._nodes),
                    call=call,
                ),
                view=view,
                is_dead=self._is_dead,
                clock=trio.current_time,
                time_of_day=trio.current_time,
            ),
        )
        guard.register(peer_routes)
        self.guards.append(guard)

    async def _is_dead(self, endpoint) -> bool:
        await trio.sleep(0.01)
        return endpoint.name in self.dead


@in_virtual_time
async def test_request_that_crashes_endpoints_is_refused_by_all_entries():
    harness = GuardHarness()
    async with background_tasks(harness):
        for number in range(CRASH_LIMIT):
            assert harness.guards[0].refusal(make_request(b'bad')) is None
            await harness.crash(number, b'bad', number)
        for guard in harness.guards:
            # A resend has another request id.
            refusal = guard.refusal(make_request(b'bad', 'b'))
            assert refusal.reason is Reason.QUARANTINED
            assert refusal.verdict is Verdict.NOT_RUN
            assert guard.refusal(make_request(b'good')) is None


@in_virtual_time
async def test_broken_connections_to_live_endpoints_refuse_nothing():
    """An endpoint that loses answers but accepts connections is not dead."""
    harness = GuardHarness()
    async with background_tasks(harness):
        for _ in range(2 * CRASH_LIMIT):
            endpoint = harness.endpoints[0]
            harness.guards[0].report_broken_connection(
                make_broken(make_request(b'good'), endpoint)
            )
            await trio.sleep(0.1)
        assert harness.guards[0].refusal(make_request(b'good')) is None


@in_virtual_time
async def test_requests_that_ran_beside_a_crashing_one_are_not_refused():
    harness = GuardHarness()
    async with background_tasks(harness):
        for number in range(CRASH_LIMIT):
            await harness.crash(0, b'bad', number)
            await harness.crash(1, b'beside-%d' % number, number)
        for number in range(CRASH_LIMIT):
            request = make_request(b'beside-%d' % number)
            assert all(
                guard.refusal(request) is None for guard in harness.guards
            )


@in_virtual_time
async def test_one_crash_counts_once_for_equal_requests():
    """Guards against counting one crash again for each equal request.

    Found by the soak test with seed 10.
    """
    harness = GuardHarness()
    async with background_tasks(harness):
        for _ in range(2 * CRASH_LIMIT):
            await harness.crash(0, b'same', 0)
            await harness.crash(1, b'same', 0)
        assert harness.guards[0].refusal(make_request(b'same')) is None


@in_virtual_time
async def test_request_that_succeeds_between_crashes_is_not_refused():
    harness = GuardHarness()
    async with background_tasks(harness):
        for number in range(2 * CRASH_LIMIT):
            await harness.crash(0, b'same', number % 6)
            harness.guards[0].report_harmless(make_request(b'same'))
            await trio.sleep(0.1)
        for guard in harness.guards:
            assert guard.refusal(make_request(b'same')) is None
