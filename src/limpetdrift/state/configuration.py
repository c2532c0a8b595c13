"""Reads and writes the configuration documents in the table service.

Each document is a row of its own, and the row's version is the document's
version. The transaction of a change checks the versions of only the documents
that the validation of the merged sites read, so that changes of different
sites don't conflict. There are two more rows:

- ``stamp`` is written by every change, without a check. Its version increases
  with each change, so that one small read shows whether anything changed.
- ``sites`` lists the overlays. It is written only when a site is added, and
  checked by each change of the base, so that no new site is left out when a
  change of the base is validated.

A document's row keeps the ids of its last changes. If the response to a
commit is lost, the same change is sent again: the version checks admit it at
most once, and the conflicting rows, returned if a check fails, show in their
history whether the first try took effect.
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
from limpetdrift.state.changes import change_transaction, next_document
from limpetdrift.state.configuration_rows import (
    SITES_KEY,
    STAMP_KEY,
    document_key,
    parse_documents,
    parse_overlay_names,
    row_check,
    row_key,
)
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.documents import BASE_NAME
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

# The table service refuses a transaction with more checks and puts.
MAX_TRANSACTION_ROWS = 100


@unique
class CommitState(StrEnum):
    """Whether a transaction that writes a change was committed."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitOutcome:
    """The known outcome of a commit.

    ``documents`` holds the documents written or, after a conflict, the stored
    documents whose version differs from the expected one. It is empty if only
    the list of sites conflicts.
    """

    state: CommitState
    documents: tuple[StoredDocument, ...] = ()


async def read_stamp(calls: TableCalls) -> Result[int, Failure]:
    """Return the stamp row's version, which increases with every change."""
    rows = await calls.read((row_key(STAMP_KEY),))
    return rows.map(lambda found: found[0].version)


async def read_snapshot(
    calls: TableCalls,
) -> Result[ConfigurationSnapshot, Failure]:
    """Read the stamp and the list of sites, then all documents.

    A change committed between the two reads may be returned with the stamp of
    before the change. The next poll then finds a new stamp and reads again.
    """
    head_rows = await calls.read((row_key(STAMP_KEY), row_key(SITES_KEY)))
    if head_rows.is_error():
        return Result.Error(head_rows.error)
    stamp, sites = head_rows.ok
    names = (BASE_NAME, *parse_overlay_names(sites))
    rows = await calls.read(tuple(document_key(name) for name in names))
    return rows.bind(
        lambda found: _parse_rows(found).map(
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
    """Return whether no change was committed after ``stamp``.

    Reads of the table service may be stale; a transaction never is. This one
    checks the stamp row's version and writes nothing.
    """
    transaction = Transaction(checks=(row_check(STAMP_KEY, stamp),))
    outcome = await calls.transact(transaction)
    return outcome.map(lambda result: result.committed)


def _parse_rows(
    rows: tuple[Row, ...],
) -> Result[dict[str, StoredDocument], Failure]:
    try:
        return Result.Ok(parse_documents(rows))
    except msgspec.ValidationError as error:
        return Result.Error(not_run(Reason.BAD_ANSWER, str(error)))


async def commit_change(
    calls: TableCalls,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> Result[CommitOutcome, Failure]:
    """Write a validated change in one transaction.

    After a failure that isn't ``Verdict.NOT_RUN`` the change may have been
    committed. It is safe to commit the same change with the same snapshot
    again: it takes effect at most once.
    """
    written = tuple(
        next_document(each, change, snapshot) for each in change.documents
    )
    transaction = change_transaction(change, snapshot, written)
    if len(transaction.checks) + len(transaction.puts) > MAX_TRANSACTION_ROWS:
        return Result.Error(not_run(Reason.BAD_REQUEST, 'too many documents'))
    outcome = await calls.transact(transaction)
    if outcome.is_error():
        return Result.Error(outcome.error)
    if outcome.ok.committed:
        return Result.Ok(
            CommitOutcome(state=CommitState.ACCEPTED, documents=written),
        )
    return _parse_rows(outcome.ok.conflicts).bind(
        lambda stored: _resolve_conflict(
            change, written, tuple(stored.values())
        ),
    )


def _resolve_conflict(
    change: Change,
    written: tuple[StoredDocument, ...],
    conflicting: tuple[StoredDocument, ...],
) -> Result[CommitOutcome, Failure]:
    """Tell a conflict with another change from an earlier try's success."""
    if any(_has_change(each, change.change_id) for each in conflicting):
        return Result.Ok(
            CommitOutcome(state=CommitState.ACCEPTED, documents=written),
        )
    if any(_is_history_cut(each, written) for each in conflicting):
        return Result.Error(
            may_have_run(Reason.CONFLICT, 'the change is too long ago'),
        )
    return Result.Ok(
        CommitOutcome(state=CommitState.CONFLICT, documents=conflicting)
    )


def _has_change(document: StoredDocument, change_id: str) -> bool:
    return any(each.change_id == change_id for each in document.history)


def _is_history_cut(
    stored: StoredDocument,
    written: tuple[StoredDocument, ...],
) -> bool:
    """Return whether the record of the change may have left the history."""
    oldest = stored.history[0].version
    return any(
        each.name == stored.name and each.version < oldest for each in written
    )
