"""Messages about configuration: documents, changes, and what became of them."""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.protocol.verdict import Failure
from limpetdrift.transport.messages import Address


@dataclass(frozen=True, kw_only=True, slots=True)
class Complaint:
    """What is wrong at one place, and what was expected there."""

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

    ``file`` is the operator's name for it, which complaints and provenance
    show.
    """

    name: str
    file: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SourcedValue:
    """One merged value, and the file and line that it comes from."""

    key: str
    value: str
    file: str
    line: int
    layer: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRecord:
    """One past change of a document; ``at`` is the operator's own clock."""

    change_id: str
    version: int
    author: str = ''
    at: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredDocument:
    """A document with its version.

    ``requires`` holds the versions of the other documents that it was checked
    with. Two documents are in force together only where each has at least
    the version that the other requires. ``history`` has the newest last.
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
    """What an operator asks for.

    ``expected`` holds the versions that the operator saw; a document that it
    doesn't name may have any.
    """

    change_id: str
    documents: tuple[Document, ...]
    expected: dict[str, int]
    author: str = ''
    at: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Accepted:
    """A change is accepted; ``versions`` holds those of its documents.

    ``changed`` is false where all was in force already.
    """

    change_id: str
    versions: dict[str, int]
    changed: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Applied:
    """An accepted change and its documents as they now stand."""

    accepted: Accepted
    documents: tuple[StoredDocument, ...]


@unique
class Refusal(StrEnum):
    """Why a change was not told as accepted."""

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A document that someone else has changed meanwhile.

    ``changes`` lists what happened to it after ``expected_version``;
    ``difference`` leads from its present text to the refused one.
    """

    name: str
    expected_version: int
    current_version: int
    changes: tuple[ChangeRecord, ...]
    difference: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Rejection:
    """A change that has no effect; after ``UNKNOWN`` it may yet have one."""

    change_id: str
    refusal: Refusal
    complaints: Complaints = ()
    conflicts: tuple[Conflict, ...] = ()
    failure: Failure | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteVersions:
    """The two versions whose merge a site has in force."""

    site: str
    base: int
    overlay: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryVersions:
    """What one entry holds and has in force."""

    entry: str
    held: dict[str, int]
    sites: tuple[SiteVersions, ...]
    admits: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsRequest:
    """Asks a peer for its ``EntryVersions``."""

    sender: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Exchange:
    """Offers the stamp of all held versions to a peer."""

    sender: Address
    stamp: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ExchangeReply:
    """The peer's stamp; its versions only where the stamps differ.

    ``confirmed`` says whether the peer itself relies on its versions.
    """

    stamp: int
    confirmed: bool
    versions: dict[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class FetchDocuments:
    """Asks a peer for documents by name."""

    names: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PushDocuments:
    """Hands over documents; the receiver keeps those that are newer."""

    documents: tuple[StoredDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class PushReply:
    """The receiver's versions after a push."""

    versions: dict[str, int]
