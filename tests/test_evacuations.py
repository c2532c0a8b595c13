"""Tests that evacuated failure domains get no new work, at any entry.

Until evacuations were read, a failure domain that was evacuated at a peak went
on getting requests on all entries.
"""

import trio

from era_site import CONFIGURATION_TABLE, EraSite
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.evacuations import Evacuations
from virtual_time import in_virtual_time

# Entries of which only some read the store; the others ask these.
ENTRY_COUNT = 20
# Half of the time within which an evacuation must hold on every entry.
SPREAD_SECONDS = 2.5
START_SECONDS = 5.0
ROW = 'evacuate/d'


def make_endpoint(name: str, failure_domain: str) -> ListedEndpoint:
    return ListedEndpoint(
        name=name,
        lifetime=1,
        service='s',
        address='10.0.0.1:80',
        failure_domain=failure_domain,
        slots=6,
    )


async def start_site(nursery, count: int = ENTRY_COUNT) -> EraSite:
    site = EraSite(count)
    site.write_configuration(1, 'key')
    site.write_endpoint('i-1')
    site.start(nursery)
    await trio.sleep(START_SECONDS)
    assert all(entry.usable() == ['i-1'] for entry in site.entries)
    return site


@in_virtual_time
async def test_endpoints_of_an_evacuated_domain_are_not_used_until_it_ends():
    view = EndpointView(clock=trio.current_time)
    inside = make_endpoint('i-1', 'd1')
    outside = make_endpoint('i-2', 'd2')
    view.put_all((inside, outside))
    evacuations = Evacuations(view=view, on_change=bool)
    version = view.version
    assert evacuations.change(1, 5, {'d1': True})
    assert view.version > version
    assert view.usable('s') == (outside,)
    assert not view.is_usable(inside)
    # Streams under way go on, so it stays in the list.
    assert view.find('i-1') is inside
    assert not evacuations.change(1, 4, {'d1': False})
    assert not view.is_usable(inside)
    assert evacuations.change(1, 6, {'d1': False})
    assert view.usable('s') == (inside, outside)


@in_virtual_time
async def test_an_evacuation_holds_on_all_entries_in_time_and_until_it_ends():
    """Replays an evacuation in a deployment where few entries read it."""
    async with trio.open_nursery() as nursery:
        site = await start_site(nursery)
        relays = [each.replica.relay for each in site.entries]
        assert not all(each.is_store_reader for each in relays)
        site.store.put(CONFIGURATION_TABLE, ROW, {})
        await trio.sleep(SPREAD_SECONDS)
        assert not any(entry.usable() for entry in site.entries)
        site.store.delete(CONFIGURATION_TABLE, ROW)
        await trio.sleep(SPREAD_SECONDS)
        assert all(entry.usable() == ['i-1'] for entry in site.entries)
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_an_entry_that_starts_later_knows_the_evacuation():
    """One that reads through peers must know it before it serves."""
    async with trio.open_nursery() as nursery:
        site = await start_site(nursery)
        site.store.put(CONFIGURATION_TABLE, ROW, {})
        await trio.sleep(SPREAD_SECONDS)
        started = site.add_entry()
        await started.replica.wait_synced()
        assert not started.usable()
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_an_evacuation_holds_while_the_store_is_away():
    async with trio.open_nursery() as nursery:
        site = await start_site(nursery, count=3)
        site.store.put(CONFIGURATION_TABLE, ROW, {})
        await trio.sleep(SPREAD_SECONDS)
        for entry in site.entries:
            entry.client.is_cut = True
        await trio.sleep(10 * SPREAD_SECONDS)
        assert not any(entry.usable() for entry in site.entries)
        started = site.add_entry()
        started.client.is_cut = True
        await trio.sleep(SPREAD_SECONDS)
        assert not started.usable()
        nursery.cancel_scope.cancel()
