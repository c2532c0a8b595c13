"""Assigns retry times to refused callers, and recognizes those that keep them.

Designed for some hundred callers that are refused within a second. If they all
returned together, most would be refused again, and engines would idle before.
So each gets the time at which engine time for its prompt becomes free. Nothing
is gained by a return before that time.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum, unique
from random import Random

from limpetdrift.protocol.plans import EngineGroup

MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 10.0
# A caller needs time left for a further try after the one it is told of.
_RETRY_SHARE_OF_TIME_LEFT = 1 / 3
# Retry times that exceed the longest are drawn between this share of it and it.
_LATE_SPREAD_SHARE = 0.5
# Share of the engine time that goes to callers that return as told. New ones
# would starve without a bound.
RETURNING_SHARE = 0.5
# Window of the bound, in which returning callers may come all at once.
_BOUND_SECONDS = 1.0
# Bounds of the time of a return, relative to the retry time: the error of the
# callers' timers, and the delay of callers that round up or are slow.
EARLY_SECONDS = 0.1
LATE_SECONDS = 3.0
# Remembered fingerprints at most; they take under 2 MB.
MAX_REMEMBERED = 4096
# Sums below this are rounding errors of sums that have become empty.
_LEAST_DUE_SECONDS = 1e-6

# A service, and the group of its engines that was asked.
Pool = tuple[str, EngineGroup]


@unique
class Standing(StrEnum):
    """How a prompt's return relates to the retry time assigned to it."""

    NEW = 'new'
    EARLY = 'early'
    KEPT = 'kept'


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedPrompt:
    """A prompt that a pool of engines refused, or may refuse.

    ``engine_seconds`` is the engine time that it takes, and ``seconds_left``
    the time within which its answer must begin.
    """

    pool: Pool
    fingerprint: str
    engine_seconds: float
    seconds_left: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolLoad:
    """What a pool's engines can do, and their mean backlog in seconds.

    ``engines`` is their number, in which a slow one counts as a part.
    ``spare_slots`` are free beyond those that are kept for accounts below their
    share; without a cost model they are unlimited.
    """

    engines: float
    backlog_seconds: float
    spare_slots: float = float('inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class _Assigned:
    prompt: RefusedPrompt
    retry_at: float

    @property
    def due_second(self) -> tuple[Pool, int]:
        """The pool, and the whole second of the retry time."""
        return self.prompt.pool, int(self.retry_at)


@dataclass(kw_only=True, slots=True)
class _Taken:
    """Engine seconds of returned callers that count against the bound."""

    seconds: float = 0.0
    settled_at: float = 0.0


def longest_retry_after(seconds_left: float) -> float:
    """Return the longest time after which a caller should retry."""
    third = seconds_left * _RETRY_SHARE_OF_TIME_LEFT
    return max(MIN_RETRY_AFTER_SECONDS, min(MAX_RETRY_AFTER_SECONDS, third))


def standing_at(retry_at: float | None, now: float) -> Standing:
    """Return whether a return at this time keeps to the retry time."""
    if retry_at is None or now > retry_at + LATE_SECONDS:
        return Standing.NEW
    return Standing.EARLY if now < retry_at - EARLY_SECONDS else Standing.KEPT


class ReturnSchedule:
    """The retry times assigned by one planner, for all its pools.

    All times are seconds of one clock. ``randomness`` spreads the retry times
    beyond the longest one.
    """

    def __init__(self, *, randomness: Random) -> None:
        self._randomness = randomness
        self._free_at: dict[Pool, float] = {}
        self._taken: dict[Pool, _Taken] = {}
        self._assigned: OrderedDict[tuple[Pool, str], _Assigned] = OrderedDict()
        # Engine seconds of the remembered prompts, by second of retry time.
        self._due: dict[tuple[Pool, int], float] = {}

    @property
    def remembered(self) -> int:
        """The number of remembered fingerprints."""
        return len(self._assigned)

    def standing(self, prompt: RefusedPrompt, now: float) -> Standing:
        """Return how a prompt's arrival relates to its retry time."""
        found = self._assigned.get((prompt.pool, prompt.fingerprint))
        return standing_at(found.retry_at if found else None, now)

    def assign(
        self, prompt: RefusedPrompt, load: PoolLoad, now: float
    ) -> float:
        """Return after how many seconds a refused caller should retry.

        One that is early gets the time that it had.
        """
        identity = (prompt.pool, prompt.fingerprint)
        found = self._assigned.get(identity)
        if found and standing_at(found.retry_at, now) is Standing.EARLY:
            return found.retry_at - now
        retry_after = self._next_seconds(prompt, load, now)
        self._forget(identity)
        if prompt.fingerprint:
            self._remember(_Assigned(prompt=prompt, retry_at=now + retry_after))
            self._forget_oldest(now)
        return retry_after

    def may_go_first(
        self, prompt: RefusedPrompt, load: PoolLoad, now: float
    ) -> bool:
        """Return whether a prompt has kept its time and is within the bound.

        One that exceeds the bound by itself is within it if no other was
        admitted lately.
        """
        if self.standing(prompt, now) is not Standing.KEPT:
            return False
        taken = self._settle(prompt.pool, load, now).seconds
        bound = RETURNING_SHARE * load.engines * _BOUND_SECONDS
        return not taken or taken + prompt.engine_seconds <= bound

    def record_admitted(
        self, prompt: RefusedPrompt, load: PoolLoad, now: float
    ) -> None:
        """Forget a prompt that was admitted, and count it if it was on time."""
        if self.standing(prompt, now) is Standing.KEPT:
            taken = self._settle(prompt.pool, load, now)
            taken.seconds += prompt.engine_seconds
        self._forget((prompt.pool, prompt.fingerprint))

    def due_seconds(self, pool: Pool, load: PoolLoad, now: float) -> float:
        """Return for how long callers that are due now occupy each engine.

        These are the callers of this second and the last one that have not
        returned yet, within the bound.
        """
        second = int(now)
        due = sum(
            self._due.get((pool, each), 0) for each in (second - 1, second)
        )
        return min(due / load.engines, RETURNING_SHARE * _BOUND_SECONDS)

    def _next_seconds(
        self, prompt: RefusedPrompt, load: PoolLoad, now: float
    ) -> float:
        """Return the next time at which engine time is free for a prompt."""
        longest = longest_retry_after(prompt.seconds_left)
        earliest = now + max(MIN_RETRY_AFTER_SECONDS, load.backlog_seconds)
        retry_at = max(earliest, self._free_at.get(prompt.pool, earliest))
        if retry_at - now > longest:
            share = self._randomness.uniform(_LATE_SPREAD_SHARE, 1)
            return max(MIN_RETRY_AFTER_SECONDS, longest * share)
        rate = load.engines * RETURNING_SHARE
        self._free_at[prompt.pool] = retry_at + prompt.engine_seconds / rate
        return max(MIN_RETRY_AFTER_SECONDS, retry_at - now)

    def _settle(self, pool: Pool, load: PoolLoad, now: float) -> _Taken:
        """Return what counts against the bound now."""
        taken = self._taken.setdefault(pool, _Taken(settled_at=now))
        passed = max(0, now - taken.settled_at)
        rate = load.engines * RETURNING_SHARE
        taken.seconds = max(0, taken.seconds - passed * rate)
        taken.settled_at = now
        return taken

    def _forget_oldest(self, now: float) -> None:
        while self._assigned:
            oldest, assigned = next(iter(self._assigned.items()))
            is_over = now > assigned.retry_at + LATE_SECONDS
            if not is_over and len(self._assigned) <= MAX_REMEMBERED:
                return
            self._forget(oldest)

    def _remember(self, assigned: _Assigned) -> None:
        prompt, due_second = assigned.prompt, assigned.due_second
        self._assigned[(prompt.pool, prompt.fingerprint)] = assigned
        due = self._due.get(due_second, 0)
        self._due[due_second] = due + prompt.engine_seconds

    def _forget(self, identity: tuple[Pool, str]) -> None:
        assigned = self._assigned.pop(identity, None)
        if assigned is None:
            return
        left = self._due.pop(assigned.due_second, 0)
        left -= assigned.prompt.engine_seconds
        if left > _LEAST_DUE_SECONDS:
            self._due[assigned.due_second] = left
