"""Asks the planner of a group of engines for a plan.

Answers a planner that is silent or dies in a burst: a prompt waits for it for
``PLAN_TIMEOUT_SECONDS`` at most, and the planner is left alone for a time.
"""

from expression import Result

from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.planning.group_load_exchange import (
    GroupLoadExchange,
)
from limpetdrift.coordination.planning.planner_client import (
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import Plan, PlanRequest
from limpetdrift.verdict import Failure, Reason

PLAN_PATH = 'plan'
# Timeout of a plan request. A planner answers within a few milliseconds; one
# that doesn't delays each prompt by this time at most.
PLAN_TIMEOUT_SECONDS = 0.08
# Reasons with which a planner refuses a prompt; ``NO_MEMORY`` comes from those
# of earlier builds. After any other failure the plan is made locally.
REFUSAL_REASONS = frozenset(
    (Reason.NO_ENDPOINT, Reason.NO_MEMORY, Reason.OVERLOADED),
)


async def request_plan(
    request: PlanRequest,
    inputs: PlannerClientInputs,
    planner_client: PlannerClient,
    group_loads: GroupLoadExchange,
) -> Result[Plan, Failure]:
    """Get a plan from the planner of the request's group.

    That may be the local one. A failure for another reason than those of
    ``REFUSAL_REASONS`` means that the planner could not be reached.
    """
    planner = planner_client.planner(request.group)
    if planner is None:
        return group_loads.name_group(inputs.planner.plan(request), request)
    answer = await _call_planner(inputs.call, planner_client, planner, request)
    if answer.is_ok():
        # ``Planner.plan`` books only the plans that it makes itself.
        inputs.planner.book_plan(answer.ok, request)
    if answer.is_ok() or answer.error.reason in REFUSAL_REASONS:
        planner_client.record_answer(planner, request.group)
    else:
        planner_client.record_unreachable(planner, answer.error)
    return answer


async def _call_planner(
    call: PeerCall,
    planner_client: PlannerClient,
    planner: Node,
    request: PlanRequest,
) -> Result[Plan, Failure]:
    """Ask a planner; ended plans that it may not know of are kept."""
    has_answered = False
    try:
        answer = await call(
            planner.peer_address,
            PLAN_PATH,
            request,
            Plan,
            timeout_seconds=PLAN_TIMEOUT_SECONDS,
        )
        has_answered = answer.is_ok() or answer.error.reason in REFUSAL_REASONS
    finally:
        if request.ended and not has_answered:
            planner_client.report_soon(
                request.service, request.group, request.ended
            )
    return answer
