"""Keeps the back-offs that endpoints asked this entry for.

An endpoint that turns a request away may name a time in which it gets no
requests and no polls. Without a limit on the first requests after that time,
all requests that waited for its end would arrive at once, and be turned away
again.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint

# Longest back-off that is accepted, a day; a longer one is cut to it, so that
# no value excludes a lifetime for good. A new lifetime has no back-off.
MAX_BACK_OFF_SECONDS = 86_400.0
# Requests in flight to an endpoint after its back-off, until one of them has
# succeeded.
RECOVERY_REQUESTS = 2
# Retry interval while the recovery limit is reached.
RECOVERY_RETRY_SECONDS = 0.3


@dataclass(kw_only=True, slots=True)
class _BackOff:
    """The end of a back-off, and the requests in flight after it."""

    until: float
    in_flight: set[str] = field(default_factory=set)


class EndpointBackOffs:
    """The back-offs of endpoint lifetimes, each until a request succeeds after.

    ``clock`` returns seconds and runs on while the machine is suspended.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._back_offs: dict[EndpointIdentity, _BackOff] = {}

    def __bool__(self) -> bool:
        """Whether any lifetime has a back-off or is limited after one."""
        return bool(self._back_offs)

    def extend(self, endpoint: ListedEndpoint, seconds: float) -> None:
        """Begin a back-off, or extend one that would end earlier.

        ``seconds`` above ``MAX_BACK_OFF_SECONDS`` are cut to it.
        """
        if seconds > MAX_BACK_OFF_SECONDS:
            warn(
                'back-off cut to the limit',
                endpoint=endpoint.name,
                seconds=seconds,
                limit=MAX_BACK_OFF_SECONDS,
            )
            seconds = MAX_BACK_OFF_SECONDS
        if seconds <= 0:
            return
        telemetry.count('endpoint_back_offs')
        if not self.seconds_left(endpoint.identity):
            note(
                'endpoint asked for a back-off',
                endpoint=endpoint.name,
                seconds=seconds,
            )
        until = self._clock() + seconds
        found = self._back_offs.setdefault(
            endpoint.identity, _BackOff(until=until)
        )
        found.until = max(found.until, until)

    def seconds_left(self, identity: EndpointIdentity) -> float:
        """Return the rest of a lifetime's back-off, 0 if it has none."""
        found = self._back_offs.get(identity)
        return 0.0 if found is None else max(0.0, found.until - self._clock())

    def is_open(self, identity: EndpointIdentity) -> bool:
        """Return whether a lifetime may be chosen for a request now."""
        found = self._back_offs.get(identity)
        return found is None or self._seconds_closed(found) <= 0

    def open_only(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> tuple[ListedEndpoint, ...]:
        """Return the endpoints that may be chosen for a request now."""
        if not self._back_offs:
            return endpoints
        return tuple(each for each in endpoints if self.is_open(each.identity))

    def closed(
        self, endpoints: Iterable[ListedEndpoint]
    ) -> frozenset[EndpointIdentity]:
        """Return the identities of those that may not be chosen now."""
        if not self._back_offs:
            return frozenset()
        return frozenset(
            each.identity
            for each in endpoints
            if not self.is_open(each.identity)
        )

    def seconds_until_open(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> float | None:
        """Return the seconds until one may be chosen, ``None`` if one may now.

        Without endpoints, return ``None``.
        """
        if not self._back_offs or not endpoints:
            return None
        found = [self._back_offs.get(each.identity) for each in endpoints]
        least = min(
            0.0 if each is None else self._seconds_closed(each)
            for each in found
        )
        return least if least > 0 else None

    def begin(self, identities: Iterable[EndpointIdentity], name: str) -> None:
        """Count a request in flight; ``name`` is unique to its placement."""
        for found in _find_all(self._back_offs, identities):
            found.in_flight.add(name)

    def admit(self, identities: Iterable[EndpointIdentity], name: str) -> bool:
        """Return whether a placed request may be sent, and count it if so.

        It may have been placed before a back-off, and not be counted yet.
        """
        now = self._clock()
        found = _find_all(self._back_offs, identities)
        for each in found:
            is_full = len(each.in_flight) >= RECOVERY_REQUESTS
            if each.until > now or (is_full and name not in each.in_flight):
                return False
        for each in found:
            each.in_flight.add(name)
        return True

    def end(self, identities: Iterable[EndpointIdentity], name: str) -> None:
        """Count a request in flight no longer, if it was counted."""
        for found in _find_all(self._back_offs, identities):
            found.in_flight.discard(name)

    def record_success(
        self, identities: Iterable[EndpointIdentity], name: str
    ) -> None:
        """Lift the limit where a request succeeded that began under it."""
        now = self._clock()
        for identity in identities:
            found = self._back_offs.get(identity)
            if found is None or found.until > now:
                continue
            if name in found.in_flight:
                self._back_offs.pop(identity)

    def forget_unlisted(self, listed: set[EndpointIdentity]) -> None:
        """Drop the ended back-offs of lifetimes that aren't listed."""
        for identity in tuple(self._back_offs):
            if identity not in listed and not self.seconds_left(identity):
                self._back_offs.pop(identity)

    def _seconds_closed(self, back_off: _BackOff) -> float:
        """Return the seconds until a lifetime may be chosen; 0 or less: now."""
        left = back_off.until - self._clock()
        if left <= 0 and len(back_off.in_flight) >= RECOVERY_REQUESTS:
            return RECOVERY_RETRY_SECONDS
        return left


def _find_all(
    back_offs: dict[EndpointIdentity, _BackOff],
    identities: Iterable[EndpointIdentity],
) -> list[_BackOff]:
    found = map(back_offs.get, identities)
    return [each for each in found if each is not None]
