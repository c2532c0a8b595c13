"""Rows with versions and their recent past, for reads that are stale."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import trio

from limpet_standins.controls import Controls
from limpetdrift.protocol.table import ABSENT, Outcome, Put, Row, Transaction

PAST_SECONDS = 120.0
_NAME = tuple[str, str]
_CELL = tuple[int, Any]
_MISSING: _CELL = (ABSENT, None)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSnapshot:
    """The rows as they are, or as they were at some time."""

    cells: dict[_NAME, _CELL]

    def row(self, table: str, key: str) -> Row:
        """Return one row, also when it is absent."""
        version, cell = self.cells.get((table, key), _MISSING)
        return Row(table=table, key=key, version=version, value=cell)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table, in order."""
        return sorted(key for name, key in self.cells if name == table)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Undo:
    at: float
    before: dict[_NAME, _CELL] = field(default_factory=dict)


class RowStore:
    """Commits transactions one after the other."""

    def __init__(self, *, controls: Controls) -> None:
        self._controls = controls
        self._cells: dict[_NAME, _CELL] = {}
        self._past: deque[_Undo] = deque()

    def snapshot(self, stale_seconds: float = 0) -> StoreSnapshot:
        """Return the rows as they were so long ago."""
        if not stale_seconds:
            return StoreSnapshot(cells=self._cells)
        cells = dict(self._cells)
        horizon = trio.current_time() - stale_seconds
        for undo in reversed(self._past):
            if undo.at <= horizon:
                break
            cells.update(undo.before)
        seen = {name: cell for name, cell in cells.items() if cell[0]}
        return StoreSnapshot(cells=seen)

    def commit(self, transaction: Transaction) -> Outcome:
        """Commit all of it when every check holds."""
        view = self.snapshot()
        conflicts = tuple(
            view.row(check.table, check.key)
            for check in transaction.checks
            if view.row(check.table, check.key).version != check.version
        )
        if conflicts:
            return Outcome(committed=False, conflicts=conflicts)
        self._remember(transaction)
        versions = tuple(self._put(each) for each in transaction.puts)
        for deleted in transaction.deletes:
            self._cells.pop((deleted.table, deleted.key), None)
        self._controls.record(
            'committed',
            puts=transaction.puts,
            deletes=transaction.deletes,
        )
        return Outcome(committed=True, versions=versions)

    def _put(self, put: Put) -> int:
        name = (put.table, put.key)
        version = self._cells.get(name, _MISSING)[0] + 1
        self._cells[name] = (version, put.value)
        return version

    def _remember(self, transaction: Transaction) -> None:
        now = trio.current_time()
        touched = (*transaction.puts, *transaction.deletes)
        names = {(each.table, each.key) for each in touched}
        before = {name: self._cells.get(name, _MISSING) for name in names}
        self._past.append(_Undo(at=now, before=before))
        while self._past[0].at < now - PAST_SECONDS:
            self._past.popleft()
