"""Confirms tentative plans with the planner when their delay is over.

Engines may have died, become slow or been added while a prompt waited, and
more urgent prompts may have taken its engines. So its planner plans it anew
before it is sent.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_gate import end_placement
from limpetdrift.coordination.planning.planner_client import (
    PlanInForce,
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.protocol.plans import (
    UNLIMITED_COST,
    EndpointId,
    Plan,
    PlanRequest,
    PlanStart,
)
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Failure, Reason, not_run

START_PATH = 'plan-start'
# Timeout of a confirmation, after which the prompt is sent as first planned.
START_TIMEOUT_SECONDS = 0.08
_MIN_TARGET_SECONDS = 0.1
# Reasons with which a planner refuses a waiting prompt.
_REFUSAL_REASONS = frozenset((Reason.NO_ENDPOINT, Reason.OVERLOADED))
# Reasons of a planner that doesn't know the plan, or is of an earlier build.
_UNKNOWN_REASONS = frozenset((Reason.NOT_FOUND, Reason.BAD_ANSWER))

ConfirmPlacement = Callable[
    [CallerRequest, DispatchPlan], Awaitable[Result[DispatchPlan, Failure]]
]
# Puts a plan into use, and returns its placement.
AcceptPlan = Callable[
    [Plan, PlanRequest, CallerRequest], Result[DispatchPlan, Failure]
]


def make_confirmation(
    inputs: PlannerClientInputs,
    planner_client: PlannerClient,
    view: EndpointView,
    accept: AcceptPlan,
) -> ConfirmPlacement:
    """Return the function that confirms this entry's tentative placements.

    It returns the placement to use now, or one with a further delay, which is
    tentative, too. Its failure refuses the prompt, which has not run. If the
    planner doesn't answer or doesn't know the plan, the placement stays as
    first planned.
    """

    async def confirm(
        work: CallerRequest, placement: DispatchPlan
    ) -> Result[DispatchPlan, Failure]:
        found = planner_client.in_force.get(placement.grant)
        if found is None:
            return Ok(placement.as_due())
        request = _renew_request(found, work, inputs, view)
        message = PlanStart(grant=placement.grant, request=request)
        answer = await _request_start(inputs, planner_client, message)
        telemetry.count('plan_starts', outcome=_outcome(answer, placement))
        if answer.is_ok():
            end_placement(view, work, placement)
            return accept(answer.ok, request, work)
        if answer.error.reason not in _REFUSAL_REASONS:
            return Ok(placement.as_due())
        if answer.error.reason is Reason.NO_ENDPOINT:
            # The group has lost its engines; another one may have some.
            return Error(not_run(Reason.ENDPOINT_LEAVING, 'no engine is left'))
        return Error(answer.error)

    return confirm


def _renew_request(
    found: PlanInForce,
    work: CallerRequest,
    inputs: PlannerClientInputs,
    view: EndpointView,
) -> PlanRequest:
    """Return the request of a plan as it is now."""
    request = found.request
    now = inputs.clock()
    elapsed = now - found.begun_at
    closed = view.back_offs.closed(view.usable(work.service))
    excluded = {
        *request.excluded,
        *(EndpointId(name=name, lifetime=born) for name, born in closed),
    }
    return replace(
        request,
        target_seconds=max(
            _MIN_TARGET_SECONDS, request.target_seconds - elapsed
        ),
        seconds_left=request.seconds_left - elapsed,
        hold_seconds=work.deadline - now,
        excluded=tuple(excluded),
        ended=(),
        cost_limit=UNLIMITED_COST,
        is_admitted=True,
        leaving=inputs.planner.leaving(work.service),
    )


async def _request_start(
    inputs: PlannerClientInputs,
    planner_client: PlannerClient,
    message: PlanStart,
) -> Result[Plan, Failure]:
    group = message.request.group
    planner = planner_client.planner(group)
    if planner is None:
        return inputs.planner.start(message)
    answer = await inputs.call(
        planner.peer_address,
        START_PATH,
        message,
        Plan,
        timeout_seconds=START_TIMEOUT_SECONDS,
    )
    if answer.is_ok():
        inputs.planner.rebook_plan(answer.ok, message.request)
    if answer.is_ok() or answer.error.reason in _REFUSAL_REASONS:
        planner_client.record_answer(planner, group)
    elif answer.error.reason not in _UNKNOWN_REASONS:
        planner_client.record_unreachable(planner, answer.error)
    return answer


def _outcome(answer: Result[Plan, Failure], placement: DispatchPlan) -> str:
    if answer.is_error():
        return answer.error.reason
    if answer.ok.waiting is not None:
        return 'waits on'
    writer = answer.ok.writer
    is_same = (writer.name, writer.lifetime) == placement.endpoint.identity
    return 'starts' if is_same else 'moved'
