"""Tests that few processes of a large deployment write rows for newcomers."""

import random

import trio
from expression import Ok

from limpetdrift.platform.registration import (
    CHECK_INTERVAL_SECONDS,
    Registration,
    RegistrationInputs,
)
from limpetdrift.platform.store import RowPage
from member_cluster import make_node
from virtual_time import background_tasks, in_virtual_time


class FakeRowStore:
    """Counts the rows that are written."""

    def __init__(self) -> None:
        self.written: list[str] = []

    async def put(self, table, key, content):
        self.written.append(key)
        return Ok(1)

    async def read(self, table):
        return Ok(RowPage(rows=(), version=1))


class RegistrationHarness:
    """One registration, which is assigned a row by hand."""

    def __init__(self) -> None:
        self.store = FakeRowStore()
        self.is_assigned = False
        self.registration = Registration(
            inputs=RegistrationInputs(
                store=self.store,
                node=make_node(0),
                count_peers=lambda: 5,
                join=trio.lowlevel.checkpoint,
                is_assigned=lambda: self.is_assigned,
                randomness=random.Random(1),
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
