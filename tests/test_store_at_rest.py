"""What a deployment at rest asks of the table service, and the epoch row."""

import random

import pytest
import trio

from claim_harness import FakeObjects
from fake_table import FakeTable
from limpetdrift.coordination.groups import (
    ORDERS_GROUP,
    SWEEP_GROUP,
    keep_leases,
    sweep_under_lease,
)
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.state.claim_sweep import (
    EPOCH_KEY,
    EPOCH_SECONDS,
    EPOCH_TABLE,
    ClaimSweep,
    EpochClock,
)
from limpetdrift.state.leases import LEASE_TABLE, TERM_SECONDS, Lease
from virtual_time import in_virtual_time, run_in_virtual_time

NODES = 9
REST_SECONDS = 600.0
MOST_READS_PER_SECOND = 20.0
MOST_WRITES_PER_SECOND = 3.0


def start_steward(nursery, table, number):
    """Start what a steward does with the table while nothing changes."""
    budget = make_budget(table, number)
    calls = budget.calls(Priority.CONTROL)
    names = (ORDERS_GROUP, SWEEP_GROUP)
    leases = [
        Lease(group=name, holder=f'steward-{number}', table=calls)
        for name in names
    ]
    clock = EpochClock(table=calls, moves=True)
    sweep = ClaimSweep(table=calls, objects=FakeObjects(table).calls())
    nursery.start_soon(budget.run)
    nursery.start_soon(keep_leases, leases, random.Random(number))
    nursery.start_soon(clock.run)
    nursery.start_soon(
        sweep_under_lease,
        leases[1],
        sweep,
        lambda: clock.current,
    )
    return leases


def make_budget(table, number):
    return Budget(
        calls=table.calls(),
        rates=StoreRates(),
        live_nodes=lambda: 2 * NODES,
        randomness=random.Random(number),
    )


def start_entry(nursery, table, number):
    """Start what an entry does with the table for claims."""
    budget = make_budget(table, NODES + number)
    clock = EpochClock(table=budget.calls(Priority.CLAIM))
    nursery.start_soon(budget.run)
    nursery.start_soon(clock.run)


@in_virtual_time
async def test_a_deployment_at_rest_keeps_to_few_reads_and_writes():
    table = FakeTable()
    async with trio.open_nursery() as nursery:
        for number in range(NODES):
            start_steward(nursery, table, number)
            start_entry(nursery, table, number)
        await trio.sleep(REST_SECONDS)
        nursery.cancel_scope.cancel()
    assert table.reads / REST_SECONDS <= MOST_READS_PER_SECOND / 2
    assert table.writes / REST_SECONDS <= MOST_WRITES_PER_SECOND / 2


class CutTable(FakeTable):
    """One steward's way to the shared rows, which can be cut."""

    def __init__(self, shared):
        super().__init__()
        self.rows = shared.rows


async def count_holders():
    """Cut each holder off for longer than a term; return the most at once."""
    shared = FakeTable()
    ways = [CutTable(shared) for _ in range(NODES)]
    most = 0
    async with trio.open_nursery() as nursery:
        stewards = [
            start_steward(nursery, way, number)
            for number, way in enumerate(ways)
        ]
        for step in range(400):
            await trio.sleep(1)
            for way, steward in zip(ways, stewards, strict=True):
                way.lose_answers = step % 3
                holds = any(each.remaining_seconds for each in steward)
                way.down = (way.down or holds) and step % 60 > 15
            for held in zip(*stewards, strict=True):
                most = max(
                    most, sum(each.remaining_seconds > 0 for each in held)
                )
        nursery.cancel_scope.cancel()
    assert shared.rows[LEASE_TABLE, ORDERS_GROUP][1]['fencing'] > 3
    return most


def test_each_lease_has_one_holder_at_any_time():
    assert run_in_virtual_time(count_holders) == 1


def test_a_lease_taken_early_has_two_holders(monkeypatch):
    def lapse_early(lease):
        seen_for = trio.current_time() - lease._seen_at
        return not lease._row.holder or seen_for >= TERM_SECONDS / 2

    monkeypatch.setattr(Lease, '_has_lapsed', lapse_early)
    assert run_in_virtual_time(count_holders) > 1


async def watch_epochs(seconds):
    """Return the times at which several clocks moved the row on."""
    table = FakeTable()
    moves = []
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            clock = EpochClock(table=table.calls(), moves=True)
            nursery.start_soon(clock.run)
        known = None
        while trio.current_time() < seconds:
            await trio.sleep(5)
            table.lose_answers = 1
            row = table.rows.get((EPOCH_TABLE, EPOCH_KEY))
            if row is not None and row[1] != known:
                known = row[1]
                moves.append((trio.current_time(), known))
        nursery.cancel_scope.cancel()
    return moves


@pytest.mark.parametrize('epochs', [3])
def test_an_epoch_never_lasts_less_than_its_time(epochs):
    async def watch():
        return await watch_epochs((epochs + 0.9) * EPOCH_SECONDS)

    moves = run_in_virtual_time(watch)
    assert [value for _, value in moves] == list(range(1, epochs + 2))
    for earlier, later in zip(moves, moves[1:], strict=False):
        assert later[0] - earlier[0] >= EPOCH_SECONDS - 5
