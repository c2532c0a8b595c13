"""Describes a prompt to a planner, and how it is sent by the plan.

Answers callers that return after a loss: what has waited yields to others, and
what has begun is continued up to its deadline.
"""

from dataclasses import dataclass

from limpetdrift.coordination.fingerprints import fingerprint_of
from limpetdrift.coordination.planning.plan_making import endpoint_id_of
from limpetdrift.coordination.scheduling.lateness import (
    effective_priority,
    must_yield,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    EndedPlan,
    EndpointId,
    EngineGroup,
    Plan,
    PlanRequest,
)
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    Helper,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView

# Sizes assumed for a prompt of unknown size: those of a usual one.
_DEFAULT_PROMPT_TOKENS = 5000
_DEFAULT_ANSWER_TOKENS = 1500
_MIN_TARGET_SECONDS = 0.1
# Largest priority number on the wire; 0 is the highest priority.
_LOWEST_PRIORITY = 9


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanQuestion:
    """What an entry asks a planner beside the prompt.

    Engines in ``excluded`` are not to be used. ``ended`` are plans that the
    planner may drop, and ``leaving`` engines that it may not know as leaving.
    """

    node: Node
    group: EngineGroup
    excluded: frozenset[EndpointIdentity]
    ended: tuple[EndedPlan, ...]
    leaving: tuple[EndpointId, ...]


def make_plan_request(
    work: CallerRequest,
    asked: PlanQuestion,
    now: float,
) -> PlanRequest:
    """Return the request for a plan, with the time that is left at ``now``."""
    prompt, answer = _DEFAULT_PROMPT_TOKENS, _DEFAULT_ANSWER_TOKENS
    if work.size is not None:
        prompt, answer = work.size.prompt_tokens, work.size.answer_tokens
    route = work.route
    elapsed = now - work.arrived_at
    remaining = min(work.deadline - now, route.patience_seconds - elapsed)
    if work.is_begun:
        # The caller has received events already: a late continuation is
        # better than a stream that ends midway.
        elapsed, remaining = 0, work.deadline - now
    return PlanRequest(
        service=work.service,
        entry=asked.node.name,
        prompt_tokens=prompt,
        answer_tokens=answer,
        pause_seconds=route.pause_seconds,
        patience_seconds=route.patience_seconds,
        target_seconds=max(
            _MIN_TARGET_SECONDS,
            route.target_seconds - elapsed,
        ),
        seconds_left=remaining,
        hold_seconds=work.deadline - now,
        failure_domain=asked.node.failure_domain,
        excluded=tuple(
            EndpointId(name=name, lifetime=lifetime)
            for name, lifetime in asked.excluded
        ),
        ended=asked.ended,
        group=asked.group,
        leaving=asked.leaving,
        account=work.account,
        priority=effective_priority(work, now),
        fingerprint=fingerprint_of(work),
        confirms=True,
        is_admitted=work.is_begun,
        yields=must_yield(work, now),
    )


def find_usable(
    view: EndpointView, engine_id: EndpointId
) -> ListedEndpoint | None:
    """Return an engine that this entry may use, else ``None``."""
    found = view.find(engine_id.name, engine_id.lifetime)
    if found is None or not view.is_usable(found):
        return None
    return found if view.back_offs.is_open(found.identity) else None


def make_dispatch_plan(
    plan: Plan,
    writer: ListedEndpoint,
    helpers: list[ListedEndpoint],
    urgency: int,
) -> DispatchPlan:
    """Return how a prompt is sent by a plan."""
    by_id = {endpoint_id_of(each): each for each in (writer, *helpers)}
    reserved = tuple(
        (by_id[each.endpoint], each.tokens) for each in plan.reserved
    )
    return DispatchPlan(
        endpoint=writer,
        helpers=tuple(Helper(endpoint=each) for each in helpers),
        reserved=reserved,
        urgency=min(_LOWEST_PRIORITY, urgency),
        grant=plan.grant,
        delay_seconds=plan.delay_seconds,
        read_seconds=plan.read_seconds,
        is_tentative=plan.waiting is not None,
        permitted=frozenset(
            (each.name, each.lifetime) for each in plan.permitted
        ),
    )
