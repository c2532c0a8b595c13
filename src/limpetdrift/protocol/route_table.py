"""What the operators' configuration says of routes, services and accounts.

A route table is read whole and replaced whole. Its version grows with each
change; times are in seconds and sizes in bytes or tokens.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and the weight with which a route chooses it."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """The requests of one host and path prefix.

    ``attempt_limit`` is the number of endpoints that one request may be sent
    to, ``timeout_seconds`` how long a caller is kept waiting at most,
    ``target_seconds`` when an answer is still on time, ``pause_seconds`` the
    longest pause in a stream that is on time. Callers leave a stream that
    has not begun after ``patience_seconds``. Priority 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_seconds: float
    shares: tuple[ServiceShare, ...]
    priority: int = 0
    attempt_limit: int = 1
    public: bool = False
    resumable: bool = False
    pause_seconds: float = 1.0
    patience_seconds: float = float('inf')

    @property
    def repeatable(self) -> bool:
        """Whether a request may reach a second endpoint after it has run."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCostModel:
    """How fast the model engines of a service read and write.

    Reading n tokens takes ``n / read_tokens_per_second`` plus
    ``pair_seconds`` for each pair of a token and an earlier one. A writing
    step takes ``step_seconds``, ``stream_seconds`` for each stream and
    ``context_seconds`` for each token of context; ``stride`` steps make one
    pass, and each step may also read ``chunk_tokens``.
    """

    slots: int
    memory_tokens: int
    step_seconds: float
    stream_seconds: float
    context_seconds: float
    read_tokens_per_second: float
    pair_seconds: float
    chunk_tokens: int
    stride: int
    usual_answer_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of endpoints; ``engine`` is set where they are model engines."""

    name: str
    engine: EngineCostModel | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account with its keys; its priority goes before the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Bounds on what callers may send and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """One version of all routes, services, accounts and limits.

    ``requires_keys`` tells whether routes that aren't public need a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    requires_keys: bool = False
