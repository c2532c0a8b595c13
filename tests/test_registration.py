"""Tests that few processes of a large deployment write rows for newcomers."""

import random

import trio
from expression import Error, Ok

from limpetdrift.platform.registration import (
    CHECK_INTERVAL_SECONDS,
    REGISTERED_PROCESSES,
    REWRITE_SPREAD_SECONDS,
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.store import RowPage
from limpetdrift.state.store_era import StoreEra
from limpetdrift.verdict import Reason, not_run
from member_cluster import make_node
from virtual_time import background_tasks, in_virtual_time


class FakeRowStore:
    """Counts the rows that are written."""

    def __init__(self) -> None:
        self.written: list[str] = []
        self.written_at: list[float] = []
        self.failures = 0
        self.era = StoreEra()

    async def put(self, table, key, content):
        if self.failures:
            self.failures -= 1
            return Error(not_run(Reason.STORE_UNAVAILABLE))
        self.written.append(key)
        self.written_at.append(trio.current_time())
        return Ok(1)

    async def read(self, table):
        return Ok(RowPage(rows=(), version=1))


class RegistrationHarness:
    """One registration, which is assigned a row by hand."""

    def __init__(self, store=None, number=0) -> None:
        self.store = store or FakeRowStore()
        self.is_assigned = False
        self.registration = Registration(
            inputs=RegistrationInputs(
                store=self.store,
                node=make_node(number),
                configuration_version=int,
                count_peers=lambda: 5,
                join=trio.lowlevel.checkpoint,
                is_assigned=lambda: self.is_assigned,
                randomness=random.Random(number),
            ),
            seeds=(),
        )

    def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(self.registration.run)


@in_virtual_time
async def test_row_is_written_only_once_it_is_assigned():
    harness = RegistrationHarness()
    async with background_tasks(harness):
        await trio.sleep(3 * CHECK_INTERVAL_SECONDS)
        assert not harness.store.written
        harness.is_assigned = True
        await trio.sleep(CHECK_INTERVAL_SECONDS)
        assert harness.store.written == [make_node(0).name]
        await trio.sleep(CHECK_INTERVAL_SECONDS)
        assert len(harness.store.written) == 1


@in_virtual_time
async def test_lost_row_is_written_again_by_the_process_that_had_one():
    """Also if others are assigned rows by then, and if a write fails."""
    writer = RegistrationHarness()
    writer.is_assigned = True
    other = RegistrationHarness(number=1)
    async with background_tasks(writer), background_tasks(other):
        await trio.sleep(2 * CHECK_INTERVAL_SECONDS + 1)
        assert len(writer.store.written) == 1
        writer.is_assigned = False
        writer.store.failures = 2
        writer.registration.write_again()
        other.registration.write_again()
        await trio.sleep(2 * REWRITE_SPREAD_SECONDS)
        assert writer.store.written == 2 * [make_node(0).name]
        assert not other.store.written
        await trio.sleep(3 * CHECK_INTERVAL_SECONDS)
        assert len(writer.store.written) == 2


@in_virtual_time
async def test_lost_rows_of_all_processes_are_written_again_one_by_one():
    """Guards against all writes at once, above the rates of the store."""
    store = FakeRowStore()
    processes = [
        RegistrationHarness(store, number)
        for number in range(REGISTERED_PROCESSES)
    ]
    async with trio.open_nursery() as nursery:
        for process in processes:
            process.is_assigned = True
            process.start(nursery)
        await trio.sleep(2 * CHECK_INTERVAL_SECONDS + 1)
        store.written_at.clear()
        returned_at = trio.current_time()
        for process in processes:
            process.registration.write_again()
        await trio.sleep(REWRITE_SPREAD_SECONDS)
        assert len(store.written_at) == REGISTERED_PROCESSES
        for second in range(int(REWRITE_SPREAD_SECONDS)):
            start = returned_at + second
            within = [at for at in store.written_at if start <= at < start + 1]
            assert len(within) <= REGISTERED_PROCESSES / 2
        nursery.cancel_scope.cancel()
