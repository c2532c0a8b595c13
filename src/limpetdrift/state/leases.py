"""Leases in the table service, with fencing numbers.

A lease is a row that names its holder and a fencing number, which grows at
each take-over. Nobody compares clocks: the holder counts its term from the
moment it sent its last write, the others from the moment they first saw that
write, which is later. A term is long and a watcher reads seldom, so that a
lease costs a write each ``RENEW_AFTER_SECONDS`` and a read each step.

>>> lease = Lease(group='orders-0', holder='steward-1-17', table=calls)
>>> await lease.step()  # every STEP_SECONDS
>>> if lease.remaining_seconds > needed: ...  # before each order
"""

import math
from dataclasses import dataclass, replace

import msgspec
import trio

from limpetdrift import telemetry
from limpetdrift.protocol.table import (
    ABSENT,
    Check,
    Outcome,
    Put,
    Row,
    RowKey,
    TableCalls,
    Transaction,
)

LEASE_TABLE = 'leases'
TERM_SECONDS = 30.0
RENEW_AFTER_SECONDS = 10.0
MARGIN_SECONDS = 1.0
STEP_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease's row; no holder means that it was given back."""

    holder: str = ''
    fencing: int = 0


class Lease:
    """One process's view of one lease."""

    def __init__(self, *, group: str, holder: str, table: TableCalls) -> None:
        self.group = group
        self._holder = holder
        self._table = table
        self._version = ABSENT
        self._row = LeaseRow()
        self._seen_at = -math.inf
        self._sent_at = -math.inf
        self._valid_until = -math.inf
        self._granted_at = math.inf

    @property
    def remaining_seconds(self) -> float:
        """Return for how long this process surely holds the lease."""
        return max(0.0, self._valid_until - trio.current_time())

    @property
    def held_seconds(self) -> float:
        """Return for how long it was held without a break."""
        return max(0.0, trio.current_time() - self._granted_at)

    @property
    def fencing(self) -> int:
        """Return the fencing number that goes with orders."""
        return self._row.fencing

    async def step(self) -> None:
        """Renew the lease, or take it over where it has lapsed."""
        if not self.remaining_seconds:
            self._drop()
            await self._watch()
        elif trio.current_time() - self._sent_at >= RENEW_AFTER_SECONDS:
            await self._write(self._row)

    async def release(self) -> None:
        """Give the lease back, so that another takes it at once."""
        if self.remaining_seconds:
            self._drop()
            await self._transact(replace(self._row, holder=''))

    async def _watch(self) -> None:
        key = RowKey(table=LEASE_TABLE, key=self.group)
        rows = await self._table.read((key,))
        if rows.is_error():
            return
        self._note(rows.ok[0])
        if self._has_lapsed():
            telemetry.count('leases_taken')
            await self._write(
                LeaseRow(holder=self._holder, fencing=self._row.fencing + 1),
            )

    def _has_lapsed(self) -> bool:
        if self._row.holder in {'', self._holder}:
            return True
        seen_for = trio.current_time() - self._seen_at
        return seen_for >= TERM_SECONDS

    async def _write(self, row: LeaseRow) -> None:
        sent_at = trio.current_time()
        outcome = await self._transact(row)
        if outcome is None:
            return
        if outcome.committed:
            self._hold(row, outcome.versions[0], sent_at)
        else:
            self._meet(outcome.conflicts[0])

    async def _transact(self, row: LeaseRow) -> Outcome | None:
        """Write the row if it is as it was seen; nothing when unknown."""
        written = await self._table.transact(
            Transaction(
                checks=(
                    Check(
                        table=LEASE_TABLE,
                        key=self.group,
                        version=self._version,
                    ),
                ),
                puts=(
                    Put(
                        table=LEASE_TABLE,
                        key=self.group,
                        value=msgspec.to_builtins(row),
                    ),
                ),
            ),
        )
        if written.is_error():
            telemetry.count('retries', reason=written.error.reason)
            return None
        return written.ok

    def _hold(self, row: LeaseRow, version: int, sent_at: float) -> None:
        if not self.remaining_seconds:
            self._granted_at = trio.current_time()
        self._row = row
        self._version = version
        self._sent_at = sent_at
        self._valid_until = sent_at + TERM_SECONDS - MARGIN_SECONDS

    def _meet(self, found: Row) -> None:
        """Learn from a conflict; an own write with a lost answer is no loss."""
        held = self._row
        self._note(found)
        if self._row != held or self._row.holder != self._holder:
            self._drop()

    def _note(self, found: Row) -> None:
        if found.version > self._version:
            self._version = found.version
            self._row = msgspec.convert(found.value, LeaseRow)
            self._seen_at = trio.current_time()

    def _drop(self) -> None:
        self._valid_until = -math.inf
        self._granted_at = math.inf
