"""Tests that entries survive a store that comes back from an older copy.

The store's versions go back then and are given out again; its era rises.
"""

import functools
import json
import random

import pytest
import trio
from expression import Ok

from era_site import REVOKE_SECONDS, EraSite
from limpet_standins.local import call_local
from limpet_standins.platform_store import StandinStore
from limpetdrift.platform.endpoint_sync import LAPSE_GRACE_SECONDS
from limpetdrift.platform.registration import (
    REWRITE_SPREAD_SECONDS,
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.registration import TABLE as REGISTRATION_TABLE
from limpetdrift.platform.store import RowPage, StoredRow
from limpetdrift.platform.store_replica import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    CONFIRMATION_INTERVAL_SHARE,
)
from limpetdrift.platform.table_watcher import TableSubscription, TableWatcher
from limpetdrift.protocol.codec import json_request
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.store_era import EraOrder, StoreEra, classify_era
from limpetdrift.transport.messages import OK, Request
from virtual_time import background_tasks, in_virtual_time

GONE = 410
UNAVAILABLE = 503
CONFIRMATION_SECONDS = REVOKE_SECONDS * CONFIRMATION_INTERVAL_SHARE


async def call(store, request):
    return (await call_local(store.make_routes(), request)).ok


async def read(store, table='op'):
    return await call(
        store,
        Request(method='GET', path='/-/rows-get', query={'table': table}),
    )


async def poll(store, after, wait_ms=0, table='op'):
    query = {
        'table': table,
        'afterRevision': str(after),
        'waitMs': str(wait_ms),
    }
    return await call(
        store, Request(method='GET', path='/-/rows-feed', query=query)
    )


@in_virtual_time
async def test_standin_returns_to_a_copy_and_gives_its_versions_out_again():
    store = StandinStore()
    store.put('op', 'config', {'version': 1})
    copy = store.rows.take_copy()
    store.put('op', 'config', {'version': 2})
    store.put('op', 'other', {})
    newest = json.loads((await read(store)).body)['schemaVersion']
    store.rows.return_to(copy)
    page = json.loads((await read(store)).body)
    assert [row['key'] for row in page['rows']] == ['config']
    assert page['schemaVersion'] == newest - 2
    assert (await poll(store, newest)).status == GONE
    assert (await poll(store, newest - 2)).status == OK
    store.put('op', 'again', {})
    assert [
        row.version for row in store.rows.changes_after('op', newest - 2)
    ] == [newest - 1]


@in_virtual_time
async def test_standin_names_its_era_in_all_answers():
    store = StandinStore()
    copy = store.rows.take_copy()
    write = json_request('POST', '/-/rows-tx', {'puts': []})
    answers = [
        await read(store),
        await poll(store, 9),
        await call(store, write),
    ]
    store.failing_status = UNAVAILABLE
    answers.append(await read(store))
    assert [each.status for each in answers] == [OK, GONE, OK, UNAVAILABLE]
    assert {each.header('store-era') for each in answers} == {'1'}
    store.failing_status = None
    store.rows.return_to(copy)
    assert (await read(store)).header('store-era') == '2'
    store.era_text = ''
    assert not (await read(store)).header('store-era')


@in_virtual_time
async def test_standin_is_away_for_a_moment_and_open_polls_end():
    store = StandinStore()
    copy = store.rows.take_copy()
    ended_at = []

    async def wait_for_changes():
        await poll(store, store.rows.take_copy().version, wait_ms=30_000)
        ended_at.append(trio.current_time() - started_at)

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_changes)
        await trio.sleep(1)
        nursery.start_soon(
            functools.partial(store.restore, copy, away_seconds=0.5)
        )
        await trio.sleep(0.2)
        assert (await read(store)).status == UNAVAILABLE
        await trio.sleep(0.5)
        assert (await read(store)).status == OK
    assert ended_at == [1]
    assert store.rows.era == 2


def test_era_of_an_answer_is_compared_to_the_known_one():
    orders = [
        (5, '5', EraOrder.SAME),
        (5, '6', EraOrder.NEWER),
        (5, '4', EraOrder.OLDER),
        (5, '0', EraOrder.OLDER),
        (0, '1', EraOrder.NEWER),
    ]
    for known, text, order in orders:
        assert classify_era(known, text) is order
    for text in ('', 'x', '-6', '6.0', '+6', '\u0666', '1' + 30 * '0'):
        assert classify_era(5, text) is EraOrder.UNREADABLE


def test_missing_header_is_logged_once_and_counts_as_the_last_known_era(
    caplog,
):
    caplog.set_level('INFO', 'absl')
    era = StoreEra()
    era.observe('3', 'read')
    for text in ('', 'x', ''):
        assert era.observe(text, 'read') is EraOrder.UNREADABLE
    assert era.known == 3
    message = 'answer of the store names no valid era'
    assert caplog.messages.count(message) == 1


async def settle(site):
    """Write a first configuration and endpoint, and let all entries read."""
    site.write_configuration(1, 'first')
    site.write_endpoint('a')
    await trio.sleep(1)


@in_virtual_time
async def test_versions_given_out_again_hide_no_change_of_the_endpoint_list():
    """Guards against a feed that goes on at a version of the era before.

    The store returns to an older copy while the entry is cut off, and has
    given out more versions than before when the entry polls again.
    """
    site = EraSite(1)
    entry = site.entries[0]
    async with background_tasks(site):
        await settle(site)
        copy = site.store.rows.take_copy()
        site.write_endpoint('b')
        await trio.sleep(1)
        assert entry.usable() == ['a', 'b']
        entry.client.is_cut = True
        await trio.sleep(1)
        site.return_to(copy)
        site.write_endpoint('c')
        site.write_endpoint('d')
        entry.client.is_cut = False
        await trio.sleep(1)
        assert entry.usable() == ['a', 'b', 'c', 'd']
        await trio.sleep(2 * LAPSE_GRACE_SECONDS)
        assert entry.usable() == ['a', 'c', 'd']


@in_virtual_time
async def test_write_that_sees_a_new_era_makes_both_tables_be_read_at_once():
    site = EraSite(1)
    entry = site.entries[0]
    async with background_tasks(site):
        await settle(site)
        entry.client.calls.clear()
        entry.store.era.learn(2, 'write')
        await trio.sleep(0.1)
        assert entry.client.calls[:2] == ['/-/rows-get', '/-/rows-get']


@in_virtual_time
async def test_answer_from_an_earlier_era_is_ignored(caplog):
    caplog.set_level('INFO', 'absl')
    site = EraSite(1)
    entry = site.entries[0]
    async with background_tasks(site):
        await settle(site)
        entry.store.era.learn(5, 'write')
        site.write_endpoint('b')
        await trio.sleep(1)
        assert entry.usable() == ['a']
        assert 'answer from an earlier era of the store ignored' in (
            caplog.messages
        )
        site.store.era_text = '5'
        await trio.sleep(2)
        assert entry.usable() == ['a', 'b']


@in_virtual_time
async def test_store_without_eras_is_followed_as_before():
    site = EraSite(2)
    site.store.era_text = ''
    async with background_tasks(site):
        await settle(site)
        site.write_endpoint('b')
        site.write_configuration(2, 'second')
        await trio.sleep(1)
        for entry in site.entries:
            assert entry.usable() == ['a', 'b']
            assert entry.routes.version == 2
            assert entry.routes.age_seconds() < 2


class PagedStore:
    """Serves a table in two pages, between which the store's era rises."""

    def __init__(self) -> None:
        self.starts = []

    async def read(self, table, *, start=''):
        await trio.sleep(0.01)
        self.starts.append(start)
        is_old = len(self.starts) == 1
        names = ('a', 'gone') if is_old else ('a', 'b')
        rows = tuple(
            StoredRow(key=name, version=1, value=b'') for name in names
        )
        page = rows[1:] if start else rows[:1]
        return Ok(
            RowPage(
                rows=page,
                version=9 if is_old else 5,
                era=1 if is_old else 2,
                truncated=not start,
            )
        )

    async def poll_changes(self, table, version, seconds):
        await trio.sleep_forever()


@in_virtual_time
async def test_full_read_that_spans_a_return_starts_over():
    store = PagedStore()
    snapshots = []
    watcher = TableWatcher(
        store=store,
        subscription=TableSubscription(
            table='servers',
            on_snapshot=lambda page, at: snapshots.append(page),
            on_changes=lambda page, at: None,
            on_confirmed=lambda at: None,
            on_store_lost=lambda: None,
            is_enabled=lambda: True,
            wait_enabled=trio.lowlevel.checkpoint,
            long_poll_seconds=lambda: 1.0,
            max_retry_interval_seconds=lambda: 0.6,
        ),
        clock=trio.current_time,
        randomness=random.Random(1),
    )
    with trio.move_on_after(1):
        await watcher.run()
    assert len(snapshots) == 1
    snapshot = snapshots[0]
    assert [row.key for row in snapshot.rows] == ['a', 'b']
    assert (snapshot.era, snapshot.version) == (2, 5)
    assert store.starts == ['', 'a\0', '', 'a\0']


@in_virtual_time
async def test_older_copy_confirms_no_configuration_that_a_newer_one_replaced(
    caplog,
):
    """Guards against a revoked key that seems confirmed, and age that stops.

    The store lost the version that revoked the key.
    """
    caplog.set_level('INFO', 'absl')
    site = EraSite(3)
    async with background_tasks(site):
        await settle(site)
        copy = site.store.rows.take_copy()
        site.write_configuration(2, 'second')
        await trio.sleep(1)
        returned_at = trio.current_time()
        site.return_to(copy)
        for entry in site.entries:
            entry.client.calls.clear()
        await trio.sleep(8)
        for entry in site.entries:
            assert entry.keys() == {'second'}
            assert entry.routes.confirmed_at <= returned_at
            # Eight seconds take 6.4 polls of one table, 2.7 of the other.
            assert len(entry.client.calls) < 16
        message = 'store shows an older configuration than the one in force'
        assert caplog.messages.count(message) == 3
        site.write_configuration(2, 'second')
        await trio.sleep(0.5)
        # The age counts from the start of the poll that showed the version.
        for entry in site.entries:
            assert entry.routes.age_seconds() < 0.5 + CONFIRMATION_SECONDS


@in_virtual_time
async def test_version_given_out_again_with_other_content_is_applied():
    site = EraSite(3)
    async with background_tasks(site):
        await settle(site)
        copy = site.store.rows.take_copy()
        site.write_configuration(2, 'lost')
        await trio.sleep(1)
        site.return_to(copy)
        await trio.sleep(1)
        site.write_configuration(2, 'again')
        await trio.sleep(1)
        for entry in site.entries:
            assert entry.keys() == {'again'}
            assert entry.routes.age_seconds() < 2


@in_virtual_time
async def test_entry_that_reads_an_older_copy_takes_the_newest_from_a_peer():
    """An entry that was cut off, and one that starts, know no better."""
    site = EraSite(3)
    cut = site.entries[0]
    async with background_tasks(site):
        await settle(site)
        copy = site.store.rows.take_copy()
        cut.client.is_cut = True
        site.network.isolate(cut.node.peer_address)
        await trio.sleep(1)
        site.write_configuration(2, 'second')
        await trio.sleep(1)
        site.return_to(copy)
        await trio.sleep(1)
        site.network.heal()
        cut.client.is_cut = False
        started = site.add_entry()
        confirmed_tables = []
        for _ in range(400):
            await trio.sleep(0.005)
            for entry in (cut, started):
                if entry.routes.age_seconds() < 0.5:
                    confirmed_tables.append(entry.routes.version)
        assert set(confirmed_tables) <= {2}
        assert cut.routes.version == started.routes.version == 2


@in_virtual_time
async def test_first_entry_of_a_site_confirms_what_it_reads_at_once():
    site = EraSite(1)
    site.write_configuration(1, 'first')
    site.write_endpoint('a')
    async with background_tasks(site):
        await trio.sleep(0.1)
        assert site.entries[0].replica.is_synced
        assert site.entries[0].routes.age_seconds() < 0.2
        # Two reads and two polls, and a read of the entries' rows.
        assert len(site.entries[0].client.calls) == 5


@in_virtual_time
async def test_entry_that_starts_is_synced_only_once_it_can_check_keys():
    """It polls peers first, who may be slow or dead."""
    site = EraSite(2)
    site.write_configuration(1, 'first')
    site.write_endpoint('a')
    site.network.isolate(site.entries[1].node.peer_address)
    entry = site.entries[0]
    async with background_tasks(site):
        ages = []
        has_both = []
        for _ in range(2000):
            await trio.sleep(0.001)
            has_both.append(entry.routes.table and entry.view.listed)
            if entry.replica.is_synced:
                ages.append(entry.routes.age_seconds())
        assert has_both[100]
        assert 100 < len(ages) < 1900
        assert max(ages) < REVOKE_SECONDS


@in_virtual_time
async def test_start_waits_for_no_peer_if_the_store_names_no_era():
    """Guards against keys refused for the timeout of a poll of dead peers.

    After a loss of all entries the seeds may be the last ones to start.
    """
    site = EraSite(2)
    site.store.era_text = ''
    site.write_configuration(1, 'first')
    site.write_endpoint('a')
    site.network.isolate(site.entries[1].node.peer_address)
    async with background_tasks(site):
        await trio.sleep(0.05)
        assert site.entries[0].replica.is_synced


@pytest.mark.parametrize('text', ['x', '7'])
def test_peers_are_polled_once_a_store_names_an_era_or_a_malformed_one(text):
    era = StoreEra()
    era.observe('', 'rows-get')
    assert not era.is_peer_poll_due
    era.observe(text, 'rows-get')
    assert era.is_peer_poll_due


def test_content_that_was_replaced_in_one_version_never_comes_back():
    """An older copy may show it again in a later era."""
    routes = RouteTableCache(clock=float)
    first = RouteTable(version=7, routes=(), requires_keys=True)
    second = RouteTable(version=7, routes=())
    assert routes.accept_newer(first, 1.0, 1)
    assert routes.accept_newer(second, 2.0, 2)
    assert not routes.accept_newer(first, 3.0, 3)
    assert routes.table == second
    assert routes.confirmed_at == 2.0
    assert not routes.accept_newer(second, 4.0, 3)
    assert routes.confirmed_at == 4.0
    assert not routes.accept_newer(first, 5.0, 2)
    assert routes.confirmed_at == 4.0


async def count_calls(site, seconds):
    """Return the calls to the store of all entries within a time."""
    before = sum(len(entry.client.calls) for entry in site.entries)
    await trio.sleep(seconds)
    return sum(len(entry.client.calls) for entry in site.entries) - before


@in_virtual_time
async def test_store_that_is_behind_is_read_no_more_often_than_in_calm_times():
    """Guards against readers that seem stale, as nothing can be confirmed.

    All entries of a large deployment would then read the store themselves.
    """
    site = EraSite(40)
    async with background_tasks(site):
        await settle(site)
        await trio.sleep(5)
        calm_calls = await count_calls(site, 10)
        copy = site.store.rows.take_copy()
        site.write_configuration(2, 'second')
        await trio.sleep(2)
        site.return_to(copy)
        await trio.sleep(1)
        calls = await count_calls(site, 10)
        assert {entry.routes.version for entry in site.entries} == {2}
        assert max(entry.routes.age_seconds() for entry in site.entries) > 10
        assert calls <= 1.1 * calm_calls


@pytest.mark.parametrize(
    'spoiled',
    [
        {'version': 2, 'limits': {'maxBodyBytes': 'many'}},
        {'version': 2, 'routes': [{}]},
        {'version': 'two'},
        [],
    ],
)
@in_virtual_time
async def test_key_stays_valid_under_no_older_configuration_than_the_stored(
    spoiled,
):
    """Guards against a revoked key: one field hides that it is taken away."""
    site = EraSite(3)
    async with background_tasks(site):
        await settle(site)
        site.store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, spoiled)
        await trio.sleep(1)
        calls = await count_calls(site, 10)
        ages = [entry.routes.age_seconds() for entry in site.entries]
        assert min(ages) > 10
        assert {entry.routes.version for entry in site.entries} == {1}
        site.write_configuration(3, 'third')
        await trio.sleep(1)
        assert {entry.routes.version for entry in site.entries} == {3}
        calm_calls = await count_calls(site, 10)
        ages = [entry.routes.age_seconds() for entry in site.entries]
        assert max(ages) < REVOKE_SECONDS
        assert calls <= 1.1 * calm_calls


@in_virtual_time
async def test_registration_row_that_the_copy_lacks_is_written_again():
    site = EraSite(2)
    async with background_tasks(site):
        await settle(site)
        copy = site.store.rows.take_copy()
        for entry in site.entries:
            site.nursery.start_soon(register(entry).run)
        await trio.sleep(1)
        assert len(site.store.rows.read(REGISTRATION_TABLE)) == 2
        site.return_to(copy)
        assert not site.store.rows.read(REGISTRATION_TABLE)
        await trio.sleep(REWRITE_SPREAD_SECONDS + 0.5)
        assert len(site.store.rows.read(REGISTRATION_TABLE)) == 2


def register(entry):
    """Return the registration of an entry, connected as in the program."""
    registration = Registration(
        inputs=RegistrationInputs(
            store=entry.store,
            node=entry.node,
            configuration_version=lambda: entry.routes.version,
            count_peers=lambda: 1,
            join=trio.lowlevel.checkpoint,
            is_assigned=lambda: True,
            randomness=random.Random(1),
        ),
        seeds=(),
    )
    entry.store.era.on_peer_poll.append(registration.write_again)
    return registration


@in_virtual_time
async def test_few_calls_are_made_before_the_first_configuration_exists():
    """Guards against short polls for a configuration that nobody has written.

    80 entries made 1,650 calls in 0.7 s when all of them started before it.
    """
    site = EraSite(1)
    async with background_tasks(site):
        assert await count_calls(site, 2) <= 8
        site.write_configuration(1, 'first')
        await trio.sleep(0.1)
        assert site.entries[0].routes.version == 1
