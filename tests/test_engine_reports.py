"""Tests groups and reclaim against the stand-in engine's HTTP interface."""

import trio

from limpet_standins.engine import make_engine
from limpet_standins.engine_messages import EngineSettings, StreamStart
from limpet_standins.local import make_local_fetch
from limpetdrift.coordination.homes.reclaim import Reclaimer, ReclaimInputs
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.protocol.codec import json_request
from limpetdrift.protocol.engine_management import make_engine_management_calls
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import in_virtual_time

MEMORY_TOKENS = 20_000
HUGE_TOKENS = 50_000


class LocalClient:
    """Fake of the ``HttpClient`` methods that engine management uses."""

    def __init__(self, *, engines):
        self._fetch = make_local_fetch(engines)

    async def fetch(self, address, request, *, timeout_seconds):
        return await self._fetch(address, request)


class StandInSite(Site):
    """A site whose engines are stand-in engines."""

    def __init__(self):
        self.stand_ins = {}
        fetch = make_local_fetch(self.stand_ins)
        super().__init__(entries=3, engines=5)
        for endpoint in self.endpoints:
            settings = EngineSettings(
                name=endpoint.name,
                model='m',
                address=str(endpoint.address),
                memory_tokens=MEMORY_TOKENS,
            )
            self.stand_ins[settings.address] = make_engine(
                settings, fetch=fetch
            )

    def reports_over(self, engines):
        client = LocalClient(engines=self.stand_ins)
        return make_engine_management_calls(client)

    def start_stand_ins(self, nursery):
        for stand_in in self.stand_ins.values():
            for task in stand_in.tasks:
                nursery.start_soon(task)

    async def call(self, address, request):
        fetch = make_local_fetch(self.stand_ins)
        return (await fetch(address, request)).ok

    async def allocated_tokens(self):
        loads = [
            await self.reports.allocations(e.address) for e in self.endpoints
        ]
        return sum(each.tokens for load in loads for each in load.ok)


def make_stream_start(placed):
    return StreamStart(
        stream_id='huge.1',
        request_key='huge',
        holder='entry-0',
        incarnation=1,
        model='m',
        prompt='a' * HUGE_TOKENS * 4,
        max_tokens=100,
        group=tuple(
            {'address': str(each.endpoint.address), 'hold_id': each.hold_id}
            for each in placed.group
        ),
    )


@in_virtual_time
async def test_group_runs_oversized_prompt_and_frees_memory():
    site = StandInSite()
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        site.start_stand_ins(nursery)
        request = make_request('huge', prompt_tokens=HUGE_TOKENS)
        placed = (await site.placers[0].place(request)).ok
        assert placed.group
        answer = await site.call(
            placed.endpoint.address,
            json_request('POST', '/v1/streams', make_stream_start(placed)),
        )
        assert b'"finish"' in answer.body
        site.placers[0].release(placed, AttemptOutcome.FINISHED)
        await trio.sleep(1)
        assert not await site.allocated_tokens()
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_reclaim_frees_each_kind_of_allocation():
    site = StandInSite()
    reclaimer = Reclaimer(
        inputs=ReclaimInputs(
            node=site.nodes[0],
            live_entries=lambda: (site.nodes[0],),
            endpoints=site.listed,
            call=site.network.add_peer(
                site.nodes[0].peer_address, PeerRoutes()
            ),
            reports=site.reports,
            owns=lambda key, attempt, incarnation: False,
        )
    )
    address = site.endpoints[0].address
    async with trio.open_nursery() as nursery:
        site.start_stand_ins(nursery)
        start = StreamStart(
            stream_id='s.1',
            holder='entry-0',
            model='m',
            prompt='a' * 4096,
            max_tokens=10,
        )
        await site.call(address, json_request('POST', '/v1/streams', start))
        hold = {'hold_id': 'h', 'tokens': 100, 'holder': 'entry-0'}
        await site.call(address, json_request('POST', '/v1/holds', hold))
        export = {'stream_id': 's.1', 'expires_in_seconds': 1000.0}
        await site.call(address, json_request('POST', '/v1/exports', export))
        assert await site.allocated_tokens()
        await trio.sleep(3)
        await reclaimer.reconcile_all()
        assert not await site.allocated_tokens()
        nursery.cancel_scope.cancel()
