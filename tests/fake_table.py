"""A table service in memory, with the failures of the real one.

>>> table = FakeTable()
>>> calls = table.calls()  # a TableCalls for the code under test
>>> table.lose_answers = 1  # the next write takes effect, its answer is lost
"""

import copy

import trio
from expression import Result

from limpetdrift.protocol.table import (
    ABSENT,
    Outcome,
    Page,
    Row,
    TableCalls,
)
from limpetdrift.verdict import Reason, may_have_run, not_run


class FakeTable:
    """Versioned rows; counts calls and fails on demand.

    While ``down``, calls are refused. ``lose_answers`` is the number of
    coming writes that take effect without an answer; ``lose_requests``, of
    those that neither take effect nor get one.
    """

    def __init__(self, *, delay_seconds=0.002):
        self.rows = {}
        self.delay_seconds = delay_seconds
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale_rows = None
        self.reads = 0
        self.writes = 0
        self.history = []

    def freeze_reads(self):
        """Make reads return the rows as of now, until ``thaw_reads``."""
        self.stale_rows = copy.deepcopy(self.rows)

    def thaw_reads(self):
        """Make reads return the newest rows again."""
        self.stale_rows = None

    def calls(self):
        """Return the functions that the code under test calls."""
        return TableCalls(
            transact=self._transact,
            batch=self._batch,
            read=self._read,
            scan=self._scan,
        )

    async def _transact(self, transaction):
        outcome = await self._batch((transaction,))
        return outcome.map(lambda outcomes: outcomes[0])

    async def _batch(self, transactions):
        self.writes += 1
        await trio.sleep(self.delay_seconds)
        if self.down:
            return Result.Error(not_run(Reason.CONNECT_FAILED, 'table'))
        if self.lose_requests:
            self.lose_requests -= 1
            return Result.Error(may_have_run(Reason.TIMEOUT, 'table'))
        outcomes = tuple(self._commit(each) for each in transactions)
        await trio.sleep(self.delay_seconds)
        if self.lose_answers:
            self.lose_answers -= 1
            return Result.Error(may_have_run(Reason.TIMEOUT, 'table'))
        return Result.Ok(outcomes)

    async def _read(self, keys):
        self.reads += 1
        await trio.sleep(self.delay_seconds)
        if self.down:
            return Result.Error(not_run(Reason.CONNECT_FAILED, 'table'))
        visible = self._visible_rows()
        rows = tuple(self._row(visible, each.table, each.key) for each in keys)
        return Result.Ok(rows)

    async def _scan(self, scan):
        self.reads += 1
        await trio.sleep(self.delay_seconds)
        if self.down:
            return Result.Error(not_run(Reason.CONNECT_FAILED, 'table'))
        matching = sorted(
            key
            for table, key in self._visible_rows()
            if table == scan.table
            and key.startswith(scan.prefix)
            and key > scan.after
        )
        rows = tuple(
            self._row(self._visible_rows(), scan.table, key)
            for key in matching[: scan.limit]
        )
        return Result.Ok(Page(rows=rows, more=len(matching) > scan.limit))

    def _visible_rows(self):
        return self.rows if self.stale_rows is None else self.stale_rows

    def _row(self, rows, table, key):
        version, value = rows.get((table, key), (ABSENT, None))
        return Row(
            table=table,
            key=key,
            version=version,
            value=copy.deepcopy(value),
        )

    def _commit(self, transaction):
        conflicts = tuple(
            self._row(self.rows, check.table, check.key)
            for check in transaction.checks
            if self._row(self.rows, check.table, check.key).version
            != check.version
        )
        if conflicts:
            return Outcome(committed=False, conflicts=conflicts)
        versions = tuple(self._put(put) for put in transaction.puts)
        for deleted in transaction.deletes:
            self.rows.pop((deleted.table, deleted.key), None)
        self.history.append(transaction)
        return Outcome(committed=True, versions=versions)

    def _put(self, put):
        version, _ = self.rows.get((put.table, put.key), (ABSENT, None))
        self.rows[put.table, put.key] = (version + 1, copy.deepcopy(put.value))
        return version + 1
