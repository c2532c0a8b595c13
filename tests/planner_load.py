"""A planner under load, without entries, engines or a network.

Plans end when the planner expects it: engines do as their cost model says.
"""

import heapq
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, replace

from forward_harness import make_endpoints
from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
)
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.protocol.plans import EndedPlan, EngineGroup, PlanRequest
from limpetdrift.state.endpoint_view import EndpointView
from test_splitting import COST_MODEL, make_request

SERVICE = 's'
ENGINES = 24
# The pool of all engines of the service.
POOL = (SERVICE, EngineGroup())
SHORT = make_request(
    5000,
    pause_seconds=0.25,
    target_seconds=0.3,
    seconds_left=10.0,
    hold_seconds=10.0,
    patience_seconds=10.0,
)
LONG = make_request(
    300_000, target_seconds=4.0, seconds_left=15.0, hold_seconds=15.0
)


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request and when it comes."""

    at: float
    request: PlanRequest


class PlannerLoad:
    """A planner, and what became of the requests sent to it.

    In ``play``, refused requests are tried again at once, ``tries`` times in
    all.
    """

    def __init__(self, engines: int = ENGINES, tries: int = 1) -> None:
        self._tries = tries
        self.now = 1000.0
        view = EndpointView(clock=lambda: self.now)
        view.replace(
            tuple(
                replace(each, service=SERVICE)
                for each in make_endpoints(engines)
            )
        )
        self.planner = Planner(
            inputs=PlannerInputs(
                name='planner',
                view=view,
                find_cost_model=lambda service: COST_MODEL,
                clock=lambda: self.now,
            )
        )
        self.sent: Counter[str] = Counter()
        self.on_time: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.engine_seconds: defaultdict[str, float] = defaultdict(float)
        self._ends: list[tuple[float, str]] = []

    def go_to(self, at: float) -> None:
        """Let time pass, in which plans end."""
        while self._ends and self._ends[0][0] <= at:
            ended_at, grant = heapq.heappop(self._ends)
            self.now = ended_at
            self.planner.end(SERVICE, (EndedPlan(grant=grant),))
        self.now = at

    def send(self, request: PlanRequest):
        """Ask for a plan; return it or the refusal."""
        planned = self.planner.plan(request)
        name = request.account
        self.sent[name] += 1
        if planned.is_error():
            self.refused[name] += 1
            return planned
        plan = planned.ok
        self.on_time[name] += plan.read_seconds <= request.target_seconds
        seconds = self.planner.admission.engine_seconds(request)
        self.engine_seconds[name] += seconds
        ends_at = self.now + plan.read_seconds + decode_seconds(request)
        heapq.heappush(self._ends, (ends_at, plan.grant))
        return planned

    def play(self, arrivals: list[Arrival]) -> None:
        """Send requests at their times, counted from now."""
        start = self.now
        for arrival in sorted(arrivals, key=lambda each: each.at):
            self.go_to(start + arrival.at)
            for _ in range(self._tries):
                if self.send(arrival.request).is_ok():
                    break


def decode_seconds(request: PlanRequest) -> float:
    """Return the duration of an answer at an engine with full slots."""
    slots = COST_MODEL.slots
    passes = request.answer_tokens / COST_MODEL.stride
    context = slots * request.prompt_tokens
    return passes * decode_step_seconds(COST_MODEL, slots, context)


def arrivals_of(
    request: PlanRequest, per_second: float, seconds: float, start: float = 0.0
) -> list[Arrival]:
    """Return random arrivals of a request with a mean rate."""
    randomness = random.Random(f'{request.account}/{per_second}/{start}')
    at = start
    arrivals = []
    while (at := at + randomness.expovariate(per_second)) < start + seconds:
        numbered = replace(request, fingerprint=f'{request.account}/{at}')
        arrivals.append(Arrival(at=at, request=numbered))
    return arrivals
