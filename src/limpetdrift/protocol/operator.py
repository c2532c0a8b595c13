"""Messages between ``limpetctl`` and the operator API of entries.

Requests carry the operators' secret in the header ``x-limpet-operator``.
"""

from dataclasses import dataclass

from limpetdrift.protocol.configuration import (
    Accepted,
    Complaint,
    EntryVersions,
    Rejection,
    SourcedValue,
    StoredDocument,
)

OPERATOR_SECRET_HEADER = 'x-limpet-operator'
CONFIGURATION_PATH = '/operator/configuration'
CHECK_PATH = '/operator/configuration/check'
APPLY_PATH = '/operator/configuration/apply'
VERSIONS_PATH = '/operator/configuration/versions'
SITE_PATH = '/operator/configuration/sites'
STATUS_PATH = '/operator/status'
DRAIN_PATH = '/operator/drain'
QUARANTINE_PATH = '/operator/quarantine'


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredConfiguration:
    """All configuration documents that an entry holds."""

    documents: tuple[StoredDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckReport:
    """The outcome that a change would have now, without applying it.

    ``rejection`` is ``None`` if it would be accepted; ``versions`` then holds
    the stored versions that it was checked against, else nothing.
    """

    versions: dict[str, int]
    rejection: Rejection | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyReport:
    """The outcome of a change: exactly one of the fields is set."""

    accepted: Accepted | None = None
    rejection: Rejection | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsReport:
    """The versions of the entries that answered.

    ``known`` is the number of known entries, including the reporting one.
    """

    known: int
    entries: tuple[EntryVersions, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteReport:
    """A site's merged values with the source of each.

    ``base`` and ``overlay`` are the document versions that were merged.
    """

    site: str
    base: int
    overlay: int
    values: tuple[SourcedValue, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryStatus:
    """One entry as the reporting entry sees it.

    ``address`` is the one that callers use, and ``state`` a member state.
    ``admits`` is exact for the reporting entry itself; for others it is true
    if they are live. ``homes`` counts the endpoints that the entry is home of.
    """

    name: str
    address: str
    failure_domain: str
    state: str
    admits: bool
    homes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointStatus:
    """An engine or plain service instance, and the entry that is its home.

    ``queued``, ``running`` and the memory are known for endpoints that the
    reporting entry is home of, and 0 for others. ``running`` counts granted
    attempts, and ``held_tokens`` is the memory granted to them.
    """

    name: str
    address: str
    failure_domain: str
    state: str
    home: str = ''
    model: str = ''
    service: str = ''
    queued: int = 0
    running: int = 0
    held_tokens: int = 0
    memory_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseStatus:
    """A lease on a group of endpoints; ``fencing`` is its fencing token."""

    group: str
    holder: str
    fencing: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinedFingerprint:
    """A fingerprint whose requests are refused, and its number of crashes."""

    fingerprint: str
    account: str = ''
    crashes: int = 0
    expires_in_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """The whole deployment as one entry sees it; ``entry`` is its name."""

    entry: str
    entries: tuple[EntryStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    versions: tuple[EntryVersions, ...] = ()
    quarantine: tuple[QuarantinedFingerprint, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequest:
    """Asks an entry to drain itself, or to mark an endpoint as leaving.

    ``name`` is the name of the entry or endpoint.
    """

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainReport:
    """Whether the drain has begun.

    ``running`` counts the active runs of an entry; it is 0 for endpoints.
    """

    name: str
    draining: bool
    running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRequest:
    """Refuses a fingerprint for some seconds; zero releases it."""

    fingerprint: str
    account: str = ''
    seconds: float = 600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineReport:
    """The fingerprints that are refused."""

    fingerprints: tuple[QuarantinedFingerprint, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ValidationReport:
    """The complaints about a set of documents, none if they are valid."""

    complaints: tuple[Complaint, ...] = ()
