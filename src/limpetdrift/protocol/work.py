"""Requests of callers, the endpoints that serve them, and plans to send them.

A ``CallerRequest`` is decoded by the listener that received it. The core
passes its method, target, headers and body on unchanged, and decides by the
other fields.
"""

from dataclasses import dataclass, field, replace

from limpetdrift.protocol.bounded import BoundedFloat, BoundedInt
from limpetdrift.protocol.route_table import Route
from limpetdrift.transport.messages import Headers, parse_address


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptSize:
    """The tokens of a prompt, and the limit of its answer's tokens."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def memory_tokens(self) -> int:
        """The memory that prompt and answer need together."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """One request of a caller.

    ``arrived_at`` and ``deadline`` are times of the entry's
    ``clocks.boot_time``. ``account`` and ``key`` are empty if the route needs
    no key. ``version`` is that of the route table by which the request was
    admitted. ``size`` is ``None`` if the caller did not state it.
    ``prompt_parts`` are the ids of the prompt's parts in order; requests share
    all but the last. ``last_event_id`` is the id of the last event that the
    caller received of a stream that it resumes. ``is_begun`` is true if the
    head of the answer has been sent to the caller, and ``is_carried`` if a peer
    that does not reach the endpoints has passed the request on, after
    ``prior_attempts`` attempts of its own.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    service: str
    version: int
    arrived_at: float
    deadline: float
    account: str = ''
    key: str = ''
    priority: int = 0
    size: PromptSize | None = None
    prompt_parts: tuple[str, ...] = ()
    last_event_id: int | None = None
    is_begun: bool = False
    is_carried: bool = False
    prior_attempts: int = 0


# The name and lifetime of an endpoint, which identify one process.
EndpointIdentity = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEndpoint:
    """An endpoint as the platform's list shows it.

    ``lifetime`` differs between two starts under the same name, so that
    ``name`` and ``lifetime`` together identify one process. ``slots`` is the
    number of requests that it runs at a time. ``cold_seconds`` is for how much
    longer it was cold when the list was read or sent; it falls all the time, so
    it makes no difference between two lists. ``address`` is one that can be
    connected to; any other raises ``ValueError``.
    """

    name: str
    lifetime: BoundedInt
    service: str
    address: str
    failure_domain: str
    slots: BoundedInt
    leaving: bool = False
    cold_seconds: BoundedFloat = field(default=0.0, compare=False)

    def __post_init__(self) -> None:
        parse_address(self.address)

    @property
    def identity(self) -> EndpointIdentity:
        """Name and lifetime, which identify one process."""
        return (self.name, self.lifetime)


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLoad:
    """An endpoint's numbers of running and waiting requests, and of slots."""

    running: int
    waiting: int
    slots: int

    @property
    def pressure(self) -> float:
        """Running and waiting requests per slot; above 1 some have to wait."""
        return (self.running + self.waiting) / max(1, self.slots)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """An engine's report of its state as of some hundred milliseconds ago.

    ``active`` requests run and ``queued`` ones wait. ``memory_tokens`` is the
    memory that can't be evicted. ``pace`` is a slowdown factor: 2.0 means
    that the engine takes twice its usual time.
    """

    active: int
    queued: int
    memory_tokens: int
    pace: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Memory reserved at an endpoint; this entry chooses ``identifier``."""

    endpoint: ListedEndpoint
    identifier: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Helper:
    """An endpoint that prefills a part of a prompt for another one.

    ``reservation`` is the identifier of memory reserved there, or empty.
    """

    endpoint: ListedEndpoint
    reservation: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchPlan:
    """The endpoint that a request is sent to, and helpers for its prompt.

    ``reserved`` lists endpoints and the tokens to reserve there before the
    request is sent. The request is sent after ``delay_seconds``; its first
    event is expected after ``read_seconds``, delay included. ``urgency`` is
    the priority that is sent along. ``grant`` names the plan; it is empty for
    a request without one, whose placements ``number`` tells apart.
    With ``is_carried``, ``endpoint`` is a peer that passes the request on.
    ``permitted`` has the identities of those endpoints with a rate limit at
    which the request is counted already. One that ``is_tentative`` is to be
    confirmed after its delay.
    """

    endpoint: ListedEndpoint
    helpers: tuple[Helper, ...] = ()
    reserved: tuple[tuple[ListedEndpoint, int], ...] = ()
    urgency: int = 5
    grant: str = ''
    number: int = 0
    delay_seconds: float = 0.0
    read_seconds: float = 0.0
    permitted: frozenset[EndpointIdentity] = frozenset()
    is_carried: bool = False
    is_tentative: bool = False

    @property
    def endpoints(self) -> tuple[ListedEndpoint, ...]:
        """The endpoint and the helpers."""
        return (self.endpoint, *(each.endpoint for each in self.helpers))

    @property
    def identities(self) -> tuple[EndpointIdentity, ...]:
        """Names and lifetimes of the endpoint and the helpers."""
        return tuple(each.identity for each in self.endpoints)

    def as_due(self) -> 'DispatchPlan':
        """Return the same placement, to be used now that its delay is over."""
        return replace(
            self,
            delay_seconds=0.0,
            read_seconds=self.read_seconds - self.delay_seconds,
            is_tentative=False,
        )
