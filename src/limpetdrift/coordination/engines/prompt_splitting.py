"""Chooses the engine that decodes an answer and those that prefill its prompt.

Designed for short prompts that arrive beside long ones. While an engine
prefills a long prompt, all streams that it decodes pause. So a long prompt is
split into parts whose prefill is short enough for the streams of their
engines, or it is prefilled by engines that decode nothing. Short prompts are
packed onto few engines, which leaves others free of streams. All functions
depend only on the request, the usage of the engines and their cost model.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from limpetdrift.coordination.engines.engine_cost_model import prefill_seconds
from limpetdrift.coordination.engines.split_costs import (
    FIRST_TOKEN_WEIGHT,
    PART_COUNTS,
    blocking_cost,
    decode_pass_seconds,
    free_tokens,
    lateness_cost,
    prefill_costs,
    queue_seconds,
    wait_weight,
    writer_cost,
    yielding_seconds,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EndpointIdentity
from limpetdrift.state.engine_usage import EngineUsage

# Passes until the first token: on average half of the pass under way, then
# the one that prefills the prompt.
_PASSES_TO_FIRST_TOKEN = 1.5
# Cost of each part, in the unit of all costs here: the worth of one short
# stream.
_PART_COST = 0.02
# Parts with a shorter prefill than this are not worth a helper.
_MIN_PART_SECONDS = 0.06
# Calls to a helper for a reservation: to reserve and release the memory, and
# its part of the prompt.
_RESERVATION_CALLS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """One way to prefill a prompt, split into one part for each engine.

    ``writer`` prefills one part and decodes the answer; each of ``helpers``
    prefills another part. ``reserved`` lists the tokens of memory to set
    aside at helpers. ``part_seconds`` is the prefill time of one part. The
    request is sent after ``delay_seconds``, and its first token is expected
    ``first_token_seconds`` from now.
    """

    writer: EngineUsage
    helpers: tuple[EngineUsage, ...]
    reserved: tuple[tuple[EngineUsage, int], ...]
    part_seconds: float
    delay_seconds: float
    first_token_seconds: float
    cost: float

    @property
    def identities(self) -> frozenset[EndpointIdentity]:
        """Names and lifetimes of the engines."""
        engines = (self.writer, *self.helpers)
        return frozenset(usage.endpoint.identity for usage in engines)


def choose_split(
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> Split | None:
    """Return the split of least cost, or ``None`` if memory is short."""
    # Failing engines are helpers only if no others are left.
    healthy = tuple(usage for usage in usages if not usage.failing)
    helpers = healthy or usages
    most = _max_parts(request, helpers, cost_model)
    whole = _with_enough_memory(request, helpers, cost_model)
    splits = [
        _split_into(1, request, whole, cost_model),
        *(
            _split_into(parts, request, helpers, cost_model)
            for parts in PART_COUNTS
            if 1 < parts <= most
        ),
    ]
    found = [split for split in splits if split is not None]
    return min(found, key=lambda split: split.cost, default=None)


def _max_parts(
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> int:
    whole_seconds = prefill_seconds(cost_model, request.prompt_tokens)
    return max(1, min(len(usages), int(whole_seconds / _MIN_PART_SECONDS)))


def start_slack(cost_model: EngineCostModel, parts: int) -> float:
    """Return by how many seconds the parts of a split prompt may start late.

    They start with a pass of the writer, which may still be busy with an
    earlier one.
    """
    if parts == 1:
        return 0
    return _PASSES_TO_FIRST_TOKEN * decode_pass_seconds(cost_model)


def _split_into(
    parts: int,
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> Split | None:
    part_seconds = prefill_seconds(cost_model, request.prompt_tokens, parts)
    engines, cost = _choose_engines(parts, request, usages, cost_model)
    writer, *helpers = engines
    reserved = _reserve(request, writer, helpers, cost_model)
    if reserved is None:
        return None
    taken = part_seconds + start_slack(cost_model, parts)
    delay_seconds = max(
        yielding_seconds(writer, request, cost_model),
        *(usage.wait_seconds(taken) for usage in engines),
    )
    first_token_seconds = (
        delay_seconds
        + queue_seconds(writer, cost_model)
        + part_seconds
        + _PASSES_TO_FIRST_TOKEN * decode_pass_seconds(cost_model)
    )
    cost += lateness_cost(first_token_seconds, request)
    cost += blocking_cost(engines, usages, part_seconds, cost_model)
    return Split(
        writer=writer,
        helpers=tuple(helpers),
        reserved=reserved,
        part_seconds=part_seconds,
        delay_seconds=delay_seconds if helpers or request.yields else 0,
        first_token_seconds=first_token_seconds,
        cost=cost + _PART_COST * parts,
    )


def _with_enough_memory(
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> tuple[EngineUsage, ...]:
    """Return the engines that can hold a whole prompt, or all if none can."""
    fitting = tuple(
        usage
        for usage in usages
        if request.memory_tokens <= free_tokens(usage, cost_model)
    )
    return fitting or usages


def _choose_engines(
    parts: int,
    request: PlanRequest,
    usages: tuple[EngineUsage, ...],
    cost_model: EngineCostModel,
) -> tuple[tuple[EngineUsage, ...], float]:
    """Return the engines of least cost, the writer first, and their cost."""
    part_seconds = prefill_seconds(cost_model, request.prompt_tokens, parts)
    engine_costs = prefill_costs(usages, part_seconds, cost_model)
    cost, writer_index = _choose_writer(
        engine_costs, part_seconds, request, cost_model
    )
    helpers = sorted(
        (cost + usage.wait_seconds(part_seconds) * FIRST_TOKEN_WEIGHT, index)
        for index, (usage, cost) in enumerate(engine_costs)
        if index != writer_index
    )[: parts - 1]
    chosen = (writer_index, *(index for _, index in helpers))
    cost += sum(helper_cost for helper_cost, _ in helpers)
    return tuple(usages[index] for index in chosen), cost


def _choose_writer(
    engine_costs: list[tuple[EngineUsage, float]],
    part_seconds: float,
    request: PlanRequest,
    cost_model: EngineCostModel,
) -> tuple[float, int]:
    """Return the least cost of a writer, and its index."""
    weight = wait_weight(request, engine_costs)
    return min(
        (
            cost
            + usage.wait_seconds(part_seconds) * weight
            + writer_cost(usage, request, cost_model),
            index,
        )
        for index, (usage, cost) in enumerate(engine_costs)
    )


def _reserve(
    request: PlanRequest,
    writer: EngineUsage,
    helpers: Iterable[EngineUsage],
    cost_model: EngineCostModel,
) -> tuple[tuple[EngineUsage, int], ...] | None:
    """Return the memory to reserve at helpers; ``None`` if it is too little."""
    missing = request.memory_tokens - free_tokens(writer, cost_model)
    reserved: list[tuple[EngineUsage, int]] = []
    by_free_memory = sorted(
        (usage for usage in helpers if usage.calls_left >= _RESERVATION_CALLS),
        key=lambda usage: usage.memory_tokens,
    )
    for usage in by_free_memory:
        if missing <= 0:
            break
        taken = min(missing, free_tokens(usage, cost_model))
        if taken > 0:
            reserved.append((usage, taken))
            missing -= taken
    return None if missing > 0 else tuple(reserved)
