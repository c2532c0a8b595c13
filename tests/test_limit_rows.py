"""Tests of the rows that keep rate limits while no entry runs."""

import random

import pytest
import trio

from era_site import STORE_ADDRESS, LocalClient
from limpet_standins.platform_store import StandinStore
from limpetdrift.platform.limit_rows import (
    COMPARISON_INTERVAL_SECONDS,
    COMPARISON_SPREAD_SECONDS,
    READ_TIMEOUT_SECONDS,
    TABLE,
    WRITE_INTERVAL_SECONDS,
    LimitRows,
    LimitRowsInputs,
    compare_rows,
    decode_rows,
)
from limpetdrift.platform.store import StoreClient, StoredRow
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.limits import LimitRecord
from limpetdrift.protocol.plans import EndpointId
from limpetdrift.state.endpoint_limits import EndpointLimits
from virtual_time import background_tasks, in_virtual_time

UNAVAILABLE = 503
WRITTEN_SECONDS = WRITE_INTERVAL_SECONDS + 1.0


class RowsSite:
    """A store, and one entry's rows, limits and calls."""

    def __init__(self) -> None:
        self.store = StandinStore()
        self.client = LocalClient(self.store)
        self.limits = EndpointLimits(clock=trio.current_time)
        self.rows = LimitRows(
            inputs=LimitRowsInputs(
                store=StoreClient(client=self.client, address=STORE_ADDRESS),
                limits=self.limits,
                is_assigned=lambda: True,
                randomness=random.Random(1),
            ),
        )

    def start(self, nursery) -> None:
        nursery.start_soon(self.rows.run)

    def hear(self, name: str, rate: float | None, lifetime: int = 1) -> None:
        record = make_record(name, rate, lifetime)
        self.limits.merge(record)
        self.rows.keep(record)

    def keys(self) -> list[str]:
        return [row.key for row in self.store.rows.read(TABLE)]


def make_record(
    name: str, rate: float | None, lifetime: int = 1, age: float = 0.0
) -> LimitRecord:
    return LimitRecord(
        endpoint=EndpointId(name=name, lifetime=lifetime),
        requests_per_second=rate,
        age_seconds=age,
    )


def make_row(name: str, rate: float, lifetime: int = 1) -> StoredRow:
    return StoredRow(
        key=name, version=1, value=encode(make_record(name, rate, lifetime))
    )


@in_virtual_time
async def test_limit_is_read_as_it_was_written_and_as_older_than_any_news():
    site = RowsSite()
    async with background_tasks(site):
        site.hear('a', 0.4)
        site.hear('b', 0)
        await trio.sleep(1)
        read = await site.rows.read()
    limits = EndpointLimits(clock=trio.current_time)
    limits.merge(make_record('b', 7.0, age=1.0))
    for record in read:
        limits.merge(record)
    assert limits.rate_of(('a', 1)) == 0.4
    assert limits.rate_of(('b', 1)) == 7.0


@in_virtual_time
async def test_row_of_a_limit_that_has_ended_is_deleted():
    site = RowsSite()
    async with background_tasks(site):
        site.hear('a', 1.0)
        site.hear('b', 1.0)
        await trio.sleep(WRITTEN_SECONDS)
        site.hear('a', None)
        await trio.sleep(WRITTEN_SECONDS)
        assert site.keys() == ['b']


@pytest.mark.parametrize('pause', [0.0, WRITTEN_SECONDS])
@pytest.mark.parametrize('rate', [None, 3.0])
@in_virtual_time
async def test_news_of_an_earlier_lifetime_leaves_the_row_of_a_later_one(
    pause, rate
):
    """Guards against a limit that starting entries can't know.

    The row was missing until the next comparison, for up to ten minutes.
    """
    site = RowsSite()
    async with background_tasks(site):
        site.hear('a', 0.4, lifetime=2)
        await trio.sleep(pause)
        site.hear('a', rate, lifetime=1)
        await trio.sleep(WRITTEN_SECONDS)
        read = await site.rows.read()
    assert [(each.endpoint, each.requests_per_second) for each in read] == [
        (EndpointId(name='a', lifetime=2), 0.4)
    ]


@in_virtual_time
async def test_changes_are_written_in_batches_that_the_store_takes():
    site = RowsSite()
    async with background_tasks(site):
        names = [f'i-{number}' for number in range(250)]
        for step in range(100):
            for name in names:
                site.hear(name, 1.0 + step)
            await trio.sleep(0.1)
        await trio.sleep(WRITTEN_SECONDS)
        assert len(site.keys()) == 250
        # Three calls for the rows, each two seconds of the ten.
        assert len(site.client.calls) <= 3 * 7
        assert len(await site.rows.read()) == 250


@in_virtual_time
async def test_change_that_the_store_did_not_take_is_written_later():
    site = RowsSite()
    async with background_tasks(site):
        site.store.failing_status = UNAVAILABLE
        site.hear('a', 1.0)
        site.hear('b', 1.0)
        await trio.sleep(1)
        site.hear('b', None)
        await trio.sleep(5)
        # A store that is away is not called all the time.
        assert len(site.client.calls) <= 4
        site.store.failing_status = None
        await trio.sleep(WRITTEN_SECONDS)
        assert site.keys() == ['a']


@in_virtual_time
async def test_start_waits_for_a_silent_store_only_for_a_moment():
    site = RowsSite()

    async def stay_silent(*arguments, **options):
        await trio.sleep_forever()

    site.client.fetch = stay_silent
    started_at = trio.current_time()
    assert not await site.rows.read()
    assert trio.current_time() - started_at <= READ_TIMEOUT_SECONDS + 0.01


@in_virtual_time
async def test_rows_that_an_older_copy_of_the_store_lacks_are_written_again():
    site = RowsSite()
    async with background_tasks(site):
        copy = site.store.rows.take_copy()
        site.hear('a', 1.0)
        await trio.sleep(WRITTEN_SECONDS)
        assert site.keys() == ['a']
        site.store.rows.return_to(copy)
        assert not site.keys()
        # Any call of this entry tells it of the new era.
        site.hear('b', 2.0)
        await trio.sleep(WRITTEN_SECONDS + COMPARISON_SPREAD_SECONDS)
        assert site.keys() == ['a', 'b']


@in_virtual_time
async def test_row_whose_writer_and_endpoint_are_gone_is_deleted():
    site = RowsSite()
    site.store.put(TABLE, 'gone', {'endpoint': {'name': 'gone'}})
    async with background_tasks(site):
        site.hear('a', 1.0)
        await trio.sleep(COMPARISON_INTERVAL_SECONDS + WRITTEN_SECONDS)
        assert site.keys() == ['a']


def test_comparison_names_only_what_the_rows_show_wrongly(caplog):
    rows = (
        make_row('same', 1.0),
        make_row('other-rate', 1.0),
        make_row('started-again', 1.0, lifetime=1),
        make_row('ended', 1.0),
        StoredRow(key='malformed', version=1, value=b'{'),
    )
    known = (
        make_record('same', 1.0),
        make_record('other-rate', 2.0),
        make_record('started-again', 0.5, lifetime=2),
        make_record('started-again', 3.0, lifetime=1),
        make_record('ended', None),
        make_record('new', 0),
    )
    changes = {
        each.endpoint.name: each.requests_per_second
        for each in compare_rows(rows, known)
    }
    assert changes == {
        'other-rate': 2.0,
        'started-again': 0.5,
        'new': 0,
        'ended': None,
        'malformed': None,
    }
    assert set(decode_rows(rows)) == {
        'same',
        'other-rate',
        'started-again',
        'ended',
    }
    assert 'can not be decoded' in caplog.text
