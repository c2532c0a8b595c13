"""Holds the attempts of one request that run side by side.

An endpoint that is silent may be dead, or may only pause for a second. So a
silent attempt goes on while another endpoint is tried, and the attempt that
has the next part of the answer first ends the other. A request has one
attempt except during such a silence.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio
from expression import Ok, Result

from limpetdrift.protocol.work import DispatchPlan, ListedEndpoint
from limpetdrift.verdict import Failure

# How an attempt ended: ``Ok`` if the caller has the whole answer or has left.
Outcome = Result[None, Failure]

# Attempts of one request that run at the same time, at most.
MAX_CONCURRENT_ATTEMPTS = 2


@dataclass(kw_only=True, slots=True, eq=False)
class RacingAttempt:
    """One attempt of a request.

    ``silent_at`` is the trio time at which it counts as silent, and during a
    silence that of the next try elsewhere; infinity while no answer is awaited.
    ``is_silent`` is set during a silence, which ends when a part of the answer
    goes to the caller. ``tries_beside`` counts the times in this silence at
    which a try elsewhere was due. ``is_sent`` is set once the request may have
    reached the endpoint, and ``sent_at`` is the trio time of that. ``events``
    counts the events received, the first at ``answered_at``. ``has_written`` is
    set once a part of the answer went to the caller.
    ``failed`` lists endpoints that failed the attempt. ``placement`` is the
    current one, since a placement that waits may be replaced. ``memory_scope``
    ends the attempt if the memory that is reserved for it stays unused.
    """

    race: 'AttemptRace'
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    memory_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    endpoint: ListedEndpoint | None = None
    placement: DispatchPlan | None = None
    silent_at: float = math.inf
    is_silent: bool = False
    tries_beside: int = 0
    is_sent: bool = False
    sent_at: float = math.inf
    events: int = 0
    answered_at: float = math.inf
    has_written: bool = False
    failed: list[ListedEndpoint] = field(default_factory=list)

    @property
    def is_cancelled(self) -> bool:
        """Whether another attempt, or the end of the request, cancelled it."""
        return self.scope.cancel_called

    def use(self, placement: DispatchPlan) -> None:
        """Set the placement, in place of an earlier one if there is any."""
        self.placement = placement
        self.endpoint = placement.endpoint

    def mark_sent(self) -> None:
        """Record that the request may reach the endpoint from now on."""
        self.is_sent = True
        self.sent_at = trio.current_time()

    def bound_unused_memory(self, timeout_seconds: float) -> None:
        """End the attempt if no event of the answer comes in this time."""
        self.memory_scope.deadline = trio.current_time() + timeout_seconds

    def count_event(self) -> None:
        """Record that an event of the answer has arrived."""
        self.memory_scope.deadline = math.inf
        self.events += 1
        self.answered_at = min(self.answered_at, trio.current_time())

    def answer_seconds(self) -> float:
        """Return the time since the first event, zero before it."""
        return max(0.0, trio.current_time() - self.answered_at)

    def expect_answer_within(self, timeout_seconds: float) -> None:
        """Count as silent if no part of the answer comes in this time."""
        self.silent_at = trio.current_time() + timeout_seconds
        self.race.watch_until(self.silent_at)

    @contextmanager
    def timeout_paused(self) -> Iterator[None]:
        """Start no try elsewhere while the context is open.

        One that has the next part of the answer would cancel this attempt in
        the middle of a write to the caller.
        """
        silent_at = self.silent_at
        self.silent_at = math.inf
        yield
        self.silent_at = silent_at
        self.race.watch_until(silent_at)

    async def claim_answer(self) -> None:
        """Cancel all other attempts before a part of the answer is written.

        If another attempt has cancelled this one, ``trio.Cancelled`` is raised
        here, before the write: a write that is cancelled midway would leave
        part of an answer on the caller's connection.
        """
        if self.is_cancelled:
            await trio.lowlevel.checkpoint()
        self.silent_at = math.inf
        self.is_silent = False
        self.tries_beside = 0
        self.has_written = True
        self.race.cancel_others(self)


class AttemptRace:
    """The attempts of a request that are under way, and outcomes of others."""

    def __init__(self) -> None:
        self._running: list[RacingAttempt] = []
        self._failures: list[Outcome] = []
        self._is_answered = False
        self._has_outcome = trio.Event()
        self._wait_scope = trio.CancelScope()

    @property
    def is_answered(self) -> bool:
        """Whether the caller has the whole answer, or has left."""
        return self._is_answered

    @property
    def has_contender(self) -> bool:
        """Whether any attempt may still answer."""
        return bool(self._contenders())

    def start(self) -> RacingAttempt:
        """Add an attempt."""
        attempt = RacingAttempt(race=self)
        self._running.append(attempt)
        return attempt

    def end(self, attempt: RacingAttempt, outcome: Outcome | None) -> None:
        """Remove an attempt; ``outcome`` is ``None`` if it was cancelled."""
        self._running.remove(attempt)
        if outcome is None:
            return
        if outcome.is_ok():
            self.mark_answered()
            return
        self._failures.append(outcome)
        self._has_outcome.set()

    def mark_answered(self) -> None:
        """Record that the caller has the whole answer, or has left."""
        self._is_answered = True
        self._has_outcome.set()

    def cancel_others(self, attempt: RacingAttempt) -> None:
        """Cancel all attempts but one."""
        for other in self._running:
            if other is not attempt:
                other.scope.cancel()

    def has_other_contender(self, attempt: RacingAttempt) -> bool:
        """Return whether another attempt may still answer."""
        return any(other is not attempt for other in self._contenders())

    def is_used_by_other(self, attempt: RacingAttempt) -> bool:
        """Return whether another attempt is under way at the same lifetime."""
        identity = attempt.endpoint.identity
        return any(
            other is not attempt
            and other.endpoint is not None
            and other.endpoint.identity == identity
            for other in self._contenders()
        )

    def silent_attempt(self) -> RacingAttempt | None:
        """Return an attempt that is silent while no other may answer."""
        contenders = self._contenders()
        if len(contenders) >= MAX_CONCURRENT_ATTEMPTS:
            return None
        now = trio.current_time()
        silent = (each for each in contenders if each.silent_at <= now)
        return next(silent, None)

    def watch_until(self, silent_at: float) -> None:
        """Make ``wait`` look for silence at a trio time at the latest."""
        self._wait_scope.deadline = min(self._wait_scope.deadline, silent_at)

    async def wait(self) -> Outcome | None:
        """Return how an attempt ended, or ``None`` once one is silent.

        An answer takes precedence over the failure of another attempt.
        """
        while not self._is_answered and not self._failures:
            if self.silent_attempt() is not None:
                return None
            self._has_outcome = trio.Event()
            self._wait_scope = trio.CancelScope(
                deadline=self._next_silence_at()
            )
            with self._wait_scope:
                await self._has_outcome.wait()
        return Ok(None) if self._is_answered else self._failures.pop(0)

    def _next_silence_at(self) -> float:
        """Return when to look for silence; an answer may come until then."""
        contenders = self._contenders()
        if len(contenders) >= MAX_CONCURRENT_ATTEMPTS:
            return math.inf
        return min((each.silent_at for each in contenders), default=math.inf)

    def _contenders(self) -> list[RacingAttempt]:
        """Return the attempts that have not been cancelled."""
        return [each for each in self._running if not each.is_cancelled]
