"""Limits a process to its share of the table service's call rates.

The service's reads and writes per second are divided by the number of live
nodes. Transactions that are submitted within a short time are sent as one
batch, and concurrent reads of one row share one read. Calls for claims are
sent before control-plane calls.

>>> budget = Budget(calls=calls, rates=rates, live_nodes=count, ...)
>>> nursery.start_soon(budget.run)  # doctest: +SKIP
>>> claims_calls = budget.calls(Priority.CLAIM)
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import TypeVar

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.table import (
    Outcome,
    Page,
    Row,
    RowKey,
    Scan,
    TableCalls,
    Transaction,
)
from limpetdrift.state.batching import Batcher, BatchLimits
from limpetdrift.state.pacing import Outage, Pacer
from limpetdrift.verdict import Failure, Reason, not_run

Answer = TypeVar('Answer')

# Retry interval that a refused caller is given.
RETRY_AFTER_SECONDS = 2.0


@unique
class Priority(Enum):
    """Seconds added to the arrival time by which queued calls are ordered.

    A claim call is sent before the control calls that arrived up to half a
    second earlier.
    """

    CLAIM = 0.0
    CONTROL = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRates:
    """The calls per second that the whole deployment may make."""

    reads_per_second: float = 2000.0
    writes_per_second: float = 300.0


class Budget:
    """Limits one process's calls to the table service."""

    def __init__(
        self,
        *,
        calls: TableCalls,
        rates: StoreRates,
        live_nodes: Callable[[], int],
        randomness: random.Random,
        limits: BatchLimits | None = None,
    ) -> None:
        self._calls = calls
        self._limits = limits or BatchLimits()
        self._outage = Outage(randomness=randomness)
        self._reads = Pacer(
            rate=lambda: rates.reads_per_second / max(1, live_nodes()),
            outage=self._outage,
        )
        self._writes = Pacer(
            rate=lambda: rates.writes_per_second / max(1, live_nodes()),
            outage=self._outage,
        )
        self._write_batcher: Batcher[Transaction, Outcome] = Batcher(
            send=self._send_writes,
            admit=self._writes.admit,
            limits=self._limits,
        )
        self._read_batcher: Batcher[RowKey, Row] = Batcher(
            send=self._send_reads,
            admit=self._reads.admit,
            limits=self._limits,
        )
        self._reads_in_flight: dict[RowKey, _SharedRead] = {}

    def calls(self, priority: Priority) -> TableCalls:
        """Return rate-limited calls to the service at a priority."""

        async def transact(
            transaction: Transaction,
        ) -> Result[Outcome, Failure]:
            return await self._write_batcher.submit(
                transaction,
                delay_rank_seconds=priority.value,
            )

        async def read(
            keys: tuple[RowKey, ...],
        ) -> Result[tuple[Row, ...], Failure]:
            return await self._read(keys, priority)

        return TableCalls(
            transact=transact,
            batch=self._batch,
            read=read,
            scan=self._scan,
        )

    async def run(self) -> None:
        """Send queued reads and writes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_batcher.run)
            nursery.start_soon(self._read_batcher.run)

    async def _send_writes(
        self,
        transactions: tuple[Transaction, ...],
    ) -> Result[tuple[Outcome, ...], Failure]:
        telemetry.count('store_calls', kind='write')
        telemetry.count('store_transactions', len(transactions))
        return self._record(await self._calls.batch(transactions))

    async def _send_reads(
        self,
        keys: tuple[RowKey, ...],
    ) -> Result[tuple[Row, ...], Failure]:
        telemetry.count('store_calls', kind='read')
        return self._record(await self._calls.read(keys))

    async def _batch(
        self,
        transactions: tuple[Transaction, ...],
    ) -> Result[tuple[Outcome, ...], Failure]:
        if not await self._admit_bulk(self._write_batcher, self._writes):
            return self._refuse()
        return await self._send_writes(transactions)

    async def _scan(self, scan: Scan) -> Result[Page, Failure]:
        if not await self._admit_bulk(self._read_batcher, self._reads):
            return self._refuse()
        telemetry.count('store_calls', kind='read')
        return self._record(await self._calls.scan(scan))

    async def _admit_bulk(self, batcher: Batcher, pacer: Pacer) -> bool:
        """Wait until a batch or scan may be sent; return false on timeout.

        Queued single calls go first, for at most the control delay.
        """
        with trio.move_on_after(Priority.CONTROL.value):
            await batcher.wait_until_empty()
        with trio.move_on_after(self._limits.wait_seconds):
            await pacer.admit()
            return True
        return False

    async def _read(
        self,
        keys: tuple[RowKey, ...],
        priority: Priority,
    ) -> Result[tuple[Row, ...], Failure]:
        answers: dict[RowKey, Result[Row, Failure]] = {}

        async def read_one(key: RowKey) -> None:
            answers[key] = await self._read_shared(key, priority)

        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(read_one, key)
        rows = []
        for each in keys:
            if answers[each].is_error():
                return Result.Error(answers[each].error)
            rows.append(answers[each].ok)
        return Ok(tuple(rows))

    async def _read_shared(
        self,
        key: RowKey,
        priority: Priority,
    ) -> Result[Row, Failure]:
        pending_read = self._reads_in_flight.get(key)
        if pending_read is not None:
            answer = await pending_read.wait()
            if answer is not None:
                return answer
        own_read = _SharedRead()
        self._reads_in_flight[key] = own_read
        try:
            own_read.answer = await self._read_batcher.submit(
                key,
                delay_rank_seconds=priority.value,
            )
        finally:
            own_read.done.set()
            if self._reads_in_flight.get(key) is own_read:
                self._reads_in_flight.pop(key)
        return own_read.answer

    def _record(
        self,
        answer: Result[Answer, Failure],
    ) -> Result[Answer, Failure]:
        self._outage.record(answer)
        if answer.is_error():
            telemetry.count('refusals', reason=answer.error.reason)
        return answer

    def _refuse(self) -> Result[Answer, Failure]:
        telemetry.count('refusals', reason=Reason.STORE_RATE)
        return Result.Error(
            not_run(
                Reason.STORE_RATE,
                'no turn in time',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            ),
        )


class _SharedRead:
    """A read in flight whose answer several callers share."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: Result[Row, Failure] | None = None

    async def wait(self) -> Result[Row, Failure] | None:
        """Return the answer, or ``None`` if the reader was cancelled."""
        await self.done.wait()
        return self.answer
