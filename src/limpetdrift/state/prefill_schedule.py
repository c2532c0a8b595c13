"""Keeps the times at which the prefills booked at one engine begin and end."""

from limpetdrift.state.engine_usage import Booking, PlanLease

NO_PLANS: frozenset[str] = frozenset()


class PrefillSchedule:
    """The booked prefills of an engine, those of tentative plans by name."""

    def __init__(self) -> None:
        # Times at which prefills begin and end; the first list is in order.
        self._firm: list[tuple[float, float]] = []
        self._tentative: dict[str, tuple[float, float]] = {}

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
        self._put_off(passed, ends_at)
        if lease.is_tentative:
            self._tentative[lease.name] = (starts_at, ends_at)
        else:
            self._firm.append((starts_at, ends_at))
            self._firm.sort()

    def remove(self, plan_name: str) -> None:
        """Drop the prefill of a tentative plan."""
        self._tentative.pop(plan_name, None)

    def clear(self) -> None:
        """Drop all prefills."""
        self._firm.clear()
        self._tentative.clear()

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
        counted = [
            *self._firm,
            *map(self._tentative.get, self._tentative.keys() - left_out),
        ]
        pending = [times for times in counted if times[1] > now]
        if not pending:
            return now, float('inf')
        next_start, _ = min(pending)
        return max(end for _, end in pending), max(0, next_start - now)

    def _put_off(self, passed: frozenset[str], until: float) -> None:
        """Let prefills of the plans ``passed`` begin at a time or later."""
        for name in self._tentative.keys() & passed:
            start, end = self._tentative[name]
            if start < until:
                self._tentative[name] = (until, until + end - start)
