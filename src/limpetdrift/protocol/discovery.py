"""The discovery response: which entries callers may use."""

from dataclasses import dataclass

DISCOVERY_PATH = '/v1/entries'


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscoveredEntry:
    """The address that callers connect to, and the entry's failure domain."""

    address: str
    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscoveryAnswer:
    """Entries in no particular order, valid for ``max_age_seconds``."""

    entries: tuple[DiscoveredEntry, ...]
    max_age_seconds: float
