"""Keeps the rates that endpoints say they take from all entries together."""

import math

from limpetdrift.logs import note
from limpetdrift.protocol.work import ListedEndpoint

# The rate of an endpoint that names no limit, in requests a second.
UNLIMITED = math.inf

Identity = tuple[str, int]


class EndpointLimits:
    """The rate limits that endpoint lifetimes named in their last answers."""

    def __init__(self) -> None:
        self._rates: dict[Identity, float] = {}

    def set_rate(self, endpoint: ListedEndpoint, rate: float) -> None:
        """Set an endpoint's limit, in requests a second.

        ``UNLIMITED`` ends it.
        """
        previous = self.rate_of(endpoint.identity)
        if rate == previous:
            return
        note(
            'endpoint changed its rate limit',
            endpoint=endpoint.name,
            requests_per_second=_loggable(rate),
            previous=_loggable(previous),
        )
        if rate == UNLIMITED:
            self._rates.pop(endpoint.identity, None)
        else:
            self._rates[endpoint.identity] = rate

    def rate_of(self, identity: Identity) -> float:
        """Return a lifetime's limit, ``UNLIMITED`` if it has none."""
        return self._rates.get(identity, UNLIMITED)

    def forget_unlisted(self, listed: set[Identity]) -> None:
        """Drop the limits of lifetimes that aren't listed."""
        for identity in self._rates.keys() - listed:
            self._rates.pop(identity)


def _loggable(rate: float) -> float | None:
    """Return a rate for a log line, whose format has no infinity."""
    return None if math.isinf(rate) else rate
