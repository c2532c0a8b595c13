"""Plans which engine decodes an answer and which engines prefill its prompt.

One entry, the planner, plans for all engines of a group (planning_groups): the
live one that started first. So no election is needed, and entries that join
don't replace it. If two entries plan at once, only efficiency suffers. Every
entry keeps a ledger for each service, with all plans of the groups that it
plans for and with its own plans otherwise, so that it can plan alone while the
planner is unreachable.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_permits import (
    EndpointPermits,
    ShareOfLimit,
)
from limpetdrift.coordination.engines.engine_orders import EngineOrders
from limpetdrift.coordination.engines.plan_bookings import (
    PlanUse,
    make_bookings,
)
from limpetdrift.coordination.planning.plan_making import (
    choose_sound_split,
    endpoint_id_of,
    find_callable,
    make_plan,
    mark_full,
    mark_leaving,
    refuse_for_engines,
    take_permits,
)
from limpetdrift.coordination.scheduling.admission import Admission
from limpetdrift.coordination.scheduling.tentative_plans import TentativePlans
from limpetdrift.coordination.scheduling.waiting import (
    WaitingPrompt,
    describe_order,
    make_arrival,
    may_wait,
)
from limpetdrift.logs import note
from limpetdrift.protocol.plans import (
    Acknowledgement,
    ActivePlans,
    EndedPlan,
    EndedPlans,
    EndpointId,
    Plan,
    PlanRequest,
    PlanStart,
)
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.engine_ledger import EngineLedger
from limpetdrift.state.engine_usage import PlanLease
from limpetdrift.state.prefill_schedule import NO_PLANS
from limpetdrift.state.rate_budget import LEADING_SHARE
from limpetdrift.verdict import Failure, Reason, not_run

FindCostModel = Callable[[str], EngineCostModel | None]


@dataclass(frozen=True, kw_only=True)
class PlannerInputs:
    """The data from which plans are made.

    ``name``, the entry's name, is the prefix of its grants. ``clock`` returns
    seconds. ``share_of`` is that of ``EndpointPermits``. ``randomness`` spreads
    the retry times of refused callers.
    """

    name: str
    view: EndpointView
    find_cost_model: FindCostModel
    clock: Callable[[], float]
    share_of: ShareOfLimit = lambda endpoint: LEADING_SHARE
    randomness: Random = field(default_factory=Random)


class Planner:
    """Makes plans from this entry's ledgers, one for each service."""

    def __init__(self, *, inputs: PlannerInputs) -> None:
        self._inputs = inputs
        self.find_cost_model = inputs.find_cost_model
        self._ledgers: dict[str, EngineLedger] = {}
        self._orders = EngineOrders(name=inputs.name, view=inputs.view)
        self._grant_numbers = count()
        self.tentative = TentativePlans(clock=inputs.clock)
        self.permits = EndpointPermits(
            view=inputs.view,
            clock=inputs.clock,
            share_of=inputs.share_of,
            randomness=inputs.randomness,
        )
        self.admission = Admission(
            clock=inputs.clock,
            find_cost_model=inputs.find_cost_model,
            randomness=inputs.randomness,
        )

    def ledger(self, service: str) -> EngineLedger:
        """Return the ledger of a service."""
        found = self._ledgers.get(service)
        if found is None:
            found = EngineLedger(clock=self._inputs.clock)
            self._ledgers[service] = found
        return found

    def plan(
        self,
        request: PlanRequest,
        *,
        is_decider: bool = True,
        waited: WaitingPrompt | None = None,
    ) -> Result[Plan, Failure]:
        """Choose engines for a prompt and book them.

        Plans that the request reports as ended are dropped first, and engines
        that it reports as leaving are not used again. Those that limit their
        rate are used within it, and not at all unless this entry
        ``is_decider``. A prompt that has ``waited`` keeps its grant, its place
        in the order and its permits. Fails with ``NO_ENDPOINT`` or
        ``OVERLOADED``.
        """
        self.end(request.service, request.ended)
        mark_leaving(self._inputs.view, request.leaving)
        cost_model = self._inputs.find_cost_model(request.service)
        endpoints = self._orders.candidates(request)
        if cost_model is None or not endpoints:
            return Error(refuse_for_engines(request))
        permitted = waited.permitted if waited else frozenset()
        callable_now = find_callable(
            self.permits, endpoints, permitted, is_decider=is_decider
        )
        if not callable_now:
            return Error(self.permits.refuse(request.service, endpoints))
        prompt = waited or make_arrival(
            request,
            cost_model,
            self._inputs.clock(),
            self.admission.share_used(request),
        )
        return self._choose(request, callable_now, prompt, cost_model)

    def start(self, message: PlanStart) -> Result[Plan, Failure]:
        """Plan a prompt anew whose tentative plan is due.

        Fails with ``NOT_FOUND`` if the plan is not known as tentative, and
        otherwise as ``plan`` does. Then it has ended.
        """
        waited = self.tentative.pop(message.grant)
        if waited is None:
            return Error(not_run(Reason.NOT_FOUND, message.grant))
        self.ledger(message.request.service).withdraw(message.grant)
        return self.plan(message.request, waited=waited)

    def rebook_plan(
        self, plan: Plan, request: PlanRequest, age_seconds: float = 0.0
    ) -> None:
        """Book a plan in place of the tentative one of the same grant."""
        if self.tentative.pop(plan.grant) is not None:
            self.ledger(request.service).withdraw(plan.grant)
        self.book_plan(plan, request, age_seconds)

    def book_plan(
        self,
        plan: Plan,
        request: PlanRequest,
        age_seconds: float = 0.0,
        passed: frozenset[str] = NO_PLANS,
    ) -> None:
        """Book a plan that was made ``age_seconds`` ago.

        Prefill that must be over by now is left out. That of the tentative
        plans ``passed`` is put off.
        """
        remaining_seconds = plan.hold_seconds - age_seconds
        if remaining_seconds <= 0:
            return
        if not request.is_admitted:
            self.admission.charge(request, age_seconds)
        self.ledger(request.service).book(
            PlanLease(
                name=plan.grant,
                holder=request.entry,
                seconds=remaining_seconds,
                is_tentative=plan.waiting is not None,
            ),
            make_bookings(
                PlanUse(plan=plan, request=request, age_seconds=age_seconds),
                self._inputs.find_cost_model(request.service),
                self._inputs.view,
            ),
            passed,
        )
        self.tentative.add(plan, request.service, age_seconds)

    def forget_entry(self, name: str) -> None:
        """Drop the plans of an entry that died."""
        for ledger in self._ledgers.values():
            ledger.end_all_of(name)

    def end(self, service: str, ended: tuple[EndedPlan, ...]) -> None:
        """Drop plans, and record the engines that failed them."""
        ledger = self.ledger(service)
        for each in ended:
            if self.tentative.pop(each.grant) is None:
                ledger.end(each.grant)
            else:
                ledger.withdraw(each.grant)
            for failed in each.failed:
                ledger.mark_failing((failed.name, failed.lifetime))
                note('engine failed', engine=failed.name, plan=each.grant)

    async def answer_plan(self, message: PlanRequest) -> Result[Plan, Failure]:
        """Answer a peer's request for a plan."""
        telemetry.count('plans', asked_by='peer')
        return self.plan(message)

    async def answer_start(self, message: PlanStart) -> Result[Plan, Failure]:
        """Answer a peer that asks whether a waiting prompt may start."""
        return self.start(message)

    async def answer_ended(
        self, message: EndedPlans
    ) -> Result[Acknowledgement, Failure]:
        """Drop a peer's ended plans."""
        self.end(message.service, message.ended)
        mark_leaving(self._inputs.view, message.leaving)
        mark_full(self.ledger(message.service), message.full)
        return Ok(Acknowledgement())

    async def answer_active(
        self,
        message: ActivePlans,
    ) -> Result[Acknowledgement, Failure]:
        """Book the plans that a peer got from an earlier planner."""
        for each in message.active:
            self.rebook_plan(each.plan, each.request, each.age_seconds)
        if message.usage is not None:
            self.admission.merge_report(message.usage)
        return Ok(Acknowledgement())

    def leaving(self, service: str) -> tuple[EndpointId, ...]:
        """Return the engines that peers must be told of as leaving."""
        ahead_of_list = self._inputs.view.leaving_ahead_of_list(service)
        return tuple(map(endpoint_id_of, ahead_of_list))

    def _choose(
        self,
        request: PlanRequest,
        endpoints: tuple[ListedEndpoint, ...],
        prompt: WaitingPrompt,
        cost_model: EngineCostModel,
    ) -> Result[Plan, Failure]:
        """Choose engines for a prompt among some, and book them."""
        passable = self.tentative.find_passable(prompt)
        usages = self.permits.with_calls_left(
            self.ledger(request.service).usages(endpoints, passable)
        )
        split, usages = choose_sound_split(request, usages, cost_model)
        if not usages:
            return Error(refuse_for_engines(request))
        refusal = self.admission.find_refusal(split, usages, request)
        if refusal is not None:
            return Error(refusal)
        plan = make_plan(
            prompt.grant
            or '.'.join((self._inputs.name, str(next(self._grant_numbers)))),
            split,
            request,
            take_permits(self.permits, split, prompt.permitted),
        )
        if may_wait(request, 1 + len(plan.helpers), plan.delay_seconds):
            order = describe_order(prompt, self._inputs.clock())
            plan = replace(plan, waiting=order)
        if passable:
            self.tentative.record_passes(passable, split)
        self.book_plan(plan, request, passed=passable)
        return Ok(plan)
