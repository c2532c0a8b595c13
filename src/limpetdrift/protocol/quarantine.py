"""Messages about requests that endpoints crashed on."""

from dataclasses import dataclass
from enum import IntEnum, unique

NEWS_PATH = 'quarantine/news'
PULL_PATH = 'quarantine/pull'
TURN_PATH = 'quarantine/turn'


@unique
class QuarantineState(IntEnum):
    """How a fingerprint is held; at one version the higher one holds.

    A ``SUSPECT`` was on an endpoint that crashed, and runs alone. One that
    is ``CLEARED`` runs as others do, one that is ``REFUSED`` not at all.
    ``RELEASED`` is an operator's word that ends a refusal.
    """

    SUSPECT = 0
    CLEARED = 1
    REFUSED = 2
    RELEASED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRecord:
    """One fingerprint's standing, for as long as it lasts.

    A new crash or an operator's word raises ``version``. ``endpoint`` is the
    one that crashed first.
    """

    fingerprint: str
    account: str
    standing: QuarantineState
    version: int
    seconds: float
    endpoint: str = ''
    crashes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineNews:
    """News, pushed to a peer or pulled from it."""

    news: tuple[QuarantineRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinePull:
    """Asks for all refusals that a peer knows."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineDigest:
    """A hash over the refusals that a node knows, to compare cheaply."""

    refused: int


@dataclass(frozen=True, kw_only=True, slots=True)
class IsolationRequest:
    """Asks to run a suspect alone, or, with zero seconds, ends that."""

    fingerprint: str
    holder: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TurnReply:
    """Whether the suspect may run now; else ask again."""

    granted: bool
