"""Paces calls to a shared store: a rate, backoff in outages, a slow start.

While the store fails, one call goes out each time the backoff has passed;
after the first success the rate grows back over some seconds, so that many
processes which waited do not call all at once.
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.protocol.verdict import Failure, Reason

FIRST_BACKOFF_SECONDS = 0.2
LONGEST_BACKOFF_SECONDS = 5.0
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.1
BURST_SECONDS = 0.25
LEAST_RATE = 0.1
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
    """What the latest answers say of the store's health."""

    def __init__(self, *, randomness: random.Random) -> None:
        self._random = randomness
        self._failures = 0
        self._resume_at = 0.0
        self._recovered_at: float | None = None

    @property
    def delay_seconds(self) -> float:
        """Return how long calls have to wait for the backoff."""
        return max(0.0, self._resume_at - trio.current_time())

    @property
    def share(self) -> float:
        """Return the part of the rate that may be used now."""
        if self._recovered_at is None:
            return 1.0
        since = trio.current_time() - self._recovered_at
        return min(1.0, SLOW_START_SHARE + since / SLOW_START_SECONDS)

    def start_call(self) -> None:
        """Note a call; in an outage it counts as failed until it succeeds."""
        if self._failures:
            self._back_off()

    def record(self, answer: Result[object, Failure]) -> None:
        """Learn from a call's answer."""
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
        longest = min(
            LONGEST_BACKOFF_SECONDS,
            FIRST_BACKOFF_SECONDS * 2 ** min(self._failures, 10),
        )
        delay = longest * self._random.uniform(0.5, 1.0)
        self._resume_at = trio.current_time() + delay


class Pacer:
    """Lets calls pass at a rate that may change from call to call."""

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
        """Wait for the next call's turn."""
        while True:
            own_delay = self._next_at - trio.current_time()
            delay = max(self._outage.delay_seconds, own_delay)
            if delay <= 0:
                break
            await trio.sleep(delay)
        self._outage.start_call()
        rate = max(LEAST_RATE, self._rate() * self._outage.share)
        earliest = trio.current_time() - BURST_SECONDS
        self._next_at = max(self._next_at, earliest) + 1 / rate
