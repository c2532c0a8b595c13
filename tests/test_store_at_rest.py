"""Tests leases, epochs and an idle deployment's calls to the table service."""

import random

import pytest
import trio

from claim_harness import FakeObjects
from fake_table import FakeTable
from limpetdrift.coordination.reconciliation.groups import (
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
IDLE_SECONDS = 600.0
MAX_READS_PER_SECOND = 20.0
MAX_WRITES_PER_SECOND = 3.0


def start_steward(nursery, table, number):
    """Start the tasks of an idle steward that call the table service."""
    budget = make_budget(table, number)
    calls = budget.calls(Priority.CONTROL)
    names = (ORDERS_GROUP, SWEEP_GROUP)
    leases = [
        Lease(group=name, holder=f'steward-{number}', table=calls)
        for name in names
    ]
    clock = EpochClock(table=calls, may_advance=True)
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
    """Start the tasks of an idle entry that call the table service."""
    budget = make_budget(table, NODES + number)
    clock = EpochClock(table=budget.calls(Priority.CLAIM))
    nursery.start_soon(budget.run)
    nursery.start_soon(clock.run)


@in_virtual_time
async def test_idle_deployment_uses_at_most_half_of_its_reads_and_writes():
    table = FakeTable()
    async with trio.open_nursery() as nursery:
        for number in range(NODES):
            start_steward(nursery, table, number)
            start_entry(nursery, table, number)
        await trio.sleep(IDLE_SECONDS)
        nursery.cancel_scope.cancel()
    assert table.reads / IDLE_SECONDS <= MAX_READS_PER_SECOND / 2
    assert table.writes / IDLE_SECONDS <= MAX_WRITES_PER_SECOND / 2


class PartitionedTable(FakeTable):
    """One steward's connection to the shared rows, which can be cut."""

    def __init__(self, shared):
        super().__init__()
        self.rows = shared.rows


async def count_holders():
    """Cut holders off repeatedly; return the most holders of one lease."""
    shared = FakeTable()
    tables = [PartitionedTable(shared) for _ in range(NODES)]
    max_holders = 0
    async with trio.open_nursery() as nursery:
        stewards = [
            start_steward(nursery, table, number)
            for number, table in enumerate(tables)
        ]
        for step in range(400):
            await trio.sleep(1)
            for table, steward in zip(tables, stewards, strict=True):
                table.lose_answers = step % 3
                holds = any(each.remaining_seconds for each in steward)
                table.down = (table.down or holds) and step % 60 > 15
            for same_lease in zip(*stewards, strict=True):
                max_holders = max(
                    max_holders,
                    sum(each.remaining_seconds > 0 for each in same_lease),
                )
        nursery.cancel_scope.cancel()
    assert shared.rows[LEASE_TABLE, ORDERS_GROUP][1]['fencing'] > 3
    return max_holders


def test_lease_has_at_most_one_holder_when_holders_are_cut_off():
    assert run_in_virtual_time(count_holders) == 1


def test_lease_taken_over_before_its_term_ends_has_two_holders(monkeypatch):
    def lapse_after_half_a_term(lease):
        unchanged_seconds = trio.current_time() - lease._seen_at
        return not lease._row.holder or unchanged_seconds >= TERM_SECONDS / 2

    monkeypatch.setattr(Lease, '_has_lapsed', lapse_after_half_a_term)
    assert run_in_virtual_time(count_holders) > 1


async def watch_epochs(seconds):
    """Let several clocks advance the row; return the times and epochs."""
    table = FakeTable()
    advances = []
    async with trio.open_nursery() as nursery:
        for _ in range(4):
            clock = EpochClock(table=table.calls(), may_advance=True)
            nursery.start_soon(clock.run)
        last_epoch = None
        while trio.current_time() < seconds:
            await trio.sleep(5)
            table.lose_answers = 1
            row = table.rows.get((EPOCH_TABLE, EPOCH_KEY))
            if row is not None and row[1] != last_epoch:
                last_epoch = row[1]
                advances.append((trio.current_time(), last_epoch))
        nursery.cancel_scope.cancel()
    return advances


@pytest.mark.parametrize('epochs', [3])
def test_epoch_lasts_at_least_its_minimum_duration(epochs):
    async def watch():
        return await watch_epochs((epochs + 0.9) * EPOCH_SECONDS)

    advances = run_in_virtual_time(watch)
    assert [value for _, value in advances] == list(range(1, epochs + 2))
    for earlier, later in zip(advances, advances[1:], strict=False):
        assert later[0] - earlier[0] >= EPOCH_SECONDS - 5
