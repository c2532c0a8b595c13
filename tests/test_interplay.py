"""Faults in how back-offs, races, eras and the drain work together."""

import json
import math
import random
from dataclasses import replace

import trio
from expression import Error, Ok
from trio.testing import memory_stream_pair

from forward_harness import (
    make_announcements,
    make_endpoints,
    make_links,
    make_plain_placer,
    make_route,
    whole_response,
)
from knowledge_fakes import read_no_rows
from limpetdrift.coordination.endpoints.endpoint_gate import (
    EndpointSignals,
    make_gate,
)
from limpetdrift.coordination.forwarding.attempt_race import AttemptRace
from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.coordination.routing.routing_merge import EndpointListState
from limpetdrift.coordination.routing.routing_relay import RoutingRelay
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.platform.endpoint_sync import EndpointSync
from limpetdrift.platform.reservations import (
    RELEASE_WAIT_SECONDS,
    make_reserver,
)
from limpetdrift.platform.store import RowPage, StoredRow
from limpetdrift.platform.table_watcher import TableSubscription, TableWatcher
from limpetdrift.programs.serving import CLOSE_SECONDS
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.store_era import StoreEra
from limpetdrift.transport.server import Server
from limpetdrift.verdict import (
    Reason,
    may_have_run,
    not_run,
)
from member_cluster import make_node
from test_attempt_race import make_harness, serve, use
from test_forwarding import silent_then
from test_reservations import ENGINE, PLAN, SilentEngine
from virtual_time import in_virtual_time

FIRST = make_endpoints(1)[0]


def endpoint_row(version):
    value = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': '1',
        'slots': 8,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': 1,
        'incarnation': 1,
    }
    return StoredRow(
        key='i-1', version=version, value=json.dumps(value).encode()
    )


@in_virtual_time
async def test_running_request_keeps_its_memory_in_a_back_off():
    engine = SilentEngine()
    view = EndpointView(clock=trio.current_time)
    gate = make_gate(view, make_announcements())
    async with make_reserver(engine, 'entry-1', gate, make_links(view))(PLAN):
        await trio.sleep(0.5)
        # The engine turns another request of this entry away.
        gate.apply_signals(ENGINE, EndpointSignals(back_off_seconds=5.0))
        for _ in range(50):
            await trio.sleep(0.1)
            assert engine.endpoint.held_tokens() == 1000, trio.current_time()


@in_virtual_time
async def test_second_try_at_one_endpoint_frees_no_recovery_slot():
    view = EndpointView(clock=trio.current_time)
    view.replace((FIRST,))
    gate = make_gate(view, make_announcements())
    placer = make_plain_placer(view)
    gate.apply_signals(FIRST, EndpointSignals(back_off_seconds=0.5))
    await trio.sleep(0.6)
    works = [
        CallerRequest(
            request_id=f'r{n}',
            method='GET',
            target='/',
            headers=(),
            body=b'',
            route=make_route(),
            service='s',
            version=1,
            account='a',
            deadline=100.0,
            arrived_at=0.0,
            last_event_id=None,
            size=None,
            priority=0,
        )
        for n in range(3)
    ]
    # The first request is sent after the back-off, falls silent, and is
    # placed at the only endpoint once more, which the race then refuses.
    first = (await placer.place(works[0], frozenset())).ok
    assert gate.check_send(works[0], first) is None
    again = await placer.place(works[0], frozenset((FIRST.identity,)))
    placer.release(works[0], again.ok, ())
    assert (await placer.place(works[1], frozenset())).is_ok()
    assert (await placer.place(works[2], frozenset())).is_error()


class EraStore:
    """Fails the first poll after the first read, then never answers."""

    def __init__(self) -> None:
        self.polls = 0

    async def read(self, table, *, start=''):
        await trio.lowlevel.checkpoint()
        if self.polls:
            await trio.sleep(1.0)
            return Error(not_run(Reason.TIMEOUT, 'down'))
        return Ok(RowPage(rows=(), version=1, era=1))

    async def poll_changes(self, table, after, seconds):
        self.polls += 1
        if self.polls > 1:
            await trio.sleep(1.0)
        return Error(not_run(Reason.TIMEOUT, 'down'))


@in_virtual_time
async def test_era_from_a_peer_does_not_end_an_outage_of_the_store():
    watcher = TableWatcher(
        store=EraStore(),
        subscription=TableSubscription(
            table='op',
            on_snapshot=lambda page, at: None,
            on_changes=lambda page, at: None,
            on_confirmed=lambda at: None,
            on_store_lost=lambda: None,
            is_enabled=lambda: True,
            wait_enabled=trio.sleep_forever,
            long_poll_seconds=lambda: 1.0,
            max_retry_interval_seconds=lambda: 0.1,
        ),
        clock=trio.current_time,
        randomness=random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        await trio.sleep(0.5)
        assert watcher.is_store_unreachable
        watcher.restart()
        await trio.sleep(0.1)
        try:
            assert watcher.is_store_unreachable
        finally:
            nursery.cancel_scope.cancel()


@in_virtual_time
async def test_lifetime_of_unknown_row_is_back_once_its_row_is_rewritten():
    view = EndpointView(clock=trio.current_time)
    sync = EndpointSync(
        view=view, outage_within=math.isinf, on_drop=lambda: None
    )
    row = endpoint_row(50)
    endpoint = decode_endpoint(row.key, row.value).ok
    sync.replace((row,), era=1)
    sync.replace_from_peer((endpoint,), era=1)
    sync.apply((replace(row, version=51, value=None),))
    assert not view.listed
    sync.replace((replace(row, version=40),), era=2)
    # Written again in era 2, and read as a whole after a 410.
    sync.replace((replace(row, version=60),), era=2)
    assert view.listed


@in_virtual_time
async def test_request_that_releases_memory_is_answered_when_a_server_closes():
    async def handle(exchange):
        try:
            await trio.sleep_forever()
        finally:
            with trio.move_on_after(RELEASE_WAIT_SECONDS, shield=True):
                await trio.sleep_forever()

    server = Server(handler=handle)
    ours, theirs = memory_stream_pair()
    received = b''
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.handle_stream, theirs)
        await ours.send_all(b'GET / HTTP/1.1\r\nhost: h\r\n\r\n')
        await trio.sleep(0.1)
        await server.close(CLOSE_SECONDS)
        nursery.cancel_scope.cancel()
    with trio.move_on_after(1):
        received = await ours.receive_some(1000)
    assert received.startswith(b'HTTP/1.1 500')


@in_virtual_time
async def test_no_second_attempt_at_a_lifetime_whose_row_has_changed():
    race = AttemptRace()
    first, second = race.start(), race.start()
    first.endpoint = FIRST
    second.endpoint = replace(FIRST, slots=FIRST.slots + 1)
    assert race.is_used_by_other(second)


def test_tries_beside_at_the_only_endpoint_leave_a_retry():
    route = make_route(
        kind=RequestKind.IDEMPOTENT, timeout_seconds=20.0, attempt_limit=3
    )

    broken_late = silent_then(16, may_have_run(Reason.CONNECTION_BROKEN))

    harness = make_harness(broken_late, whole_response(200), endpoint_count=1)

    async def place(work, excluded):
        # As the plain placer does: an excluded endpoint if there is no other.
        return Ok(DispatchPlan(endpoint=harness.endpoints[0]))

    use(harness, place=place)
    exchange, seconds = serve(harness, route)
    assert len(harness.sent) == 2, (harness.sent, exchange, seconds)


@in_virtual_time
async def test_another_seed_is_polled_when_the_first_does_not_answer():
    calls = []

    async def call(address, *args, **options):
        calls.append(address)
        await trio.lowlevel.checkpoint()
        return Error(not_run(Reason.CONNECT_FAILED))

    node = make_node(0)
    era = StoreEra()
    relay = RoutingRelay(
        inputs=RoutingRelayInputs(
            node=node,
            call=call,
            routes=RouteTableCache(clock=trio.current_time),
            endpoint_list_state=EndpointListState(),
            evacuations=Evacuations(
                view=EndpointView(clock=trio.current_time), on_change=bool
            ),
            endpoints=tuple,
            replace_endpoints=lambda endpoints: None,
            entries=lambda: (node,),
            seeds=lambda: tuple(make_node(n).peer_address for n in (1, 2, 3)),
            is_store_unreachable=bool,
            is_store_behind=bool,
            store_era=era,
            clock=trio.current_time,
            randomness=random.Random(1),
            read_registered=read_no_rows,
            revoke_seconds=5.0,
        )
    )
    with trio.move_on_after(2):
        await relay.run()
    assert len(calls) > 1, calls
