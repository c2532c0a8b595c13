"""The table service: rows with versions, transactions, rates and faults.

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

ROW_LIMIT = 100
_WRITE_PATHS = frozenset(('/v1/transactions', '/v1/batches'))
_CONFLICT = 409
_BAD_INPUT = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """Transactions that stand each on its own."""

    items: tuple[Transaction, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Reads:
    """Keys to read; stale rows may be given where that is said."""

    keys: tuple[RowKey, ...]
    stale_ok: bool = False


class TableService:
    """The handlers over a store of rows."""

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
        """Commit one transaction, or answer with its conflicts."""
        transaction = await read_body(exchange, Transaction)
        if transaction is None or await refuse_over_rate(
            exchange, self._writes
        ):
            return
        if _rows_of(transaction) > ROW_LIMIT:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        outcome = self.store.commit(transaction)
        if outcome.committed:
            answer = {'committed': True, 'versions': outcome.versions}
            await exchange.respond(json_response(answer))
            return
        answer = {'committed': False, 'conflicts': outcome.conflicts}
        await exchange.respond(json_response(answer, status=_CONFLICT))

    async def batch(self, exchange: Exchange, _params: Parameters) -> None:
        """Commit transactions, each on its own."""
        batch = await read_body(exchange, Batch)
        if batch is None or await refuse_over_rate(exchange, self._writes):
            return
        largest = max(map(_rows_of, batch.items), default=0)
        if max(len(batch.items), largest) > ROW_LIMIT:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        outcomes = [self.store.commit(each) for each in batch.items]
        await exchange.respond(json_response({'outcomes': outcomes}))

    async def read(self, exchange: Exchange, _params: Parameters) -> None:
        """Answer with rows."""
        reads = await read_body(exchange, Reads)
        if reads is None or await refuse_over_rate(exchange, self._reads):
            return
        if len(reads.keys) > ROW_LIMIT:
            await refuse(exchange, _BAD_INPUT, 'too-many-rows')
            return
        view = self.store.snapshot(self._controls.faults.stale_seconds)
        rows = [view.row(each.table, each.key) for each in reads.keys]
        await exchange.respond(json_response({'rows': rows}))

    async def scan(self, exchange: Exchange, _params: Parameters) -> None:
        """Answer with a page of a table."""
        scan = await read_body(exchange, Scan)
        if scan is None or await refuse_over_rate(exchange, self._reads):
            return
        view = self.store.snapshot(self._controls.faults.stale_seconds)
        keys = [
            key for key in view.keys(scan.table) if key.startswith(scan.prefix)
        ]
        keys = keys[bisect.bisect_right(keys, scan.after) :]
        answer = {
            'rows': [view.row(scan.table, key) for key in keys[: scan.limit]],
            'more': len(keys) > scan.limit,
        }
        await exchange.respond(json_response(answer))

    async def counts(self, exchange: Exchange, _params: Parameters) -> None:
        """Answer with how many calls came so far."""
        answer = {
            'reads': self._reads.allowed,
            'writes': self._writes.allowed,
            'reads_refused': self._reads.refused,
            'writes_refused': self._writes.refused,
        }
        await exchange.respond(json_response(answer))


def _rows_of(transaction: Transaction) -> int:
    parts: tuple[tuple[Any, ...], ...] = (
        transaction.checks,
        transaction.puts,
        transaction.deletes,
    )
    return sum(map(len, parts))


def is_write(request: Request) -> bool:
    """Whether a call counts as a write."""
    return request.path in _WRITE_PATHS


def make_table(
    *,
    name: str = 'table',
    writes_per_second: float = 400,
    reads_per_second: float = 2000,
    end: Callable[[], None] | None = None,
) -> StandIn:
    """Return a table service without rows."""
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
