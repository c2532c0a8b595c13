"""Bounds the claims table: an epoch row that counts hours, and a sweep.

No process's clock of the day is trusted. Stewards move the epoch row on by
compare-and-set, each after it saw the same value for an hour of its own
running time, so that an epoch never lasts less. A claim's row is stamped
with the epoch of its latest write and deleted ``RETENTION_EPOCHS`` later.
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
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.claims import CLAIMS_TABLE, VersionedClaim, read_claim

EPOCH_TABLE = 'claim-epoch'
EPOCH_KEY = 'current'
EPOCH_SECONDS = 3_600.0
RETENTION_EPOCHS = 25
READ_SECONDS = 60.0
STALE_SECONDS = 600.0
PAGE_ROWS = 100
_EPOCH_ROW = RowKey(table=EPOCH_TABLE, key=EPOCH_KEY)


class EpochClock:
    """Follows the epoch row; stewards also move it on."""

    def __init__(self, *, table: TableCalls, moves: bool = False) -> None:
        self._table = table
        self._moves = moves
        self._seen: Row | None = None
        self._first_seen_at = 0.0
        self._read_at = 0.0

    @property
    def current(self) -> int | None:
        """Return the epoch, or nothing where it was not read lately."""
        if self._seen is None or self._seen.value is None:
            return None
        if trio.current_time() - self._read_at > STALE_SECONDS:
            return None
        return self._seen.value

    async def run(self) -> None:
        """Read the row regularly until cancelled."""
        while True:
            await self.refresh()
            known = self.current is not None
            await trio.sleep(READ_SECONDS if known else 1.0)

    async def refresh(self) -> None:
        """Read the row once, and move it on where that is due."""
        started_at = trio.current_time()
        rows = await self._table.read((_EPOCH_ROW,))
        if rows.is_error():
            return
        self._note(rows.ok[0], started_at)
        if self._moves and self._is_due(rows.ok[0]):
            await self._move_on(rows.ok[0])

    def _note(self, row: Row, started_at: float) -> None:
        if self._seen is None or row.version > self._seen.version:
            self._seen = row
            self._first_seen_at = trio.current_time()
        self._read_at = started_at

    def _is_due(self, row: Row) -> bool:
        seen_for = trio.current_time() - self._first_seen_at
        return row.value is None or seen_for >= EPOCH_SECONDS

    async def _move_on(self, row: Row) -> None:
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
    """Deletes old claims, a page at a time."""

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
        """Whether the next page is the table's first."""
        return not self._after

    async def sweep_page(self, epoch: int) -> Result[int, Failure]:
        """Delete the next page's old rows and return their number."""
        page = await self._table.scan(
            Scan(table=CLAIMS_TABLE, after=self._after, limit=PAGE_ROWS),
        )
        if page.is_error():
            return Error(page.error)
        last_key = page.ok.rows[-1].key if page.ok.rows else ''
        self._after = last_key if page.ok.more else ''
        claims = [read_claim(row) for row in page.ok.rows]
        old = [
            claim
            for claim in claims
            if claim and claim.row.epoch + self._retention_epochs < epoch
        ]
        return await self._delete(old)

    async def _delete(self, old: list[VersionedClaim]) -> Result[int, Failure]:
        if not old:
            return Ok(0)
        deleted = await self._table.batch(
            tuple(_make_deletion(claim) for claim in old),
        )
        if deleted.is_error():
            return Error(deleted.error)
        count = 0
        for claim, outcome in zip(old, deleted.ok, strict=True):
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
