"""Configuration changes in the table service: races, retries, validation."""

import trio

from config_texts import base, change, overlay
from fake_table import FakeTable
from limpetdrift.protocol.configuration import Refusal
from limpetdrift.state.applying import apply_change
from limpetdrift.state.changes import HISTORY_LENGTH
from limpetdrift.state.configuration import read_snapshot, read_stamp
from virtual_time import in_virtual_time


async def make_table(*sites):
    table = FakeTable()
    first = change('first', base(), *(overlay(site) for site in sites))
    assert (await apply_change(table.calls(), first)).is_ok()
    return table


async def versions(table):
    return (await read_snapshot(table.calls())).ok.versions


async def apply_concurrently(table, *changes):
    outcomes = {}

    async def run(each):
        calls = table.calls()
        outcomes[each.change_id] = await apply_change(calls, each)

    async with trio.open_nursery() as nursery:
        for each in changes:
            nursery.start_soon(run, each)
    return outcomes


@in_virtual_time
async def test_one_of_two_concurrent_changes_of_a_site_is_refused_as_conflict():
    table = await make_table('a')
    outcomes = await apply_concurrently(
        table,
        change('x', overlay('a', 1), a=1),
        change('y', overlay('a', 2), a=1),
    )
    refused = [each.error for each in outcomes.values() if each.is_error()]
    assert len(refused) == 1
    assert refused[0].refusal is Refusal.CONFLICT
    conflict = refused[0].conflicts[0]
    assert (conflict.expected_version, conflict.current_version) == (1, 2)
    winner = {'x', 'y'} - {refused[0].change_id}
    assert {each.change_id for each in conflict.changes} == winner
    assert '+brand: a' in conflict.difference
    assert await versions(table) == {'base': 1, 'site/a': 2}


@in_virtual_time
async def test_concurrent_changes_of_different_sites_do_not_conflict():
    table = await make_table('a', 'b')
    writes = table.writes
    outcomes = await apply_concurrently(
        table, change('x', overlay('a', 1)), change('y', overlay('b', 1))
    )
    assert all(each.is_ok() for each in outcomes.values())
    assert table.writes == writes + 2
    assert (await read_stamp(table.calls())).ok == 3


@in_virtual_time
async def test_of_a_base_change_and_an_incompatible_new_site_one_is_accepted():
    for _ in range(2):
        table = await make_table('a')
        outcomes = await apply_concurrently(
            table,
            change('shrink', base(1, models=('small',))),
            change('add', overlay('b', model='large')),
        )
        assert sum(each.is_ok() for each in outcomes.values()) == 1
        refused = [each.error for each in outcomes.values() if each.is_error()]
        assert refused[0].refusal is Refusal.INVALID


@in_virtual_time
async def test_a_base_change_invalid_for_overlays_names_their_files_and_lines():
    table = await make_table('a', 'b')
    before = dict(table.rows)
    refused = (
        await apply_change(table.calls(), change('x', base(models=('large',))))
    ).error
    positions = [(each.file, each.line) for each in refused.complaints]
    assert positions == [('a.yaml', 3), ('b.yaml', 3)]
    assert table.rows == before


@in_virtual_time
async def test_a_commit_whose_responses_are_lost_is_accepted_once():
    table = await make_table('a')
    table.lose_answers = 2
    applied = await apply_change(table.calls(), change('x', overlay('a', 1)))
    assert applied.ok.accepted.versions == {'site/a': 2}
    assert await versions(table) == {'base': 1, 'site/a': 2}


@in_virtual_time
async def test_a_commit_whose_response_is_lost_is_found_below_a_later_change():
    table = await make_table('a')
    table.lose_answers = 1

    async def change_later():
        await trio.sleep(0.1)
        later = change('y', overlay('a', 2))
        assert (await apply_change(table.calls(), later)).is_ok()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change_later)
        outcome = await apply_change(
            table.calls(), change('x', overlay('a', 1), a=1)
        )
    assert outcome.ok.accepted.versions == {'site/a': 2}
    assert await versions(table) == {'base': 1, 'site/a': 3}


@in_virtual_time
async def test_a_change_that_is_applied_again_returns_its_first_versions():
    table = await make_table('a')
    sent = change('x', overlay('a', 1), a=1)
    first = await apply_change(table.calls(), sent)
    later = change('y', overlay('a', 2), a=2)
    assert (await apply_change(table.calls(), later)).is_ok()
    again = await apply_change(table.calls(), sent)
    assert again.ok.accepted == first.ok.accepted
    assert await versions(table) == {'base': 1, 'site/a': 3}


@in_virtual_time
async def test_a_lost_commit_is_unknown_if_the_store_stays_unavailable():
    table = await make_table('a')

    async def take_store_down():
        await trio.sleep(table.delay_seconds * 5)
        table.down = True

    table.lose_answers = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(take_store_down)
        outcome = await apply_change(
            table.calls(), change('x', overlay('a', 1))
        )
    assert outcome.error.refusal is Refusal.UNKNOWN
    table.down = False
    again = await apply_change(table.calls(), change('z', overlay('a', 1)))
    assert again.ok.accepted.changed is False


@in_virtual_time
async def test_a_change_is_rejected_if_the_store_is_unavailable():
    table = await make_table('a')
    table.down = True
    outcome = await apply_change(table.calls(), change('x', overlay('a', 1)))
    assert outcome.error.refusal is Refusal.UNAVAILABLE


@in_virtual_time
async def test_the_stored_history_keeps_only_the_newest_records():
    table = await make_table('a')
    for number in range(HISTORY_LENGTH + 5):
        applied = await apply_change(
            table.calls(), change(f'c{number}', overlay('a', number + 1))
        )
        assert applied.is_ok()
    history = (
        (await read_snapshot(table.calls())).ok.documents['site/a'].history
    )
    assert len(history) == HISTORY_LENGTH
    assert history[-1].version == HISTORY_LENGTH + 6
