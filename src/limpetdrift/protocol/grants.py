"""Messages between the entry that places an attempt and an endpoint's home."""

from dataclasses import dataclass
from enum import StrEnum, unique

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import AttemptOutcome, PlacementRequest


@unique
class PlacementPath(StrEnum):
    """The peer paths of the messages below."""

    BID = 'placement/bid'
    GRANT = 'placement/grant'
    POLL = 'placement/poll'
    RELEASE = 'placement/release'
    OWNS = 'placement/owns'


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixSamples:
    """Some blocks of a prompt: how many blocks deep, and the chained hashes.

    Since hashes are chained, one that is known tells that all before it are.
    """

    depths: tuple[int, ...] = ()
    blocks: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class BidRequest:
    """Asks a home which of these endpoints could answer a request soonest.

    The request comes without its blocks; ``samples`` stands for them.
    """

    endpoints: tuple[Endpoint, ...]
    request: PlacementRequest
    samples: PrefixSamples


@dataclass(frozen=True, kw_only=True, slots=True)
class Bid:
    """A home's estimate for one endpoint.

    ``first_token_seconds`` covers the wait at the home, the work ahead of
    the request in the engine, and its own prefill; ``work_seconds`` is that
    prefill alone. ``fits`` is false where the request needs more memory than
    the whole engine has.
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
    """Takes or keeps a place in an endpoint's queue, for one long poll.

    The same request key and attempt always name the same place, so a message
    that arrives twice does no harm.
    """

    endpoint: Endpoint
    request: PlacementRequest
    owner: str
    incarnation: int
    poll_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantPoll:
    """Keeps a place that a ``GrantRequest`` took, for one more long poll."""

    endpoint: Endpoint
    grant_id: str
    poll_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """The answer to one long poll; not granted means still waiting.

    Where ``known`` is false the home has no such place, as after a restart,
    and the asker takes a new one.
    """

    granted: bool
    grant_id: str
    priority: int = 0
    cached_tokens: int = 0
    known: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRelease:
    """Gives a grant or a place in the queue back."""

    endpoint: Endpoint
    grant_id: str
    outcome: AttemptOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseReply:
    """Whether the home still knew the grant."""

    known: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptName:
    """One attempt, and the incarnation of the owner that started it."""

    request_key: str
    attempt: int
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipRequest:
    """Asks an owner which of these attempts it still wants."""

    attempts: tuple[AttemptName, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipReply:
    """One answer for each attempt asked about, in the same order."""

    owned: tuple[bool, ...]
