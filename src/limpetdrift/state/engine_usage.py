"""Describes what plans use of engines, and the load that results there."""

from dataclasses import dataclass
from functools import cached_property

from limpetdrift.protocol.work import ListedEndpoint


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamUse:
    """A stream that an engine decodes, and the pauses that it tolerates.

    It is late after a pause of ``pause_seconds``, and its caller gives up
    after one of ``patience_seconds``. ``worth`` is its weight among streams.
    """

    pause_seconds: float
    patience_seconds: float = float('inf')
    worth: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Booking:
    """What one plan uses of one engine.

    The prefill takes ``read_seconds`` and begins after ``delay_seconds`` at
    the earliest. ``stream`` is set only at the writer.
    """

    endpoint: ListedEndpoint
    read_seconds: float
    delay_seconds: float = 0.0
    memory_tokens: int = 0
    stream: StreamUse | None = None


@dataclass(frozen=True, kw_only=True)
class EngineUsage:
    """The load on one engine, by which placements are decided.

    ``backlog_seconds`` is the time until all booked prefills end, and
    ``gap_seconds`` the time until the next one begins, zero during one.
    ``written`` holds the planned streams that it decodes. ``unplanned`` counts
    its requests that belong to no plan, which hold ``unplanned_tokens`` of its
    memory and have been seen for ``unplanned_seconds``. ``queued`` is the
    length of its own queue, or 0 while ``unplanned`` is 0, and at least 1 for a
    while after it turned a request away. ``pace`` is a slowdown factor: 2.0
    means that the engine takes twice its usual time. ``calls_left`` is the
    number of calls that it may get now, infinite if it doesn't limit them.
    """

    endpoint: ListedEndpoint
    backlog_seconds: float = 0.0
    gap_seconds: float = float('inf')
    memory_tokens: int = 0
    written: tuple[StreamUse, ...] = ()
    unplanned: int = 0
    unplanned_tokens: int = 0
    unplanned_seconds: float = 0.0
    queued: int = 0
    pace: float = 1.0
    failing: bool = False
    calls_left: float = float('inf')

    @cached_property
    def streams(self) -> int:
        """The number of streams that the engine decodes, planned or not."""
        return len(self.written) + self.unplanned

    @cached_property
    def pause_seconds(self) -> float:
        """The shortest pause bound of its streams, infinite without any."""
        bounds = [stream.pause_seconds for stream in self.written]
        return min(bounds, default=float('inf'))

    def wait_seconds(self, read_seconds: float) -> float:
        """Return how long a prefill of this length waits for others."""
        return 0 if read_seconds < self.gap_seconds else self.backlog_seconds


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanLease:
    """A plan's name, the entry that holds it, and its time limit.

    A tentative plan may be left out of usages, and withdrawn.
    """

    name: str
    holder: str
    seconds: float
    is_tentative: bool = False
