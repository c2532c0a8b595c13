"""Keeps until when each endpoint lifetime is cold.

A cold endpoint crashes if it gets more requests a second than it can handle,
over all entries. The load is a failure domain whose endpoints come back cold
and together at the highest demand, when each of them looks idle.

Times are counted on a clock that doesn't jump, from when a remaining time was
read. The time of day only tells a start from an old endpoint that is new here.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from limpetdrift.logs import note
from limpetdrift.protocol.route_table import Service
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint

# Time after the first list in which endpoints are not taken for new ones:
# entries that start together with the endpoints see all of them as new.
FIRST_LIST_SECONDS = 5.0
# Error of the time of day that is tolerated when a start is recognized.
CLOCK_TOLERANCE_SECONDS = 10.0
# An endpoint that has just started got nothing before, so its budget begins
# with the requests of this time.
START_CREDIT_SECONDS = 0.25
# Time after an endpoint's own statement in which peers' statements on the same
# lifetime, which are older, don't count.
OWN_NEWS_SECONDS = 3.0
# Difference of two ends of a cold state below which they are the same: delays
# of the messages that state the remaining time.
SAME_END_SECONDS = 1.5
# Shortest time between two requests that this entry sends to a cold endpoint
# without a permit. They come out of the slack that such an endpoint has.
UNPERMITTED_INTERVAL_SECONDS = 1.0
# Longest remaining time that is accepted, so that one wrong value doesn't limit
# an endpoint for good.
MAX_COLD_SECONDS = 600.0


@dataclass(kw_only=True, slots=True)
class _ColdState:
    """A cold state of an endpoint of ``service``.

    ``since`` is when it began here, and ``stated_at`` when the endpoint itself
    last stated a remaining time. ``unpermitted_at`` is when this entry last
    sent a request there without a permit.
    """

    service: str
    until: float
    since: float
    stated_at: float = float('-inf')
    unpermitted_at: float = float('-inf')


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdLimit:
    """The limit of a cold endpoint of ``service``.

    ``rate`` is in requests a second. The limit is in force ``since`` a time of
    the clock, and for ``seconds_left``.
    """

    service: str
    rate: float
    since: float
    seconds_left: float


class ColdEndpoints:
    """The cold states of endpoints whose service bounds the rate of cold ones.

    ``clock`` returns seconds and runs on while the machine is suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._services: dict[str, Service] = {}
        self._bounded_since: dict[str, float] = {}
        self._states: dict[EndpointIdentity, _ColdState] = {}
        self._first_list_at: float | None = None

    def __bool__(self) -> bool:
        """Whether the rate of any endpoint may be limited by a cold state."""
        return bool(self._bounded_since and self._states)

    def use_services(self, services: Iterable[Service]) -> None:
        """Replace the services by those of the configuration in force."""
        now = self._clock()
        self._services = {each.name: each for each in services}
        self._bounded_since = {
            name: self._bounded_since.get(name, now)
            for name, each in self._services.items()
            if each.cold_requests_per_second > 0
        }

    def apply_row(
        self, endpoint: ListedEndpoint, *, is_new: bool, age_seconds: float
    ) -> None:
        """Apply an endpoint of a list that was just read.

        ``is_new`` means that the lifetime was not listed before, and
        ``age_seconds`` is its age by the time of day. One that starts while
        this entry runs is cold even if its row doesn't say so yet.
        """
        now = self._clock()
        if self._first_list_at is None:
            self._first_list_at = now
        is_start = (
            is_new
            and endpoint.identity not in self._states
            and now >= self._first_list_at + FIRST_LIST_SECONDS
            and self._is_start(endpoint, age_seconds)
        )
        if is_start:
            service = self._services[endpoint.service]
            self._begin(
                endpoint.identity, service.name, service.cold_start_seconds
            )
            self._states[endpoint.identity].since = now - START_CREDIT_SECONDS
        self._state(endpoint, endpoint.cold_seconds)

    def extend(self, endpoint: ListedEndpoint, seconds: float) -> bool:
        """Apply an endpoint's answer; return whether others should know of it.

        An answer never ends a cold state, since other entries don't hear it.
        """
        state = self._states.get(endpoint.identity)
        ends_at = self._clock() + seconds
        if seconds <= 0 or (state is not None and state.until >= ends_at):
            return False
        return self._state(endpoint, seconds) and bool(self)

    def merge(
        self, identity: EndpointIdentity, service: str, seconds: float
    ) -> bool:
        """Apply a peer's statement; return whether it changes anything."""
        now = self._clock()
        seconds = min(seconds, MAX_COLD_SECONDS)
        state = self._states.get(identity)
        if seconds <= 0 or service not in self._bounded_since:
            return False
        if state is not None and (
            now < state.stated_at + OWN_NEWS_SECONDS
            or now + seconds < state.until + SAME_END_SECONDS
        ):
            return False
        self._begin(identity, service, seconds)
        return True

    def limit_of(self, identity: EndpointIdentity) -> ColdLimit | None:
        """Return the limit of a lifetime, ``None`` if there is none."""
        state = self._states.get(identity)
        now = self._clock()
        if state is None or state.until <= now:
            return None
        bounded_since = self._bounded_since.get(state.service)
        if bounded_since is None:
            return None
        service = self._services[state.service]
        return ColdLimit(
            service=state.service,
            rate=service.cold_requests_per_second,
            since=max(state.since, bounded_since),
            seconds_left=state.until - now,
        )

    def take_unpermitted(self, identity: EndpointIdentity) -> bool:
        """Return whether a request may be sent without a permit; count it."""
        state = self._states.get(identity)
        now = self._clock()
        if state is None:
            return True
        if now < state.unpermitted_at + UNPERMITTED_INTERVAL_SECONDS:
            return False
        state.unpermitted_at = now
        return True

    def identities(self) -> tuple[EndpointIdentity, ...]:
        """Return the lifetimes whose rate is limited."""
        return tuple(each for each in self._states if self.limit_of(each))

    def list_now(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> dict[EndpointIdentity, float]:
        """Return the remaining times of the endpoints that are cold now.

        Services without a bound are included, since a peer may know one.
        """
        now = self._clock()
        return {
            each.identity: state.until - now
            for each in endpoints
            if (state := self._states.get(each.identity)) and state.until > now
        }

    def forget_ended(self) -> None:
        """Drop the states whose end peers should know by now."""
        cutoff = self._clock() - OWN_NEWS_SECONDS
        for identity, state in tuple(self._states.items()):
            if state.until < cutoff:
                self._states.pop(identity)

    def _is_start(self, endpoint: ListedEndpoint, age_seconds: float) -> bool:
        service = self._services.get(endpoint.service)
        if service is None or service.cold_start_seconds <= 0:
            return False
        return age_seconds <= (
            service.cold_start_seconds + CLOCK_TOLERANCE_SECONDS
        )

    def _state(self, endpoint: ListedEndpoint, seconds: float) -> bool:
        """Apply a remaining time that the endpoint itself states."""
        identity = endpoint.identity
        now = self._clock()
        if seconds > 0:
            is_longer = self._begin(identity, endpoint.service, seconds)
            self._states[identity].stated_at = now
            return is_longer
        state = self._states.get(identity)
        # A state that follows from the start alone goes on: the row may have
        # been written before the endpoint knew that it is cold.
        if state is not None and state.stated_at > float('-inf'):
            state.until = min(state.until, now)
            state.stated_at = now
        return False

    def _begin(
        self, identity: EndpointIdentity, service: str, seconds: float
    ) -> bool:
        """Set the end of a state; return whether it becomes cold or longer."""
        now = self._clock()
        until = now + min(seconds, MAX_COLD_SECONDS)
        state = self._states.get(identity)
        if state is None or state.until <= now:
            self._states[identity] = _ColdState(
                service=service, until=until, since=now
            )
            note(
                'endpoint is cold',
                endpoint=identity[0],
                seconds=round(until - now, 3),
            )
            return True
        is_longer = until > state.until + SAME_END_SECONDS
        state.until = until
        return is_longer
