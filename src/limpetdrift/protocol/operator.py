"""Messages between ``limpetctl`` and entries' operator API.

Operators' calls carry their own secret in the header ``x-limpet-operator``.
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
    """All documents that an entry holds."""

    documents: tuple[StoredDocument, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class CheckReport:
    """What a change would meet; empty where it would be accepted."""

    versions: dict[str, int]
    rejection: Rejection | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ApplyReport:
    """What became of a change: exactly one of the two is given."""

    accepted: Accepted | None = None
    rejection: Rejection | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsReport:
    """What the entries that answer have in force, and how many are known."""

    known: int
    entries: tuple[EntryVersions, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteReport:
    """A site's merged values with the source of each."""

    site: str
    base: int
    overlay: int
    values: tuple[SourcedValue, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryStatus:
    """One entry as others see it."""

    name: str
    address: str
    failure_domain: str
    state: str
    admits: bool
    homes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointStatus:
    """An engine or plain service instance, and its home."""

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
    """A lease on a group of endpoints."""

    group: str
    holder: str
    fencing: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinedFingerprint:
    """A request that is refused, since endpoints crashed on it."""

    fingerprint: str
    account: str = ''
    crashes: int = 0
    expires_in_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """What an entry knows of the whole deployment."""

    entry: str
    entries: tuple[EntryStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    versions: tuple[EntryVersions, ...] = ()
    quarantine: tuple[QuarantinedFingerprint, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequest:
    """Asks an entry to let itself or an endpoint leave.

    ``name`` is the entry's or endpoint's name.
    """

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainReport:
    """Whether the drain was begun, and what still runs there."""

    name: str
    draining: bool
    running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRequest:
    """Refuse a fingerprint for some time; zero seconds lets it go."""

    fingerprint: str
    account: str = ''
    seconds: float = 600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineReport:
    """The fingerprints that are refused."""

    fingerprints: tuple[QuarantinedFingerprint, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ValidationReport:
    """The complaints about a set of documents."""

    complaints: tuple[Complaint, ...] = ()
