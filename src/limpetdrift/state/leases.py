"""Leases in the table service, with fencing tokens.

A lease is a row that names its holder and a fencing token, a number that
grows with each take-over. Clocks of different processes are never compared:
the holder counts the term from when it sent its last write, the others from
when they first saw that write, which is later. The term is long and the
others poll rarely, so that a lease costs one write per
``RENEW_AFTER_SECONDS``, and one read per step of each process that doesn't
hold it.

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
# Lease term.
TERM_SECONDS = 30.0
# Renewal interval of the holder.
RENEW_AFTER_SECONDS = 10.0
# Safety margin: the holder stops using the lease this long before its term
# ends.
SAFETY_MARGIN_SECONDS = 1.0
# Interval between calls of ``step``.
STEP_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRow:
    """The value of a lease's row; ``holder`` is empty once released."""

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
        """The time for which this process is sure to hold the lease."""
        return max(0.0, self._valid_until - trio.current_time())

    @property
    def held_seconds(self) -> float:
        """The time for which the lease has been held without a break."""
        return max(0.0, trio.current_time() - self._granted_at)

    @property
    def fencing(self) -> int:
        """The fencing token to send with orders."""
        return self._row.fencing

    async def step(self) -> None:
        """Renew the lease if it is due, or take it over if it has lapsed."""
        if not self.remaining_seconds:
            self._invalidate()
            await self._try_acquire()
        elif trio.current_time() - self._sent_at >= RENEW_AFTER_SECONDS:
            await self._write(self._row)

    async def release(self) -> None:
        """Release the lease, so that others can acquire it at once."""
        if self.remaining_seconds:
            self._invalidate()
            await self._transact(replace(self._row, holder=''))

    async def _try_acquire(self) -> None:
        key = RowKey(table=LEASE_TABLE, key=self.group)
        rows = await self._table.read((key,))
        if rows.is_error():
            return
        self._record_row(rows.ok[0])
        if self._has_lapsed():
            telemetry.count('leases_taken')
            await self._write(
                LeaseRow(holder=self._holder, fencing=self._row.fencing + 1),
            )

    def _has_lapsed(self) -> bool:
        if self._row.holder in {'', self._holder}:
            return True
        unchanged_seconds = trio.current_time() - self._seen_at
        return unchanged_seconds >= TERM_SECONDS

    async def _write(self, row: LeaseRow) -> None:
        sent_at = trio.current_time()
        outcome = await self._transact(row)
        if outcome is None:
            return
        if outcome.committed:
            self._record_held(row, outcome.versions[0], sent_at)
        else:
            self._handle_conflict(outcome.conflicts[0])

    async def _transact(self, row: LeaseRow) -> Outcome | None:
        """Write the row if it is unchanged; ``None`` if the call failed."""
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

    def _record_held(self, row: LeaseRow, version: int, sent_at: float) -> None:
        if not self.remaining_seconds:
            self._granted_at = trio.current_time()
        self._row = row
        self._version = version
        self._sent_at = sent_at
        self._valid_until = sent_at + TERM_SECONDS - SAFETY_MARGIN_SECONDS

    def _handle_conflict(self, stored_row: Row) -> None:
        """Record the stored row; drop the lease if another process wrote it.

        The lease stays if the row is this process's own renewal, whose answer
        was lost.
        """
        expected_row = self._row
        self._record_row(stored_row)
        if self._row != expected_row or self._row.holder != self._holder:
            self._invalidate()

    def _record_row(self, stored_row: Row) -> None:
        if stored_row.version > self._version:
            self._version = stored_row.version
            self._row = msgspec.convert(stored_row.value, LeaseRow)
            self._seen_at = trio.current_time()

    def _invalidate(self) -> None:
        self._valid_until = -math.inf
        self._granted_at = math.inf
