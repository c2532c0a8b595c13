"""Gets plans for prompts from the entry that plans, or makes them alone.

>>> placed = await planning.place(work, frozenset())  # doctest: +SKIP
>>> planning.release(work, placed.ok, ())  # doctest: +SKIP
"""

from collections.abc import Iterable

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.planner import name_of
from limpetdrift.coordination.planner_client import (
    ACTIVE_PATH,
    ENDED_PATH,
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    ActivePlans,
    EndedPlan,
    EndedPlans,
    EndpointId,
    Plan,
    PlanRequest,
)
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    Helper,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView

PLAN_PATH = 'plan'
# A planner answers within a few milliseconds; a silent one costs each prompt
# this long at most.
PLAN_SECONDS = 0.08
# Prompts of unknown size are planned for as usual ones.
_USUAL_PROMPT_TOKENS = 5000
_USUAL_ANSWER_TOKENS = 1500
_LEAST_TARGET_SECONDS = 0.1
_PRIORITIES = 9
# What a planner that was asked may decide against a prompt.
_DECISIONS = frozenset(
    (Reason.NO_ENDPOINT, Reason.NO_MEMORY, Reason.OVERLOADED),
)


class PlanPlacer:
    """The placements of this entry's prompts; ``links`` lead to planners."""

    def __init__(
        self, *, inputs: PlannerClientInputs, view: EndpointView
    ) -> None:
        self.planner_client = PlannerClient(inputs=inputs)
        self._inputs = inputs
        self._view = view

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the planner's handlers to peers."""
        planner = self._inputs.planner
        peer_routes.add(PLAN_PATH, PlanRequest, planner.answer_plan)
        peer_routes.add(ENDED_PATH, EndedPlans, planner.answer_ended)
        peer_routes.add(ACTIVE_PATH, ActivePlans, planner.answer_active)

    async def place(
        self,
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        """Return where a prompt is sent, or why it isn't."""
        request = self._make_request(work, excluded)
        planner = self.planner_client.planner()
        if planner is None:
            answer = self._inputs.planner.plan(request)
        else:
            answer = await self._ask(planner, request)
        return answer.bind(lambda plan: self._use(plan, request, work))

    def release(
        self,
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """End a plan; ``failed`` lists engines that failed it."""
        names = tuple(name_of(endpoint) for endpoint in failed)
        self._end(work.service, EndedPlan(grant=placement.grant, failed=names))

    def _end(self, service: str, ended: EndedPlan) -> None:
        self._inputs.planner.end(service, (ended,))
        self.planner_client.end(service, ended)

    def _make_request(
        self,
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> PlanRequest:
        prompt, answer = _USUAL_PROMPT_TOKENS, _USUAL_ANSWER_TOKENS
        if work.size is not None:
            prompt, answer = work.size.prompt_tokens, work.size.answer_tokens
        now = self._inputs.clock()
        route = work.route
        passed = now - work.arrived_at
        left = min(work.deadline - now, route.patience_seconds - passed)
        if work.is_begun:
            # The caller has events; late is better than an end midway.
            passed, left = 0, work.deadline - now
        return PlanRequest(
            service=work.service,
            entry=self._inputs.node.name,
            prompt_tokens=prompt,
            answer_tokens=answer,
            pause_seconds=route.pause_seconds,
            patience_seconds=route.patience_seconds,
            target_seconds=max(
                _LEAST_TARGET_SECONDS,
                route.target_seconds - passed,
            ),
            seconds_left=left,
            hold_seconds=work.deadline - now,
            failure_domain=self._inputs.node.failure_domain,
            excluded=tuple(
                EndpointId(name=name, lifetime=lifetime)
                for name, lifetime in excluded
            ),
            ended=self.planner_client.take_ended(work.service),
        )

    async def _ask(
        self,
        planner: Node,
        request: PlanRequest,
    ) -> Result[Plan, Failure]:
        answer = await self._inputs.call(
            planner.peer_address,
            PLAN_PATH,
            request,
            Plan,
            timeout_seconds=PLAN_SECONDS,
        )
        if answer.is_ok():
            # Plans made here are booked when they are made.
            self._inputs.planner.book_plan(answer.ok, request)
        if answer.is_ok() or answer.error.reason in _DECISIONS:
            self.planner_client.note_answer(planner)
            return answer
        self.planner_client.note_silent(planner, answer.error)
        return self._inputs.planner.plan(request)

    def _use(
        self,
        plan: Plan,
        request: PlanRequest,
        work: CallerRequest,
    ) -> Result[DispatchPlan, Failure]:
        writer = self._find(plan.writer)
        helpers = [self._find(each) for each in plan.helpers]
        if writer is None or None in helpers:
            self._end(work.service, EndedPlan(grant=plan.grant))
            return Error(
                not_run(
                    Reason.ENDPOINT_LEAVING,
                    'the plan names an engine that is not known here',
                ),
            )
        self.planner_client.begin(plan, request)
        telemetry.count('placements', parts=str(1 + len(helpers)))
        return Ok(_make_placement(plan, writer, helpers, work))

    def _find(self, name: EndpointId) -> ListedEndpoint | None:
        found = self._view.find(name.name, name.lifetime)
        if found is None or not self._view.is_usable(found):
            return None
        return found


def _make_placement(
    plan: Plan,
    writer: ListedEndpoint,
    helpers: list[ListedEndpoint],
    work: CallerRequest,
) -> DispatchPlan:
    by_name = {name_of(each): each for each in (writer, *helpers)}
    reserved = tuple(
        (by_name[each.endpoint], each.tokens) for each in plan.reserved
    )
    return DispatchPlan(
        endpoint=writer,
        helpers=tuple(Helper(endpoint=each) for each in helpers),
        reserved=reserved,
        urgency=min(_PRIORITIES, work.priority),
        grant=plan.grant,
        delay_seconds=plan.delay_seconds,
        read_seconds=plan.read_seconds,
    )
