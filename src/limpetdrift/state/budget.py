"""Keeps a process to its share of the table service's rates.

The service's reads and writes a second are divided by the number of live
nodes. Single transactions that come close together go out as one batch, and
readers of one row share one read. Work for claims passes control work.

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
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.batching import Batcher, BatchLimits
from limpetdrift.state.pacing import Outage, Pacer

Answer = TypeVar('Answer')

RETRY_AFTER_SECONDS = 2.0


@unique
class Priority(Enum):
    """How many seconds of waiting others' work is allowed to jump ahead."""

    CLAIM = 0.0
    CONTROL = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRates:
    """What the service gives to the whole deployment, a second."""

    reads_per_second: float = 2000.0
    writes_per_second: float = 300.0


class Budget:
    """One process's use of the table service."""

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
        self._shared_reads: dict[RowKey, _SharedRead] = {}

    def calls(self, priority: Priority) -> TableCalls:
        """Return the service's calls as this process may use them."""

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
        """Send what is asked for until cancelled."""
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
        """Let queued single items go first, for a bounded time."""
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
        shared = self._shared_reads.get(key)
        if shared is not None:
            answer = await shared.wait()
            if answer is not None:
                return answer
        mine = _SharedRead()
        self._shared_reads[key] = mine
        try:
            mine.answer = await self._read_batcher.submit(
                key,
                delay_rank_seconds=priority.value,
            )
        finally:
            mine.done.set()
            if self._shared_reads.get(key) is mine:
                self._shared_reads.pop(key)
        return mine.answer

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
    """A read in flight and those who wait for its answer."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: Result[Row, Failure] | None = None

    async def wait(self) -> Result[Row, Failure] | None:
        """Return the answer, or nothing where the reader was cancelled."""
        await self.done.wait()
        return self.answer
