"""Applies a change of configuration: check, compare, write, settle.

Nothing is written before the base and every affected overlay check out
merged. The write rests on the versions that were read. When only documents
that the change doesn't touch have moved meanwhile, the merged sites are
checked anew and the change is sent again.
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
from limpetdrift.protocol.verdict import Failure, Reason, Verdict
from limpetdrift.state.configuration import (
    Commit,
    CommitState,
    commit,
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

SETTLE_SECONDS = 6.0
RETRY_SECONDS = 0.25
MAX_ROUNDS = 8


ApplyResult = Result[Applied, Rejection]


async def apply_change(calls: TableCalls, change: Change) -> ApplyResult:
    """Carry a change out; the error side says why it had no effect."""
    complaints = _check_names(change.documents)
    if complaints:
        return _reject(change, Refusal.INVALID, complaints=complaints)
    outcome = None
    for _ in range(MAX_ROUNDS):
        outcome = await _apply_once(calls, change)
        if outcome is not None:
            return outcome
        telemetry.count('retries', reason=Reason.CONFLICT)
    return _reject(change, Refusal.CONFLICT)


async def check_change(
    calls: TableCalls,
    change: Change,
) -> Result[ConfigurationSnapshot, Rejection]:
    """Check a change against what is stored, and write nothing."""
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
    seen = read.ok
    earlier = _find_accepted(change, seen)
    if earlier is not None:
        return Result.Ok(earlier)
    checked = _check(change, seen)
    if checked.is_error():
        return Result.Error(checked.error)
    needed = checked.ok
    if not needed.documents:
        return Result.Ok(_unchanged(change, seen))
    settled = await _settle(calls, needed, seen)
    if settled.is_error():
        return Result.Error(settled.error)
    return _conclude(needed, seen, settled.ok)


def _find_accepted(
    change: Change, snapshot: ConfigurationSnapshot
) -> Applied | None:
    """Return what an earlier sending of the same change has done."""
    versions = {
        name: record.version
        for name, standing in snapshot.documents.items()
        for record in standing.history
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
    """Return the part of the change that isn't in force yet."""
    moved = tuple(
        find_conflict(change, snapshot, name, expected)
        for name, expected in change.expected.items()
        if snapshot.version(name) != expected
    )
    if moved:
        return _reject(change, Refusal.CONFLICT, conflicts=moved)
    merged = _merged_texts(change, snapshot)
    complaints = _check_merged(change, merged)
    if complaints:
        return _reject(change, Refusal.INVALID, complaints=complaints)
    return Result.Ok(_without_unchanged(change, snapshot))


def _check_names(documents: tuple[Document, ...]) -> Complaints:
    complaints = []
    for document in documents:
        found = classify_document(document.file, document.text)
        if found.is_error():
            complaints.extend(found.error)
        elif found.ok.name != document.name:
            complaints.append(_misnamed(document, found.ok.name))
    return tuple(complaints)


def _misnamed(document: Document, name: str) -> Complaint:
    return Complaint(
        file=document.file,
        line=1,
        key='site',
        expected=f'the document {document.name}',
        found=name,
    )


def _merged_texts(
    change: Change, snapshot: ConfigurationSnapshot
) -> dict[str, Document]:
    texts = {name: each.document for name, each in snapshot.documents.items()}
    return texts | {each.name: each for each in change.documents}


def _check_merged(change: Change, merged: dict[str, Document]) -> Complaints:
    base = merged.get(BASE_NAME)
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
        for name, document in sorted(merged.items())
        if name.startswith(SITE_PREFIX)
        and (BASE_NAME in changed or name in changed)
    ]
    checked = check_documents(base, overlays)
    return checked.error if checked.is_error() else ()


def _without_unchanged(
    change: Change, snapshot: ConfigurationSnapshot
) -> Change:
    needed = tuple(
        each
        for each in change.documents
        if each.name not in snapshot.documents
        or snapshot.documents[each.name].document.text != each.text
    )
    return replace(change, documents=needed)


def _unchanged(change: Change, snapshot: ConfigurationSnapshot) -> Applied:
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


async def _settle(
    calls: TableCalls,
    change: Change,
    snapshot: ConfigurationSnapshot,
) -> Result[Commit, Rejection]:
    """Send the change until its outcome is known, or time is up."""
    deadline = trio.current_time() + SETTLE_SECONDS
    unknown = False
    while True:
        outcome = await commit(calls, change, snapshot)
        if outcome.is_ok():
            return Result.Ok(outcome.ok)
        unknown = unknown or _may_have_run(outcome.error)
        out_of_time = trio.current_time() >= deadline
        if out_of_time or _is_final(outcome.error, unknown):
            refusal = Refusal.UNKNOWN if unknown else Refusal.UNAVAILABLE
            return _reject(change, refusal, failure=outcome.error)
        telemetry.count('retries', reason=outcome.error.reason)
        await trio.sleep(RETRY_SECONDS)


def _may_have_run(failure: Failure) -> bool:
    return failure.verdict is not Verdict.NOT_RUN


def _is_final(failure: Failure, unknown: bool) -> bool:
    return failure.reason is Reason.BAD_REQUEST and not unknown


def _conclude(
    change: Change,
    snapshot: ConfigurationSnapshot,
    settled: Commit,
) -> ApplyResult | None:
    if settled.state is CommitState.ACCEPTED:
        versions = {each.name: each.version for each in settled.documents}
        accepted = Accepted(change_id=change.change_id, versions=versions)
        return Result.Ok(
            Applied(accepted=accepted, documents=settled.documents),
        )
    current = {each.name: each for each in settled.documents}
    now = replace(snapshot, documents=snapshot.documents | current)
    touched = {each.name for each in change.documents} | set(change.expected)
    conflicts = tuple(
        find_conflict(change, now, name, snapshot.version(name))
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
