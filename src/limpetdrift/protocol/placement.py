"""Messages about where one attempt of a request shall run."""

from dataclasses import dataclass, field
from enum import StrEnum, unique

from limpetdrift.protocol.node import Endpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What placement needs to know of one attempt.

    ``prefix_blocks`` holds the chained xxh64 hashes of the prompt's first
    blocks (1,024 bytes each), longest prefix last. ``urgency`` is lower for
    what should run first. ``excluded`` names endpoints that already failed
    this request. ``isolated`` asks for an endpoint on which nothing else
    runs beside it, where one can be had. ``memory_only`` marks a part of a
    group, which takes memory and does no work.
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
    """A hold on another engine for a prompt that is larger than one."""

    endpoint: Endpoint
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """The endpoint that one attempt is bound to.

    ``grant_id`` names the reservation at the endpoint's home; it is given
    back with ``release``.
    """

    endpoint: Endpoint
    grant_id: str
    priority: int = 0
    expected_cached_tokens: int = 0
    group: tuple[GroupMember, ...] = field(default_factory=tuple)


@unique
class AttemptOutcome(StrEnum):
    """How an attempt ended, as told to placement."""

    FINISHED = 'finished'
    REFUSED = 'refused'
    NO_MEMORY = 'no-memory'
    CRASHED = 'crashed'
    CANCELLED = 'cancelled'
