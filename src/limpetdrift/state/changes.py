"""Builds the store transaction that commits a configuration change."""

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

# Change records kept per document. A commit whose response was lost and that
# is sent again after this many later changes has an unknown outcome.
HISTORY_LENGTH = 16


def next_document(
    document: Document,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> StoredDocument:
    """Return a document of the change as it is to be stored.

    ``requires`` holds versions as they are after the change: for the base
    those of all overlays, for an overlay that of the base.
    """
    previous = snapshot.documents.get(document.name)
    version = snapshot.version(document.name) + 1
    record = ChangeRecord(
        change_id=change.change_id,
        version=version,
        author=change.author,
        at=change.at,
    )
    history = (*(previous.history if previous else ()), record)
    return StoredDocument(
        document=document,
        version=version,
        requires=_required_versions(document, change, snapshot),
        history=history[-HISTORY_LENGTH:],
    )


def _required_versions(
    document: Document,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> dict[str, int]:
    new_versions = snapshot.versions | {
        each.name: snapshot.version(each.name) + 1 for each in change.documents
    }
    names = new_versions if document.name == BASE_NAME else (BASE_NAME,)
    return {name: new_versions[name] for name in names if name != document.name}


def change_transaction(
    change: Change,
    snapshot: ConfigurationSnapshot,
    written: tuple[StoredDocument, ...],
) -> Transaction:
    """Return the transaction that writes the documents of a change.

    It checks the versions of all documents that the validation of the merged
    sites read. A change of the base or a new overlay also checks the list of
    sites, so that neither is committed without having seen the other.
    """
    changes_base = any(each.name == BASE_NAME for each in written)
    validated_with = {each.name for each in written} | {BASE_NAME}
    if changes_base:
        validated_with |= set(snapshot.documents)
    checks = [
        document_check(name, snapshot.version(name))
        for name in sorted(validated_with)
    ]
    puts = [*map(document_put, written), stamp_put(change)]
    new_sites = {each.name for each in written} - set(snapshot.documents)
    new_sites.discard(BASE_NAME)
    if changes_base or new_sites:
        checks.append(
            row_check(SITES_KEY, snapshot.sites_version),
        )
    if new_sites:
        puts.append(sites_put({*snapshot.documents, *new_sites}))
    return Transaction(checks=tuple(checks), puts=tuple(puts))
