"""Builds the transaction that writes a change of configuration."""

from limpetdrift.protocol.configuration import (
    Change,
    ChangeRecord,
    Document,
    StoredDocument,
)
from limpetdrift.protocol.table import Transaction
from limpetdrift.state.configuration_rows import (
    SITES_KEY,
    document_check,
    document_put,
    row_check,
    sites_put,
    stamp_put,
)
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.documents import BASE_NAME

HISTORY_LENGTH = 16


def next_document(
    document: Document,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> StoredDocument:
    """Return what a document becomes by the change."""
    before = snapshot.documents.get(document.name)
    version = snapshot.version(document.name) + 1
    record = ChangeRecord(
        change_id=change.change_id,
        version=version,
        author=change.author,
        at=change.at,
    )
    history = (*(before.history if before else ()), record)
    return StoredDocument(
        document=document,
        version=version,
        requires=_requires(document, change, snapshot),
        history=history[-HISTORY_LENGTH:],
    )


def _requires(
    document: Document,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> dict[str, int]:
    after = snapshot.versions | {
        each.name: snapshot.version(each.name) + 1 for each in change.documents
    }
    names = after if document.name == BASE_NAME else (BASE_NAME,)
    return {name: after[name] for name in names if name != document.name}


def change_transaction(
    change: Change,
    snapshot: ConfigurationSnapshot,
    written: tuple[StoredDocument, ...],
) -> Transaction:
    """Write the documents where all that they rest on is as it was seen."""
    changes_base = any(each.name == BASE_NAME for each in written)
    rested_on = {each.name for each in written} | {BASE_NAME}
    if changes_base:
        rested_on |= set(snapshot.documents)
    checks = [
        document_check(name, snapshot.version(name))
        for name in sorted(rested_on)
    ]
    puts = [*map(document_put, written), stamp_put(change)]
    added = {each.name for each in written} - set(snapshot.documents)
    added.discard(BASE_NAME)
    if changes_base or added:
        checks.append(
            row_check(SITES_KEY, snapshot.sites_version),
        )
    if added:
        puts.append(sites_put({*snapshot.documents, *added}))
    return Transaction(checks=tuple(checks), puts=tuple(puts))
