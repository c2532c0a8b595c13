"""Claims against the table and object store stand-ins as processes."""

import random

import trio

from claim_harness import ENDPOINT
from limpet_standins.processes import Processes
from limpet_standins.remote import call, set_faults
from limpetdrift.coordination.claims.claim_outcomes import (
    ClaimFinished,
    ClaimGranted,
    ClaimRequest,
)
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerRoutes, make_peer_call
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.objects import make_object_calls
from limpetdrift.protocol.table_client import make_table_calls
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claim_sweep import RETENTION_EPOCHS, ClaimSweep
from limpetdrift.state.claims import (
    INLINE_RESULT_BYTES,
    ClaimStore,
    StoredResult,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, parse_address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import Server, bound_address, listen
from limpetdrift.verdict import Reason, Verdict

EPOCH = 1
SECRET = 'known to peers'
LARGE = StoredResult(status=200, body=b'x' * (INLINE_RESULT_BYTES + 1))


class Entry:
    """The claims of one entry, with its peer API on a socket."""

    def __init__(self, *, name, table, objects):
        self.name = name
        client = HttpClient()
        self.budget = Budget(
            calls=make_table_calls(client, parse_address(table)),
            rates=StoreRates(),
            live_nodes=lambda: 2,
            randomness=random.Random(name),
        )
        self.table = self.budget.calls(Priority.CLAIM)
        self.objects = make_object_calls(client, parse_address(objects))
        self._peer_call = make_peer_call(client, SECRET)

    async def start(self, nursery):
        routes = Routes()
        listeners = await listen(Address(host='127.0.0.1', port=0))
        address = bound_address(listeners)
        self.claims = Claims(
            node=Node(
                name=self.name,
                incarnation=1,
                role=Role.ENTRY,
                region='kiambu',
                failure_domain='thika-hall',
                caller_address=address,
                peer_address=address,
            ),
            store=ClaimStore(
                table=self.table,
                objects=self.objects,
                epoch=lambda: EPOCH,
            ),
            peer_call=self._peer_call,
            randomness=random.Random(self.name),
        )
        peer_routes = PeerRoutes()
        self.claims.register(peer_routes)
        peer_routes.mount(routes, SECRET)
        nursery.start_soon(self.budget.run)
        nursery.start_soon(self.claims.run)
        nursery.start_soon(Server(handler=routes.handle).serve, listeners)

    async def acquire(self, key, body='body'):
        return await self.claims.acquire_claim(
            ClaimRequest(
                account='simu-kona',
                idempotency_key=key,
                fingerprint=body,
                endpoint=ENDPOINT,
                stream_id=f'{self.name}-{key}',
                deadline=trio.current_time() + 10,
            ),
        )


async def claim_across_entries(table, objects):
    first = Entry(name='entry-1', table=table, objects=objects)
    second = Entry(name='entry-2', table=table, objects=objects)
    async with trio.open_nursery() as nursery:
        await first.start(nursery)
        await second.start(nursery)
        await trio.to_thread.run_sync(lambda: lose_answer(table))
        granted = (await first.acquire('van-1')).ok
        assert isinstance(granted, ClaimGranted)
        running = (await second.acquire('van-1')).ok
        assert running.running
        assert running.claim.row.stream_id == 'entry-1-van-1'
        assert first.claims.may_dispatch(granted.token, trio.current_time() + 9)
        assert await first.claims.finish(granted.token, LARGE) == LARGE
        assert (await second.acquire('van-1')).ok == ClaimFinished(result=LARGE)
        other = (await second.acquire('van-1', body='another body')).error
        assert other.reason is Reason.CONFLICT
        await take_over(first, second)
        await sweep_all(first)
        assert isinstance((await second.acquire('van-1')).ok, ClaimGranted)
        await trio.to_thread.run_sync(lambda: set_faults(table, down=True))
        refused = (await first.acquire('van-3')).error
        assert refused.verdict is Verdict.NOT_RUN
        nursery.cancel_scope.cancel()


def lose_answer(table):
    set_faults(table, lose_answers=1)


async def take_over(first, second):
    withdrawn = (await first.acquire('van-2')).ok
    first.claims.withdraw_claim(withdrawn.token)
    assert isinstance((await second.acquire('van-2')).ok, ClaimGranted)
    assert not first.claims.may_dispatch(
        withdrawn.token, trio.current_time() + 9
    )


async def sweep_all(entry):
    sweep = ClaimSweep(table=entry.table, objects=entry.objects)
    retained = await sweep.sweep_page(EPOCH + RETENTION_EPOCHS)
    assert retained.ok == 0
    expired = await sweep.sweep_page(EPOCH + RETENTION_EPOCHS + 1)
    assert expired.ok == 2


def test_claims_hold_over_http_with_stand_in_processes():
    with Processes() as processes:
        table = processes.start('table', 'limpet_standins.table').address
        objects = processes.start('objects', 'limpet_standins.objects').address
        trio.run(claim_across_entries, table, objects)
        set_faults(table)
        scanned = call(table, 'POST', '/v1/scans', {'table': 'claims'})
        assert [row['version'] for row in scanned['rows']] == [1]
