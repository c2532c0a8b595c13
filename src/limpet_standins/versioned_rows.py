"""Rows under one counter of versions, with a changelog and copies of both."""

from dataclasses import dataclass

import trio


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionedRow:
    """A row as of one version; ``text`` is its value in base64."""

    table: str
    key: str
    version: int
    text: str
    deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsCopy:
    """The rows, the changelog and the versions at one moment."""

    rows: dict[tuple[str, str], VersionedRow]
    changelog: tuple[VersionedRow, ...]
    version: int
    oldest_version: int


class VersionedRows:
    """The rows of all tables, and the changes that led to them.

    ``changed`` is set, and replaced, with each change. ``era`` counts how
    often the rows were set back to a copy.
    """

    def __init__(self) -> None:
        self.changed = trio.Event()
        self.version = 1
        self.era = 1
        self._rows: dict[tuple[str, str], VersionedRow] = {}
        self._changelog: list[VersionedRow] = []
        self._oldest_version = 0

    def write(self, table: str, key: str, text: str | None) -> None:
        """Write one row, or delete it if the text is ``None``."""
        if text is None and (table, key) not in self._rows:
            return
        self.version += 1
        row = VersionedRow(
            table=table,
            key=key,
            version=self.version,
            text=text or '',
            deleted=text is None,
        )
        self._changelog.append(row)
        if row.deleted:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self.notify()

    def read(self, table: str, first_key: str = '') -> list[VersionedRow]:
        """Return a table's rows in order of their keys."""
        return [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= first_key
        ]

    def changes_after(self, table: str, version: int) -> list[VersionedRow]:
        """Return a table's changes after a version."""
        return [
            row
            for row in self._changelog
            if row.table == table and row.version > version
        ]

    def lacks(self, version: int) -> bool:
        """Return whether the changes after a version are not at hand."""
        return not self._oldest_version <= version <= self.version

    def truncate(self) -> None:
        """Forget the changes up to the current version."""
        self._oldest_version = self.version
        self.notify()

    def take_copy(self) -> RowsCopy:
        """Return a copy, to which the rows may be set back later."""
        return RowsCopy(
            rows=dict(self._rows),
            changelog=tuple(self._changelog),
            version=self.version,
            oldest_version=self._oldest_version,
        )

    def return_to(self, copy: RowsCopy) -> None:
        """Go on from a copy: later writes are lost, and the era rises.

        Versions after the copy's are given out again.
        """
        self._rows = dict(copy.rows)
        self._changelog = list(copy.changelog)
        self.version = copy.version
        self._oldest_version = copy.oldest_version
        self.era += 1
        self.notify()

    def notify(self) -> None:
        """Wake all that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()
