"""Components whose background tasks fail: what goes on, and what is lost."""

import random

import trio
from expression import Ok
from trio.testing import memory_stream_pair

from forward_harness import make_endpoints
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.record_replication import (
    RecordReplicator,
    ReplicatedRecords,
)
from limpetdrift.platform.table_watcher import TableSubscription, TableWatcher
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.supervision import keep_running
from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import Server
from limpetdrift.verdict import Reason
from server_harness import HEAD
from test_engine_report_poller import ENGINES, PollerHarness
from test_knowledge import FakeStore
from virtual_time import SEED, background_tasks, in_virtual_time


@in_virtual_time
async def test_report_that_fails_one_poll_ends_the_polls_of_others():
    harness = PollerHarness()
    ledger = harness.planner.ledger('s')
    note_report = ledger.note_report

    def note_or_fail(engine, report):
        if engine.name == ENGINES[0].name:
            raise OverflowError('pace')
        return note_report(engine, report)

    ledger.note_report = note_or_fail
    async with background_tasks(harness):
        await trio.sleep(5)
    reads = len(harness.read_times)
    assert reads >= 3 * 5


@in_virtual_time
async def test_probe_that_raises_leaves_requests_waiting_for_the_verdict():
    endpoints = make_endpoints(3)
    view = EndpointView(clock=trio.current_time)
    view.replace(endpoints)
    probed: list[float] = []

    async def probe(endpoint) -> bool:
        probed.append(trio.current_time())
        return trio.current_time() > 10

    monitor = LinkMonitor(
        view=view, probe=probe, randomness=random.Random(SEED)
    )
    hooks: list[frozenset[str]] = []

    def on_change(cut: frozenset[str]) -> None:
        hooks.append(cut)
        if len(hooks) == 1:
            raise KeyError('hook')

    monitor.on_change.append(on_change)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        await trio.sleep(5)
        monitor.record_failure(endpoints[0], Reason.CONNECT_FAILED)
        with trio.fail_after(1):
            await monitor.settle('s')
        await trio.sleep(10)
        # The watch has begun again, and found the link well.
        assert hooks[-1] == frozenset()
        monitor.record_failure(endpoints[1], Reason.CONNECT_FAILED)
        with trio.fail_after(1):
            await monitor.settle('s')
        nursery.cancel_scope.cancel()


class BrokenListener(trio.abc.Listener):
    """A listener of memory streams whose first few accepts fail."""

    def __init__(self, accept) -> None:
        self._accept = accept

    async def accept(self):
        return await self._accept()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


@in_virtual_time
async def test_error_of_a_listener_cuts_off_open_connections():
    caller, server_end = memory_stream_pair()
    late_caller, late_end = memory_stream_pair()
    coming = [server_end, OSError(9, 'bad'), OSError(9, 'bad'), late_end]

    async def accept():
        if not coming:
            await trio.sleep_forever()
        found = coming.pop(0)
        if isinstance(found, OSError):
            # The first request is under way.
            await trio.sleep(0.1)
            raise found
        return found

    async def handle(exchange) -> None:
        await trio.sleep(1)
        await exchange.respond(Response(status=200))

    server = Server(handler=handle)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, [BrokenListener(accept)])
        for stream in (caller, late_caller):
            await stream.send_all(HEAD)
        for stream in (caller, late_caller):
            with trio.fail_after(5):
                assert b'200' in await stream.receive_some(1000)
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_changes_that_could_not_be_applied_are_never_read_again():
    """After an error the whole table is read, and peers are asked meanwhile."""
    events: list[str] = []

    def on_snapshot(page, at) -> None:
        events.append('snapshot')
        if events.count('snapshot') < 3:
            raise OverflowError('lifetime')

    watcher = TableWatcher(
        store=FakeStore(),
        subscription=TableSubscription(
            table='t',
            on_snapshot=on_snapshot,
            on_changes=lambda page, at: None,
            on_confirmed=lambda at: events.append('confirmed'),
            on_store_lost=lambda: events.append('lost'),
            is_enabled=lambda: True,
            wait_enabled=trio.lowlevel.checkpoint,
            long_poll_seconds=lambda: 1.0,
            max_retry_interval_seconds=lambda: 1.0,
        ),
        clock=trio.current_time,
        randomness=random.Random(SEED),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_running, 'watcher', watcher.run)
        await trio.sleep(0.01)
        assert watcher.is_store_unreachable
        await trio.sleep(5)
        nursery.cancel_scope.cancel()
    assert events[:4] == ['snapshot', 'lost', 'snapshot', 'snapshot']
    assert 'confirmed' in events[4:]
    assert not watcher.is_store_unreachable


@in_virtual_time
async def test_error_about_one_peer_keeps_records_from_all_others():
    nodes = tuple(
        Node(
            name=f'e-{number}',
            incarnation=1,
            role=Role.ENTRY,
            region='r',
            failure_domain='d',
            caller_address=Address(host='10.0.0.1', port=8000 + number),
            peer_address=Address(host='10.0.0.1', port=9000 + number),
        )
        for number in range(4)
    )
    reached: list[tuple[int, object]] = []

    async def call(address, path, message, reply_type, *, timeout_seconds):
        await trio.sleep(0.01)
        if address.port == 9001:
            raise UnicodeError('host')
        reached.append((address.port, message))
        return Ok('pull')

    replicator = RecordReplicator(
        node=nodes[0],
        replicated=ReplicatedRecords(
            push_path='push',
            pull_path='pull',
            message_type=tuple,
            pull='pull',
            compose=lambda records: records,
            merge=lambda message: None,
            all_records=tuple,
            has_digest=lambda digest: True,
        ),
        live_entries=lambda: nodes,
        call=call,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replicator.run)
        for number in range(2):
            replicator.add(number)
            await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert sorted(reached) == [
        (9002, (0,)),
        (9002, (1,)),
        (9003, (0,)),
        (9003, (1,)),
    ]
