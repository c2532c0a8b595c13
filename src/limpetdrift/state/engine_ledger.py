"""Tracks the load on the engines of a service from the plans booked there.

A plan books prefill time and memory at each of its engines, and a stream at
the writer, the engine that decodes the answer. Bookings end with the plan, or
at its time limit if its end isn't reported.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from limpetdrift.protocol.work import (
    EndpointIdentity,
    EngineReport,
    ListedEndpoint,
)
from limpetdrift.state.booked_engine import (
    BookedEngine,
    compute_usage,
    forget_ended,
    usage_holds_until,
)
from limpetdrift.state.engine_usage import Booking, EngineUsage, PlanLease
from limpetdrift.state.prefill_schedule import NO_PLANS

# Back-off after an engine's failure, during which other engines are
# preferred, and its ceiling. It doubles with each further failure.
FAILURE_BACKOFF_SECONDS = 1.5
MAX_FAILURE_BACKOFF_SECONDS = 6.0
# A failure later than this after the end of a back-off counts as the first.
FAILURE_RESET_SECONDS = 10.0
# Time for which an engine that turned a request away counts as full. Within it
# the next report shows what the engine does.
FULL_SECONDS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class _BookedPlan:
    holder: str
    ends_at: float
    bookings: tuple[Booking, ...]


class EngineLedger:
    """Keeps the bookings of a service's engines, by plan and by engine.

    A plan is the choice of the engines that prefill the prompt of one request;
    one of them, the writer, also decodes the answer. A booking is what a plan
    uses at one engine: prefill time, memory and, at the writer, a stream.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._engines: dict[EndpointIdentity, BookedEngine] = {}
        self._plans: dict[str, _BookedPlan] = {}
        # Time limits of plans, the earliest first; a heap.
        self._time_limits: list[tuple[float, str]] = []

    @property
    def plan_count(self) -> int:
        """The number of plans in force."""
        return len(self._plans)

    def book(
        self,
        lease: PlanLease,
        bookings: Iterable[Booking],
        passed: frozenset[str] = NO_PLANS,
    ) -> None:
        """Book a plan; one that is booked already stays unchanged.

        Its prefills go before those of the plans ``passed``.
        """
        if lease.name in self._plans:
            return
        now = self._clock()
        booked = tuple(bookings)
        ends_at = now + lease.seconds
        self._plans[lease.name] = _BookedPlan(
            holder=lease.holder,
            ends_at=ends_at,
            bookings=booked,
        )
        heapq.heappush(self._time_limits, (ends_at, lease.name))
        for booking in booked:
            engine = self._engine(booking.endpoint)
            found = engine.tentative if lease.is_tentative else engine.bookings
            found[lease.name] = booking
            engine.forget_load()
            engine.prefills.add(lease, booking, now, passed)

    def end(self, plan_name: str) -> None:
        """Remove a plan; an unknown one is ignored."""
        ended = self._plans.pop(plan_name, None)
        if ended is None:
            return
        now = self._clock()
        for booking in ended.bookings:
            engine = self._engine(booking.endpoint)
            engine.bookings.pop(plan_name, None)
            engine.tentative.pop(plan_name, None)
            engine.ended.append((now, booking))
            forget_ended(engine, now)
            engine.forget_load()
            if not (engine.bookings or engine.tentative):
                engine.prefills.clear()

    def withdraw(self, plan_name: str) -> None:
        """Remove a plan whose prefills have not begun, as if never booked."""
        withdrawn = self._plans.pop(plan_name, None)
        if withdrawn is None:
            return
        for booking in withdrawn.bookings:
            engine = self._engine(booking.endpoint)
            engine.tentative.pop(plan_name, None)
            engine.prefills.remove(plan_name)
            engine.forget_load()

    def end_all_of(self, holder: str) -> None:
        """Remove all plans of one holder."""
        names = [
            name for name, plan in self._plans.items() if plan.holder == holder
        ]
        for name in names:
            self.end(name)

    def mark_failing(self, identity: EndpointIdentity) -> None:
        """Record a failure, so that other engines are preferred for a while."""
        engine = self._engines.setdefault(identity, BookedEngine())
        now = self._clock()
        if now - engine.failing_until > FAILURE_RESET_SECONDS:
            engine.failures = 0
        backoff_seconds = min(
            FAILURE_BACKOFF_SECONDS * 2**engine.failures,
            MAX_FAILURE_BACKOFF_SECONDS,
        )
        engine.failures = min(engine.failures + 1, 4)
        engine.usage = None
        engine.failing_until = now + backoff_seconds

    def mark_full(self, identity: EndpointIdentity) -> None:
        """Record that an engine turned a request away for want of room."""
        engine = self._engines.setdefault(identity, BookedEngine())
        engine.usage = None
        engine.full_until = self._clock() + FULL_SECONDS

    def note_report(
        self,
        endpoint: ListedEndpoint,
        report: EngineReport,
    ) -> int:
        """Store an engine's report of its load.

        Return the number of its requests that belong to no plan. Under a high
        load many requests end between the report and now, and these must not
        be taken for requests of nobody.
        """
        now = self._clock()
        engine = self._engine(endpoint)
        forget_ended(engine, now)
        counted = [
            *engine.bookings.values(),
            *engine.tentative.values(),
            *(booking for _, booking in engine.ended),
        ]
        streams = sum(booking.stream is not None for booking in counted)
        planned = sum(booking.memory_tokens for booking in counted)
        engine.usage = None
        engine.report = report
        engine.reported_at = now
        unplanned = max(0, report.active + report.queued - streams)
        if unplanned and not engine.unplanned:
            engine.unplanned_since = now
        engine.unplanned = unplanned
        engine.unplanned_tokens = max(0, report.memory_tokens - planned)
        if not engine.unplanned:
            engine.unplanned_tokens = 0
        return engine.unplanned

    def usages(
        self,
        endpoints: Iterable[ListedEndpoint],
        left_out: frozenset[str] = NO_PLANS,
    ) -> tuple[EngineUsage, ...]:
        """Return the load on each of the endpoints, in their order.

        It doesn't include that of the plans ``left_out``.
        """
        now = self._clock()
        self._end_overdue(now)
        if left_out:
            return tuple(
                self._usage_without(endpoint, now, left_out)
                for endpoint in endpoints
            )
        return tuple(self._usage_of(endpoint, now) for endpoint in endpoints)

    def _usage_without(
        self,
        endpoint: ListedEndpoint,
        now: float,
        left_out: frozenset[str],
    ) -> EngineUsage:
        engine = self._engine(endpoint)
        if left_out.isdisjoint(engine.tentative):
            return self._usage_of(endpoint, now)
        return compute_usage(endpoint, engine, now, left_out)

    def _usage_of(self, endpoint: ListedEndpoint, now: float) -> EngineUsage:
        """Return the usage of one engine, computed anew only if it may differ.

        In a large fleet most engines stay as they are from one plan to the
        next.
        """
        engine = self._engine(endpoint)
        usage = engine.usage
        if (
            usage is None
            or usage.endpoint is not endpoint
            or now >= engine.usage_until
        ):
            usage = compute_usage(endpoint, engine, now)
            engine.usage = usage
            engine.usage_until = usage_holds_until(engine, now)
        return usage

    def _engine(self, endpoint: ListedEndpoint) -> BookedEngine:
        engine = self._engines.get(endpoint.identity)
        if engine is None:
            engine = BookedEngine()
            self._engines[endpoint.identity] = engine
        return engine

    def _end_overdue(self, now: float) -> None:
        while self._time_limits and self._time_limits[0][0] <= now:
            _, name = heapq.heappop(self._time_limits)
            plan = self._plans.get(name)
            if plan is not None and plan.ends_at <= now:
                self.end(name)
