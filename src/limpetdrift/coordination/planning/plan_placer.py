"""Gets plans for prompts from planner entries, or makes them locally.

The planner of this entry's own group of engines is asked first, and one of
another group if that plan is refused or expensive: the group that the planner
named last, or a random one. While the planner prefers the other group, that one
is asked first.

>>> placed = await placer.place(work, frozenset())  # doctest: +SKIP
>>> placer.release(work, placed.ok, ())  # doctest: +SKIP
"""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_gate import (
    begin_placement,
    check_service,
    end_placement,
)
from limpetdrift.coordination.engines.planning_groups import (
    PlanningGroups,
    cost_limit_elsewhere,
)
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.planning.group_load_exchange import (
    GroupLoadExchange,
    GroupLoadInputs,
)
from limpetdrift.coordination.planning.plan_confirmation import (
    START_PATH,
    make_confirmation,
)
from limpetdrift.coordination.planning.plan_making import (
    endpoint_id_of,
    mark_full,
)
from limpetdrift.coordination.planning.plan_requests import (
    PlanQuestion,
    find_usable,
    make_dispatch_plan,
    make_plan_request,
)
from limpetdrift.coordination.planning.planner_calls import (
    PLAN_PATH,
    REFUSAL_REASONS,
    request_plan,
)
from limpetdrift.coordination.planning.planner_client import (
    ACTIVE_PATH,
    ENDED_PATH,
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.coordination.scheduling.named_groups import NamedGroups
from limpetdrift.protocol.plans import (
    ActivePlans,
    EndedPlan,
    EndedPlans,
    Plan,
    PlanRequest,
    PlanStart,
)
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Failure, Reason, not_run


class PlanPlacer:
    """Places this entry's prompts; ``planner_client`` finds the planners.

    ``groups`` are the groups of engines that have a planner each. ``confirm``
    is to be called before a tentative placement is used.
    """

    def __init__(
        self,
        *,
        inputs: PlannerClientInputs,
        view: EndpointView,
        groups: PlanningGroups,
        randomness: Random,
    ) -> None:
        self.planner_client = PlannerClient(inputs=inputs)
        self.groups = groups
        self.group_loads = GroupLoadExchange(
            inputs=GroupLoadInputs(
                name=inputs.node.name,
                planner=inputs.planner,
                groups=groups,
                find_planner=self.planner_client.planner,
                call=inputs.call,
                clock=inputs.clock,
                randomness=randomness,
            ),
        )
        self._inputs = inputs
        self._view = view
        self._randomness = randomness
        self.confirm = make_confirmation(
            inputs, self.planner_client, view, self._accept_plan
        )
        self._named = NamedGroups(clock=inputs.clock)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Add the local planner's handlers to the routes for peers."""
        planner = self._inputs.planner
        self.group_loads.register(peer_routes)
        peer_routes.add(PLAN_PATH, PlanRequest, self.group_loads.answer_plan)
        peer_routes.add(START_PATH, PlanStart, planner.answer_start)
        peer_routes.add(ENDED_PATH, EndedPlans, planner.answer_ended)
        peer_routes.add(ACTIVE_PATH, ActivePlans, planner.answer_active)

    async def place(
        self,
        work: CallerRequest,
        excluded: frozenset[EndpointIdentity],
    ) -> Result[DispatchPlan, Failure]:
        """Return the engines to which a prompt is sent, or why it is refused.

        ``excluded`` holds names and lifetimes of engines not to use. Those that
        asked this entry for a back-off are excluded, too. They don't count as
        attempts, and other entries may use them.
        """
        refusal = check_service(self._view, work.service)
        if refusal is not None:
            return Error(refusal)
        closed = self._view.back_offs.closed(self._view.usable(work.service))
        home = self.groups.home(work.service)
        group = self._named.first(work.service, home)
        request = make_plan_request(
            work,
            PlanQuestion(
                node=self._inputs.node,
                group=group,
                excluded=excluded | closed,
                ended=self.planner_client.pop_ended(work.service, group),
                leaving=self._inputs.planner.leaving(work.service),
            ),
            self._inputs.clock(),
        )
        planned = await self._plan(request)
        if planned.is_ok():
            self._named.record(planned.ok, request)
        cost_limit = cost_limit_elsewhere(
            planned, is_home=request.group == home
        )
        if cost_limit is None:
            return self._accept(planned, request, work)
        return await self._place_elsewhere(planned, request, cost_limit, work)

    def release(
        self,
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """End a plan; ``failed`` lists the engines that failed it."""
        end_placement(self._view, work, placement)
        failed_ids = tuple(endpoint_id_of(endpoint) for endpoint in failed)
        self._end(
            work.service, EndedPlan(grant=placement.grant, failed=failed_ids)
        )

    def announce(
        self, engine: ListedEndpoint, *, is_full: bool = False
    ) -> None:
        """Report soon to an engine's planner that it leaves or is full."""
        full = (endpoint_id_of(engine),) if is_full else ()
        mark_full(self._inputs.planner.ledger(engine.service), full)
        group = self.groups.group_of(engine)
        self.planner_client.report_soon(engine.service, group, full=full)

    def planned_engines(self, service: str) -> tuple[ListedEndpoint, ...]:
        """Return the engines of a service that this entry plans for."""
        return tuple(
            engine
            for group in self.groups.layout(service).groups
            if self.planner_client.planner(group) is None
            for engine in self.groups.members(service, group)
        )

    def _end(self, service: str, ended: EndedPlan) -> None:
        self._inputs.planner.end(service, (ended,))
        self.planner_client.end(service, ended)

    async def _place_elsewhere(
        self,
        planned: Result[Plan, Failure],
        request: PlanRequest,
        cost_limit: float,
        work: CallerRequest,
    ) -> Result[DispatchPlan, Failure]:
        """Take the plan of another group if it is better than ``planned``.

        That is the home group if it was not asked first.
        """
        home = self.groups.home(request.service)
        others = [
            group
            for group in self.groups.layout(request.service).groups
            if group != request.group
        ]
        if not others:
            return self._accept(planned, request, work)
        named = home
        if request.group == home:
            named = self._named.second(request.service, home)
        group = named if named in others else self._randomness.choice(others)
        second = replace(request, group=group, cost_limit=cost_limit, ended=())
        try:
            better = await self._plan(second)
        except trio.Cancelled:
            self._discard(planned, request)
            raise
        telemetry.count(
            'plans_elsewhere', outcome='taken' if better.is_ok() else 'refused'
        )
        if better.is_error():
            if group == home and planned.is_error():
                planned = better
            return self._accept(planned, request, work)
        self._discard(planned, request)
        return self._accept(better, second, work)

    def _discard(
        self, planned: Result[Plan, Failure], request: PlanRequest
    ) -> None:
        """End a plan that is not used."""
        if planned.is_ok():
            self.planner_client.begin(planned.ok, request)
            self._end(request.service, EndedPlan(grant=planned.ok.grant))

    async def _plan(self, request: PlanRequest) -> Result[Plan, Failure]:
        """Get a plan, for the home group if need be from this entry's ledger.

        A plan made here for another group would ignore almost all prompts
        there.
        """
        planned = await request_plan(
            request, self._inputs, self.planner_client, self.group_loads
        )
        if planned.is_ok() or planned.error.reason in REFUSAL_REASONS:
            return planned
        if request.group != self.groups.home(request.service):
            return planned
        return self._inputs.planner.plan(request, is_decider=False)

    def _accept(
        self,
        planned: Result[Plan, Failure],
        request: PlanRequest,
        work: CallerRequest,
    ) -> Result[DispatchPlan, Failure]:
        return planned.bind(lambda plan: self._accept_plan(plan, request, work))

    def _accept_plan(
        self,
        plan: Plan,
        request: PlanRequest,
        work: CallerRequest,
    ) -> Result[DispatchPlan, Failure]:
        self.planner_client.begin(plan, request)
        writer = find_usable(self._view, plan.writer)
        helpers = [find_usable(self._view, each) for each in plan.helpers]
        if writer is None or None in helpers:
            self._end(work.service, EndedPlan(grant=plan.grant))
            return Error(
                not_run(
                    Reason.ENDPOINT_LEAVING,
                    'the plan names an engine that is not usable here',
                ),
            )
        telemetry.count('placements', parts=str(1 + len(helpers)))
        placement = make_dispatch_plan(plan, writer, helpers, request.priority)
        begin_placement(self._view, work, placement)
        return Ok(placement)
