"""Keeps the rates that endpoints say they take from all entries together.

An endpoint names its limit in each answer, to whichever entry, so the entries
exchange what they hear. The limit that was named last holds until an answer
names another one or none: an endpoint that gets nothing says nothing, which is
no sign that its limit has ended. An endpoint that is cold has a limit, too,
without naming it; the lower one holds.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from limpetdrift.logs import note
from limpetdrift.protocol.limits import UNNAMED_AGE_SECONDS, LimitRecord
from limpetdrift.protocol.plans import EndpointId
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.cold_endpoints import ColdEndpoints

# The rate of an endpoint that names no limit, in requests a second.
UNLIMITED = math.inf
# Time without news of a limit after which the endpoint gets a call that tells
# whether it has ended, even if the limit itself allows none.
UNTOLD_SECONDS = 10.0
# Retention period of limits whose lifetime isn't listed. An entry that starts
# may learn of limits before it has read the list.
UNLISTED_RETENTION_SECONDS = 120.0


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
    """The rate limits of endpoint lifetimes.

    They named them in their last answers, or are ``cold``. ``clock`` returns
    seconds and runs on while the machine is suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._limits: dict[EndpointIdentity, _Limit] = {}
        self.cold = ColdEndpoints(clock=clock)

    def __bool__(self) -> bool:
        """Whether a limit is or was known."""
        return bool(self._limits or self.cold)

    @property
    def digest(self) -> int:
        """A hash over the named limits in force.

        Cold states are left out, since they end everywhere by themselves.
        """
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
        is_colder = self.cold.merge(
            identity, record.service, record.cold_seconds
        )
        if record.age_seconds >= UNNAMED_AGE_SECONDS:
            return is_colder
        rate = record.requests_per_second
        has_changed = self._apply(
            identity,
            UNLIMITED if rate is None else rate,
            self._clock() - max(0, record.age_seconds),
        )
        return has_changed or is_colder

    def rate_of(self, identity: EndpointIdentity) -> float:
        """Return a lifetime's limit, ``UNLIMITED`` if it has none."""
        named = _named_rate(self._limits.get(identity))
        cold = self.cold.limit_of(identity) if self.cold else None
        return named if cold is None else min(named, cold.rate)

    def is_limited(self, identity: EndpointIdentity) -> bool:
        """Return whether a lifetime has a limit."""
        return self.rate_of(identity) < UNLIMITED

    def limited_since(self, identity: EndpointIdentity) -> float:
        """Return since when this entry knows a lifetime as limited."""
        limit = self._limits.get(identity)
        cold = self.cold.limit_of(identity)
        return min(
            math.inf
            if limit is None or limit.rate == UNLIMITED
            else limit.limited_since,
            math.inf if cold is None else cold.since,
        )

    def record_call(self, identity: EndpointIdentity) -> None:
        """Record a call whose answer will tell of a lifetime's limit."""
        limit = self._limits.get(identity)
        if limit is not None:
            limit.called_at = self._clock()

    def seconds_untold(self, identity: EndpointIdentity) -> float:
        """Return the time since an answer told of a limit or was due to."""
        limit = self._limits.get(identity)
        if limit is None:
            return math.inf
        return self._clock() - max(limit.named_at, limit.called_at)

    def record_of(self, identity: EndpointIdentity) -> LimitRecord | None:
        """Return what is known of a lifetime's limit, for a peer."""
        limit = self._limits.get(identity)
        cold = self.cold.limit_of(identity)
        if limit is None and cold is None:
            return None
        name, lifetime = identity
        return LimitRecord(
            endpoint=EndpointId(name=name, lifetime=lifetime),
            requests_per_second=_finite(_named_rate(limit)),
            age_seconds=UNNAMED_AGE_SECONDS
            if limit is None
            else self._clock() - limit.named_at,
            service='' if cold is None else cold.service,
            cold_seconds=0.0 if cold is None else cold.seconds_left,
        )

    def records(self) -> tuple[LimitRecord, ...]:
        """Return all that is known, limits that have ended included."""
        identities = dict.fromkeys((*self._limits, *self.cold.identities()))
        found = map(self.record_of, identities)
        return tuple(each for each in found if each is not None)

    def forget_unlisted(self, listed: set[EndpointIdentity]) -> None:
        """Drop old limits of lifetimes that aren't listed."""
        self.cold.forget_ended()
        cutoff = self._clock() - UNLISTED_RETENTION_SECONDS
        for identity in self._limits.keys() - listed:
            if self._limits[identity].named_at < cutoff:
                self._limits.pop(identity)

    def _apply(
        self, identity: EndpointIdentity, rate: float, named_at: float
    ) -> bool:
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


def is_limited_as_cold(
    limits: EndpointLimits, identity: EndpointIdentity
) -> bool:
    """Return whether a lifetime is cold and named no lower limit."""
    cold = limits.cold.limit_of(identity)
    return cold is not None and cold.rate <= limits.rate_of(identity)


def _named_rate(limit: _Limit | None) -> float:
    return UNLIMITED if limit is None else limit.rate


def _finite(rate: float) -> float | None:
    """Return a rate for JSON, which has no infinity."""
    return None if math.isinf(rate) else rate
