"""Limits the rate of calls to a shared store, with back-off and slow start.

While the store fails, one call is sent each time the back-off has passed.
After the first success the rate recovers over some seconds, so that many
processes which waited don't all call at once.
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.verdict import Failure, Reason

# Base of the exponential back-off (the first is twice that), and its ceiling.
BACKOFF_BASE_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
# Time in which the rate recovers after an outage, and the share of the rate
# that it begins with.
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.1
# Unused time whose calls may be made up for in a burst.
BURST_SECONDS = 0.25
# Lower bound of the rate, whatever this process's share is.
MIN_CALLS_PER_SECOND = 0.1
_OUTAGE_REASONS = (
    Reason.CONNECT_FAILED,
    Reason.CONNECT_TIMEOUT,
    Reason.CONNECTION_BROKEN,
    Reason.IDLE_TIMEOUT,
    Reason.TIMEOUT,
    Reason.BAD_ANSWER,
    Reason.STORE_UNAVAILABLE,
    Reason.STORE_RATE,
)


class Outage:
    """The store's health, by the results of the latest calls."""

    def __init__(self, *, randomness: random.Random) -> None:
        self._randomness = randomness
        self._failures = 0
        self._resume_at = 0.0
        self._recovered_at: float | None = None

    @property
    def delay_seconds(self) -> float:
        """The remaining time of the back-off."""
        return max(0.0, self._resume_at - trio.current_time())

    @property
    def share(self) -> float:
        """The share of the rate that may be used now."""
        if self._recovered_at is None:
            return 1.0
        recovery_seconds = trio.current_time() - self._recovered_at
        return min(
            1.0, SLOW_START_SHARE + recovery_seconds / SLOW_START_SECONDS
        )

    def start_call(self) -> None:
        """Record a call; in an outage it counts as failed until it succeeds."""
        if self._failures:
            self._back_off()

    def record(self, answer: Result[object, Failure]) -> None:
        """Begin or end an outage according to a call's result."""
        if answer.is_error() and answer.error.reason in _OUTAGE_REASONS:
            telemetry.count('retries', reason=answer.error.reason)
            if not self._failures:
                self._back_off()
        elif self._failures:
            self._failures = 0
            self._resume_at = 0.0
            self._recovered_at = trio.current_time()

    def _back_off(self) -> None:
        self._failures += 1
        ceiling = min(
            MAX_BACKOFF_SECONDS,
            BACKOFF_BASE_SECONDS * 2 ** min(self._failures, 10),
        )
        delay = ceiling * self._randomness.uniform(0.5, 1.0)
        self._resume_at = trio.current_time() + delay


class Pacer:
    """Admits calls at a rate that may change from call to call."""

    def __init__(
        self,
        *,
        rate: Callable[[], float],
        outage: Outage,
    ) -> None:
        self._rate = rate
        self._outage = outage
        self._next_at = 0.0

    async def admit(self) -> None:
        """Wait until the next call may be sent."""
        while True:
            rate_delay = self._next_at - trio.current_time()
            delay = max(self._outage.delay_seconds, rate_delay)
            if delay <= 0:
                break
            await trio.sleep(delay)
        self._outage.start_call()
        rate = max(MIN_CALLS_PER_SECOND, self._rate() * self._outage.share)
        earliest = trio.current_time() - BURST_SECONDS
        self._next_at = max(self._next_at, earliest) + 1 / rate
