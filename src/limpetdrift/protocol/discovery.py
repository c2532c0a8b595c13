"""The answer that tells callers which entries to use."""

from dataclasses import dataclass

DISCOVERY_PATH = '/v1/entries'


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscoveredEntry:
    """One entry: where callers connect, and what it fails together with."""

    address: str
    failure_domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscoveryAnswer:
    """Entries to use for ``max_age_seconds`` from now, in no order."""

    entries: tuple[DiscoveredEntry, ...]
    max_age_seconds: float
