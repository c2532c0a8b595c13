"""What the engines of a service are busy with, by the plans made for them.

Each plan books reading time and memory at its engines and a stream at the
writer. Bookings end with the plan, or by themselves when it is overdue.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from limpetdrift.protocol.work import EngineReport, ListedEndpoint

# An engine that failed is used again after this many seconds, twice as long
# after each failure in turn.
FAILING_SECONDS = 1.5
FAILING_SECONDS_LIMIT = 6.0
# An engine that was used so long without a failure is sound again.
SOUND_SECONDS = 10.0
# Requests of no plan are forgotten so long after they were reported.
REPORT_AGE_SECONDS = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamUse:
    """A stream that an engine writes, and what it bears.

    It is late after a pause of ``pause_seconds``, and its caller leaves after
    one of ``patience_seconds``. ``worth`` weighs it against others.
    """

    pause_seconds: float
    patience_seconds: float = float('inf')
    worth: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Booking:
    """What one plan takes at one engine.

    Reading begins after ``delay_seconds`` at the earliest.
    ``stream`` is set at the writer.
    """

    endpoint: ListedEndpoint
    read_seconds: float
    delay_seconds: float = 0.0
    memory_tokens: int = 0
    stream: StreamUse | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineUsage:
    """One engine as a decision sees it.

    ``backlog_seconds`` is how long it takes to the end of all reading that
    was planned, ``gap_seconds`` how long it has nothing to read from now on.
    ``written`` holds the streams that it writes by plan. ``unplanned`` counts
    requests that it runs though no plan knows them, and ``queued`` those of
    them that wait; ``pace`` is how many times as long as usual it takes.
    """

    endpoint: ListedEndpoint
    backlog_seconds: float = 0.0
    gap_seconds: float = float('inf')
    memory_tokens: int = 0
    written: tuple[StreamUse, ...] = ()
    unplanned: int = 0
    queued: int = 0
    pace: float = 1.0
    failing: bool = False

    @property
    def streams(self) -> int:
        """The number of streams that the engine writes, planned or not."""
        return len(self.written) + self.unplanned

    @property
    def pause_seconds(self) -> float:
        """The shortest pause bound, infinite where nothing is written."""
        bounds = [stream.pause_seconds for stream in self.written]
        return min(bounds, default=float('inf'))

    def wait_seconds(self, read_seconds: float) -> float:
        """Return how long such a reading waits for others before it."""
        return 0 if read_seconds < self.gap_seconds else self.backlog_seconds


@dataclass(kw_only=True, slots=True)
class _Engine:
    # Times at which planned reading begins and ends, in order.
    readings: list[tuple[float, float]] = field(default_factory=list)
    failures: int = 0
    failing_until: float = float('-inf')
    report: EngineReport | None = None
    unplanned: int = 0
    unplanned_tokens: int = 0
    reported_at: float = float('-inf')
    bookings: dict[str, Booking] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanLease:
    """A plan's name, the entry that holds it, and for how long at most."""

    name: str
    holder: str
    seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Held:
    holder: str
    ends_at: float
    bookings: tuple[Booking, ...]


class EngineLedger:
    """Bookings by grant and by engine."""

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._engines: dict[tuple[str, int], _Engine] = {}
        self._grants: dict[str, _Held] = {}

    @property
    def grants(self) -> int:
        """The number of plans in force."""
        return len(self._grants)

    def book(self, grant: PlanLease, bookings: Iterable[Booking]) -> None:
        """Enter a plan; one that is known already stays as it is."""
        if grant.name in self._grants:
            return
        now = self._clock()
        entered = tuple(bookings)
        self._grants[grant.name] = _Held(
            holder=grant.holder,
            ends_at=now + grant.seconds,
            bookings=entered,
        )
        for booking in entered:
            engine = self._engine(booking.endpoint)
            engine.bookings[grant.name] = booking
            _enter_reading(engine, booking, now)

    def end(self, grant: str) -> None:
        """Drop a plan; one that isn't known is passed over."""
        ended = self._grants.pop(grant, None)
        if ended is None:
            return
        for booking in ended.bookings:
            engine = self._engine(booking.endpoint)
            engine.bookings.pop(grant, None)
            if not engine.bookings:
                engine.readings.clear()

    def end_of(self, holder: str) -> None:
        """Drop all plans of one holder."""
        held = [
            name
            for name, grant in self._grants.items()
            if grant.holder == holder
        ]
        for name in held:
            self.end(name)

    def note_failing(self, identity: tuple[str, int]) -> None:
        """Prefer other engines for a while."""
        engine = self._engines.setdefault(identity, _Engine())
        now = self._clock()
        if now - engine.failing_until > SOUND_SECONDS:
            engine.failures = 0
        pause = min(
            FAILING_SECONDS * 2**engine.failures,
            FAILING_SECONDS_LIMIT,
        )
        engine.failures = min(engine.failures + 1, 4)
        engine.failing_until = now + pause

    def note_report(
        self,
        endpoint: ListedEndpoint,
        report: EngineReport,
    ) -> int:
        """Take in what an engine says; return the requests of no plan."""
        now = self._clock()
        engine = self._engine(endpoint)
        streams = sum(
            booking.stream is not None for booking in engine.bookings.values()
        )
        planned = sum(
            booking.memory_tokens for booking in engine.bookings.values()
        )
        engine.report = report
        engine.reported_at = now
        engine.unplanned = max(0, report.active + report.queued - streams)
        engine.unplanned_tokens = max(0, report.memory_tokens - planned)
        if not engine.unplanned:
            engine.unplanned_tokens = 0
        return engine.unplanned

    def uses(
        self,
        endpoints: Iterable[ListedEndpoint],
    ) -> tuple[EngineUsage, ...]:
        """Return the use of each of the endpoints, in their order."""
        now = self._clock()
        self._end_overdue(now)
        return tuple(self._use(endpoint, now) for endpoint in endpoints)

    def _use(self, endpoint: ListedEndpoint, now: float) -> EngineUsage:
        engine = self._engines.get(endpoint.identity)
        if engine is None:
            return EngineUsage(endpoint=endpoint)
        while engine.readings and engine.readings[0][1] <= now:
            engine.readings.pop(0)
        written = tuple(
            booking.stream
            for booking in engine.bookings.values()
            if booking.stream is not None
        )
        if now - engine.reported_at > REPORT_AGE_SECONDS:
            engine.unplanned = 0
            engine.unplanned_tokens = 0
        report = engine.report
        return EngineUsage(
            endpoint=endpoint,
            unplanned=engine.unplanned,
            queued=report.queued if report and engine.unplanned else 0,
            pace=report.pace if report else 1.0,
            backlog_seconds=_free_at(engine, now) - now,
            gap_seconds=_gap_seconds(engine, now),
            memory_tokens=engine.unplanned_tokens
            + sum(
                booking.memory_tokens for booking in engine.bookings.values()
            ),
            written=written,
            failing=engine.failing_until > now,
        )

    def _engine(self, endpoint: ListedEndpoint) -> _Engine:
        return self._engines.setdefault(endpoint.identity, _Engine())

    def _end_overdue(self, now: float) -> None:
        overdue = [
            grant
            for grant, entered in self._grants.items()
            if entered.ends_at <= now
        ]
        for grant in overdue:
            self.end(grant)


def _enter_reading(engine: _Engine, booking: Booking, now: float) -> None:
    """Enter a reading where it fits, else after all others."""
    if booking.read_seconds <= 0:
        return
    starts_at = now + booking.delay_seconds
    before_next = booking.delay_seconds + booking.read_seconds
    if before_next > _gap_seconds(engine, now):
        starts_at = max(starts_at, _free_at(engine, now))
    engine.readings.append((starts_at, starts_at + booking.read_seconds))
    engine.readings.sort()


def _free_at(engine: _Engine, now: float) -> float:
    return max((now, *(ends_at for _, ends_at in engine.readings)))


def _gap_seconds(engine: _Engine, now: float) -> float:
    """Return how long the engine has nothing to read; none if it reads."""
    ahead = [start for start, ends_at in engine.readings if ends_at > now]
    return max(0, min(ahead) - now) if ahead else float('inf')
