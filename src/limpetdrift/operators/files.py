"""Reads and checks the document files named on the command line."""

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
    """Read files and find out which document each holds.

    Return the documents, or else the complaints about all of the files.
    """
    documents = {}
    complaints = []
    for path in paths:
        document = _read_document(path)
        if document.is_error():
            complaints.extend(document.error)
        elif document.ok.name in documents:
            complaints.append(_duplicate_complaint(document.ok))
        else:
            documents[document.ok.name] = document.ok
    if complaints:
        return Result.Error(tuple(complaints))
    return Result.Ok(tuple(documents.values()))


def check_without_entry(documents: tuple[Document, ...]) -> Complaints:
    """Check a base document with its overlays, without calling an entry."""
    overlays = [each for each in documents if each.name != BASE_NAME]
    bases = [each for each in documents if each.name == BASE_NAME]
    if not bases:
        first = documents[0].file if documents else ''
        expected = 'a base document among the files, or --entry'
        return (Complaint(file=first, line=1, key='', expected=expected),)
    checked = check_documents(bases[0], overlays)
    return checked.error if checked.is_error() else ()


def _read_document(path: Path) -> Result[Document, Complaints]:
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


def _duplicate_complaint(document: Document) -> Complaint:
    return Complaint(
        file=document.file,
        line=1,
        key='site',
        expected='each document once',
        found=document.name,
    )
