"""Keeps the times at which the prefills booked at one engine begin and end."""

from limpetdrift.state.engine_usage import Booking


class PrefillSchedule:
    """The booked prefills of an engine, in the order of their beginnings."""

    def __init__(self) -> None:
        # Times at which prefills begin and end.
        self._prefills: list[tuple[float, float]] = []

    def __bool__(self) -> bool:
        """Whether any prefill is booked."""
        return bool(self._prefills)

    def add(self, booking: Booking, now: float) -> None:
        """Book a prefill.

        It begins after its delay if no prefill is running and it ends before
        the next one begins; otherwise it also waits for all booked prefills to
        end.
        """
        if booking.read_seconds <= 0:
            return
        starts_at = now + booking.delay_seconds
        ends_after_seconds = booking.delay_seconds + booking.read_seconds
        if ends_after_seconds > self.gap_seconds(now):
            starts_at = max(starts_at, self.ends_at(now))
        self._prefills.append((starts_at, starts_at + booking.read_seconds))
        self._prefills.sort()

    def clear(self) -> None:
        """Drop all prefills."""
        self._prefills.clear()

    def forget_ended(self, now: float) -> None:
        """Drop the first prefills as far as they have ended."""
        while self._prefills and self._prefills[0][1] <= now:
            self._prefills.pop(0)

    def ends_at(self, now: float) -> float:
        """Return when all booked prefills have ended, at least ``now``."""
        return max((now, *(ends_at for _, ends_at in self._prefills)))

    def gap_seconds(self, now: float) -> float:
        """Return the time until the next prefill begins, zero during one."""
        pending_starts = [
            start for start, ends_at in self._prefills if ends_at > now
        ]
        if not pending_starts:
            return float('inf')
        return max(0, min(pending_starts) - now)
