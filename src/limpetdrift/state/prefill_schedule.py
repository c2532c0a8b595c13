"""Keeps the times at which the prefills booked at one engine begin and end."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from limpetdrift.state.engine_usage import Booking, PlanLease

Kept = TypeVar('Kept')

NO_PLANS: frozenset[str] = frozenset()


def select_kept(
    by_plan: dict[str, Kept], left_out: frozenset[str]
) -> list[Kept]:
    """Return the values of all plans but those ``left_out``.

    Mostly all tentative plans are left out, which takes no loop.
    """
    if by_plan.keys() <= left_out:
        return []
    return [kept for name, kept in by_plan.items() if name not in left_out]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Span:
    """When the first prefill begins and the last one ends.

    The times hold until the next prefill ends, if none is added or removed.
    """

    next_start: float
    busy_until: float
    holds_until: float


_IDLE = _Span(
    next_start=float('inf'),
    busy_until=float('-inf'),
    holds_until=float('inf'),
)


class PrefillSchedule:
    """The booked prefills of an engine, those of tentative plans by name."""

    def __init__(self) -> None:
        # Times at which prefills begin and end; the first list is in order.
        self._firm: list[tuple[float, float]] = []
        self._tentative: dict[str, tuple[float, float]] = {}
        # The last span of all prefills, computed anew once it may differ.
        self._span: _Span | None = None

    def __bool__(self) -> bool:
        """Whether any prefill is booked."""
        return bool(self._firm or self._tentative)

    def add(
        self,
        lease: PlanLease,
        booking: Booking,
        now: float,
        passed: frozenset[str] = NO_PLANS,
    ) -> None:
        """Book the prefill of a plan.

        It begins after its delay if no prefill is running and it ends before
        the next one begins; otherwise it also waits for all booked prefills to
        end. Those of the plans ``passed`` are put off until it has ended.
        """
        if booking.read_seconds <= 0:
            return
        starts_at = now + booking.delay_seconds
        ends_after_seconds = booking.delay_seconds + booking.read_seconds
        busy_until, gap_seconds = self.span(now, passed)
        if ends_after_seconds > gap_seconds:
            starts_at = max(starts_at, busy_until)
        ends_at = starts_at + booking.read_seconds
        self._span = None
        self._put_off(passed, ends_at)
        if lease.is_tentative:
            self._tentative[lease.name] = (starts_at, ends_at)
        else:
            self._firm.append((starts_at, ends_at))
            self._firm.sort()

    def remove(self, plan_name: str) -> None:
        """Drop the prefill of a tentative plan."""
        self._tentative.pop(plan_name, None)
        self._span = None

    def clear(self) -> None:
        """Drop all prefills."""
        self._firm.clear()
        self._tentative.clear()
        self._span = None

    def forget_ended(self, now: float) -> None:
        """Drop the first prefills as far as they have ended."""
        while self._firm and self._firm[0][1] <= now:
            self._firm.pop(0)

    def span(
        self, now: float, left_out: frozenset[str] = NO_PLANS
    ) -> tuple[float, float]:
        """Return when all booked prefills have ended, at least ``now``.

        The second value is the time until the next one begins, zero during one
        and infinite without any. Prefills of the plans ``left_out`` don't
        count.
        """
        if left_out:
            kept = select_kept(self._tentative, left_out)
            span = self._compute_span(now, kept)
        else:
            span = self._span
            if span is None or now >= span.holds_until:
                span = self._compute_span(now, self._tentative.values())
                self._span = span
        return max(now, span.busy_until), max(0, span.next_start - now)

    def _compute_span(
        self, now: float, tentative: Iterable[tuple[float, float]]
    ) -> _Span:
        counted = (*self._firm, *tentative)
        pending = [times for times in counted if times[1] > now]
        if not pending:
            return _IDLE
        next_start, _ = min(pending)
        ends = [end for _, end in pending]
        return _Span(
            next_start=next_start,
            busy_until=max(ends),
            holds_until=min(ends),
        )

    def _put_off(self, passed: frozenset[str], until: float) -> None:
        """Let prefills of the plans ``passed`` begin at a time or later."""
        for name in self._tentative.keys() & passed:
            start, end = self._tentative[name]
            if start < until:
                self._tentative[name] = (until, until + end - start)
