"""Decides how many calls an endpoint with a rate limit may get now.

The limit is shared by all entries, and one of them decides for all. Its load is
a limit of one call a second before several hundred entries, of which each
would get a useless share. Two may decide at once for a moment: around a
hand-over, or while some entries can't reach the usual one. So only the entry
that all should ask uses nearly the whole limit; any other uses a small part.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from limpetdrift.protocol.work import EndpointIdentity

# Share of a limit that the usual decider grants. The rest covers calls that
# entries send by themselves, and jitter on the way to the endpoint.
LEADING_SHARE = 0.9
# Share of a limit that any other decider grants. With one leading and two
# others at once, an endpoint gets 1.4 times its limit.
DOUBTFUL_SHARE = 0.25
# Calls that may come at once: a fixed number, and the calls of some seconds.
BURST_CALLS = 1.0
_BURST_SECONDS = 0.25
# Most calls by which a budget can be overdrawn. Without a bound, orders for
# memory would keep an endpoint from all prompts long after they have ended.
_MAX_DEBT_CALLS = 5.0
# Longest time after which refused callers should come back. Beyond it they are
# spread over the second half of it.
MAX_RETRY_AFTER_SECONDS = 10.0


@dataclass(kw_only=True, slots=True)
class _Bucket:
    calls: float
    settled_at: float


class RateBudgets:
    """Token buckets of endpoint lifetimes, which fill at their share.

    A bucket starts empty: calls of the seconds before may not be known here.
    ``clock`` returns seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._buckets: dict[EndpointIdentity, _Bucket] = {}

    def calls_left(
        self, identity: EndpointIdentity, rate: float, limited_since: float
    ) -> float:
        """Return the calls that may be sent now, negative if overdrawn.

        The bucket fills at ``rate``, in calls a second, from
        ``limited_since`` on.
        """
        now = self._clock()
        bucket = self._buckets.get(identity)
        if bucket is None or bucket.settled_at < limited_since:
            bucket = _Bucket(calls=0, settled_at=limited_since)
            self._buckets[identity] = bucket
        burst = BURST_CALLS + rate * _BURST_SECONDS
        gained = max(0, now - bucket.settled_at) * rate
        bucket.calls = min(burst, bucket.calls + gained)
        bucket.settled_at = max(now, bucket.settled_at)
        return bucket.calls

    def take(self, identity: EndpointIdentity) -> None:
        """Count a call."""
        bucket = self._buckets.get(identity)
        if bucket is not None:
            bucket.calls = max(-_MAX_DEBT_CALLS, bucket.calls - 1)

    def forget_unless(
        self, is_kept: Callable[[EndpointIdentity], bool]
    ) -> None:
        """Drop the buckets of lifetimes that need none."""
        for identity in tuple(self._buckets):
            if not is_kept(identity):
                self._buckets.pop(identity)


class RetryTimes:
    """Spreads refused callers by the rate at which places come free.

    Each gets the next place that none was sent to, so that as many come back
    in a second as can be served in it.
    """

    def __init__(
        self, *, clock: Callable[[], float], randomness: Random
    ) -> None:
        self._clock = clock
        self._randomness = randomness
        self._next_at: dict[str, float] = {}

    def next_seconds(self, service: str, rate: float) -> float:
        """Return when a caller refused now should retry.

        ``rate`` is that of all places of the service, in calls a second.
        """
        now = self._clock()
        start = max(now, self._next_at.get(service, now))
        ceiling = now + MAX_RETRY_AFTER_SECONDS
        place_at = start + 1 / rate if rate > 0 else ceiling
        if place_at >= ceiling:
            share = self._randomness.uniform(0.5, 1)
            return MAX_RETRY_AFTER_SECONDS * share
        self._next_at[service] = place_at
        return place_at - now
