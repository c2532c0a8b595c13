"""Validates a configuration change and commits it with optimistic locking.

Nothing is written until the base and every affected overlay are valid when
merged. The transaction checks the versions that this validation read. If it
conflicts only in documents that the change doesn't touch, the merged sites
are read and validated again, and the change is committed on the new versions.
"""

from dataclasses import replace

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.protocol.configuration import (
    Accepted,
    Applied,
    Change,
    Complaint,
    Complaints,
    Document,
    Refusal,
    Rejection,
)
from limpetdrift.protocol.table import TableCalls
from limpetdrift.state.configuration import (
    CommitOutcome,
    CommitState,
    commit_change,
    read_snapshot,
)
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.differences import find_conflict
from limpetdrift.state.documents import (
    BASE_NAME,
    SITE_PREFIX,
    check_documents,
    classify_document,
)
from limpetdrift.verdict import Failure, Reason, Verdict

# Retry timeout of a commit that fails or whose outcome is unknown.
COMMIT_TIMEOUT_SECONDS = 6.0
COMMIT_RETRY_INTERVAL_SECONDS = 0.25
# Attempts to validate and commit one change while other documents change.
MAX_ATTEMPTS = 8


ApplyResult = Result[Applied, Rejection]


async def apply_change(calls: TableCalls, change: Change) -> ApplyResult:
    """Validate and commit a change; return its versions or the rejection.

    A change whose id is in the stored history is not applied again: the
    versions that it got the first time are returned. After a rejection with
    ``Refusal.UNKNOWN`` the change may still have taken effect.
    """
    complaints = _check_names(change.documents)
    if complaints:
        return _reject(change, Refusal.INVALID, complaints=complaints)
    outcome = None
    for _ in range(MAX_ATTEMPTS):
        outcome = await _apply_once(calls, change)
        if outcome is not None:
            return outcome
        telemetry.count('retries', reason=Reason.CONFLICT)
    return _reject(change, Refusal.CONFLICT)


async def check_change(
    calls: TableCalls,
    change: Change,
) -> Result[ConfigurationSnapshot, Rejection]:
    """Validate a change against the stored documents without writing it."""
    complaints = _check_names(change.documents)
    if complaints:
        return _reject(change, Refusal.INVALID, complaints=complaints)
    read = await read_snapshot(calls)
    if read.is_error():
        return _reject(change, Refusal.UNAVAILABLE, failure=read.error)
    return _check(change, read.ok).map(lambda _: read.ok)


async def _apply_once(
    calls: TableCalls,
    change: Change,
) -> ApplyResult | None:
    read = await read_snapshot(calls)
    if read.is_error():
        return _reject(change, Refusal.UNAVAILABLE, failure=read.error)
    snapshot = read.ok
    earlier = _find_earlier_result(change, snapshot)
    if earlier is not None:
        return Result.Ok(earlier)
    checked = _check(change, snapshot)
    if checked.is_error():
        return Result.Error(checked.error)
    reduced = checked.ok
    if not reduced.documents:
        return Result.Ok(_unchanged_result(change, snapshot))
    committed = await _commit_with_retries(calls, reduced, snapshot)
    if committed.is_error():
        return Result.Error(committed.error)
    return _interpret_commit(reduced, snapshot, committed.ok)


def _find_earlier_result(
    change: Change, snapshot: ConfigurationSnapshot
) -> Applied | None:
    """Return the result of the change if it was committed before."""
    versions = {
        name: record.version
        for name, stored in snapshot.documents.items()
        for record in stored.history
        if record.change_id == change.change_id
    }
    if not versions:
        return None
    return Applied(
        accepted=Accepted(change_id=change.change_id, versions=versions),
        documents=tuple(snapshot.documents.values()),
    )


def _check(
    change: Change, snapshot: ConfigurationSnapshot
) -> Result[Change, Rejection]:
    """Validate the change and drop the documents whose text is stored."""
    conflicts = tuple(
        find_conflict(change, snapshot, name, expected)
        for name, expected in change.expected.items()
        if snapshot.version(name) != expected
    )
    if conflicts:
        return _reject(change, Refusal.CONFLICT, conflicts=conflicts)
    documents = _documents_after(change, snapshot)
    complaints = _check_affected_sites(change, documents)
    if complaints:
        return _reject(change, Refusal.INVALID, complaints=complaints)
    return Result.Ok(_drop_unchanged(change, snapshot))


def _check_names(documents: tuple[Document, ...]) -> Complaints:
    complaints = []
    for document in documents:
        found = classify_document(document.file, document.text)
        if found.is_error():
            complaints.extend(found.error)
        elif found.ok.name != document.name:
            complaints.append(_wrong_name_complaint(document, found.ok.name))
    return tuple(complaints)


def _wrong_name_complaint(document: Document, name: str) -> Complaint:
    return Complaint(
        file=document.file,
        line=1,
        key='site',
        expected=f'the document {document.name}',
        found=name,
    )


def _documents_after(
    change: Change, snapshot: ConfigurationSnapshot
) -> dict[str, Document]:
    stored = {name: each.document for name, each in snapshot.documents.items()}
    return stored | {each.name: each for each in change.documents}


def _check_affected_sites(
    change: Change, documents: dict[str, Document]
) -> Complaints:
    base = documents.get(BASE_NAME)
    if base is None:
        return (
            Complaint(
                file=next((each.file for each in change.documents), ''),
                line=1,
                key='',
                expected='a base document to be applied first or with it',
            ),
        )
    changed = {each.name for each in change.documents}
    overlays = [
        document
        for name, document in sorted(documents.items())
        if name.startswith(SITE_PREFIX)
        and (BASE_NAME in changed or name in changed)
    ]
    checked = check_documents(base, overlays)
    return checked.error if checked.is_error() else ()


def _drop_unchanged(change: Change, snapshot: ConfigurationSnapshot) -> Change:
    changed = tuple(
        each
        for each in change.documents
        if each.name not in snapshot.documents
        or snapshot.documents[each.name].document.text != each.text
    )
    return replace(change, documents=changed)


def _unchanged_result(
    change: Change, snapshot: ConfigurationSnapshot
) -> Applied:
    names = [each.name for each in change.documents]
    versions = {
        name: snapshot.version(name) for name in names or snapshot.documents
    }
    return Applied(
        accepted=Accepted(
            change_id=change.change_id,
            versions=versions,
            changed=False,
        ),
        documents=tuple(snapshot.documents.values()),
    )


async def _commit_with_retries(
    calls: TableCalls,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> Result[CommitOutcome, Rejection]:
    """Commit the change again until its outcome is known or time is up."""
    deadline = trio.current_time() + COMMIT_TIMEOUT_SECONDS
    may_be_committed = False
    while True:
        outcome = await commit_change(calls, change, snapshot)
        if outcome.is_ok():
            return Result.Ok(outcome.ok)
        may_be_committed = may_be_committed or _may_have_run(outcome.error)
        timed_out = trio.current_time() >= deadline
        if timed_out or _is_permanent(outcome.error, may_be_committed):
            refusal = (
                Refusal.UNKNOWN if may_be_committed else Refusal.UNAVAILABLE
            )
            return _reject(change, refusal, failure=outcome.error)
        telemetry.count('retries', reason=outcome.error.reason)
        await trio.sleep(COMMIT_RETRY_INTERVAL_SECONDS)


def _may_have_run(failure: Failure) -> bool:
    return failure.verdict is not Verdict.NOT_RUN


def _is_permanent(failure: Failure, may_be_committed: bool) -> bool:
    return failure.reason is Reason.BAD_REQUEST and not may_be_committed


def _interpret_commit(
    change: Change,
    snapshot: ConfigurationSnapshot,
    outcome: CommitOutcome,
) -> ApplyResult | None:
    """Return the result, or ``None`` if the change is to be retried.

    A conflict rejects the change only if it is in a document that the change
    writes or names the expected version of.
    """
    if outcome.state is CommitState.ACCEPTED:
        versions = {each.name: each.version for each in outcome.documents}
        accepted = Accepted(change_id=change.change_id, versions=versions)
        return Result.Ok(
            Applied(accepted=accepted, documents=outcome.documents),
        )
    current = {each.name: each for each in outcome.documents}
    updated = replace(snapshot, documents=snapshot.documents | current)
    touched = {each.name for each in change.documents} | set(change.expected)
    conflicts = tuple(
        find_conflict(change, updated, name, snapshot.version(name))
        for name in sorted(touched & set(current))
    )
    if conflicts:
        return _reject(change, Refusal.CONFLICT, conflicts=conflicts)
    return None


def _reject(
    change: Change,
    refusal: Refusal,
    *,
    complaints: Complaints = (),
    conflicts: tuple = (),
    failure: Failure | None = None,
) -> Result:
    telemetry.count('refusals', reason=f'configuration-{refusal}')
    return Result.Error(
        Rejection(
            change_id=change.change_id,
            refusal=refusal,
            complaints=complaints,
            conflicts=conflicts,
            failure=failure,
        ),
    )
