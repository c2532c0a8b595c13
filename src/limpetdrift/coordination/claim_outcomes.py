"""What is asked of claims, and what comes of it."""

from dataclasses import dataclass

from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.claims import StoredResult, VersionedClaim


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """A non-idempotent request that is placed and about to be dispatched.

    ``fingerprint`` stands for the request's body, ``deadline`` is in the
    time of ``trio.current_time()``.
    """

    account: str
    idempotency_key: str
    fingerprint: str
    endpoint: Endpoint
    stream_id: str
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimGranted:
    """The caller holds the claim and may dispatch."""

    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFinished:
    """The request has run; this is its first answer."""

    kept: StoredResult


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimedElsewhere:
    """Another owner holds the claim.

    ``running`` says that the owner answered and is at work: its address is
    in ``seen.row``. Otherwise the owner is dead or silent, and what is left
    is to resume the stream that the row names.
    """

    seen: VersionedClaim
    running: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimUncertain:
    """The request may have run; its owner has given it up."""

    seen: VersionedClaim


ClaimOutcome = ClaimGranted | ClaimFinished | ClaimedElsewhere | ClaimUncertain
