"""Stores rows with versions, and recent changes to serve stale reads."""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import trio

from limpet_standins.controls import Controls
from limpetdrift.protocol.table import ABSENT, Outcome, Put, Row, Transaction

# Age at which changes are dropped; a stale read does not reach further back.
HISTORY_SECONDS = 120.0
_RowId = tuple[str, str]
_VersionedValue = tuple[int, Any]
_ABSENT_ROW: _VersionedValue = (ABSENT, None)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSnapshot:
    """All rows at one time, by table and key, with version and value."""

    rows: dict[_RowId, _VersionedValue]

    def row(self, table: str, key: str) -> Row:
        """Return one row; an absent one has the version ``ABSENT``."""
        version, stored = self.rows.get((table, key), _ABSENT_ROW)
        return Row(table=table, key=key, version=version, value=stored)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table, sorted."""
        return sorted(key for name, key in self.rows if name == table)


@dataclass(frozen=True, kw_only=True, slots=True)
class _UndoRecord:
    at: float
    previous: dict[_RowId, _VersionedValue] = field(default_factory=dict)


class RowStore:
    """Commits transactions atomically and records them in the journal."""

    def __init__(self, *, controls: Controls) -> None:
        self._controls = controls
        self._rows: dict[_RowId, _VersionedValue] = {}
        self._undo_log: deque[_UndoRecord] = deque()

    def snapshot(self, stale_seconds: float = 0) -> StoreSnapshot:
        """Return the rows as they were ``stale_seconds`` ago.

        Without staleness, the snapshot shares the live rows.
        """
        if not stale_seconds:
            return StoreSnapshot(rows=self._rows)
        rows = dict(self._rows)
        cutoff = trio.current_time() - stale_seconds
        for undo in reversed(self._undo_log):
            if undo.at <= cutoff:
                break
            rows.update(undo.previous)
        present = {
            row_id: versioned_value
            for row_id, versioned_value in rows.items()
            if versioned_value[0]
        }
        return StoreSnapshot(rows=present)

    def commit(self, transaction: Transaction) -> Outcome:
        """Apply all puts and deletes if every check holds, else none.

        The rows whose version differs from their check are the conflicts.
        """
        current = self.snapshot()
        conflicts = tuple(
            current.row(check.table, check.key)
            for check in transaction.checks
            if current.row(check.table, check.key).version != check.version
        )
        if conflicts:
            return Outcome(committed=False, conflicts=conflicts)
        self._record_undo(transaction)
        versions = tuple(self._put(each) for each in transaction.puts)
        for deleted in transaction.deletes:
            self._rows.pop((deleted.table, deleted.key), None)
        self._controls.record(
            'committed',
            puts=transaction.puts,
            deletes=transaction.deletes,
        )
        return Outcome(committed=True, versions=versions)

    def _put(self, put: Put) -> int:
        row_id = (put.table, put.key)
        version = self._rows.get(row_id, _ABSENT_ROW)[0] + 1
        self._rows[row_id] = (version, put.value)
        return version

    def _record_undo(self, transaction: Transaction) -> None:
        now = trio.current_time()
        changes = (*transaction.puts, *transaction.deletes)
        row_ids = {(each.table, each.key) for each in changes}
        previous = {
            row_id: self._rows.get(row_id, _ABSENT_ROW) for row_id in row_ids
        }
        self._undo_log.append(_UndoRecord(at=now, previous=previous))
        while self._undo_log[0].at < now - HISTORY_SECONDS:
            self._undo_log.popleft()
