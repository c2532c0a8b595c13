"""Opaque requests: what an entry has to know of one to carry it.

The front that took a request in has decoded it. The core passes method,
target, headers and body on unchanged and decides by the rest.
"""

from dataclasses import dataclass

from limpetdrift.protocol.route_table import Route
from limpetdrift.transport.messages import Headers


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptSize:
    """Tokens of a prompt and the most that its answer may have."""

    prompt_tokens: int
    answer_tokens: int

    @property
    def memory_tokens(self) -> int:
        """The memory that an engine needs for prompt and answer."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """One request of a caller.

    ``deadline`` is on the entry's ``clocks.boot_time``; ``account`` is empty
    where the route needs no key. ``version`` is that of the route table by
    which the request was admitted. ``last_event_id`` is what the caller has
    seen of a stream that it resumes, and ``is_begun`` tells that it has
    events of this very answer.
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
    last_event_id: int | None = None
    is_begun: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ListedEndpoint:
    """An endpoint as the platform's list shows it.

    ``lifetime`` differs between two starts under the same name. ``name`` and
    ``lifetime`` together never name two processes.
    """

    name: str
    lifetime: int
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False

    @property
    def identity(self) -> tuple[str, int]:
        """Name and lifetime."""
        return (self.name, self.lifetime)


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLoad:
    """Requests that run and wait at an endpoint, and its slots."""

    running: int
    waiting: int
    slots: int

    @property
    def pressure(self) -> float:
        """The share of the slots in use, over one where requests wait."""
        return (self.running + self.waiting) / max(1, self.slots)


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds late.

    ``active`` requests run and ``queued`` ones wait; ``pace`` is how many
    times as long as usual it takes.
    """

    active: int
    queued: int
    memory_tokens: int
    pace: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Memory set aside at an endpoint under an identifier of ours."""

    endpoint: ListedEndpoint
    identifier: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Helper:
    """An endpoint that reads a part of a prompt for another one."""

    endpoint: ListedEndpoint
    reservation: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchPlan:
    """Where a request is sent, and who reads its prompt beside.

    ``reserved`` lists the memory to set aside first, in the order of all
    endpoints' names, so that two gatherings can't wait for each other. The
    request is sent after ``delay_seconds``; its first event is expected
    after ``read_seconds``, delay included.
    """

    endpoint: ListedEndpoint
    helpers: tuple[Helper, ...] = ()
    reserved: tuple[tuple[ListedEndpoint, int], ...] = ()
    urgency: int = 5
    grant: str = ''
    delay_seconds: float = 0.0
    read_seconds: float = 0.0
