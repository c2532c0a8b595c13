"""Rows that keep the evidence of crashes while no entry runs."""

import random

import trio

from era_site import STORE_ADDRESS, LocalClient
from limpet_standins.platform_store import StandinStore
from limpetdrift.platform.crash_rows import (
    MAX_ROW_BYTES,
    TABLE,
    WRITE_DELAY_SECONDS,
    WRITE_INTERVAL_SECONDS,
    CrashRows,
    CrashRowsInputs,
    decode_rows,
    make_rows,
)
from limpetdrift.platform.store import StoreClient, StoredRow
from limpetdrift.protocol.crashes import CutAttempt
from limpetdrift.state.crash_evidence import CrashEvidence
from virtual_time import background_tasks, in_virtual_time

WRITTEN_SECONDS = WRITE_DELAY_SECONDS + WRITE_INTERVAL_SECONDS


class RowsSite:
    """A store, and one entry's evidence and rows."""

    def __init__(self, store: StandinStore | None = None) -> None:
        self.store = store or StandinStore()
        self.evidence = CrashEvidence(clock=trio.current_time)
        self.rows = CrashRows(
            inputs=CrashRowsInputs(
                store=StoreClient(
                    client=LocalClient(self.store), address=STORE_ADDRESS
                ),
                evidence=self.evidence,
                is_assigned=lambda duty: True,
                randomness=random.Random(1),
                time_of_day=trio.current_time,
            ),
        )

    def start(self, nursery) -> None:
        nursery.start_soon(self.rows.run)

    def cut(self, endpoint: str, *keys: str, attempt: str = 'a') -> None:
        self.evidence.add_cut(make_cut(endpoint, *keys, attempt=attempt))
        self.rows.on_change()

    def keys(self) -> list[str]:
        return [row.key for row in self.store.rows.read(TABLE)]


def make_cut(endpoint: str, *keys: str, attempt: str = 'a') -> CutAttempt:
    return CutAttempt(
        endpoint=endpoint,
        attempt=attempt,
        account='acme',
        keys=keys,
        age_seconds=0.0,
        time_of_day=trio.current_time(),
    )


@in_virtual_time
async def test_crashes_are_read_again_with_their_ages():
    site = RowsSite()
    async with background_tasks(site):
        site.cut('e1@1', 'part/x')
        await trio.sleep(7)
        site.cut('e2@1', 'part/x')
        await trio.sleep(WRITTEN_SECONDS)
        found = await RowsSite(site.store).rows.read()
    assert sorted(each.endpoint for each in found) == ['e1@1', 'e2@1']
    ages = sorted(each.age_seconds for each in found)
    assert ages[1] - ages[0] == 7


@in_virtual_time
async def test_crash_whose_keys_were_all_cleared_is_not_kept():
    site = RowsSite()
    async with background_tasks(site):
        site.cut('e1@1', 'part/x')
        site.cut('e2@1', 'part/y')
        await trio.sleep(WRITE_DELAY_SECONDS / 2)
        site.evidence.add_harmless(('part/x',), trio.current_time())
        await trio.sleep(WRITTEN_SECONDS)
        assert site.keys() == ['e2@1']
        site.evidence.add_harmless(('part/y',), trio.current_time())
        site.rows.on_change()
        await trio.sleep(WRITTEN_SECONDS)
        assert not site.keys()


@in_virtual_time
async def test_row_is_bounded_whatever_callers_send():
    site = RowsSite()
    for number in range(100):
        keys = [f'part/{number}-{part}'.ljust(64) for part in range(32)]
        site.evidence.add_cut(make_cut('e1@1', *keys, attempt=str(number)))
    text = make_rows(site.evidence)['e1@1']
    assert len(text) <= MAX_ROW_BYTES
    row = StoredRow(key='e1@1', value=text, version=1)
    assert decode_rows((row,), 0.0)


@in_virtual_time
async def test_row_that_can_not_be_decoded_is_left_out():
    row = StoredRow(key='e1@1', value=b'x', version=1)
    assert not decode_rows((row,), 0.0)
