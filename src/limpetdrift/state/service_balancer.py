"""Balances one entry's calls over the instances of plain services.

Of two instances that are sampled at random, the less loaded one is chosen, by
the load that it last reported and the calls that this entry has started there
since.
"""

import random
from collections.abc import Callable, Hashable
from dataclasses import dataclass

import trio

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.service import ServiceLoad
from limpetdrift.protocol.work import ListedEndpoint

# Instances that are compared for a call ("power of two choices").
SAMPLE_SIZE = 2
# Interval between reads of an instance's load.
LOAD_READ_INTERVAL_SECONDS = 0.5
# How long an instance that reports that it is leaving gets no new calls.
LEAVING_SECONDS = 10.0
# How long other instances are preferred to one that failed.
FAILURE_AVOIDANCE_SECONDS = 1.0

Instance = Endpoint | ListedEndpoint
Identify = Callable[[Instance], Hashable]


@dataclass(kw_only=True, slots=True)
class InstanceUsage:
    """The use of one instance by this entry; times are in trio time.

    ``in_flight`` counts this entry's calls, and ``own_at_report`` those at the
    last report. The last read of a report began at ``read_started_at``. The
    instance isn't chosen before ``leaving_until``, and before
    ``failing_until`` only if no other is left.
    """

    in_flight: int = 0
    reported: ServiceLoad | None = None
    own_at_report: int = 0
    read_started_at: float = float('-inf')
    leaving_until: float = float('-inf')
    failing_until: float = float('-inf')

    @property
    def pressure(self) -> float:
        """The expected share of the capacity in use.

        Without a report, the number of this entry's calls in flight.
        """
        if self.reported is None:
            return float(self.in_flight)
        own_change = self.in_flight - self.own_at_report
        expected = max(self.reported.in_flight + own_change, self.in_flight)
        return expected / max(1, self.reported.capacity)

    @property
    def report_is_due(self) -> bool:
        """Whether the next read of the load is due."""
        return (
            trio.current_time() - self.read_started_at
            >= LOAD_READ_INTERVAL_SECONDS
        )

    def apply_report(self, load: ServiceLoad) -> None:
        """Store a report that was just read."""
        self.reported = load
        self.own_at_report = self.in_flight
        if load.leaving:
            self.mark_leaving()
        else:
            self.leaving_until = float('-inf')

    def mark_leaving(self) -> None:
        """Send no new calls there for ``LEAVING_SECONDS``."""
        self.leaving_until = trio.current_time() + LEAVING_SECONDS

    def mark_failing(self) -> None:
        """Prefer others for ``FAILURE_AVOIDANCE_SECONDS``."""
        self.failing_until = trio.current_time() + FAILURE_AVOIDANCE_SECONDS


def _name_of(endpoint: Instance) -> str:
    return endpoint.name


class ServiceBalancer:
    """The use of all instances.

    ``identify`` returns what distinguishes instances. Where the lifetime is
    known it should be a part of it, or else an instance that starts again
    under its old name is avoided for the failures of its former lifetime.
    """

    def __init__(
        self, *, randomness: random.Random, identify: Identify = _name_of
    ) -> None:
        self._randomness = randomness
        self._identify = identify
        self._usage: dict[Hashable, InstanceUsage] = {}

    def of(self, endpoint: Instance) -> InstanceUsage:
        """Return the use of an instance, created on first use."""
        return self._usage.setdefault(self._identify(endpoint), InstanceUsage())

    def choose(
        self,
        endpoints: tuple[Instance, ...],
        excluded: frozenset[Hashable],
    ) -> Instance | None:
        """Return the less loaded of two sampled instances, if there are any.

        Instances that are leaving aren't chosen. ``excluded`` identifies those
        that failed this request; they are chosen only if no other is left.
        """
        now = trio.current_time()
        staying = [
            endpoint
            for endpoint in endpoints
            if not endpoint.leaving and self.of(endpoint).leaving_until <= now
        ]
        not_excluded = [
            each for each in staying if self._identify(each) not in excluded
        ]
        healthy = [
            each for each in not_excluded if self.of(each).failing_until <= now
        ]
        usable = healthy or not_excluded or staying
        if not usable:
            return None
        sampled = self._randomness.sample(usable, min(SAMPLE_SIZE, len(usable)))
        return min(sampled, key=lambda each: self.of(each).pressure)

    def forget_others(self, endpoints: tuple[Instance, ...]) -> None:
        """Drop unlisted instances that have no calls in flight."""
        listed = set(map(self._identify, endpoints))
        for key in list(self._usage):
            if key not in listed and not self._usage[key].in_flight:
                self._usage.pop(key)
