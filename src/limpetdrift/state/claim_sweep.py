"""Deletes old claims, so that the claims table stays bounded.

The age of a claim is counted in epochs, since no process's wall clock is
trusted. A row holds the current epoch. Processes advance it by
compare-and-set, each only after it has seen the same value for an hour by its
monotonic clock, so that an epoch never lasts less than an hour. A claim's row
holds the epoch of its latest write. It is deleted once the current epoch is
more than ``RETENTION_EPOCHS`` above that.
"""

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.objects import ObjectCalls
from limpetdrift.protocol.table import (
    Check,
    Put,
    Row,
    RowKey,
    Scan,
    TableCalls,
    Transaction,
)
from limpetdrift.state.claims import CLAIMS_TABLE, VersionedClaim, read_claim
from limpetdrift.verdict import Failure

EPOCH_TABLE = 'claim-epoch'
EPOCH_KEY = 'current'
# Minimum duration of an epoch.
EPOCH_SECONDS = 3_600.0
# Retention period of a claim after its latest write.
RETENTION_EPOCHS = 25
# Interval between reads of the epoch row.
POLL_INTERVAL_SECONDS = 60.0
# Age of the last read beyond which the epoch counts as unknown.
STALENESS_BOUND_SECONDS = 600.0
# Rows of the claims table in a scan.
PAGE_ROWS = 100
_EPOCH_ROW = RowKey(table=EPOCH_TABLE, key=EPOCH_KEY)


class EpochClock:
    """Tracks the epoch row; advances it when due, if ``may_advance`` is set."""

    def __init__(self, *, table: TableCalls, may_advance: bool = False) -> None:
        self._table = table
        self._may_advance = may_advance
        self._latest_row: Row | None = None
        self._first_seen_at = 0.0
        self._read_at = 0.0

    @property
    def current(self) -> int | None:
        """The epoch, or ``None`` if it wasn't read recently."""
        if self._latest_row is None or self._latest_row.value is None:
            return None
        if trio.current_time() - self._read_at > STALENESS_BOUND_SECONDS:
            return None
        return self._latest_row.value

    async def run(self) -> None:
        """Poll the row until cancelled, each second while it is unknown."""
        while True:
            await self.refresh()
            is_known = self.current is not None
            await trio.sleep(POLL_INTERVAL_SECONDS if is_known else 1.0)

    async def refresh(self) -> None:
        """Read the row once, and advance it if that is due."""
        started_at = trio.current_time()
        rows = await self._table.read((_EPOCH_ROW,))
        if rows.is_error():
            return
        self._record_read(rows.ok[0], started_at)
        if self._may_advance and self._is_due(rows.ok[0]):
            await self._advance(rows.ok[0])

    def _record_read(self, row: Row, started_at: float) -> None:
        if self._latest_row is None or row.version > self._latest_row.version:
            self._latest_row = row
            self._first_seen_at = trio.current_time()
        self._read_at = started_at

    def _is_due(self, row: Row) -> bool:
        unchanged_seconds = trio.current_time() - self._first_seen_at
        return row.value is None or unchanged_seconds >= EPOCH_SECONDS

    async def _advance(self, row: Row) -> None:
        epoch = 1 if row.value is None else row.value + 1
        await self._table.transact(
            Transaction(
                checks=(
                    Check(
                        table=EPOCH_TABLE,
                        key=EPOCH_KEY,
                        version=row.version,
                    ),
                ),
                puts=(Put(table=EPOCH_TABLE, key=EPOCH_KEY, value=epoch),),
            ),
        )


class ClaimSweep:
    """Deletes expired claims, one page of the table at a time."""

    def __init__(
        self,
        *,
        table: TableCalls,
        objects: ObjectCalls,
        retention_epochs: int = RETENTION_EPOCHS,
    ) -> None:
        self._table = table
        self._objects = objects
        self._retention_epochs = retention_epochs
        self._after = ''

    @property
    def at_start(self) -> bool:
        """Whether the next page is the first of the table."""
        return not self._after

    async def sweep_page(self, epoch: int) -> Result[int, Failure]:
        """Delete the expired rows of the next page; return their number."""
        page = await self._table.scan(
            Scan(table=CLAIMS_TABLE, after=self._after, limit=PAGE_ROWS),
        )
        if page.is_error():
            return Error(page.error)
        last_key = page.ok.rows[-1].key if page.ok.rows else ''
        self._after = last_key if page.ok.more else ''
        claims = [read_claim(row) for row in page.ok.rows]
        expired = [
            claim
            for claim in claims
            if claim and claim.row.epoch + self._retention_epochs < epoch
        ]
        return await self._delete(expired)

    async def _delete(
        self, expired: list[VersionedClaim]
    ) -> Result[int, Failure]:
        if not expired:
            return Ok(0)
        deleted = await self._table.batch(
            tuple(_make_deletion(claim) for claim in expired),
        )
        if deleted.is_error():
            return Error(deleted.error)
        count = 0
        for claim, outcome in zip(expired, deleted.ok, strict=True):
            if outcome.committed:
                count += 1
                await self._delete_object(claim)
        telemetry.count('claims_expired', count)
        return Ok(count)

    async def _delete_object(self, claim: VersionedClaim) -> None:
        if claim.row.result_object:
            await self._objects.delete(claim.row.result_object)


def _make_deletion(claim: VersionedClaim) -> Transaction:
    return Transaction(
        checks=(
            Check(
                table=CLAIMS_TABLE,
                key=claim.key,
                version=claim.version,
            ),
        ),
        deletes=(RowKey(table=CLAIMS_TABLE, key=claim.key),),
    )
