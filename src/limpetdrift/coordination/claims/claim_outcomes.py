"""The request for a claim on a non-idempotent request, and its outcomes."""

from dataclasses import dataclass

from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.claims import StoredResult, VersionedClaim


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """A claim on a non-idempotent request, made just before its dispatch.

    ``fingerprint`` identifies the request's body; ``endpoint`` is the one
    chosen for it. ``deadline`` is in the time of ``trio.current_time()``.
    """

    account: str
    idempotency_key: str
    fingerprint: str
    endpoint: Endpoint
    stream_id: str
    deadline: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimGranted:
    """The claim was acquired: the requester may dispatch under ``token``."""

    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimFinished:
    """The request has already run; ``result`` is its first answer."""

    result: StoredResult


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimedElsewhere:
    """Another owner holds the claim.

    If ``running``, the owner reported that it is running the request; its
    address is in ``claim.row``. Otherwise the owner is dead or doesn't
    answer, and the request can only be continued by resuming the stream
    that the row names.
    """

    claim: VersionedClaim
    running: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimUncertain:
    """The request may have run; its owner gave up without a result."""

    claim: VersionedClaim


ClaimOutcome = ClaimGranted | ClaimFinished | ClaimedElsewhere | ClaimUncertain
