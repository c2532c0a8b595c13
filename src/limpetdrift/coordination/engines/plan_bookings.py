"""Computes what a plan uses of each of its engines."""

from dataclasses import dataclass

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.coordination.engines.prompt_splitting import (
    start_slack,
)
from limpetdrift.coordination.engines.split_costs import (
    stream_worth,
)
from limpetdrift.protocol.plans import EndpointId, Plan, PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.engine_usage import Booking, StreamUse


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanUse:
    """A plan in force, its request, and the time since it was made."""

    plan: Plan
    request: PlanRequest
    age_seconds: float


def make_bookings(
    use: PlanUse, cost_model: EngineCostModel | None, view: EndpointView
) -> list[Booking]:
    """Return what remains of a plan at each engine that the view has."""
    plan, request = use.plan, use.request
    part_seconds = _part_seconds(plan, request, cost_model) if cost_model else 0
    part_seconds -= max(0, use.age_seconds - plan.delay_seconds)
    stream = StreamUse(
        pause_seconds=request.pause_seconds,
        patience_seconds=request.patience_seconds,
        worth=stream_worth(request.prompt_tokens),
    )
    bookings = []
    for engine in (plan.writer, *plan.helpers):
        endpoint = view.find(engine.name, engine.lifetime)
        if endpoint is not None:
            bookings.append(
                Booking(
                    endpoint=endpoint,
                    read_seconds=max(0, part_seconds),
                    delay_seconds=max(0, plan.delay_seconds - use.age_seconds),
                    memory_tokens=_memory_tokens(plan, request, engine),
                    stream=stream if engine == plan.writer else None,
                ),
            )
    return bookings


def _part_seconds(
    plan: Plan, request: PlanRequest, cost_model: EngineCostModel
) -> float:
    parts = 1 + len(plan.helpers)
    prefill = prefill_seconds(cost_model, request.prompt_tokens, parts)
    return prefill + start_slack(cost_model, parts)


def _memory_tokens(
    plan: Plan,
    request: PlanRequest,
    engine: EndpointId,
) -> int:
    """Return the memory that a plan takes at one engine.

    The writer holds whatever is not reserved at helpers.
    """
    reserved = {each.endpoint: each.tokens for each in plan.reserved}
    if engine != plan.writer:
        return reserved.get(engine, 0)
    return request.memory_tokens - sum(reserved.values())
