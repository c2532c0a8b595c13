"""Tests the rate limit on calls to the table service, in virtual time."""

import random
from collections import Counter

import pytest
import trio

from fake_table import FakeTable
from limpetdrift.protocol.table import Put, RowKey, Transaction
from limpetdrift.state import pacing
from limpetdrift.state.budget import Budget, Priority, StoreRates
from limpetdrift.verdict import Reason, Verdict
from virtual_time import in_virtual_time, run_in_virtual_time

PROCESSES = 9
RATES = StoreRates(reads_per_second=200.0, writes_per_second=90.0)
OUTAGE_AT, RECOVERY_AT, END_AT = 5.0, 35.0, 60.0


def make_put(key):
    return Transaction(puts=(Put(table='t', key=key, value={'n': 1}),))


def make_budget(table, seed=1, nodes=1, rates=RATES):
    return Budget(
        calls=table.calls(),
        rates=rates,
        live_nodes=lambda: nodes,
        randomness=random.Random(seed),
    )


class TimedTable(FakeTable):
    """A table that counts the batches of writes in each second."""

    def __init__(self):
        super().__init__()
        self.calls_by_second = Counter()

    async def _batch(self, transactions):
        self.calls_by_second[int(trio.current_time())] += 1
        return await super()._batch(transactions)


async def write_continuously(budget, name):
    calls = budget.calls(Priority.CLAIM)
    async with trio.open_nursery() as nursery:
        for number in range(int(END_AT * 20)):
            key = number % 50
            nursery.start_soon(calls.transact, make_put(f'{name}-{key}'))
            await trio.sleep(0.05)


async def run_through_an_outage():
    """Let nine processes write through an outage; return calls by second."""
    table = TimedTable()
    with trio.move_on_after(END_AT):
        async with trio.open_nursery() as nursery:
            for number in range(PROCESSES):
                budget = make_budget(table, seed=number, nodes=PROCESSES)
                nursery.start_soon(budget.run)
                nursery.start_soon(write_continuously, budget, number)
            await trio.sleep(OUTAGE_AT)
            table.down = True
            await trio.sleep(RECOVERY_AT - OUTAGE_AT)
            table.down = False
    return table.calls_by_second


def check_outage_calls(by_second):
    rate = RATES.writes_per_second
    # Each process may begin a burst in any second.
    burst = rate * pacing.BURST_SECONDS + PROCESSES
    assert max(by_second.values()) <= rate + burst
    backed_off_seconds = range(int(OUTAGE_AT) + 6, int(RECOVERY_AT))
    assert max(by_second[second] for second in backed_off_seconds) <= rate / 5
    assert max(by_second[int(RECOVERY_AT) + n] for n in (0, 1)) <= rate / 2
    recovered_seconds = range(int(RECOVERY_AT) + 12, int(END_AT))
    assert min(by_second[second] for second in recovered_seconds) >= rate / 2


def test_calls_stay_within_the_rate_during_and_after_an_outage():
    check_outage_calls(run_in_virtual_time(run_through_an_outage))


def test_outage_check_fails_without_slow_start_and_backoff(monkeypatch):
    monkeypatch.setattr(pacing, 'SLOW_START_SHARE', 1.0)
    monkeypatch.setattr(pacing, 'MAX_BACKOFF_SECONDS', 0.0)
    with pytest.raises(AssertionError):
        check_outage_calls(run_in_virtual_time(run_through_an_outage))


@in_virtual_time
async def test_concurrent_writes_share_a_batch_and_get_their_own_outcomes():
    table = FakeTable()
    budget = make_budget(table)
    calls = budget.calls(Priority.CLAIM)
    versions = []

    async def write(key):
        versions.append((await calls.transact(make_put(key))).ok.versions)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(budget.run)
        async with trio.open_nursery() as writers:
            for number in range(40):
                writers.start_soon(write, str(number % 20))
        nursery.cancel_scope.cancel()
    assert table.writes == 1
    assert Counter(versions) == {(1,): 20, (2,): 20}


@in_virtual_time
async def test_concurrent_reads_of_one_row_share_a_read():
    table = FakeTable()
    budget = make_budget(table)
    calls = budget.calls(Priority.CONTROL)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(budget.run)
        async with trio.open_nursery() as readers:
            for _ in range(30):
                key = RowKey(table='t', key='k')
                readers.start_soon(calls.read, (key,))
                await trio.sleep(0.0001)
        nursery.cancel_scope.cancel()
    assert table.reads == 1


@in_virtual_time
async def test_claims_precede_control_calls_and_late_calls_are_refused():
    table = FakeTable()
    rates = StoreRates(writes_per_second=1.0)
    budget = make_budget(table, rates=rates)
    refused = []

    async def submit(priority, number):
        calls = budget.calls(priority)
        answer = await calls.transact(make_put(f'{priority.name}-{number}'))
        if answer.is_error():
            refused.append(answer.error)

    with trio.move_on_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(budget.run)
            await budget.calls(Priority.CLAIM).transact(make_put('first'))
            for number in range(150):
                nursery.start_soon(submit, Priority.CONTROL, number)
            for number in range(150):
                nursery.start_soon(submit, Priority.CLAIM, number)
    order = [each.puts[0].key.split('-')[0] for each in table.history]
    assert set(order[1:151]) == {'CLAIM'}
    assert {failure.verdict for failure in refused} <= {Verdict.NOT_RUN}
    assert {failure.reason for failure in refused} == {Reason.STORE_RATE}
