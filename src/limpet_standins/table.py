"""A stand-in for the table service: versioned rows and transactions.

Calls are limited to a rate of reads and one of writes; faults can be set.

Run it with ``python -m limpet_standins.table --listen 127.0.0.1:9100``.
"""

import bisect
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from limpet_standins.controls import Controls
from limpet_standins.rates import RateLimit, refuse_over_rate
from limpet_standins.row_store import RowStore
from limpet_standins.serving import (
    StandIn,
    make_stand_in,
    read_body,
    refuse,
    run_stand_in,
)
from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.table import RowKey, Scan, Transaction
from limpetdrift.transport.messages import Request
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

# Most rows of a read or transaction, and most transactions of a batch.
MAX_ROWS_PER_CALL = 100
_WRITE_PATHS = frozenset(('/v1/transactions', '/v1/batches'))
_CONFLICT = 409
_BAD_INPUT = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Transactions that are committed independently of each other."""

    items: tuple[Transaction, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Reads:
    """Keys of rows to read; ``stale_ok`` permits stale rows.

    The fault ``stale_seconds`` makes all reads stale, also those that don't
    permit it.
    """

    keys: tuple[RowKey, ...]
    stale_ok: bool = False


class TableService:
    """Handlers of reads, scans and transactions on one store of rows."""

    def __init__(
        self,
        *,
        controls: Controls,
        writes: RateLimit,
        reads: RateLimit,
    ) -> None:
        self.store = RowStore(controls=controls)
        self._controls = controls
        self._writes = writes
        self._reads = reads

    async def transact(self, exchange: Exchange, _params: Parameters) -> None:
        """Commit one transaction, or respond with its conflicts and 409."""
        transaction = await read_body(exchange, Transaction)
        if transaction is None or await refuse_over_rate(
            exchange, self._writes
        ):
            return
        if _count_rows(transaction) > MAX_ROWS_PER_CALL:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        outcome = self.store.commit(transaction)
        if outcome.committed:
            response = {'committed': True, 'versions': outcome.versions}
            await exchange.respond(json_response(response))
            return
        response = {'committed': False, 'conflicts': outcome.conflicts}
        await exchange.respond(json_response(response, status=_CONFLICT))

    async def batch(self, exchange: Exchange, _params: Parameters) -> None:
        """Commit transactions independently; respond with each outcome."""
        batch = await read_body(exchange, Batch)
        if batch is None or await refuse_over_rate(exchange, self._writes):
            return
        largest = max(map(_count_rows, batch.items), default=0)
        if max(len(batch.items), largest) > MAX_ROWS_PER_CALL:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        outcomes = [self.store.commit(each) for each in batch.items]
        await exchange.respond(json_response({'outcomes': outcomes}))

    async def read(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the rows of the given keys."""
        reads = await read_body(exchange, Reads)
        if reads is None or await refuse_over_rate(exchange, self._reads):
            return
        if len(reads.keys) > MAX_ROWS_PER_CALL:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        snapshot = self.store.snapshot(self._controls.faults.stale_seconds)
        rows = [snapshot.row(each.table, each.key) for each in reads.keys]
        await exchange.respond(json_response({'rows': rows}))

    async def scan(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with a page of rows after a key, in order of keys."""
        scan = await read_body(exchange, Scan)
        if scan is None or await refuse_over_rate(exchange, self._reads):
            return
        snapshot = self.store.snapshot(self._controls.faults.stale_seconds)
        keys = [
            key
            for key in snapshot.keys(scan.table)
            if key.startswith(scan.prefix)
        ]
        keys = keys[bisect.bisect_right(keys, scan.after) :]
        response = {
            'rows': [
                snapshot.row(scan.table, key) for key in keys[: scan.limit]
            ],
            'more': len(keys) > scan.limit,
        }
        await exchange.respond(json_response(response))

    async def counts(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the numbers of calls allowed and refused so far."""
        response = {
            'reads': self._reads.allowed,
            'writes': self._writes.allowed,
            'reads_refused': self._reads.refused,
            'writes_refused': self._writes.refused,
        }
        await exchange.respond(json_response(response))


def _count_rows(transaction: Transaction) -> int:
    parts: tuple[tuple[Any, ...], ...] = (
        transaction.checks,
        transaction.puts,
        transaction.deletes,
    )
    return sum(map(len, parts))


def is_write(request: Request) -> bool:
    """Return whether a call counts as a write."""
    return request.path in _WRITE_PATHS


def make_table(
    *,
    name: str = 'table',
    writes_per_second: float = 400,
    reads_per_second: float = 2000,
    end: Callable[[], None] | None = None,
) -> StandIn:
    """Return an empty table service; ``end`` replaces ending the process."""
    controls = Controls(counts_as_lost=is_write)
    if end is not None:
        controls.end = end
    service = TableService(
        controls=controls,
        writes=RateLimit(per_second=writes_per_second),
        reads=RateLimit(per_second=reads_per_second),
    )
    stand_in = make_stand_in(name=name, controls=controls)
    stand_in.routes.add('POST', '/v1/transactions', service.transact)
    stand_in.routes.add('POST', '/v1/batches', service.batch)
    stand_in.routes.add('POST', '/v1/reads', service.read)
    stand_in.routes.add('POST', '/v1/scans', service.scan)
    stand_in.routes.add('GET', '/control/counts', service.counts)
    return stand_in


@cappa.command(name='limpet-table')
@dataclass
class TableCommand:
    """Run a stand-in of the platform's table service."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'table'
    writes_per_second: Annotated[float, cappa.Arg(long=True)] = 400
    reads_per_second: Annotated[float, cappa.Arg(long=True)] = 2000

    def __call__(self) -> None:
        """Run until stopped."""
        run_stand_in(self._make, self.listen)

    def _make(self, _address: str) -> StandIn:
        return make_table(
            name=self.name,
            writes_per_second=self.writes_per_second,
            reads_per_second=self.reads_per_second,
        )


if __name__ == '__main__':
    cappa.invoke(TableCommand)
