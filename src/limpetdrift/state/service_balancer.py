"""How one entry uses the instances of plain services.

An instance is chosen out of two at random, by the load that it reported last
and the calls that this entry has started there since.
"""

import random
from dataclasses import dataclass

import trio

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.service import ServiceLoad

CHOICES = 2
LOAD_AGE_SECONDS = 0.5
LEAVING_SECONDS = 10.0
FAILING_SECONDS = 1.0


@dataclass(kw_only=True, slots=True)
class InstanceUse:
    """The use of one instance; times are trio's.

    ``reported_own`` is how many own calls were in flight at the last report.
    The instance isn't chosen before ``leaving_until``, and before
    ``failing_until`` only where no other is left.
    """

    in_flight: int = 0
    reported: ServiceLoad | None = None
    reported_own: int = 0
    reading_at: float = float('-inf')
    leaving_until: float = float('-inf')
    failing_until: float = float('-inf')

    @property
    def pressure(self) -> float:
        """The expected share of the capacity in use."""
        if self.reported is None:
            return float(self.in_flight)
        since = self.in_flight - self.reported_own
        expected = max(self.reported.in_flight + since, self.in_flight)
        return expected / max(1, self.reported.capacity)

    @property
    def report_is_due(self) -> bool:
        """Whether the report is old and none is being read."""
        return trio.current_time() - self.reading_at >= LOAD_AGE_SECONDS

    def take_report(self, load: ServiceLoad) -> None:
        """Note a report that was just read."""
        self.reported = load
        self.reported_own = self.in_flight
        if load.leaving:
            self.mark_leaving()
        else:
            self.leaving_until = float('-inf')

    def mark_leaving(self) -> None:
        """Send nothing new there for a while."""
        self.leaving_until = trio.current_time() + LEAVING_SECONDS

    def note_failing(self) -> None:
        """Prefer others for a moment."""
        self.failing_until = trio.current_time() + FAILING_SECONDS


class ServiceBalancer:
    """The use of all instances, by endpoint name."""

    def __init__(self, *, randomness: random.Random) -> None:
        self._random = randomness
        self._uses: dict[str, InstanceUse] = {}

    def of(self, endpoint: Endpoint) -> InstanceUse:
        """Return the use of an instance, a new one on first use."""
        return self._uses.setdefault(endpoint.name, InstanceUse())

    def choose(
        self,
        endpoints: tuple[Endpoint, ...],
        excluded: frozenset[str],
    ) -> Endpoint | None:
        """Return the better of two that stay, if there is one.

        ``excluded`` names instances that failed this request; they are taken
        again only where no other is left.
        """
        now = trio.current_time()
        staying = [
            endpoint
            for endpoint in endpoints
            if not endpoint.leaving and self.of(endpoint).leaving_until <= now
        ]
        fresh = [each for each in staying if each.name not in excluded]
        sound = [each for each in fresh if self.of(each).failing_until <= now]
        usable = sound or fresh or staying
        if not usable:
            return None
        drawn = self._random.sample(usable, min(CHOICES, len(usable)))
        return min(drawn, key=lambda each: self.of(each).pressure)

    def forget_others(self, endpoints: tuple[Endpoint, ...]) -> None:
        """Drop what is known of instances that are no longer listed."""
        listed = {endpoint.name for endpoint in endpoints}
        for name in list(self._uses):
            if name not in listed and not self._uses[name].in_flight:
                self._uses.pop(name)
