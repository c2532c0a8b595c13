"""Messages about the endpoint on which one attempt of a request runs."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from limpetdrift.protocol.node import Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """The data of one attempt that placement depends on.

    ``prefix_blocks`` holds the chained xxh64 hashes of the prompt's first
    blocks (1,024 bytes each), longest prefix last. The lowest ``urgency``
    runs first. ``excluded`` names endpoints that must not be chosen, such as
    those that already failed this request. An ``isolated`` attempt is granted
    only while nothing else runs on the endpoint. ``memory_only`` marks a part
    of a group, which reserves memory and does no work.
    """

    request_key: str
    attempt: int
    account: str
    model: str
    prompt_tokens: int
    max_tokens: int
    urgency: int
    deadline_in_seconds: float
    prefix_blocks: tuple[int, ...] = ()
    excluded: tuple[str, ...] = ()
    isolated: bool = False
    memory_only: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupMember:
    """A reservation on another engine for a prompt larger than one engine."""

    endpoint: Endpoint
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The endpoint on which one attempt runs.

    ``grant_id`` identifies the grant at the endpoint's home, which has to be
    released with an ``AttemptOutcome``. ``priority`` is passed to the engine,
    lowest first. ``group`` lists the reservations on other engines.
    """

    endpoint: Endpoint
    grant_id: str
    priority: int = 0
    expected_cached_tokens: int = 0
    group: tuple[GroupMember, ...] = field(default_factory=tuple)


@unique
class AttemptOutcome(StrEnum):
    """How an attempt ended, as reported when its grant is released."""

    FINISHED = 'finished'
    REFUSED = 'refused'
    NO_MEMORY = 'no-memory'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
