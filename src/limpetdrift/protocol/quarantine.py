"""Messages about requests on which endpoints crashed.

Such requests are identified by a fingerprint.
"""

from dataclasses import dataclass
from enum import IntEnum, unique

from limpetdrift.protocol.bounded import BoundedFloat, BoundedInt, Seconds

PUSH_PATH = 'quarantine/news'
PULL_PATH = 'quarantine/pull'
ISOLATION_PATH = 'quarantine/turn'


@unique
class QuarantineState(IntEnum):
    """The state of a fingerprint; at equal versions the higher state wins.

    A ``SUSPECT`` ran on an endpoint when it crashed, and now runs isolated. A
    ``CLEARED`` one runs without restriction, and a ``REFUSED`` one not at
    all. An operator ends a refusal by ``RELEASED``.
    """

    SUSPECT = 0
    CLEARED = 1
    REFUSED = 2
    RELEASED = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRecord:
    """The state of one fingerprint, which ends ``seconds`` after this message.

    ``standing`` is the state. ``version`` grows with each crash that makes
    the fingerprint a suspect, and with each change by an operator.
    ``endpoint`` identifies the endpoint of the latest of these crashes; it is
    empty after a change by an operator. ``crashes`` counts these crashes
    since the fingerprint was last cleared; a refusal adds one, unless an
    operator makes it.
    """

    fingerprint: str
    account: str
    standing: QuarantineState
    version: BoundedInt
    seconds: BoundedFloat
    endpoint: str = ''
    crashes: BoundedInt = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineRecords:
    """Records that are pushed to a peer or returned to its pull."""

    news: tuple[QuarantineRecord, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantinePull:
    """Requests a peer's refusals and releases; also the reply to a push."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuarantineDigest:
    """A hash over a node's refusals and releases, compared through gossip."""

    refused: int


@dataclass(frozen=True, kw_only=True, slots=True)
class IsolationRequest:
    """Requests an isolation lease on a suspect, or releases it.

    ``holder`` names the requesting entry. ``seconds`` is how long the lease
    lasts; zero releases it.
    """

    fingerprint: str
    holder: str
    seconds: Seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class IsolationReply:
    """Whether the isolation lease was granted; if not, the entry retries."""

    granted: bool
