"""Configuration documents in the table service.

Each document is a row of its own, and the row's version is the document's.
A change checks the versions of all documents that its check of the merged
sites rested on, so changes to unlike sites don't disturb each other. Two more
rows go with the documents:

- ``stamp`` is written, unchecked, with every change; its version alone says
  whether anything changed since it was last read;
- ``sites`` lists the overlays. It is written only when a site is added, and
  checked by each change of the base, so that no site escapes the base's check.

A document's row keeps the ids of its last few changes. Whether a change whose
answer was lost took effect is settled by sending the same change again: its
checks let it in at most once, and the rows in its way show whose change came
first.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

import msgspec
from expression import Result

from limpetdrift.protocol.configuration import Change, StoredDocument
from limpetdrift.protocol.table import (
    Row,
    TableCalls,
    Transaction,
)
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.state.changes import change_transaction, next_document
from limpetdrift.state.configuration_rows import (
    SITES_KEY,
    STAMP_KEY,
    document_key,
    documents_of,
    row_check,
    row_key,
    site_names,
)
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.documents import BASE_NAME

MAX_ROWS = 100


@unique
class CommitState(StrEnum):
    """How an attempt to write a change ended."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """A settled attempt: the documents written, or the rows in the way."""

    state: CommitState
    documents: tuple[StoredDocument, ...] = ()


async def read_stamp(calls: TableCalls) -> Result[int, Failure]:
    """Return the stamp row's version; it grows with every change."""
    rows = await calls.read((row_key(STAMP_KEY),))
    return rows.map(lambda found: found[0].version)


async def read_snapshot(
    calls: TableCalls,
) -> Result[ConfigurationSnapshot, Failure]:
    """Read all documents: first the two small rows, then the listed ones.

    A change that lands between the two reads may be seen without its stamp;
    the stamp is then read as new by the next poll.
    """
    heads = await calls.read((row_key(STAMP_KEY), row_key(SITES_KEY)))
    if heads.is_error():
        return Result.Error(heads.error)
    stamp, sites = heads.ok
    names = (BASE_NAME, *site_names(sites))
    rows = await calls.read(tuple(document_key(name) for name in names))
    return rows.bind(
        lambda found: _read_rows(found).map(
            lambda documents: ConfigurationSnapshot(
                documents=documents,
                stamp=stamp.version,
                sites_version=sites.version,
            ),
        ),
    )


async def confirm_stamp(
    calls: TableCalls,
    stamp: int,
) -> Result[bool, Failure]:
    """Tell whether the stamp is the newest, also where reads are stale.

    It goes by a transaction that checks and writes nothing.
    """
    transaction = Transaction(checks=(row_check(STAMP_KEY, stamp),))
    outcome = await calls.transact(transaction)
    return outcome.map(lambda settled: settled.committed)


def _read_rows(
    rows: tuple[Row, ...],
) -> Result[dict[str, StoredDocument], Failure]:
    try:
        return Result.Ok(documents_of(rows))
    except msgspec.ValidationError as error:
        return Result.Error(not_run(Reason.BAD_ANSWER, str(error)))


async def commit(
    calls: TableCalls,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> Result[Commit, Failure]:
    """Write a checked change once; an error side may have had its effect.

    Sending the same change with the same snapshot again is safe.
    """
    written = tuple(
        next_document(each, change, snapshot) for each in change.documents
    )
    transaction = change_transaction(change, snapshot, written)
    if len(transaction.checks) + len(transaction.puts) > MAX_ROWS:
        return Result.Error(not_run(Reason.BAD_REQUEST, 'too many documents'))
    outcome = await calls.transact(transaction)
    if outcome.is_error():
        return Result.Error(outcome.error)
    if outcome.ok.committed:
        return Result.Ok(
            Commit(state=CommitState.ACCEPTED, documents=written),
        )
    return _read_rows(outcome.ok.conflicts).bind(
        lambda standing: _settle(change, written, tuple(standing.values())),
    )


def _settle(
    change: Change,
    written: tuple[StoredDocument, ...],
    standing: tuple[StoredDocument, ...],
) -> Result[Commit, Failure]:
    if any(_holds(each, change.change_id) for each in standing):
        return Result.Ok(
            Commit(state=CommitState.ACCEPTED, documents=written),
        )
    if any(_has_forgotten(each, written) for each in standing):
        return Result.Error(
            may_have_run(Reason.CONFLICT, 'the change is too long ago'),
        )
    return Result.Ok(Commit(state=CommitState.CONFLICT, documents=standing))


def _holds(document: StoredDocument, change_id: str) -> bool:
    return any(each.change_id == change_id for each in document.history)


def _has_forgotten(
    standing: StoredDocument,
    written: tuple[StoredDocument, ...],
) -> bool:
    oldest = standing.history[0].version
    return any(
        each.name == standing.name and each.version < oldest for each in written
    )
