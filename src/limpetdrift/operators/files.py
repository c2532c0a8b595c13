"""Reads document files that an operator names."""

from collections.abc import Iterable
from pathlib import Path

from expression import Result

from limpetdrift.protocol.configuration import (
    Complaint,
    Complaints,
    Document,
)
from limpetdrift.state.documents import (
    BASE_NAME,
    check_documents,
    classify_document,
)


def read_documents(
    paths: Iterable[Path],
) -> Result[tuple[Document, ...], Complaints]:
    """Read and identify files; gather the complaints about all of them."""
    documents = {}
    complaints = []
    for path in paths:
        found = _read(path)
        if found.is_error():
            complaints.extend(found.error)
        elif found.ok.name in documents:
            complaints.append(_twice(found.ok))
        else:
            documents[found.ok.name] = found.ok
    if complaints:
        return Result.Error(tuple(complaints))
    return Result.Ok(tuple(documents.values()))


def check_alone(documents: tuple[Document, ...]) -> Complaints:
    """Check a base and overlays with each other, without any entry."""
    overlays = [each for each in documents if each.name != BASE_NAME]
    bases = [each for each in documents if each.name == BASE_NAME]
    if not bases:
        first = documents[0].file if documents else ''
        expected = 'a base among the files, or --entry to check with'
        return (Complaint(file=first, line=1, key='', expected=expected),)
    checked = check_documents(bases[0], overlays)
    return checked.error if checked.is_error() else ()


def _read(path: Path) -> Result[Document, Complaints]:
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        complaint = Complaint(
            file=str(path),
            line=1,
            key='',
            expected='a readable text file',
            found=str(error),
        )
        return Result.Error((complaint,))
    return classify_document(str(path), text)


def _twice(document: Document) -> Complaint:
    return Complaint(
        file=document.file,
        line=1,
        key='site',
        expected='each document once',
        found=document.name,
    )
