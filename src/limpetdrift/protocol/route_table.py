"""The routes, services and client accounts of the operators' configuration.

A route table is read and replaced as a whole. Its version grows with each
change. Times are in seconds and sizes in bytes or tokens.
"""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from limpetdrift.protocol.bounded import BoundedFloat, BoundedInt


@unique
class RequestKind(StrEnum):
    """Whether a request may be repeated, and whether its answer is a stream."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceShare:
    """A service and the relative weight with which a route chooses it."""

    service: str
    weight: BoundedFloat = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """How the requests of one host and path prefix are served.

    ``timeout_seconds`` limits the whole request. An answer is on time if it
    begins within ``target_seconds`` and no pause in a stream is longer than
    ``pause_seconds``. Callers disconnect after ``patience_seconds`` without
    an event. ``attempt_limit`` is the number of endpoints that one request
    may be sent to. Priority 0 is the highest. Requests of a ``public`` route
    need no key. A ``resumable`` stream may continue at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_seconds: BoundedFloat
    target_seconds: BoundedFloat
    shares: tuple[ServiceShare, ...]
    priority: BoundedInt = 0
    attempt_limit: BoundedInt = 1
    public: bool = False
    resumable: bool = False
    pause_seconds: BoundedFloat = 1.0
    patience_seconds: BoundedFloat = float('inf')

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCostModel:
    """The times that prefill and decode take on a service's model engines.

    Prefill of n tokens takes ``n / read_tokens_per_second`` plus
    ``pair_seconds`` for each pair of a token and an earlier one. A decode
    step takes ``step_seconds``, plus ``stream_seconds`` for each stream and
    ``context_seconds`` for each token of context. ``stride`` steps make one
    pass, and each step may also prefill ``chunk_tokens``. An engine has
    ``memory_tokens`` of memory and runs ``slots`` streams at a time.
    ``usual_answer_tokens`` is the usual length of an answer.
    """

    slots: BoundedInt
    memory_tokens: BoundedInt
    step_seconds: BoundedFloat
    stream_seconds: BoundedFloat
    context_seconds: BoundedFloat
    read_tokens_per_second: BoundedFloat
    pair_seconds: BoundedFloat
    chunk_tokens: BoundedInt
    stride: BoundedInt
    usual_answer_tokens: BoundedInt = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A pool of endpoints; ``engine`` is set if they are model engines.

    ``health_path`` is the path of their health checks, empty if they have none.
    An endpoint that starts is cold for ``cold_start_seconds``. A cold one can
    handle ``cold_requests_per_second``; 0 means that there is no bound.
    """

    name: str
    engine: EngineCostModel | None = None
    health_path: str = ''
    cold_start_seconds: BoundedFloat = 0.0
    cold_requests_per_second: BoundedFloat = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account with its keys; a priority overrides the route's."""

    name: str
    keys: tuple[str, ...]
    priority: BoundedInt | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits of callers' requests and connections.

    ``head_seconds`` limits the time from the first byte of a request's head
    to its end; ``idle_seconds`` is the idle timeout between requests.
    """

    header_bytes: BoundedInt = 16_384
    body_bytes: BoundedInt = 4_194_304
    head_seconds: BoundedFloat = 3.0
    idle_seconds: BoundedFloat = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RouteTable:
    """One version of all routes, services, accounts and limits.

    ``requires_keys`` is true if requests need a key on routes that aren't
    public.
    """

    version: BoundedInt
    routes: tuple[Route, ...]
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    requires_keys: bool = False
