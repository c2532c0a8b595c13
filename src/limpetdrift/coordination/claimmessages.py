"""What is asked of claims, and what comes of it."""

from dataclasses import dataclass

from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.claims import KeptResult, SeenClaim


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
class Granted:
    """The caller holds the claim and may dispatch."""

    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Finished:
    """The request has run; this is its first answer."""

    kept: KeptResult


@dataclass(frozen=True, kw_only=True, slots=True)
class Foreign:
    """Another owner holds the claim.

    ``running`` says that the owner answered and is at work: its address is
    in ``seen.row``. Otherwise the owner is dead or silent, and what is left
    is to resume the stream that the row names.
    """

    seen: SeenClaim
    running: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Uncertain:
    """The request may have run; its owner has given it up."""

    seen: SeenClaim


ClaimOutcome = Granted | Finished | Foreign | Uncertain
