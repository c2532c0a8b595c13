"""Tests which starts confirm what a store shows that may be an older copy."""

import json
from pathlib import Path

import pytest
import trio

from era_site import REVOKE_SECONDS
from limpetdrift.coordination.routing.confirmation_evidence import (
    ConfirmationEvidence,
    may_confirm,
)
from limpetdrift.coordination.routing.era_polls import MAX_WAIT_SECONDS
from limpetdrift.platform.registration import REWRITE_SPREAD_SECONDS
from limpetdrift.platform.registration import TABLE as REGISTRATION_TABLE
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.registered import RegisteredNode, register_node
from limpetdrift.protocol.routing_sync import (
    UNKNOWN_AGE_SECONDS,
    RoutingSyncReply,
)
from member_cluster import make_node
from registered_site import SEEDS, RegisteredSite
from virtual_time import background_tasks, in_virtual_time

ENTRIES = 6
ALL = range(ENTRIES)
CORPUS = Path(__file__).parent / 'corpus' / '6afa520.json'
# All entries start within this time of each other.
START_SPREAD_SECONDS = 0.3
# One round of polls that nobody answers, and two pauses.
ROUND_SECONDS = 0.8


async def lose_revocation(site, killed):
    """Kill entries while the store loses the version that revokes a key."""
    await site.settle()
    copy = site.store.rows.take_copy()
    await trio.sleep(1)
    site.write_configuration(2, 'kept')
    await trio.sleep(3)
    for number in killed:
        site.kill(number)
    await trio.sleep(0.5)
    site.return_to(copy)


async def start_all(site):
    """Start all entries again, within the time that the platform takes."""
    for number in ALL:
        site.start_again(number)
        await trio.sleep(START_SPREAD_SECONDS / ENTRIES)


async def confirmed_after(site, seconds) -> float:
    """Return after which time all entries are synced."""
    began_at = trio.current_time()
    with trio.fail_after(seconds):
        for entry in site.entries:
            await entry.replica.wait_synced()
    return trio.current_time() - began_at


@in_virtual_time
async def test_start_learns_of_a_revoked_key_from_entries_that_are_no_seeds():
    """Guards against starts that confirm an older copy with each other."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await lose_revocation(site, killed=range(SEEDS))
        await trio.sleep(0.5)
        started = [site.start_again(number) for number in range(SEEDS)]
        assert not await site.served_at(started, 'revoked', 8)
        assert {entry.routes.version for entry in started} == {2}
        site.write_configuration(2, 'kept')
        await trio.sleep(2)
        for entry in site.entries:
            assert entry.routes.age_seconds() < REVOKE_SECONDS


@in_virtual_time
async def test_start_learns_of_a_revoked_key_while_all_seeds_are_silent():
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await lose_revocation(site, killed=(3,))
        started = site.start_again(3)
        for entry in site.entries[:SEEDS]:
            site.network.isolate(entry.node.peer_address)
        assert not await site.served_at([started], 'revoked', 8)
        assert started.routes.version == 2


@in_virtual_time
async def test_start_learns_of_a_revoked_key_from_peers_that_answer_late():
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await lose_revocation(site, killed=range(SEEDS))
        for entry in site.entries[SEEDS:]:
            site.network.delays[entry.node.peer_address] = 1.0
        started = [site.start_again(number) for number in range(SEEDS)]
        assert not await site.served_at(started, 'revoked', 8)
        assert {entry.routes.version for entry in started} == {2}


@in_virtual_time
async def test_start_among_entries_that_may_confirm_is_ready_at_once():
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await site.settle()
        for number in (0, 4):
            site.kill(number)
            site.start_again(number)
        site.network.isolate(site.entries[1].node.peer_address)
        assert await confirmed_after(site, 1) < 0.05


@pytest.mark.parametrize('silent', [(), (0, 5)])
@in_virtual_time
async def test_all_that_start_at_once_are_ready_if_the_store_did_not_return(
    silent,
):
    """Guards against entries that wait for each other, or for the dead."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await site.settle()
        site.write_configuration(2, 'kept')
        for number in ALL:
            site.kill(number)
        addresses = [site.nodes[index].peer_address for index in silent]
        for number in ALL:
            site.start_again(number)
        for address in addresses:
            site.network.isolate(address)
        assert await confirmed_after(site, 2) < 0.05
        for entry in site.entries:
            assert entry.keys() == {'kept'}


@in_virtual_time
async def test_all_that_start_for_the_first_time_at_once_are_ready():
    site = RegisteredSite(ENTRIES)
    site.write_configuration(1, 'kept')
    site.write_endpoint('a')
    async with background_tasks(site):
        assert await confirmed_after(site, 2) < ROUND_SECONDS


@in_virtual_time
async def test_all_that_start_on_an_older_copy_wait_for_the_operator():
    """Nobody knows what the copy lacks; what is written again shows it."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await lose_revocation(site, killed=ALL)
        await start_all(site)
        assert not await site.served_at(site.entries, 'revoked', 3)
        site.write_configuration(2, 'kept')
        assert await confirmed_after(site, 1) < 0.05
        assert not await site.served_at(site.entries, 'revoked', 8)


@in_virtual_time
async def test_all_that_start_on_an_older_copy_wait_no_longer_than_the_bound():
    """Guards against a deadlock where the copy lacks nothing."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await site.settle()
        copy = site.store.rows.take_copy()
        for number in ALL:
            site.kill(number)
        site.return_to(copy)
        await start_all(site)
        waited = await confirmed_after(site, 10)
        assert 3 < waited < MAX_WAIT_SECONDS + START_SPREAD_SECONDS
        # Their rows now rule out an older copy for those that start later.
        await trio.sleep(REWRITE_SPREAD_SECONDS)
        for number in ALL:
            site.kill(number)
        await start_all(site)
        assert await confirmed_after(site, 2) < 0.05


@in_virtual_time
async def test_entry_that_joins_learns_what_it_could_not_before():
    """The copy lacks the rows of the entries that know better."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await site.settle()
        for row in site.store.rows.read(REGISTRATION_TABLE):
            site.store.delete(REGISTRATION_TABLE, row.key)
        copy = site.store.rows.take_copy()
        site.write_configuration(2, 'kept')
        await trio.sleep(1)
        for number in range(SEEDS):
            site.kill(number)
        site.return_to(copy)
        started = list(map(site.start_again, range(SEEDS)))
        await trio.sleep(1.5)
        assert {entry.routes.version for entry in started} == {2}
        assert not await site.served_at(started, 'revoked', 5)


@pytest.mark.parametrize('stopped_after', [0.2, 0.6, 1.0, 1.4])
@in_virtual_time
async def test_process_that_was_stopped_has_not_waited_for_its_peers(
    stopped_after,
):
    """Guards against a wait that a frozen process sleeps through."""
    site = RegisteredSite(ENTRIES)
    async with background_tasks(site):
        await lose_revocation(site, killed=range(SEEDS))
        started = site.start_again(0)
        for entry in site.entries[SEEDS:]:
            site.network.isolate(entry.node.peer_address)
        await trio.sleep(stopped_after)
        trio.lowlevel.current_clock().jump(2 * MAX_WAIT_SECONDS)
        site.network.heal()
        assert not await site.served_at([started], 'revoked', 8)
        assert started.routes.version == 2


def reply(**others) -> RoutingSyncReply:
    values = {
        'routes_version': 1,
        'routes_age_seconds': 1.0,
        'list_version': 1,
        'list_age_seconds': 1.0,
        'is_cut': False,
        'settled_era': 2,
    }
    return RoutingSyncReply(**values | others)


def evidence(**others) -> ConfirmationEvidence:
    values = {
        'era': 2,
        'has_settled': False,
        'routes_version': 1,
        'replies': (),
        'is_round_over': True,
        'is_peer_silent': False,
        'registered': None,
        'is_wait_over': False,
    }
    return ConfirmationEvidence(**values | others)


UNINFORMED = (
    reply(routes_version=0),
    reply(routes_age_seconds=UNKNOWN_AGE_SECONDS),
)


def row(era, version):
    return register_node(make_node(0), era, version)


@pytest.mark.parametrize('uninformed', UNINFORMED)
def test_answer_of_a_peer_that_knows_no_configuration_confirms_nothing(
    uninformed,
):
    assert not may_confirm(evidence(replies=(uninformed,)))
    assert not may_confirm(
        evidence(replies=(uninformed,), has_settled=True, is_peer_silent=True)
    )
    assert may_confirm(evidence(replies=(uninformed, reply())))


def test_start_needs_a_peer_that_may_confirm_or_rows_of_this_era():
    assert not may_confirm(evidence())
    assert not may_confirm(evidence(replies=(reply(settled_era=0),)))
    assert not may_confirm(evidence(replies=(reply(settled_era=1),)))
    assert may_confirm(evidence(replies=(reply(settled_era=None),)))
    assert may_confirm(evidence(registered=()))
    assert not may_confirm(evidence(registered=(), is_round_over=False))
    assert not may_confirm(evidence(registered=(row(1, 1),)))
    assert not may_confirm(evidence(registered=(row(2, 1), row(2, 2))))
    assert may_confirm(evidence(registered=(row(2, 1), row(1, 9))))
    assert may_confirm(evidence(is_wait_over=True))


def test_entry_that_ran_before_needs_an_informed_peer_or_none_that_is_silent():
    assert not may_confirm(evidence(has_settled=True, is_round_over=False))
    assert not may_confirm(evidence(has_settled=True, is_peer_silent=True))
    assert may_confirm(evidence(has_settled=True))
    assert may_confirm(
        evidence(
            has_settled=True,
            is_peer_silent=True,
            replies=(reply(settled_era=1),),
        )
    )


def test_rows_of_entries_are_understood_by_builds_with_and_without_eras():
    written = encode(row(3, 7))
    assert decode(written, Node).ok == make_node(0)
    read = decode(written, RegisteredNode).ok
    assert (read.era, read.routes_version) == (3, 7)
    sample = json.loads(CORPUS.read_text('utf-8'))['Node']['least']
    before = decode(encode(sample), RegisteredNode).ok
    assert (before.era, before.routes_version) == (0, 0)
