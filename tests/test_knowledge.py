"""Routes and endpoints reach every entry in time, and look no fresher."""

import json
import random
from collections import Counter

import trio

from fake_network import FakeNetwork
from forward_harness import make_endpoints
from knowledge_fakes import FakeStore, RelayEntry
from limpetdrift.coordination.routing_relay import (
    ALONE_SECONDS,
    FRESH_SECONDS,
    WAIT_SECONDS,
    RoutingRelay,
)
from limpetdrift.platform.endpoint_sync import LAPSE_SECONDS, EndpointSync
from limpetdrift.platform.table_watcher import (
    BURST_SECONDS,
    TableSubscription,
    TableWatcher,
)
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import digest_of, pack
from limpetdrift.protocol.verdict import Reason, not_run
from limpetdrift.state.endpoint_view import EndpointView
from virtual_time import background_tasks, in_virtual_time

READ_SECONDS = 0.5
APPLY_SECONDS = 2.0
# Entries that read the store for forty.
READERS = 3


def table(version: int) -> RouteTable:
    return RouteTable(version=version, routes=())


class Cluster:
    """Entries before one store that holds a route table."""

    def __init__(self, count: int) -> None:
        self.network = FakeNetwork(seed=1)
        self.version = 1
        self.reads = 0
        self.entries = [
            RelayEntry(number, self.network, self._nodes)
            for number in range(count)
        ]

    async def follow_store(self, entry: RelayEntry) -> None:
        """Read the store as its followers do, where the relay asks for it."""
        while True:
            if entry.relay.is_store_reader and not entry.is_store_unreachable:
                self.reads += 1
                entry.read(table(self.version))
            await trio.sleep(READ_SECONDS)

    def start(self, nursery: trio.Nursery) -> None:
        for entry in self.entries:
            nursery.start_soon(self.follow_store, entry)
            nursery.start_soon(entry.relay.run)

    def _nodes(self):
        return tuple(entry.node for entry in self.entries)


@in_virtual_time
async def test_few_of_many_entries_read_the_store_and_all_follow():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        cluster.reads = 0
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}
        # Three readers, four reads each in two seconds, and one for a start.
        assert cluster.reads <= 3 * (APPLY_SECONDS / READ_SECONDS + 1)


@in_virtual_time
async def test_few_entries_all_read_the_store():
    cluster = Cluster(9)
    assert all(entry.relay.is_store_reader for entry in cluster.entries)


@in_virtual_time
async def test_entry_whose_reader_stands_still_reads_for_itself():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        reader = next(
            each for each in cluster.entries if each.relay.is_store_reader
        )
        cluster.network.isolate(reader.node.peer_address)
        reader.is_store_unreachable = True
        cluster.version = 2
        await trio.sleep(2 * WAIT_SECONDS + FRESH_SECONDS)
        late = [
            entry.node.name
            for entry in cluster.entries
            if entry is not reader and entry.routes.version != 2
        ]
        assert not late


@in_virtual_time
async def test_entry_that_the_store_turns_away_asks_peers():
    cluster = Cluster(6)
    async with background_tasks(cluster):
        cut = cluster.entries[0]
        cut.is_store_unreachable = True
        await trio.sleep(3)
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert cut.routes.version == 2
        assert cut.routes.age_seconds() < 3


@in_virtual_time
async def test_knowledge_never_looks_fresher_than_it_is():
    """The last read of any entry bounds the age that all others show."""
    cluster = Cluster(30)
    async with background_tasks(cluster):
        await trio.sleep(5)
        for entry in cluster.entries:
            entry.is_store_unreachable = True
        stopped_at = trio.current_time()
        for _ in range(20):
            await trio.sleep(0.4)
            true_age = trio.current_time() - stopped_at
            shown = min(each.routes.age_seconds() for each in cluster.entries)
            assert shown >= true_age - 0.001


@in_virtual_time
async def test_reading_alone_ends_after_a_while():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5 + ALONE_SECONDS)
        reading = [
            each for each in cluster.entries if each.relay.is_store_reader
        ]
        assert len(reading) <= 3


def hold(entry: RelayEntry, count: int) -> None:
    """Let an entry hold a list of one version with so many endpoints."""
    entry.endpoints = make_endpoints(count)
    entry.held.version = 7
    entry.held.digest = digest_of(entry.endpoints)
    entry.relay.notify_waiters()


@in_virtual_time
async def test_what_did_not_come_back_goes_everywhere_without_a_new_version():
    cluster = Cluster(40)
    for entry in cluster.entries:
        hold(entry, 3)
    async with background_tasks(cluster):
        await trio.sleep(5)
        for entry in cluster.entries:
            if entry.relay.is_store_reader:
                hold(entry, 2)
        await trio.sleep(WAIT_SECONDS)
        assert {len(entry.endpoints) for entry in cluster.entries} == {2}


@in_virtual_time
async def test_each_version_is_packed_once_for_all_who_ask(monkeypatch):
    """Answers a storm of changes that 30 entries ask one reader for."""
    packed = Counter()

    def count(content: object) -> bytes:
        packed[type(content)] += 1
        return pack(content)

    monkeypatch.setattr(f'{RoutingRelay.__module__}.pack', count)
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        packed.clear()
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}
    assert packed[RouteTable] <= READERS


def entry_row(state: str = 'ready') -> bytes:
    return json.dumps(
        {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'd',
            'slots': 8,
            'state': state,
        },
    ).encode()


class ListWorld:
    """A follower that keeps a view of endpoints."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.view = EndpointView(clock=trio.current_time)
        self.lost = 0
        self.drops = 0
        self.keeper = EndpointSync(
            view=self.view,
            outage_within=lambda seconds: self.follower.outage_within(seconds),
            on_drop=self._note_drop,
        )
        self.follower = TableWatcher(
            store=store,
            followed=TableSubscription(
                table='servers',
                on_snapshot=lambda page, at: self.keeper.replace(page.rows),
                on_changes=lambda page, at: self.keeper.apply(page.rows),
                on_confirmed=lambda at: None,
                on_store_lost=self._note_lost,
                is_enabled=lambda: True,
                long_poll_seconds=lambda: 1.0,
                max_retry_interval_seconds=lambda: 0.6,
            ),
            clock=trio.current_time,
            randomness=random.Random(1),
        )

    def names(self) -> list[str]:
        return [each.name for each in self.view.usable('s')]

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.follower.run)
        nursery.start_soon(self.keeper.run)

    def _note_lost(self) -> None:
        self.lost += 1

    def _note_drop(self) -> None:
        self.drops += 1


@in_virtual_time
async def test_changes_of_the_list_are_taken_as_they_come():
    store = FakeStore()
    store.put('a', entry_row())
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        assert world.names() == ['a']
        store.put('b', entry_row())
        store.put('c', b'\xff nonsense')
        await trio.sleep(0.1)
        assert world.names() == ['a', 'b']
        store.put('a', entry_row('draining'))
        store.put('b', None)
        await trio.sleep(0.1)
        assert not world.names()


@in_virtual_time
async def test_burst_of_changes_takes_few_calls():
    """Answers sixty endpoints that register while entries start."""
    store = FakeStore()
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        store.calls = 0
        for number in range(60):
            store.put(f'e{number}', entry_row())
            await trio.sleep(0.05)
        assert store.calls <= 3.0 / BURST_SECONDS + 1
        await trio.sleep(BURST_SECONDS)
        assert len(world.names()) == 60


@in_virtual_time
async def test_endpoint_that_leaves_stays_leaving_whatever_the_list_says():
    store = FakeStore()
    store.put('a', entry_row('draining'))
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        store.put('a', entry_row())
        await trio.sleep(0.1)
        assert not world.names()


@in_virtual_time
async def test_lost_history_is_read_anew():
    store = FakeStore()
    store.put('a', entry_row())
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        store.version += 5
        store.put('b', entry_row())
        store.truncate_changelog()
        await trio.sleep(1.5)
        assert world.names() == ['a', 'b']


@in_virtual_time
async def test_entries_that_lapse_while_the_store_is_away_are_kept():
    store = FakeStore()
    store.put('a', entry_row())
    store.put('b', entry_row())
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        store.failure = not_run(Reason.STORE_UNAVAILABLE)
        store.put('a', None)
        store.put('b', None)
        await trio.sleep(4)
        assert world.lost == 1
        store.failure = None
        await trio.sleep(LAPSE_SECONDS / 2)
        assert world.names() == ['a', 'b']
        store.put('a', entry_row())
        assert not world.drops
        await trio.sleep(LAPSE_SECONDS + 0.5)
        assert world.names() == ['a']
        assert world.drops == 1


@in_virtual_time
async def test_entry_that_goes_while_the_store_is_there_goes_at_once():
    store = FakeStore()
    store.put('a', entry_row())
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(5)
        store.put('a', None)
        await trio.sleep(0.1)
        assert not world.names()


@in_virtual_time
async def test_entry_that_goes_well_after_an_outage_goes_at_once():
    """Seen on a hunted day: it was kept for two more seconds as lapsed."""
    store = FakeStore()
    store.put('a', entry_row())
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(0.1)
        store.failure = not_run(Reason.STORE_UNAVAILABLE)
        store.put('b', entry_row())
        await trio.sleep(4)
        store.failure = None
        await trio.sleep(LAPSE_SECONDS + 1.5)
        store.put('a', None)
        await trio.sleep(0.3)
        assert world.names() == ['b']


@in_virtual_time
async def test_store_that_fails_is_asked_with_pauses():
    store = FakeStore()
    store.failure = not_run(Reason.STORE_RATE)
    world = ListWorld(store)
    async with background_tasks(world):
        await trio.sleep(10)
        assert 10 < store.calls < 50


def test_restart_under_the_same_name_is_another_lifetime():
    view = EndpointView(clock=float)
    first = make_endpoints(1)[0]
    view.replace([first])
    view.mark_leaving(first, 'test')
    assert not view.usable('s')
    again = make_endpoints(1)[0]
    again = type(again)(
        **{
            name: getattr(again, name)
            for name in again.__dataclass_fields__
            if name != 'lifetime'
        },
        lifetime=2,
    )
    view.put(again)
    assert view.usable('s') == (again,)
    assert not view.is_usable(first)
