"""Tests that all entries receive routes and endpoints, with true ages.

They cover the relay between entries and the watcher of the store's tables.
"""

import json
import random
from collections import Counter

import pytest
import trio

from fake_network import FakeNetwork
from forward_harness import make_endpoints
from knowledge_fakes import FakeStore, RelayEntry
from limpetdrift.coordination.routing.poll_replies import PollReplies
from limpetdrift.coordination.routing.poll_targets import (
    STALENESS_BOUND_SECONDS,
)
from limpetdrift.coordination.routing.routing_relay import (
    DUTY_CHECK_SECONDS,
    LONG_POLL_SECONDS,
    READER_LONG_POLL_SECONDS,
)
from limpetdrift.coordination.routing.store_readers import (
    CATCH_UP_SECONDS,
    DIRECT_READ_SECONDS,
)
from limpetdrift.platform.endpoint_sync import LAPSE_GRACE_SECONDS, EndpointSync
from limpetdrift.platform.table_watcher import (
    BURST_SECONDS,
    TableSubscription,
    TableWatcher,
)
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import digest_of, pack
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Reason, not_run
from virtual_time import (
    SEED,
    background_tasks,
    in_virtual_time,
    run_in_virtual_time,
)

READ_SECONDS = 0.5
# Time that the store takes to answer while it is slow.
STORE_SECONDS = 0.2
APPLY_SECONDS = 2.0
# Number of store readers in a deployment of 40 entries.
READERS = 3


def table(version: int) -> RouteTable:
    return RouteTable(version=version, routes=())


class Cluster:
    """Entries with relays, and the version of the store's route table."""

    def __init__(self, count: int, domains: int = 1) -> None:
        self.network = FakeNetwork(seed=1)
        self.version = 1
        self.store_reads = 0
        self.entries = [
            RelayEntry(number, self.network, self._nodes, f'd{domain}')
            for number in range(count)
            for domain in (number % domains,)
        ]

    async def poll_store(self, entry: RelayEntry) -> None:
        """Read the store periodically while the relay makes it a reader."""
        while True:
            if entry.relay.is_store_reader and not entry.is_store_unreachable:
                self.store_reads += 1
                entry.read(table(self.version))
            await trio.sleep(READ_SECONDS)

    def start(self, nursery: trio.Nursery) -> None:
        for entry in self.entries:
            nursery.start_soon(self.poll_store, entry)
            nursery.start_soon(entry.relay.run)

    def _nodes(self):
        return tuple(entry.node for entry in self.entries)


@in_virtual_time
async def test_few_entries_of_many_read_the_store_and_all_get_a_change():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        cluster.store_reads = 0
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}
        # Three readers make four reads each in two seconds, and one more.
        assert cluster.store_reads <= 3 * (APPLY_SECONDS / READ_SECONDS + 1)


@in_virtual_time
async def test_routes_are_relayed_within_the_failure_domain():
    """Replays a storm of configurations on many entries.

    Each version is sent to every entry, which is expensive between failure
    domains.
    """
    cluster = Cluster(60, domains=5)
    readers = {
        each.node.name: each.node.failure_domain
        for each in cluster.entries
        if each.relay.is_store_reader
    }
    assert sorted(readers.values()) == ['d0', 'd1', 'd2', 'd3', 'd4']
    for entry in cluster.entries:
        if entry.node.name not in readers:
            name, _ = entry.relay._choose_peer()
            assert readers[name] == entry.node.failure_domain


@in_virtual_time
async def test_reader_of_another_domain_is_polled_if_the_local_one_is_stale():
    cluster = Cluster(60, domains=5)
    async with background_tasks(cluster):
        await trio.sleep(5)
        reader = next(
            each for each in cluster.entries if each.relay.is_store_reader
        )
        reader.is_store_unreachable = True
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}


@in_virtual_time
async def test_all_entries_of_a_small_deployment_read_the_store():
    cluster = Cluster(9)
    assert all(entry.relay.is_store_reader for entry in cluster.entries)


@in_virtual_time
async def test_entry_reads_the_store_itself_when_its_reader_is_unreachable():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        reader = next(
            each for each in cluster.entries if each.relay.is_store_reader
        )
        cluster.network.isolate(reader.node.peer_address)
        reader.is_store_unreachable = True
        cluster.version = 2
        await trio.sleep(2 * LONG_POLL_SECONDS + STALENESS_BOUND_SECONDS)
        outdated = [
            entry.node.name
            for entry in cluster.entries
            if entry is not reader and entry.routes.version != 2
        ]
        assert not outdated


@in_virtual_time
async def test_entry_waits_for_its_duty_to_read_the_store_without_polling():
    """Guards the processor time of many entries that have nothing to do."""
    cluster = Cluster(40)
    waiting = next(
        each for each in cluster.entries if not each.relay.is_store_reader
    )
    started = trio.current_time()
    await waiting.relay.wait_store_reader()
    assert trio.current_time() - started >= DUTY_CHECK_SECONDS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(waiting.relay.wait_store_reader)
        started = trio.current_time()
        await trio.sleep(0.1)
        for name in ('first', 'second'):
            waiting.relay.readers.record_stale(
                name, has_failed=True, may_read=True
            )
    assert trio.current_time() - started < DUTY_CHECK_SECONDS
    assert waiting.relay.is_store_reader


@in_virtual_time
async def test_entry_that_the_store_rejects_polls_its_peers():
    cluster = Cluster(6)
    async with background_tasks(cluster):
        rejected = cluster.entries[0]
        rejected.is_store_unreachable = True
        await trio.sleep(3)
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert rejected.routes.version == 2
        assert rejected.routes.age_seconds() < 3


@in_virtual_time
async def test_relayed_routes_never_appear_fresher_than_they_are():
    """The age since the last read of any entry bounds all reported ages."""
    cluster = Cluster(30)
    async with background_tasks(cluster):
        await trio.sleep(5)
        for entry in cluster.entries:
            entry.is_store_unreachable = True
        stopped_at = trio.current_time()
        for _ in range(20):
            await trio.sleep(0.4)
            true_age = trio.current_time() - stopped_at
            reported_age = min(
                each.routes.age_seconds() for each in cluster.entries
            )
            assert reported_age >= true_age - 0.001


class LongPollCluster(Cluster):
    """Readers hold each read of the store open as long as the product does.

    What a read confirms counts from its start, as in the product.
    """

    async def poll_store(self, entry: RelayEntry) -> None:
        while True:
            requested_at = trio.current_time()
            await trio.sleep(READER_LONG_POLL_SECONDS + STORE_SECONDS)
            if entry.relay.is_store_reader:
                entry.routes.accept_newer(table(self.version), requested_at)


@in_virtual_time
async def test_readers_are_never_stale_while_nothing_changes():
    """Guards against readers whose reads last so long that they seem stale.

    Each entry that polls them would then read the store itself for 4 s.
    """
    cluster = LongPollCluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5 + DIRECT_READ_SECONDS)
        for _ in range(50):
            await trio.sleep(0.2)
            reading = [
                each for each in cluster.entries if each.relay.is_store_reader
            ]
            assert len(reading) <= READERS


@in_virtual_time
async def test_direct_reading_of_the_store_ends_after_a_time():
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5 + DIRECT_READ_SECONDS)
        reading = [
            each for each in cluster.entries if each.relay.is_store_reader
        ]
        assert len(reading) <= 3


def set_endpoint_list(entry: RelayEntry, count: int) -> None:
    """Give an entry a list of version 7 with ``count`` endpoints."""
    entry.endpoints = make_endpoints(count)
    entry.endpoint_list_state.version = 7
    entry.endpoint_list_state.digest = digest_of(entry.endpoints)
    entry.relay.notify_waiters()


@in_virtual_time
async def test_dropped_endpoints_are_dropped_everywhere_without_a_new_version():
    cluster = Cluster(40)
    for entry in cluster.entries:
        set_endpoint_list(entry, 3)
    async with background_tasks(cluster):
        await trio.sleep(5)
        for entry in cluster.entries:
            if entry.relay.is_store_reader:
                set_endpoint_list(entry, 2)
        await trio.sleep(LONG_POLL_SECONDS)
        assert {len(entry.endpoints) for entry in cluster.entries} == {2}


@in_virtual_time
async def test_each_version_is_packed_once_for_all_requests(monkeypatch):
    """Guards against one packing for each of 30 entries that poll a reader."""
    pack_counts = Counter()

    def count_pack(content: object) -> bytes:
        pack_counts[type(content)] += 1
        return pack(content)

    monkeypatch.setattr(f'{PollReplies.__module__}.pack', count_pack)
    cluster = Cluster(40)
    async with background_tasks(cluster):
        await trio.sleep(5)
        pack_counts.clear()
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}
    assert pack_counts[RouteTable] <= READERS


def endpoint_row(state: str = 'ready') -> bytes:
    return json.dumps(
        {
            'service': 's',
            'address': '10.0.0.1:80',
            'zone': 'd',
            'slots': 8,
            'state': state,
        },
    ).encode()


class EndpointListHarness:
    """A table watcher that keeps an endpoint view up to date."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.view = EndpointView(clock=trio.current_time)
        self.losses = 0
        self.drops = 0
        self.endpoint_sync = EndpointSync(
            view=self.view,
            outage_within=lambda seconds: self.table_watcher.outage_within(
                seconds
            ),
            on_drop=self._count_drop,
        )
        self.table_watcher = TableWatcher(
            store=store,
            subscription=TableSubscription(
                table='servers',
                on_snapshot=lambda page, at: self.endpoint_sync.replace(
                    page.rows
                ),
                on_changes=lambda page, at: self.endpoint_sync.apply(page.rows),
                on_confirmed=lambda at: None,
                on_store_lost=self._count_loss,
                is_enabled=lambda: True,
                wait_enabled=trio.lowlevel.checkpoint,
                long_poll_seconds=lambda: 1.0,
                max_retry_interval_seconds=lambda: 0.6,
            ),
            clock=trio.current_time,
            randomness=random.Random(1),
        )

    def names(self) -> list[str]:
        return [each.name for each in self.view.usable('s')]

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.table_watcher.run)
        nursery.start_soon(self.endpoint_sync.run)

    def _count_loss(self) -> None:
        self.losses += 1

    def _count_drop(self) -> None:
        self.drops += 1


@in_virtual_time
async def test_changes_of_the_endpoint_list_are_applied_at_once():
    store = FakeStore()
    store.put('a', endpoint_row())
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        assert harness.names() == ['a']
        store.put('b', endpoint_row())
        store.put('c', b'\xff nonsense')
        await trio.sleep(0.1)
        assert harness.names() == ['a', 'b']
        # The pause after a burst ends, or it would end as the check is made.
        await trio.sleep(BURST_SECONDS)
        store.put('a', endpoint_row('draining'))
        store.put('b', None)
        await trio.sleep(0.1)
        assert not harness.names()


@in_virtual_time
async def test_burst_of_changes_takes_few_calls():
    """Guards against a call for each of 60 endpoints that register at once."""
    store = FakeStore()
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        store.calls = 0
        for number in range(60):
            store.put(f'e{number}', endpoint_row())
            await trio.sleep(0.05)
        assert store.calls <= 3.0 / BURST_SECONDS + 1
        await trio.sleep(BURST_SECONDS)
        assert len(harness.names()) == 60


@in_virtual_time
async def test_leaving_endpoint_stays_leaving_when_the_list_says_ready():
    store = FakeStore()
    store.put('a', endpoint_row('draining'))
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        store.put('a', endpoint_row())
        await trio.sleep(0.1)
        assert not harness.names()


@in_virtual_time
async def test_truncated_changelog_leads_to_a_full_read():
    store = FakeStore()
    store.put('a', endpoint_row())
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        store.version += 5
        store.put('b', endpoint_row())
        store.truncate_changelog()
        await trio.sleep(1.5)
        assert harness.names() == ['a', 'b']


@in_virtual_time
async def test_endpoints_that_lapse_in_an_outage_are_kept_for_a_grace_period():
    store = FakeStore()
    store.put('a', endpoint_row())
    store.put('b', endpoint_row())
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        store.failure = not_run(Reason.STORE_UNAVAILABLE)
        store.put('a', None)
        store.put('b', None)
        await trio.sleep(4)
        assert harness.losses == 1
        store.failure = None
        await trio.sleep(LAPSE_GRACE_SECONDS / 2)
        assert harness.names() == ['a', 'b']
        store.put('a', endpoint_row())
        assert not harness.drops
        await trio.sleep(LAPSE_GRACE_SECONDS + 0.5)
        assert harness.names() == ['a']
        assert harness.drops == 1


@in_virtual_time
async def test_endpoint_removed_without_an_outage_is_dropped_at_once():
    store = FakeStore()
    store.put('a', endpoint_row())
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(5)
        store.put('a', None)
        await trio.sleep(0.1)
        assert not harness.names()


@in_virtual_time
async def test_endpoint_removed_well_after_an_outage_is_dropped_at_once():
    """Guards against keeping it 2 s more, as if it had lapsed in the outage."""
    store = FakeStore()
    store.put('a', endpoint_row())
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(0.1)
        store.failure = not_run(Reason.STORE_UNAVAILABLE)
        store.put('b', endpoint_row())
        await trio.sleep(4)
        store.failure = None
        await trio.sleep(LAPSE_GRACE_SECONDS + 1.5)
        store.put('a', None)
        await trio.sleep(0.3)
        assert harness.names() == ['b']


@in_virtual_time
async def test_failing_store_is_called_with_retry_intervals():
    store = FakeStore()
    store.failure = not_run(Reason.STORE_RATE)
    harness = EndpointListHarness(store)
    async with background_tasks(harness):
        await trio.sleep(10)
        assert 10 < store.calls < 50


def test_endpoint_restarted_under_its_name_has_a_new_lifetime():
    view = EndpointView(clock=float)
    first = make_endpoints(1)[0]
    view.replace([first])
    view.mark_leaving(first, 'test')
    assert not view.usable('s')
    restarted = make_endpoints(1)[0]
    restarted = type(restarted)(
        **{
            name: getattr(restarted, name)
            for name in restarted.__dataclass_fields__
            if name != 'lifetime'
        },
        lifetime=2,
    )
    view.put(restarted)
    assert view.usable('s') == (restarted,)
    assert not view.is_usable(first)


async def count_readers(cluster: Cluster, seconds: float) -> int:
    """Return the most entries that are readers at a time."""
    most = 0
    for _ in range(int(seconds / 0.1)):
        await trio.sleep(0.1)
        reading = [each.relay.is_store_reader for each in cluster.entries]
        most = max(most, sum(reading))
    return most


async def play_rejected_reader():
    """Return the most readers, and the most skipped, as one is rejected."""
    cluster = Cluster(80, domains=3)
    async with background_tasks(cluster):
        await trio.sleep(5 + DIRECT_READ_SECONDS)
        reader = next(
            each for each in cluster.entries if each.relay.is_store_reader
        )
        reader.is_store_unreachable = True
        readers = await count_readers(cluster, 10)
        skipping = [
            each.relay.readers.skipped_count for each in cluster.entries
        ]
        cluster.version = 2
        await trio.sleep(APPLY_SECONDS)
        assert {entry.routes.version for entry in cluster.entries} == {2}
        return readers, max(skipping)


@pytest.mark.parametrize('seed', [SEED, 6, 8])
def test_one_entry_takes_the_place_of_a_reader_that_the_store_rejects(seed):
    """Replays a store that turns away one reader, with 80 entries.

    All entries of its failure domain read the store themselves before. With
    these seeds of the order of tasks, up to 17 still did while the entry that
    takes the place didn't know of it.
    """
    readers, skipped = run_in_virtual_time(play_rejected_reader, seed)
    assert readers <= READERS + 2
    assert skipped == 1


@in_virtual_time
async def test_entry_that_takes_a_readers_place_is_given_time_to_read():
    """Guards against a cascade of entries that are skipped as they begin."""
    cluster = Cluster(20)
    readers = cluster.entries[0].relay.readers
    assert not readers.may_catch_up('e1')
    readers.record_stale('e2', has_failed=False, may_read=True)
    assert readers.may_catch_up('e1')
    await trio.sleep(CATCH_UP_SECONDS + 0.01)
    assert not readers.may_catch_up('e1')
    readers.record_stale('e1', has_failed=False, may_read=True)
    assert readers.skipped_names == ('e1', 'e2')


@in_virtual_time
async def test_entry_reads_the_store_once_it_is_next_after_those_skipped():
    cluster = Cluster(20)
    first = {e.node.name for e in cluster.entries if e.relay.is_store_reader}
    skipped = tuple(sorted(first))
    for entry in cluster.entries:
        entry.relay.readers.take_place(skipped)
    now = {e.node.name for e in cluster.entries if e.relay.is_store_reader}
    assert len(now - first) == len(first)
    await trio.sleep(DIRECT_READ_SECONDS)
    now = {e.node.name for e in cluster.entries if e.relay.is_store_reader}
    assert now == first


@in_virtual_time
async def test_entries_follow_changes_while_the_store_rejects_a_third():
    """Guards the bound within which a change is in force everywhere."""
    cluster = Cluster(80, domains=3)
    async with background_tasks(cluster):
        await trio.sleep(5 + DIRECT_READ_SECONDS)
        rejected = random.Random(3).sample(cluster.entries, 27)
        for each in rejected:
            each.is_store_unreachable = True
        for version in range(2, 8):
            cluster.version = version
            await trio.sleep(2 * LONG_POLL_SECONDS + STALENESS_BOUND_SECONDS)
            versions = {entry.routes.version for entry in cluster.entries}
            assert versions == {version}


@in_virtual_time
async def test_poll_under_way_is_replaced_by_one_with_the_present_timeout():
    """Guards against readers that confirm too seldom as others join."""
    store = FakeStore()
    timeouts = [1.0]
    watcher = TableWatcher(
        store=store,
        subscription=TableSubscription(
            table='t',
            on_snapshot=lambda page, at: None,
            on_changes=lambda page, at: None,
            on_confirmed=lambda at: None,
            on_store_lost=lambda: None,
            is_enabled=lambda: True,
            wait_enabled=trio.lowlevel.checkpoint,
            long_poll_seconds=lambda: timeouts[0],
            max_retry_interval_seconds=lambda: 1.0,
        ),
        clock=trio.current_time,
        randomness=random.Random(1),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        await trio.sleep(0.1)
        calls = store.calls
        timeouts[0] = 0.5
        watcher.poll_again()
        await trio.sleep(0.3)
        assert store.calls == calls + 1
        await trio.sleep(0.3)
        assert store.calls == calls + 2
        nursery.cancel_scope.cancel()
