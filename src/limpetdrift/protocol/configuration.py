"""Messages about configuration documents and operators' changes to them."""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure


@dataclass(frozen=True, kw_only=True, slots=True)
class Complaint:
    """One validation error of a document.

    ``line`` counts from 1. ``key`` is the dotted path of the value, or empty
    for the document as a whole. ``expected`` and ``found`` describe the
    values in words.
    """

    file: str
    line: int
    key: str
    expected: str
    found: str = ''

    def __str__(self) -> str:
        key = self.key or 'document'
        found = f', found {self.found}' if self.found else ''
        place = f'{self.file}:{self.line}'
        return f'{place}: {key}: expected {self.expected}{found}'


Complaints = tuple[Complaint, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """The text of one document; ``name`` is ``base`` or ``site/<site>``.

    ``file`` is the operator's file name, to which complaints and sourced
    values refer.
    """

    name: str
    file: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SourcedValue:
    """One merged value, and the file and line that it comes from.

    ``key`` is the dotted path of the value; ``layer`` is ``base`` or
    ``overlay``.
    """

    key: str
    value: str
    file: str
    line: int
    layer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRecord:
    """One past change of a document; ``at`` is by the operator's own clock."""

    change_id: str
    version: int
    author: str = ''
    at: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredDocument:
    """A document with its version.

    ``requires`` holds the versions of the other documents that it was
    validated with. Two documents are in force together only if each has at
    least the version that the other requires. ``history`` ends with the
    newest change.
    """

    document: Document
    version: int
    requires: dict[str, int]
    history: tuple[ChangeRecord, ...] = ()

    @property
    def name(self) -> str:
        """The document's name."""
        return self.document.name


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """An operator's request to store documents, all of them or none.

    ``expected`` holds the versions that the operator saw, by document name;
    documents that it doesn't name may have any version. ``at`` is the
    time by the operator's own clock.
    """

    change_id: str
    documents: tuple[Document, ...]
    expected: dict[str, int]
    author: str = ''
    at: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """An accepted change, and the resulting versions of its documents.

    ``changed`` is false if all its texts were stored already.
    """

    change_id: str
    versions: dict[str, int]
    changed: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """An accepted change, and the documents as stored after it."""

    accepted: Accepted
    documents: tuple[StoredDocument, ...]


@unique
class Refusal(StrEnum):
    """Why a change was not confirmed as accepted.

    ``INVALID``: the documents failed validation. ``CONFLICT``: someone else
    has changed documents meanwhile. ``UNAVAILABLE``: the store could not be
    used, and nothing was written. ``UNKNOWN``: the outcome of the write is
    unknown.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A document that someone else has changed meanwhile.

    ``changes`` lists its changes after ``expected_version``. ``difference``
    is a unified diff from its current text to the refused one; it is empty
    if the refused change has no text for the document.
    """

    name: str
    expected_version: int
    current_version: int
    changes: tuple[ChangeRecord, ...]
    difference: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A change without effect; after ``UNKNOWN`` it may still take effect."""

    change_id: str
    refusal: Refusal
    complaints: Complaints = ()
    conflicts: tuple[Conflict, ...] = ()
    failure: Failure | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteVersions:
    """The document versions whose merge is in force at a site."""

    site: str
    base: int
    overlay: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryVersions:
    """The document versions that one entry holds and has in force.

    ``held`` gives the version of each document by its name; ``sites`` gives
    the merges in force. ``admits`` is true if the entry has confirmed its
    configuration and may admit requests.
    """

    entry: str
    held: dict[str, int]
    sites: tuple[SiteVersions, ...]
    admits: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsRequest:
    """Requests a peer's ``EntryVersions``; ``sender`` names the requester."""

    sender: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """Starts a comparison of document versions with a peer.

    ``stamp`` is a hash over the names and versions of all documents that the
    sender holds.
    """

    sender: Address
    stamp: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeReply:
    """The peer's stamp, and its versions if the stamps differ.

    ``confirmed`` is true if the peer's own versions are confirmed.
    """

    stamp: int
    confirmed: bool
    versions: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchDocuments:
    """Requests documents from a peer by name."""

    names: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PushDocuments:
    """Sends documents; the receiver stores those newer than its own."""

    documents: tuple[StoredDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PushReply:
    """The receiver's version of each document after a push, by name."""

    versions: dict[str, int]
