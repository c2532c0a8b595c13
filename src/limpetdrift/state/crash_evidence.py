"""The evidence for and against keys of requests, as this entry has it.

Each answer to a request with a key counts for the key, and against it counts
each crash that cut off such a request before it had proved harmless. Evidence
that is merged in any order, twice or late gives the same result.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace

from xxhash import xxh64_intdigest

from limpetdrift.protocol.crashes import CutAttempt
from limpetdrift.state.culprits import Assessment, Crash, assess

# How long a crash counts against the keys of the requests that it cut off.
CRASH_SECONDS = 600.0
# How long an answer speaks for its keys when an endpoint crashes.
HARMLESS_SECONDS = 60.0
# Bounds of the memory for evidence, whatever callers send. Of harmless keys
# those that were used longest ago are dropped first.
MAX_CUT_ATTEMPTS = 2_000
MAX_HARMLESS_KEYS = 4_096


class CrashEvidence:
    """Cut attempts and harmless keys; ``clock`` returns seconds."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        # The time of each crash and the attempt, by endpoint and attempt.
        self._cut: dict[tuple[str, str], tuple[float, CutAttempt]] = {}
        # The time of the last crash that cut off a request with a key.
        self._crashed_at: dict[str, float] = {}
        self._harmless_at: OrderedDict[str, float] = OrderedDict()
        self._assessment: Assessment | None = Assessment()
        self._expires_at = float('inf')

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._cut

    @property
    def digest(self) -> int:
        """A hash over the cut attempts, whatever their order."""
        self._expire()
        total = 0
        for endpoint, attempt in self._cut:
            total ^= xxh64_intdigest(f'{endpoint}/{attempt}'.encode())
        return total

    def assessment(self) -> Assessment:
        """Return which keys are refused or suspected now."""
        self._expire()
        if self._assessment is None:
            self._assessment = _assess(self._cut.values(), self.harmless_at)
        return self._assessment

    def add_cut(self, cut: CutAttempt) -> bool:
        """Add a cut attempt; return whether it is new."""
        identity = (cut.endpoint, cut.attempt)
        is_known = identity in self._cut
        if is_known or not 0 <= cut.age_seconds < CRASH_SECONDS:
            return False
        if len(self._cut) >= MAX_CUT_ATTEMPTS:
            oldest = min(self._cut, key=lambda each: self._cut[each][0])
            self._cut.pop(oldest)
        at = self._clock() - cut.age_seconds
        self._cut[identity] = (at, cut)
        self._note_crash(at, cut)
        self._expires_at = min(self._expires_at, at + CRASH_SECONDS)
        self._assessment = None
        return True

    def add_harmless(self, keys: Iterable[str], at: float) -> None:
        """Add an answer that shows that keys were harmless at a time."""
        for key in keys:
            known_at = self._harmless_at.get(key, float('-inf'))
            if at <= known_at:
                continue
            self._harmless_at[key] = at
            self._harmless_at.move_to_end(key)
            if known_at < self.crashed_at(key):
                self._assessment = None
        while len(self._harmless_at) > MAX_HARMLESS_KEYS:
            self._harmless_at.popitem(last=False)

    def cut_attempts(self) -> Iterator[CutAttempt]:
        """Yield the attempts with those of their keys that may be at fault.

        An attempt without such a key is yielded, too, since peers compare
        which attempts they know.
        """
        now = self._clock()
        for at, cut in self._cut.values():
            yield replace(
                cut,
                keys=tuple(
                    key for key in cut.keys if self.harmless_at(key) < at
                ),
                age_seconds=max(0.0, now - at),
            )

    def crashed_endpoints(self) -> frozenset[str]:
        """Return the processes that crashed."""
        return frozenset(endpoint for endpoint, _ in self._cut)

    def all_keys(self) -> frozenset[str]:
        """Return the keys of all cut attempts."""
        return frozenset(self._crashed_at)

    def crashed_at(self, key: str) -> float:
        """Return when a request with a key was last cut, or minus infinity."""
        return self._crashed_at.get(key, float('-inf'))

    def harmless_at(self, key: str) -> float:
        """Return when a key was last harmless, or minus infinity."""
        return self._harmless_at.get(key, float('-inf'))

    def _note_crash(self, at: float, cut: CutAttempt) -> None:
        for key in cut.keys:
            self._crashed_at[key] = max(at, self.crashed_at(key))

    def _expire(self) -> None:
        now = self._clock()
        if now < self._expires_at:
            return
        self._cut = {
            identity: stored
            for identity, stored in self._cut.items()
            if stored[0] + CRASH_SECONDS > now
        }
        self._expires_at = min(
            (at + CRASH_SECONDS for at, _ in self._cut.values()),
            default=float('inf'),
        )
        self._crashed_at.clear()
        for at, cut in self._cut.values():
            self._note_crash(at, cut)
        self._assessment = None


def _assess(
    cut_attempts: Iterable[tuple[float, CutAttempt]],
    harmless_at: Callable[[str], float],
) -> Assessment:
    suspects: dict[str, list[tuple[str, frozenset[str]]]] = defaultdict(list)
    crashed_at: dict[str, float] = {}
    trusted: set[str] = set()
    for at, cut in cut_attempts:
        known_at = crashed_at.get(cut.endpoint, at)
        crashed_at[cut.endpoint] = min(at, known_at)
        keys = frozenset(key for key in cut.keys if harmless_at(key) < at)
        if keys:
            suspects[cut.endpoint].append((cut.account, keys))
        trusted.update(
            key for key in keys if harmless_at(key) > at - HARMLESS_SECONDS
        )
    return assess(
        (
            Crash(at=crashed_at[endpoint], suspects=tuple(found))
            for endpoint, found in suspects.items()
        ),
        frozenset(trusted),
    )
