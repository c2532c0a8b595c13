"""Logs and counts requests that were read whole and got no whole response."""

from dataclasses import dataclass, field
from enum import StrEnum

from limpetdrift import telemetry
from limpetdrift.logs import is_sampled, note, warn


class CutReason(StrEnum):
    """Why a connection is closed without a whole response.

    The handler called ``abort``, raised an error, or returned without a whole
    response (``UNANSWERED``); the peer read too slowly or closed the
    connection; or the handler was cancelled, as when the process ends.
    """

    ABORTED = 'aborted'
    HANDLER_ERROR = 'handler-error'
    UNANSWERED = 'unanswered'
    SLOW_READER = 'slow-reader'
    PEER_CLOSED = 'peer-closed'
    CANCELLED = 'cancelled'


@dataclass(frozen=True, kw_only=True, slots=True)
class CutExchange:
    """A request without a whole response, ``seconds`` after it was read.

    ``head_sent`` says whether sending of the response had begun.
    """

    request_id: str
    path: str
    reason: CutReason
    head_sent: bool
    seconds: float
    detail: str = ''


@dataclass(kw_only=True, slots=True)
class CutTotals:
    """Number of the cancelled exchanges, and how long the longest had run."""

    count: int = 0
    longest_seconds: float = 0.0


@dataclass(kw_only=True, slots=True)
class CutRecorder:
    """Records the cut exchanges of one server."""

    totals: CutTotals = field(default_factory=CutTotals)

    def record(self, cut: CutExchange) -> None:
        """Count a cut exchange, and log it.

        Of requests whose callers left, only the sampled ones are logged.
        """
        telemetry.count('exchanges_cut', reason=cut.reason)
        if cut.reason is CutReason.CANCELLED:
            self.totals.count += 1
            self.totals.longest_seconds = max(
                self.totals.longest_seconds, cut.seconds
            )
        log = warn
        if cut.reason is CutReason.PEER_CLOSED:
            if not is_sampled(cut.request_id):
                return
            log = note
        log(
            'connection closed without a whole answer',
            id=cut.request_id,
            path=cut.path,
            reason=cut.reason,
            begun=cut.head_sent,
            seconds=round(cut.seconds, 3),
            detail=cut.detail,
        )
