"""Tests of the endpoint list after the store came back from an older copy."""

import trio

from era_site import EraSite
from forward_harness import make_endpoints
from limpetdrift.platform.endpoint_sync import LAPSE_GRACE_SECONDS, EndpointSync
from limpetdrift.platform.store import StoredRow
from limpetdrift.state.endpoint_view import EndpointView
from virtual_time import background_tasks, in_virtual_time

ENTRIES = 3
REWRITE_SECONDS = 1.5


def usable_everywhere(site):
    """Return the names that all entries use, if they agree."""
    names = {tuple(entry.usable()) for entry in site.entries}
    assert len(names) == 1
    return list(names.pop())


async def settle(site, *names):
    site.write_configuration(1, 'first')
    for name in names:
        site.write_endpoint(name)
    await trio.sleep(1)
    assert usable_everywhere(site) == sorted(names)


@in_virtual_time
async def test_endpoints_that_the_copy_lacks_are_used_until_they_write_again():
    site = EraSite(ENTRIES)
    async with background_tasks(site):
        await settle(site, 'a')
        copy = site.store.rows.take_copy()
        site.write_endpoint('b')
        await trio.sleep(1)
        await site.store.restore(copy, away_seconds=0.5)
        for _ in range(int(REWRITE_SECONDS / 0.05)):
            assert usable_everywhere(site) == ['a', 'b']
            await trio.sleep(0.05)
        site.write_endpoint('b')
        for _ in range(int(3 * LAPSE_GRACE_SECONDS / 0.05)):
            assert usable_everywhere(site) == ['a', 'b']
            await trio.sleep(0.05)


@in_virtual_time
async def test_gone_endpoint_that_the_copy_shows_is_used_only_once_written():
    """Guards against requests to endpoints that ended before the return."""
    site = EraSite(ENTRIES)
    async with background_tasks(site):
        await settle(site, 'a', 'b')
        copy = site.store.rows.take_copy()
        site.drop_endpoint('b')
        await trio.sleep(1)
        assert usable_everywhere(site) == ['a']
        site.return_to(copy)
        for _ in range(int(3 * LAPSE_GRACE_SECONDS / 0.05)):
            assert usable_everywhere(site) == ['a']
            await trio.sleep(0.05)
        # A second full read in the same era shows the same row.
        site.store.truncate_changelog()
        await trio.sleep(4)
        assert usable_everywhere(site) == ['a']
        site.write_endpoint('b')
        await trio.sleep(0.5)
        assert usable_everywhere(site) == ['a', 'b']


@in_virtual_time
async def test_endpoint_that_left_is_not_used_though_the_copy_says_ready():
    site = EraSite(ENTRIES)
    async with background_tasks(site):
        await settle(site, 'a', 'b')
        copy = site.store.rows.take_copy()
        site.write_endpoint('b', state='draining')
        await trio.sleep(1)
        site.return_to(copy)
        for _ in range(int(3 * LAPSE_GRACE_SECONDS / 0.05)):
            assert usable_everywhere(site) == ['a']
            await trio.sleep(0.05)


@in_virtual_time
async def test_copy_never_replaces_a_restarted_endpoint_by_its_old_lifetime():
    site = EraSite(ENTRIES)
    async with background_tasks(site):
        await settle(site, 'a')
        copy = site.store.rows.take_copy()
        site.write_endpoint('a', born=2)
        await trio.sleep(1)
        site.return_to(copy)
        await trio.sleep(REWRITE_SECONDS)
        for entry in site.entries:
            assert [each.lifetime for each in entry.view.listed] == [2]
        site.write_endpoint('a', born=2)
        await trio.sleep(2 * LAPSE_GRACE_SECONDS)
        for entry in site.entries:
            assert [each.lifetime for each in entry.view.listed] == [2]


@in_virtual_time
async def test_endpoint_that_wrote_too_late_is_used_after_the_next_return():
    """Guards against an endpoint that is held to be gone for good.

    It wrote its row right after the second return, before it was read there.
    """
    site = EraSite(ENTRIES)
    async with background_tasks(site):
        await settle(site, 'a')
        copy = site.store.rows.take_copy()
        site.write_endpoint('other')
        site.write_endpoint('b')
        await trio.sleep(1)
        site.return_to(copy)
        await trio.sleep(2 * LAPSE_GRACE_SECONDS)
        assert usable_everywhere(site) == ['a']
        site.return_to(copy)
        site.write_endpoint('b')
        await trio.sleep(1)
        assert usable_everywhere(site) == ['a', 'b']


@in_virtual_time
async def test_endpoint_that_a_peer_dropped_is_used_after_the_next_return():
    """Guards against taking its absence at a peer for a proof that it went."""
    site = EraSite(ENTRIES)
    cut = site.entries[0]
    async with background_tasks(site):
        await settle(site, 'a')
        copy = site.store.rows.take_copy()
        site.write_endpoint('other')
        site.write_endpoint('b')
        await trio.sleep(1)
        cut.client.is_cut = True
        site.return_to(copy)
        await trio.sleep(3 * LAPSE_GRACE_SECONDS)
        assert usable_everywhere(site) == ['a']
        site.network.isolate(cut.node.peer_address)
        site.return_to(copy)
        site.write_endpoint('b')
        cut.client.is_cut = False
        await trio.sleep(2)
        assert usable_everywhere(site) == ['a', 'b']


@in_virtual_time
async def test_earlier_lifetime_that_no_entry_saw_replaces_no_later_one():
    """The entry was cut off while the earlier one wrote its row."""
    site = EraSite(1)
    cut = site.entries[0]
    async with background_tasks(site):
        await settle(site, 'a')
        cut.client.is_cut = True
        await trio.sleep(1)
        site.write_endpoint('b', born=1)
        copy = site.store.rows.take_copy()
        site.write_endpoint('b', born=2)
        site.store.truncate_changelog()
        cut.client.is_cut = False
        await trio.sleep(3 * LAPSE_GRACE_SECONDS)
        assert cut.usable() == ['a', 'b']
        site.return_to(copy)
        site.write_endpoint('other')
        await trio.sleep(0.5)
        assert cut.view.find('b', 2)
        site.write_endpoint('b', born=2)
        await trio.sleep(2 * LAPSE_GRACE_SECONDS)
        assert cut.view.find('b', 2)
        site.return_to(copy)
        site.write_endpoint('b', born=2)
        await trio.sleep(2 * LAPSE_GRACE_SECONDS)
        assert cut.view.find('b', 2)


@in_virtual_time
async def test_lapsed_endpoint_is_dropped_though_a_peer_still_holds_it():
    """The peer may hold it only for its own grace period."""
    is_grace = True
    view = EndpointView(clock=trio.current_time)
    endpoint_sync = EndpointSync(
        view=view,
        outage_within=lambda seconds: is_grace,
        on_drop=lambda: None,
    )
    kept, lapsed = make_endpoints(2)
    endpoint_sync.replace_from_peer((kept, lapsed), 1)
    tombstone = StoredRow(key=lapsed.name, version=9, value=None)
    endpoint_sync.apply((tombstone,))
    endpoint_sync.replace_from_peer((kept, lapsed), 1)
    is_grace = False
    endpoint_sync.drop_lapsed()
    assert [each.name for each in view.listed] == [kept.name]
