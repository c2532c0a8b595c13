"""Holds the attempts of one request that run side by side.

An endpoint that is silent may be dead, or may only pause for a second. So a
silent attempt goes on while another endpoint is tried, and the attempt that
has the next part of the answer first ends the others. A request has one
attempt except during such a silence.
"""

import math
from dataclasses import dataclass, field

import trio
from expression import Result

from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import ListedEndpoint

Outcome = Result[None, Failure]

# Attempts of one request that run at the same time, at most.
MAX_CONCURRENT_ATTEMPTS = 2


@dataclass(kw_only=True, slots=True, eq=False)
class RacingAttempt:
    """One attempt of a request.

    ``silent_at`` is the trio time at which it counts as silent, infinity
    while no answer is awaited. ``was_silent`` says that another attempt was
    started because of that. ``is_sent`` is set once the request may have
    reached the endpoint, and ``failed`` lists endpoints that failed it.
    """

    race: 'AttemptRace'
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    silent_at: float = math.inf
    was_silent: bool = False
    is_sent: bool = False
    failed: list[ListedEndpoint] = field(default_factory=list)

    def await_answer(self, timeout_seconds: float) -> None:
        """Count as silent if no answer comes within the timeout."""
        self.silent_at = trio.current_time() + timeout_seconds
        self.race.watch_until(self.silent_at)

    async def claim_answer(self) -> None:
        """End all other attempts before a part of the answer is written.

        If another attempt has ended this one, it is cancelled here, before the
        write: a write that is cancelled midway would leave part of an answer
        on the caller's connection.
        """
        if self.scope.cancel_called:
            await trio.lowlevel.checkpoint()
        self.silent_at = math.inf
        self.was_silent = False
        self.race.cancel_others(self)


class AttemptRace:
    """The attempts of a request that are under way, and outcomes of others."""

    def __init__(self) -> None:
        self._running: list[RacingAttempt] = []
        self._outcomes: list[Outcome] = []
        self._has_outcome = trio.Event()
        self._wait_scope = trio.CancelScope()

    @property
    def is_running(self) -> bool:
        """Whether any attempt may still answer."""
        return bool(self._contenders())

    def start(self) -> RacingAttempt:
        """Add an attempt."""
        attempt = RacingAttempt(race=self)
        self._running.append(attempt)
        return attempt

    def end(self, attempt: RacingAttempt, outcome: Outcome | None) -> None:
        """Remove an attempt; it has no outcome if another one ended it."""
        self._running.remove(attempt)
        if outcome is not None:
            self._outcomes.append(outcome)
            self._has_outcome.set()

    def cancel_others(self, attempt: RacingAttempt) -> None:
        """End all attempts but one."""
        for other in self._running:
            if other is not attempt:
                other.scope.cancel()

    def silent_attempt(self) -> RacingAttempt | None:
        """Return an attempt that is silent while no other may answer."""
        contenders = self._contenders()
        if len(contenders) >= MAX_CONCURRENT_ATTEMPTS:
            return None
        now = trio.current_time()
        return next(
            (each for each in contenders if each.silent_at <= now), None
        )

    def watch_until(self, silent_at: float) -> None:
        """Let ``wait`` look for silence at a trio time, or earlier."""
        self._wait_scope.deadline = min(self._wait_scope.deadline, silent_at)

    async def wait(self) -> Outcome | None:
        """Return the next outcome, or ``None`` once an attempt is silent."""
        while not self._outcomes:
            if self.silent_attempt() is not None:
                return None
            self._has_outcome = trio.Event()
            self._wait_scope = trio.CancelScope(
                deadline=self._next_silence_at()
            )
            with self._wait_scope:
                await self._has_outcome.wait()
        return self._outcomes.pop(0)

    def _next_silence_at(self) -> float:
        """Return when to look for silence; an answer may come until then."""
        contenders = self._contenders()
        if len(contenders) >= MAX_CONCURRENT_ATTEMPTS:
            return math.inf
        return min((each.silent_at for each in contenders), default=math.inf)

    def _contenders(self) -> list[RacingAttempt]:
        """Return the attempts that no other one has ended."""
        return [each for each in self._running if not each.scope.cancel_called]
