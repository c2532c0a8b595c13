"""Keeps the rate limits of endpoints in the platform's store.

The entries tell each other of limits. The rows serve those that start while no
entry runs that could tell them. The entry that decides for an endpoint writes
its limit; an assigned one now and then compares all rows to what it knows.
"""

import random
from collections.abc import Callable, Iterable
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
from limpetdrift.protocol.limits import LimitRecord
from limpetdrift.protocol.plans import EndpointId
from limpetdrift.state.endpoint_limits import EndpointLimits
from limpetdrift.supervision import keep_running, run_contained

TABLE = 'limpetdrift-limits'
# Batching interval of changes, and shortest interval of two writes.
WRITE_BATCH_SECONDS = 0.2
WRITE_INTERVAL_SECONDS = 2.0
# Interval at which the assigned entry compares all rows to what it knows.
COMPARISON_INTERVAL_SECONDS = 600.0
# The comparison after the store came back from an older copy is delayed by up
# to this time.
COMPARISON_SPREAD_SECONDS = 3.0
# Longest time for which a starting entry waits for the rows.
READ_TIMEOUT_SECONDS = 0.5
# Age of a limit from a row: anything heard since then is newer.
READ_AGE_SECONDS = 60.0


@dataclass(frozen=True, kw_only=True)
class LimitRowsInputs:
    """The limits to keep, and the store.

    ``is_assigned`` returns whether this entry compares the rows.
    """

    store: StoreClient
    limits: EndpointLimits
    is_assigned: Callable[[], bool]
    randomness: random.Random


class LimitRows:
    """The rows, as this entry reads and writes them."""

    def __init__(self, *, inputs: LimitRowsInputs) -> None:
        self._inputs = inputs
        self._changed: dict[str, LimitRecord] = {}
        self._work_added = trio.Event()
        self._compare_due = trio.Event()
        inputs.store.era.on_rise.append(lambda: self._compare_due.set())

    async def read(self) -> tuple[LimitRecord, ...]:
        """Return the limits in the rows, none if the store doesn't answer."""
        with trio.move_on_after(READ_TIMEOUT_SECONDS):
            rows = await self._read_rows()
            if rows is not None:
                note('rate limits read from the store', rows=len(rows))
                return tuple(decode_rows(rows).values())
        warn('rate limits in the store are not known')
        return ()

    def keep(self, record: LimitRecord) -> None:
        """Write a changed limit soon, or delete its row if it has ended.

        A row belongs to the latest lifetime that has a limit, so what is heard
        late of an earlier one is not written.
        """
        if has_later_limit(record.endpoint, self._inputs.limits.records()):
            return
        self._changed[record.endpoint.name] = record
        self._work_added.set()

    async def run(self) -> None:
        """Write changes, and compare the rows when assigned."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'limit-rows-comparison', self._compare_repeatedly
            )
            while True:
                await self._work_added.wait()
                await trio.sleep(WRITE_BATCH_SECONDS)
                self._work_added = trio.Event()
                await run_contained('limit-rows', self._write_changed)
                await trio.sleep(WRITE_INTERVAL_SECONDS)

    async def _write_changed(self) -> None:
        changed = tuple(self._changed.values())
        self._changed.clear()
        for record in await self._write(changed):
            self._changed.setdefault(record.endpoint.name, record)
            self._work_added.set()

    async def _compare_repeatedly(self) -> None:
        while True:
            with trio.move_on_after(COMPARISON_INTERVAL_SECONDS):
                await self._compare_due.wait()
                await trio.sleep(
                    self._inputs.randomness.uniform(
                        0, COMPARISON_SPREAD_SECONDS
                    )
                )
            self._compare_due = trio.Event()
            if self._inputs.is_assigned():
                await self._compare()

    async def _compare(self) -> None:
        rows = await self._read_rows()
        if rows is None:
            # Tried again after the random delay.
            self._compare_due.set()
            return
        for record in compare_rows(rows, self._inputs.limits.records()):
            self.keep(record)

    async def _read_rows(self) -> tuple[StoredRow, ...] | None:
        result = await read_all(self._inputs.store, TABLE)
        if result.is_error():
            warn(
                'rate limits in the store can not be read',
                reason=result.error.reason,
            )
            return None
        return result.ok.rows

    async def _write(
        self, records: tuple[LimitRecord, ...]
    ) -> tuple[LimitRecord, ...]:
        """Write records; return those that the store has not taken."""
        failed: list[LimitRecord] = []
        for first in range(0, len(records), MAX_CHANGES):
            batch = records[first : first + MAX_CHANGES]
            written = await self._inputs.store.write(
                TABLE,
                {
                    each.endpoint.name: encode(each)
                    for each in batch
                    if each.requests_per_second is not None
                },
                [
                    each.endpoint.name
                    for each in batch
                    if each.requests_per_second is None
                ],
            )
            if written.is_error():
                warn(
                    'rate limits can not be written',
                    reason=written.error.reason,
                    count=len(batch),
                )
                failed.extend(batch)
        return tuple(failed)


def decode_rows(rows: Iterable[StoredRow]) -> dict[str, LimitRecord]:
    """Return the limits in rows by their keys, each as an old one."""
    records: dict[str, LimitRecord] = {}
    for row in rows:
        decoded = decode(row.value or b'', LimitRecord)
        if decoded.is_error():
            warn('row of a rate limit can not be decoded', key=row.key)
            continue
        records[row.key] = replace(decoded.ok, age_seconds=READ_AGE_SECONDS)
    return records


def has_later_limit(endpoint: EndpointId, known: Iterable[LimitRecord]) -> bool:
    """Return whether a later lifetime of the endpoint has a known limit.

    >>> later = EndpointId(name='a', lifetime=2)
    >>> known = LimitRecord(
    ...     endpoint=later, requests_per_second=0.5, age_seconds=0.0
    ... )
    >>> has_later_limit(EndpointId(name='a', lifetime=1), [known])
    True
    >>> has_later_limit(later, [known])
    False
    """
    return any(
        each.endpoint.name == endpoint.name
        and each.endpoint.lifetime > endpoint.lifetime
        and each.requests_per_second is not None
        for each in known
    )


def compare_rows(
    rows: tuple[StoredRow, ...], known: Iterable[LimitRecord]
) -> tuple[LimitRecord, ...]:
    """Return the changes that make the rows show the known limits.

    A change to no limit deletes a row, whatever its lifetime is.
    """
    # Of two lifetimes of an endpoint the later one counts.
    wanted = {
        each.endpoint.name: each
        for each in sorted(known, key=lambda each: each.endpoint.lifetime)
        if each.requests_per_second is not None
    }
    shown = decode_rows(rows)
    missing = (
        record
        for key, record in wanted.items()
        if key not in shown or _limit_of(shown[key]) != _limit_of(record)
    )
    outdated = (
        LimitRecord(
            endpoint=EndpointId(name=row.key, lifetime=0),
            requests_per_second=None,
            age_seconds=0.0,
        )
        for row in rows
        if row.key not in wanted
    )
    return (*missing, *outdated)


def _limit_of(record: LimitRecord) -> tuple[EndpointId, float | None]:
    return record.endpoint, record.requests_per_second
