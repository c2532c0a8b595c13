"""Keeps the evidence of crashes in the platform's store.

The entries tell each other of crashes. The rows, one for each process that
crashed, serve those that start while no entry runs that could tell them. The
entry that a process is assigned to writes its row, and an assigned one now and
then compares all rows to what it knows.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from limpetdrift.logs import note, warn
from limpetdrift.platform.store import (
    MAX_CHANGES,
    StoreClient,
    StoredRow,
    read_all,
)
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.crashes import CrashNews, CutAttempt
from limpetdrift.state.crash_evidence import CrashEvidence
from limpetdrift.supervision import keep_running, run_contained

TABLE = 'limpetdrift-crashes'
# Delay of a write, in which answers clear most of the keys, and the shortest
# interval of two writes.
WRITE_DELAY_SECONDS = 1.0
WRITE_INTERVAL_SECONDS = 2.0
# Interval at which the assigned entry compares all rows to what it knows, and
# random delay of the comparison after the store came back older.
COMPARISON_INTERVAL_SECONDS = 300.0
COMPARISON_SPREAD_SECONDS = 3.0
# Bound of a row, below what the store takes.
MAX_ROW_BYTES = 49_152
# Longest time for which a starting entry waits for the rows.
READ_TIMEOUT_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True)
class CrashRowsInputs:
    """The evidence to keep, and the store.

    ``is_assigned`` returns whether this entry has a duty, and ``time_of_day``
    the seconds since 1970.
    """

    store: StoreClient
    evidence: CrashEvidence
    is_assigned: Callable[[str], bool]
    randomness: random.Random
    time_of_day: Callable[[], float]


class CrashRows:
    """The rows, as this entry reads and writes them."""

    def __init__(self, *, inputs: CrashRowsInputs) -> None:
        self._inputs = inputs
        self._shown: dict[str, bytes] = {}
        self._changed = trio.Event()
        self._compare_due = trio.Event()
        inputs.store.era.on_rise.append(lambda: self._compare_due.set())

    async def read(self) -> tuple[CutAttempt, ...]:
        """Return the cut attempts in the rows, none if no answer comes."""
        with trio.move_on_after(READ_TIMEOUT_SECONDS):
            rows = await self._read_rows()
            if rows is not None:
                note('crashes read from the store', rows=len(rows))
                return decode_rows(rows, self._inputs.time_of_day())
        warn('crashes in the store are not known')
        return ()

    def on_change(self) -> None:
        """Write changed rows soon."""
        self._changed.set()

    async def run(self) -> None:
        """Write changes, and compare the rows when assigned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'crash-rows-comparison', self._compare_repeatedly
            )
            while True:
                await self._changed.wait()
                await trio.sleep(WRITE_DELAY_SECONDS)
                self._changed = trio.Event()
                if not await run_contained('crash-rows', self._write_assigned):
                    self._changed.set()
                await trio.sleep(WRITE_INTERVAL_SECONDS)

    async def _write_assigned(self) -> None:
        wanted = make_rows(self._inputs.evidence)
        assigned = {
            key: text
            for key, text in wanted.items()
            if self._inputs.is_assigned(f'{TABLE}/{key}')
        }
        gone = self._shown.keys() - wanted.keys()
        await self._write(assigned, tuple(gone))

    async def _compare_repeatedly(self) -> None:
        while True:
            with trio.move_on_after(COMPARISON_INTERVAL_SECONDS):
                await self._compare_due.wait()
            self._compare_due = trio.Event()
            await trio.sleep(
                self._inputs.randomness.uniform(0, COMPARISON_SPREAD_SECONDS)
            )
            if not self._inputs.is_assigned(TABLE):
                continue
            rows = await self._read_rows()
            if rows is None:
                self._compare_due.set()
                continue
            self._shown = {row.key: row.value or b'' for row in rows}
            wanted = make_rows(self._inputs.evidence)
            await self._write(wanted, tuple(self._shown.keys() - wanted.keys()))

    async def _read_rows(self) -> tuple[StoredRow, ...] | None:
        result = await read_all(self._inputs.store, TABLE)
        if result.is_error():
            warn(
                'crashes in the store can not be read',
                reason=result.error.reason,
            )
            return None
        return result.ok.rows

    async def _write(
        self, wanted: dict[str, bytes], gone: tuple[str, ...]
    ) -> None:
        """Write the rows that the store doesn't show yet, and drop others."""
        changed = [
            (key, text)
            for key, text in wanted.items()
            if self._shown.get(key) != text
        ]
        changes = [*changed, *((key, None) for key in gone)]
        for first in range(0, len(changes), MAX_CHANGES):
            batch = dict(changes[first : first + MAX_CHANGES])
            puts = {key: text for key, text in batch.items() if text}
            dropped = [key for key, text in batch.items() if text is None]
            written = await self._inputs.store.write(TABLE, puts, dropped)
            if written.is_error():
                warn(
                    'crashes can not be written',
                    reason=written.error.reason,
                    count=len(batch),
                )
                self._changed.set()
                continue
            self._shown.update(puts)
            for key in dropped:
                self._shown.pop(key, None)


def make_rows(evidence: CrashEvidence) -> dict[str, bytes]:
    """Return the wanted rows by their keys.

    A process gets one while any key of its crash has not been cleared.
    """
    by_endpoint: dict[str, list[CutAttempt]] = defaultdict(list)
    for cut in evidence.cut_attempts():
        if cut.keys:
            by_endpoint[cut.endpoint].append(replace(cut, age_seconds=0.0))
    return {
        endpoint: _encode_row(found) for endpoint, found in by_endpoint.items()
    }


def _encode_row(found: list[CutAttempt]) -> bytes:
    """Encode as many attempts as a row can hold."""
    text = encode(CrashNews(cut=tuple(found)))
    while len(text) > MAX_ROW_BYTES:
        found = found[: len(found) // 2]
        text = encode(CrashNews(cut=tuple(found)))
    return text


def decode_rows(
    rows: tuple[StoredRow, ...], time_of_day: float
) -> tuple[CutAttempt, ...]:
    """Return the cut attempts in rows, with their ages.

    The clocks of entries may differ by seconds.
    """
    found: list[CutAttempt] = []
    for row in rows:
        decoded = decode(row.value or b'', CrashNews)
        if decoded.is_error():
            warn('row of a crash can not be decoded', key=row.key)
            continue
        found.extend(
            replace(cut, age_seconds=max(0.0, time_of_day - cut.time_of_day))
            for cut in decoded.ok.cut
        )
    return tuple(found)
