"""Tests that memory is reclaimed after crashes, freezes and partitions."""

import functools

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from engine_model import Run
from limpetdrift.coordination.homes.home_assignment import home_of
from limpetdrift.coordination.homes.reclaim import (
    RECLAIM_WITHIN_SECONDS,
    RECONCILE_INTERVAL_SECONDS,
    Reclaimer,
    ReclaimInputs,
)
from limpetdrift.coordination.peers import PeerRoutes
from placement_site import Site
from virtual_time import in_virtual_time, run_in_virtual_time

ENTRIES = 3
ENGINES = 2
DEADLINE_SECONDS = 20.0
FAULTS = ('kill', 'freeze', 'cut', 'silence_engine', 'split_views')


class Owners:
    """Simulated owners of attempts, whose processes crash and freeze.

    ``deadlines`` maps the keys of each owner's attempts to their deadlines.
    """

    def __init__(self, *, reconcile=True):
        self.site = Site(entries=ENTRIES, engines=ENGINES, memory_tokens=10**6)
        self.reconcile = reconcile
        self.deadlines = [{} for _ in range(ENTRIES)]
        self.incarnations = [1 for _ in range(ENTRIES)]
        self.scopes = [trio.CancelScope() for _ in range(ENTRIES)]
        self.frozen = set()
        self.views = [set(range(ENTRIES)) for _ in range(ENTRIES)]
        self.wrongly_freed = []
        self.allocation_count = 0
        for engine in self.site.engines.values():
            engine.remove = functools.partial(
                self.record_and_remove, engine.remove
            )

    def record_and_remove(self, remove, run_id):
        owner, deadline_at = self.owner_of(run_id)
        if owner is not None and trio.current_time() < deadline_at:
            self.wrongly_freed.append(run_id)
        remove(run_id)

    def owner_of(self, run_id):
        for owner, deadlines in enumerate(self.deadlines):
            key = run_id.partition('-')[2]
            deadline_at = deadlines.get(key)
            if deadline_at is not None:
                return owner, deadline_at
        return None, 0

    def owns(self, owner, request_key, attempt, incarnation):
        if incarnation != self.incarnations[owner]:
            return False
        key = f'{request_key}.'
        return key in self.owned_keys(owner)

    async def run_with_restarts(self, owner):
        """Run one owner's process and restart it after each kill."""
        node = self.site.nodes[owner]
        while True:
            routes = PeerRoutes()
            reclaimer = Reclaimer(
                inputs=ReclaimInputs(
                    node=node,
                    live_entries=functools.partial(self.seen_by, owner),
                    endpoints=self.site.listed,
                    call=self.site.network.add_peer(node.peer_address, routes),
                    reports=self.site.reports,
                    owns=functools.partial(self.owns, owner),
                )
            )
            reclaimer.register(routes)
            with trio.CancelScope() as scope:
                self.scopes[owner] = scope
                await self.reconcile_for(owner, reclaimer)
            self.deadlines[owner].clear()
            self.incarnations[owner] += 1
            self.site.network.kill(node.peer_address)
            await trio.sleep(4)

    async def reconcile_for(self, owner, reclaimer):
        while True:
            await trio.sleep(RECONCILE_INTERVAL_SECONDS)
            if self.reconcile and owner not in self.frozen:
                await reclaimer.reconcile_all()

    def seen_by(self, owner):
        return tuple(self.site.nodes[each] for each in self.views[owner])

    def allocate(self, owner, engine_number, kind):
        """Record the attempt, then allocate, in the order of real owners."""
        engine = list(self.site.engines.values())[engine_number]
        if owner in self.frozen or engine.down:
            return
        self.allocation_count += 1
        key = f'{self.allocation_count}.'
        now = trio.current_time()
        self.deadlines[owner][key] = now + DEADLINE_SECONDS
        engine.add(
            Run(
                id=f'{kind}-{key}',
                kind=kind,
                request_key=str(self.allocation_count),
                attempt=1,
                holder=f'entry-{owner}',
                incarnation=self.incarnations[owner],
                tokens=1000,
                started_at=now,
                expires_at=now + DEADLINE_SECONDS,
            )
        )

    def forget(self, owner):
        """Drop the oldest attempt without freeing its memory."""
        for key in list(self.deadlines[owner])[:1]:
            self.deadlines[owner].pop(key)

    def kill(self, owner):
        self.scopes[owner].cancel()

    def freeze(self, owner):
        if owner not in self.frozen:
            self.frozen.add(owner)
            self.site.network.freeze(self.site.nodes[owner].peer_address)

    def cut(self, owner):
        address = self.site.nodes[owner].peer_address
        other = self.site.nodes[(owner + 1) % ENTRIES].peer_address
        self.site.network.cut(address, other)

    def silence_engine(self, owner):
        list(self.site.engines.values())[owner % ENGINES].down = True

    def split_views(self, owner):
        self.views[owner] = {owner}

    def heal(self):
        self.site.network.heal()
        for owner in self.frozen:
            self.site.network.thaw(self.site.nodes[owner].peer_address)
        self.frozen.clear()
        self.views = [set(range(ENTRIES)) for _ in range(ENTRIES)]
        for engine in self.site.engines.values():
            engine.down = False

    def owned_keys(self, owner):
        now = trio.current_time()
        deadlines = self.deadlines[owner].items()
        return {key for key, deadline_at in deadlines if deadline_at > now}

    def allocated_keys(self):
        return {
            run_id.partition('-')[2]
            for engine in self.site.engines.values()
            for run_id in engine.runs
        }


owners_st = st.integers(0, ENTRIES - 1)
allocate_st = st.tuples(
    st.just('allocate'),
    owners_st,
    st.integers(0, ENGINES - 1),
    st.sampled_from(('stream', 'hold', 'export')),
)
script_st = st.lists(
    st.tuples(
        st.sampled_from((0.1, 1.0, 5.0)),
        st.one_of(
            allocate_st,
            st.tuples(st.just('forget'), owners_st),
            st.tuples(st.sampled_from(FAULTS), owners_st),
            st.tuples(st.just('heal')),
        ),
    ),
    min_size=5,
    max_size=25,
)


async def run_script(script, owners):
    async with trio.open_nursery() as nursery:
        for each in range(ENTRIES):
            nursery.start_soon(owners.run_with_restarts, each)
        await trio.sleep(0.1)
        for pause, (action, *details) in script:
            await trio.sleep(pause)
            getattr(owners, action)(*details)
        owners.heal()
        await trio.sleep(RECLAIM_WITHIN_SECONDS)
        owned_keys = set().union(*map(owners.owned_keys, range(ENTRIES)))
        assert owners.allocated_keys() <= owned_keys
        assert not owners.wrongly_freed
        nursery.cancel_scope.cancel()


@settings(max_examples=150)
@given(script=script_st)
def test_reclaim_frees_only_memory_without_live_owner(script):
    run_in_virtual_time(functools.partial(run_script, script, Owners()))


def test_memory_is_lost_without_reconciliation():
    script = [(0.1, ('allocate', 0, 0, 'export')), (0.1, ('forget', 0))]
    with pytest.raises(ExceptionGroup) as raised:
        run_in_virtual_time(
            functools.partial(run_script, script, Owners(reconcile=False)),
        )
    assert not raised.value.split(AssertionError)[1]


@in_virtual_time
async def test_unreachable_owner_keeps_stream_until_expiry():
    owners = Owners()
    engine_endpoint = owners.site.endpoints[0]
    home = home_of(engine_endpoint, owners.site.nodes)
    owner = (owners.site.nodes.index(home) + 1) % ENTRIES
    engine = owners.site.engines[engine_endpoint.address]
    async with trio.open_nursery() as nursery:
        for each in range(ENTRIES):
            nursery.start_soon(owners.run_with_restarts, each)
        await trio.sleep(0.1)
        owners.site.network.isolate(owners.site.nodes[owner].peer_address)
        owners.allocate(owner, 0, 'stream')
        await trio.sleep(DEADLINE_SECONDS - 1)
        assert engine.runs
        await trio.sleep(10)
        assert not engine.runs
        nursery.cancel_scope.cancel()
