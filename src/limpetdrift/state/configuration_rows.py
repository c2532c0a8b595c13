"""Builds checks and puts of the configuration table; decodes its rows."""

from dataclasses import dataclass
from typing import Any

import msgspec

from limpetdrift.protocol.configuration import (
    Change,
    ChangeRecord,
    Document,
    StoredDocument,
)
from limpetdrift.protocol.table import Check, Put, Row, RowKey
from limpetdrift.state.documents import BASE_NAME

TABLE = 'configuration'
STAMP_KEY = 'stamp'
SITES_KEY = 'sites'
_DOCUMENT_PREFIX = 'document/'


@dataclass(frozen=True, kw_only=True, slots=True)
class _DocumentRow:
    file: str
    text: str
    requires: dict[str, int]
    history: tuple[ChangeRecord, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _SitesRow:
    names: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class _StampRow:
    change_id: str


def document_check(name: str, version: int) -> Check:
    """Return a check that a document's row has exactly this version."""
    return row_check(_DOCUMENT_PREFIX + name, version)


def row_check(key: str, version: int) -> Check:
    """Return a check that a row has exactly this version."""
    return Check(table=TABLE, key=key, version=version)


def document_put(stored: StoredDocument) -> Put:
    """Return the put that writes a document."""
    row = _DocumentRow(
        file=stored.document.file,
        text=stored.document.text,
        requires=stored.requires,
        history=stored.history,
    )
    key = _DOCUMENT_PREFIX + stored.name
    return Put(table=TABLE, key=key, value=msgspec.to_builtins(row))


def stamp_put(change: Change) -> Put:
    """Return the put that writes the id of a change to the stamp row.

    Every change of the configuration includes this put. It increases the row's
    version, by which readers notice that something has changed.
    """
    row = _StampRow(change_id=change.change_id)
    return Put(table=TABLE, key=STAMP_KEY, value=msgspec.to_builtins(row))


def sites_put(names: set[str]) -> Put:
    """Return the put that writes the list of overlays."""
    row = _SitesRow(names=tuple(sorted(names - {BASE_NAME})))
    return Put(table=TABLE, key=SITES_KEY, value=msgspec.to_builtins(row))


def row_key(key: str) -> RowKey:
    """Return the key of a row of the configuration table."""
    return RowKey(table=TABLE, key=key)


def document_key(name: str) -> RowKey:
    """Return the key of a document's row."""
    return row_key(_DOCUMENT_PREFIX + name)


def parse_overlay_names(row: Row) -> tuple[str, ...]:
    """Return the document names in the list of overlays, if it exists.

    Raises ``msgspec.ValidationError`` for a value of another shape.
    """
    return _convert(row.value, _SitesRow).names if row.version else ()


def parse_documents(rows: tuple[Row, ...]) -> dict[str, StoredDocument]:
    """Decode the existing documents among the rows, by name.

    Raises ``msgspec.ValidationError`` for a value of another shape.
    """
    stored = [
        _parse_document(row)
        for row in rows
        if row.version and row.key.startswith(_DOCUMENT_PREFIX)
    ]
    return {each.name: each for each in stored}


def _parse_document(row: Row) -> StoredDocument:
    found = _convert(row.value, _DocumentRow)
    name = row.key.removeprefix(_DOCUMENT_PREFIX)
    return StoredDocument(
        document=Document(name=name, file=found.file, text=found.text),
        version=row.version,
        requires=found.requires,
        history=found.history,
    )


def _convert(value: Any, kind: type) -> Any:
    return msgspec.convert(value, kind)
