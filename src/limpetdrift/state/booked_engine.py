"""Computes the load on one engine from its bookings and its last report."""

from collections import deque
from dataclasses import dataclass, field

from limpetdrift.protocol.work import EngineReport, ListedEndpoint
from limpetdrift.state.engine_usage import Booking, EngineUsage, StreamUse
from limpetdrift.state.prefill_schedule import (
    NO_PLANS,
    PrefillSchedule,
    select_kept,
)

# Age of a report when it is read, at most. Requests that ended within it may
# still be counted there.
REPORT_AGE_SECONDS = 0.5
# Staleness bound of a report's count of requests that belong to no plan.
REPORT_STALENESS_BOUND_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class BookedLoad:
    """The streams and the memory that bookings use together."""

    written: tuple[StreamUse, ...]
    memory_tokens: int


@dataclass(kw_only=True, slots=True)
class BookedEngine:
    """An engine's bookings, failures and last report."""

    prefills: PrefillSchedule = field(default_factory=PrefillSchedule)
    failures: int = 0
    failing_until: float = float('-inf')
    full_until: float = float('-inf')
    report: EngineReport | None = None
    unplanned: int = 0
    unplanned_tokens: int = 0
    unplanned_since: float = float('-inf')
    reported_at: float = float('-inf')
    bookings: dict[str, Booking] = field(default_factory=dict)
    # Bookings of plans that were booked as tentative.
    tentative: dict[str, Booking] = field(default_factory=dict)
    # Bookings that ended lately, with the time at which each ended.
    ended: deque[tuple[float, Booking]] = field(default_factory=deque)
    # The last computed usage, until when it holds if nothing else changes.
    usage: EngineUsage | None = None
    usage_until: float = float('-inf')
    # What all bookings use together, until they change.
    booked: BookedLoad | None = None

    def forget_load(self) -> None:
        """Let the load be computed anew after a change of the bookings."""
        self.usage = None
        self.booked = None


def forget_ended(engine: BookedEngine, now: float) -> None:
    """Drop the bookings that ended before any report that may be read."""
    while engine.ended and engine.ended[0][0] < now - REPORT_AGE_SECONDS:
        engine.ended.popleft()


def compute_usage(
    endpoint: ListedEndpoint,
    engine: BookedEngine,
    now: float,
    left_out: frozenset[str] = NO_PLANS,
) -> EngineUsage:
    """Return the load on an engine, without that of the plans ``left_out``."""
    engine.prefills.forget_ended(now)
    booked = _booked_load(engine, left_out)
    if now - engine.reported_at > REPORT_STALENESS_BOUND_SECONDS:
        engine.unplanned = 0
        engine.unplanned_tokens = 0
    report = engine.report
    queued = report.queued if report and engine.unplanned else 0
    if engine.full_until > now:
        queued = max(1, queued)
    busy_until, gap_seconds = engine.prefills.span(now, left_out)
    return EngineUsage(
        endpoint=endpoint,
        unplanned=engine.unplanned,
        unplanned_tokens=engine.unplanned_tokens,
        unplanned_seconds=(
            now - engine.unplanned_since if engine.unplanned else 0.0
        ),
        queued=queued,
        pace=report.pace if report else 1.0,
        backlog_seconds=busy_until - now,
        gap_seconds=gap_seconds,
        memory_tokens=engine.unplanned_tokens + booked.memory_tokens,
        written=booked.written,
        failing=engine.failing_until > now,
    )


def _booked_load(engine: BookedEngine, left_out: frozenset[str]) -> BookedLoad:
    """Return what the bookings use together, computed once for all plans."""
    if left_out:
        kept = select_kept(engine.tentative, left_out)
        return _add_up((*engine.bookings.values(), *kept))
    if engine.booked is None:
        engine.booked = _add_up(
            (*engine.bookings.values(), *engine.tentative.values())
        )
    return engine.booked


def _add_up(bookings: tuple[Booking, ...]) -> BookedLoad:
    return BookedLoad(
        written=tuple(
            booking.stream for booking in bookings if booking.stream is not None
        ),
        memory_tokens=sum(booking.memory_tokens for booking in bookings),
    )


def usage_holds_until(engine: BookedEngine, now: float) -> float:
    """Return until when a usage holds if no booking or report changes it.

    Booked prefills are counted from now, so with any it holds no time at all.
    """
    if engine.prefills:
        return now
    changes_at = [float('inf')]
    if engine.failing_until > now:
        changes_at.append(engine.failing_until)
    if engine.full_until > now:
        changes_at.append(engine.full_until)
    if engine.unplanned:
        changes_at.append(engine.reported_at + REPORT_STALENESS_BOUND_SECONDS)
    return min(changes_at)
