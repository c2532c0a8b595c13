"""Keeps the rates that endpoints say they take from all entries together.

An endpoint names its limit in each answer, to whichever entry, so the entries
exchange what they hear. The limit that was named last holds until an answer
names another one or none: an endpoint that gets nothing says nothing, which is
no sign that its limit has ended.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from limpetdrift.logs import note
from limpetdrift.protocol.limits import LimitRecord
from limpetdrift.protocol.plans import EndpointId
from limpetdrift.protocol.work import ListedEndpoint

# The rate of an endpoint that names no limit, in requests a second.
UNLIMITED = math.inf
# Time without news of a limit after which the endpoint gets a call that tells
# whether it has ended, even if the limit itself allows none.
UNTOLD_SECONDS = 10.0
# Retention period of limits whose lifetime isn't listed. An entry that starts
# may learn of limits before it has read the list.
UNLISTED_RETENTION_SECONDS = 120.0

Identity = tuple[str, int]


@dataclass(kw_only=True, slots=True)
class _Limit:
    """A limit, when it was last named, and since when there is one here.

    ``called_at`` is when a call was last permitted, whose answer tells of it.
    """

    rate: float
    named_at: float
    limited_since: float
    called_at: float = float('-inf')


class EndpointLimits:
    """The rate limits that endpoint lifetimes named in their last answers.

    ``clock`` returns seconds and runs on while the machine is suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limits: dict[Identity, _Limit] = {}

    def __bool__(self) -> bool:
        """Whether a limit is or was known."""
        return bool(self._limits)

    @property
    def digest(self) -> int:
        """A hash over the limits in force."""
        limited = sorted(
            (identity, limit.rate)
            for identity, limit in self._limits.items()
            if limit.rate < UNLIMITED
        )
        return xxh64_intdigest(repr(limited).encode()) if limited else 0

    def name(self, endpoint: ListedEndpoint, rate: float) -> bool:
        """Apply an answer; return whether it changes the limit.

        ``rate`` is in requests a second, ``UNLIMITED`` if it names no limit.
        """
        if rate == UNLIMITED and endpoint.identity not in self._limits:
            return False
        return self._apply(endpoint.identity, rate, self._clock())

    def merge(self, record: LimitRecord) -> bool:
        """Apply a peer's record; return whether it changes the limit."""
        identity = (record.endpoint.name, record.endpoint.lifetime)
        rate = record.requests_per_second
        return self._apply(
            identity,
            UNLIMITED if rate is None else rate,
            self._clock() - max(0, record.age_seconds),
        )

    def rate_of(self, identity: Identity) -> float:
        """Return a lifetime's limit, ``UNLIMITED`` if it has none."""
        limit = self._limits.get(identity)
        return UNLIMITED if limit is None else limit.rate

    def is_limited(self, identity: Identity) -> bool:
        """Return whether a lifetime has a limit."""
        return self.rate_of(identity) < UNLIMITED

    def limited_since(self, identity: Identity) -> float:
        """Return since when this entry knows a lifetime as limited."""
        limit = self._limits.get(identity)
        return math.inf if limit is None else limit.limited_since

    def record_call(self, identity: Identity) -> None:
        """Record a call whose answer will tell of a lifetime's limit."""
        limit = self._limits.get(identity)
        if limit is not None:
            limit.called_at = self._clock()

    def seconds_untold(self, identity: Identity) -> float:
        """Return the time since an answer told of a limit or was due to."""
        limit = self._limits.get(identity)
        if limit is None:
            return math.inf
        return self._clock() - max(limit.named_at, limit.called_at)

    def record_of(self, identity: Identity) -> LimitRecord | None:
        """Return what is known of a lifetime's limit, for a peer."""
        limit = self._limits.get(identity)
        if limit is None:
            return None
        name, lifetime = identity
        return LimitRecord(
            endpoint=EndpointId(name=name, lifetime=lifetime),
            requests_per_second=_finite(limit.rate),
            age_seconds=self._clock() - limit.named_at,
        )

    def records(self) -> tuple[LimitRecord, ...]:
        """Return all that is known, limits that have ended included."""
        found = map(self.record_of, tuple(self._limits))
        return tuple(each for each in found if each is not None)

    def forget_unlisted(self, listed: set[Identity]) -> None:
        """Drop old limits of lifetimes that aren't listed."""
        cutoff = self._clock() - UNLISTED_RETENTION_SECONDS
        for identity in self._limits.keys() - listed:
            if self._limits[identity].named_at < cutoff:
                self._limits.pop(identity)

    def _apply(self, identity: Identity, rate: float, named_at: float) -> bool:
        limit = self._limits.get(identity)
        if limit is not None and named_at < limit.named_at:
            return False
        previous = UNLIMITED if limit is None else limit.rate
        now = self._clock()
        if limit is None:
            limit = _Limit(rate=rate, named_at=named_at, limited_since=now)
            self._limits[identity] = limit
        if previous == UNLIMITED:
            limit.limited_since = now
        limit.rate = rate
        limit.named_at = named_at
        if rate == previous:
            return False
        note(
            'endpoint changed its rate limit',
            endpoint=identity[0],
            requests_per_second=_finite(rate),
            previous=_finite(previous),
            age_seconds=round(now - named_at, 3),
        )
        return True


def _finite(rate: float) -> float | None:
    """Return a rate for JSON, which has no infinity."""
    return None if math.isinf(rate) else rate
