"""Messages between entries that place attempts and the homes of endpoints.

The home of an endpoint is the entry that keeps its queue. A home also asks
entries which attempts they still own, to free engine memory without an owner.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import AttemptOutcome, PlacementRequest


@unique
class PlacementPath(StrEnum):
    """The paths of the peer calls that carry these messages."""

    BID = 'placement/bid'
    GRANT = 'placement/grant'
    POLL = 'placement/poll'
    RELEASE = 'placement/release'
    OWNS = 'placement/owns'


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixSamples:
    """Some prefix lengths of a prompt, in blocks, and their chained hashes.

    Hashes are chained, so if one is known at an endpoint, the whole prefix up
    to its block is.
    """

    depths: tuple[int, ...] = ()
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class BidRequest:
    """Asks a home for its preferred bid for a request among some endpoints.

    To keep the message small, the request has no ``prefix_blocks``;
    ``samples`` replaces them.
    """

    endpoints: tuple[Endpoint, ...]
    request: PlacementRequest
    samples: PrefixSamples


@dataclass(frozen=True, kw_only=True, slots=True)
class Bid:
    """A home's estimate for one endpoint.

    ``first_token_seconds`` covers the wait at the home, the work ahead of
    the request in the engine, and the prefill of the request;
    ``work_seconds`` is that prefill alone. ``outstanding_tokens`` counts
    the prompt and output tokens of the endpoint's other requests, waiting or
    granted. ``cached_tokens`` is the cached part of the prompt, and
    ``memory_tokens`` the engine's whole memory. ``fits`` is false
    if the request needs more than that.
    """

    endpoint: Endpoint
    first_token_seconds: float
    outstanding_tokens: int
    work_seconds: float = 0
    cached_tokens: int = 0
    memory_tokens: int = 0
    fits: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRequest:
    """Adds a ticket to an endpoint's queue, or keeps it for one long poll.

    Request key and attempt identify the ticket, so a message that arrives
    twice has no further effect. ``owner`` and ``incarnation`` identify the
    entry that places the attempt. ``poll_seconds`` is the long-poll timeout.
    """

    endpoint: Endpoint
    request: PlacementRequest
    owner: str
    incarnation: int
    poll_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantPoll:
    """Keeps the ticket of a ``GrantRequest`` for one more long poll."""

    endpoint: Endpoint
    grant_id: str
    poll_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The answer to one long poll; if not granted, the ticket still waits.

    If ``known`` is false the home has no such ticket, for instance after a
    restart, and the entry sends a new ``GrantRequest``. ``priority`` is the
    priority to pass to the engine, lowest first; ``cached_tokens`` is the
    part of the prompt that the engine is expected to have cached.
    """

    granted: bool
    grant_id: str
    priority: int = 0
    cached_tokens: int = 0
    known: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRelease:
    """Releases a grant, or withdraws a ticket that still waits."""

    endpoint: Endpoint
    grant_id: str
    outcome: AttemptOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseReply:
    """``known`` is true if the home still had the grant or ticket."""

    known: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptId:
    """One attempt, and the incarnation of its owner when it was started."""

    request_key: str
    attempt: int
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipRequest:
    """Asks an entry which of these attempts it still owns."""

    attempts: tuple[AttemptId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipReply:
    """Whether each attempt is owned, in the order of the request."""

    owned: tuple[bool, ...]
