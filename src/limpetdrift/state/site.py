"""A site's configuration in force, as the data path reads it.

It is the merge of the base document and the site's overlay. Durations are in
seconds, rates a second.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelConfig:
    """A model that the site offers."""

    version: str
    context_tokens: int = 1_048_576
    copies: int = 1
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountConfig:
    """A client account: its hashed keys, limits, and share.

    ``key_hashes`` holds hexadecimal SHA-256 digests of bearer keys. An empty
    ``models`` allows all of the site's.
    """

    key_hashes: tuple[str, ...] = ()
    requests_per_second: float = 50.0
    tokens_per_second: float = 1_000_000.0
    concurrent_requests: int = 64
    weight: float = 1.0
    models: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class UrgencyConfig:
    """How urgent a kind of request is; a lower ``rank`` runs first."""

    rank: int
    deadline_seconds: float = 60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceConfig:
    """A plain service that the site routes to by name."""

    timeout_seconds: float = 10.0
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteConfig:
    """All of a site's configuration."""

    brand: str = ''
    models: dict[str, ModelConfig] = field(default_factory=dict)
    accounts: dict[str, AccountConfig] = field(default_factory=dict)
    urgencies: dict[str, UrgencyConfig] = field(default_factory=dict)
    services: dict[str, ServiceConfig] = field(default_factory=dict)
    default_urgency: str = 'normal'
