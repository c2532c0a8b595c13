"""Costs of prefilling and decoding a prompt on given engines.

The unit is the worth of one short stream on time. All functions depend only on
the request, the usage of the engines and their cost model.
"""

import math

from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
    prefill_seconds,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.engine_usage import EngineUsage, StreamUse

# Numbers of parts that are tried; the platform allows 16 helpers.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 17)
# Streams and context of a typical decode pass, to estimate its duration.
_TYPICAL_STREAMS = 5
_TYPICAL_CONTEXT_TOKENS = 30_000
# Safety margin: the share of a stream's pause bound that planned prefill may
# fill. The rest is left for passes that do not end as planned.
_PAUSE_SHARE = 0.8
# Safety margin: the time to first token that is planned for, as a share of
# the target time.
_TARGET_SHARE = 0.75
# An answer that begins later than planned by this share of the target time
# counts as certainly late; up to there the cost of lateness grows linearly.
_LATENESS_RAMP_SHARE = 0.35
# Prompt tokens that are worth as much as one short stream kept on time.
_TOKENS_PER_STREAM_WORTH = 7500.0
# Share of its worth that a late answer loses.
_LATE_LOSS = 0.75
# Further share that it loses by when its caller's time is over.
_DELAY_LOSS = 0.15
# Loss of a stream whose caller leaves, in multiples of its worth. It is so
# high because no prompt is worth ending an answer that has been admitted and
# has begun.
_ABANDONED_LOSS = 50.0
# Safety margin: the share of a caller's patience that a planned pause may
# fill. After a longer pause the engine counts as unresponsive.
_PATIENCE_SHARE = 0.45
# Weight of the time to first token and of helpers' queueing times. It decides
# between splits that are otherwise equal.
FIRST_TOKEN_WEIGHT = 0.2
# Weight of the wait at a writer, in shares of the target time. It makes up for
# passes that last longer than planned where several prompts are prefilled.
_WAIT_WEIGHT = 2.0
# Packing threshold: the share of an engine's slots that is filled before
# short prompts go to an engine without short streams.
_PACKED_SHARE = 0.8
# Costs of an engine, in this order: if none of its streams has a pause bound as
# short as the request's, with its slots filled beyond the packing threshold,
# with requests queued or memory short, after a recent failure, in another
# failure domain, and for slowness, times the excess of its pace over 1.
_OPENING_COST = 0.15
_CROWDING_COST = 0.5
_QUEUED_COST = 2.0
_FAILING_COST = 5.0
_OTHER_DOMAIN_COST = 0.02
_SLOW_COST = 1.0
# Safety margin: the share of an engine's memory that plans may fill, since
# token estimates can be too low.
_MEMORY_SHARE = 0.92
# Longest prefill that may precede a short prompt at an engine; after more,
# the prompt is late.
_SHORT_WAIT_LIMIT_SECONDS = 0.1
# The share of an engine's slots up to which requests that yield fill it.
_YIELDING_SHARE = 0.75
# Prefill time of a short prompt.
_SHORT_PREFILL_SECONDS = 0.05
# Prefill of requests of no plan up to which an engine counts as free. After a
# loss of all entries most engines have some, and are needed.
_SHORT_UNPLANNED_SECONDS = 1.0
# Duration of a short stream, from which the number of streams gives the
# arrival rate of short prompts.
_SHORT_STREAM_SECONDS = 1.5


def stream_worth(prompt_tokens: int) -> float:
    """Return the worth of an answer on time, relative to a short one's."""
    return 1 + prompt_tokens / _TOKENS_PER_STREAM_WORTH


def free_tokens(usage: EngineUsage, cost_model: EngineCostModel) -> int:
    """Return how many tokens of an engine's memory plans may still take."""
    return int(cost_model.memory_tokens * _MEMORY_SHARE) - usage.memory_tokens


def queue_seconds(usage: EngineUsage, cost_model: EngineCostModel) -> float:
    """Return how long a request waits at an engine for a slot.

    After a restart of all entries, or when engines are lost in a burst, all
    slots are taken. A plan that leaves out this time is given up as
    unresponsive while it waits, and its prompt is read a second time.
    """
    waiting = usage.streams - cost_model.slots + 1
    return max(0, waiting) * _SHORT_STREAM_SECONDS / cost_model.slots


def yielding_seconds(
    usage: EngineUsage, request: PlanRequest, cost_model: EngineCostModel
) -> float:
    """Return for how long a request leaves the slots of an engine to others.

    After a loss of all entries in a burst, returning callers would take all
    slots, and those that arrive would become late as they wait for one.
    """
    if not request.yields:
        return 0
    waiting = usage.streams + 1 - int(cost_model.slots * _YIELDING_SHARE)
    return max(0, waiting) * _SHORT_STREAM_SECONDS / cost_model.slots


def decode_pass_seconds(cost_model: EngineCostModel) -> float:
    """Return the duration of a typical pass without prefill."""
    return decode_step_seconds(
        cost_model, _TYPICAL_STREAMS, _TYPICAL_CONTEXT_TOKENS
    )


def wait_weight(
    request: PlanRequest, engine_costs: list[tuple[EngineUsage, float]]
) -> float:
    """Return the cost of a second of wait at a writer.

    A short prompt takes another engine rather than wait, as long as enough
    engines without streams are left for the longest prompts.
    """
    idle = sum(not usage.streams for usage, _ in engine_costs)
    if idle <= PART_COUNTS[-1]:
        return 1
    return max(1, _WAIT_WEIGHT / request.target_seconds)


def blocking_cost(
    engines: tuple[EngineUsage, ...],
    usages: tuple[EngineUsage, ...],
    part_seconds: float,
    cost_model: EngineCostModel,
) -> float:
    """Return how many short prompts would find no available engine.

    An engine is available if a short prompt waits there for at most
    ``_SHORT_WAIT_LIMIT_SECONDS``. This keeps a long prompt from being
    prefilled by all engines at once while short ones keep arriving.
    """
    if part_seconds <= _SHORT_WAIT_LIMIT_SECONDS:
        return 0
    streams = sum(usage.streams for usage in usages)
    needed = 1 + math.ceil(streams / (cost_model.slots * _PACKED_SHARE))
    taken = {usage.endpoint.identity for usage in engines}
    available = sum(
        usage.wait_seconds(_SHORT_PREFILL_SECONDS) <= _SHORT_WAIT_LIMIT_SECONDS
        for usage in usages
        if usage.endpoint.identity not in taken
    )
    missing = max(0, needed - available) / needed
    return missing * part_seconds * max(1, streams) / _SHORT_STREAM_SECONDS


def writer_cost(
    usage: EngineUsage, request: PlanRequest, cost_model: EngineCostModel
) -> float:
    """Return the additional cost of an engine that decodes the answer."""
    cost = yielding_seconds(usage, request, cost_model)
    streams = usage.streams
    if streams >= cost_model.slots:
        cost += _QUEUED_COST * (1 + streams - cost_model.slots)
    elif streams >= cost_model.slots * _PACKED_SHARE:
        cost += _CROWDING_COST * streams / cost_model.slots
    elif usage.pause_seconds > request.pause_seconds:
        cost += _OPENING_COST
    if usage.endpoint.failure_domain != request.failure_domain:
        cost += _OTHER_DOMAIN_COST
    return cost + _memory_cost(usage, request, cost_model)


def _memory_cost(
    usage: EngineUsage,
    request: PlanRequest,
    cost_model: EngineCostModel,
) -> float:
    """Return the cost of an engine that needs memory set aside at others."""
    is_enough = request.memory_tokens <= free_tokens(usage, cost_model)
    return 0 if is_enough else _QUEUED_COST


def prefill_costs(
    usages: tuple[EngineUsage, ...],
    part_seconds: float,
    cost_model: EngineCostModel,
) -> list[tuple[EngineUsage, float]]:
    """Return each engine with the cost of the prefill of a part there."""
    pause_seconds = part_seconds + decode_pass_seconds(cost_model)
    return [
        (
            usage,
            _prefill_cost(usage, pause_seconds)
            + _unplanned_cost(usage, cost_model),
        )
        for usage in usages
    ]


def _unplanned_cost(usage: EngineUsage, cost_model: EngineCostModel) -> float:
    """Return the cost of requests of no plan, which may still be prefilled.

    Engines go on with the requests of entries that are gone. A report tells
    the memory of these, but not whether their prefill has ended, so it counts
    as under way for as long as it may last.
    """
    if not usage.unplanned:
        return 0
    tokens = usage.unplanned_tokens // usage.unplanned
    left = prefill_seconds(cost_model, tokens) - usage.unplanned_seconds
    return _QUEUED_COST * min(1, max(0, left - _SHORT_UNPLANNED_SECONDS))


def _prefill_cost(usage: EngineUsage, pause_seconds: float) -> float:
    """Return the cost of an engine's prefill of a part, writer or helper.

    Its streams are interrupted for ``pause_seconds``.
    """
    cost = sum(_pause_cost(stream, pause_seconds) for stream in usage.written)
    cost += _QUEUED_COST * min(1, usage.queued) + _slowness_cost(usage)
    if usage.failing:
        cost += _FAILING_COST
    return cost


def _slowness_cost(usage: EngineUsage) -> float:
    """Return a cost that makes slow engines the last choice."""
    return _SLOW_COST * max(0, usage.pace - 1)


def _pause_cost(stream: StreamUse, pause_seconds: float) -> float:
    """Return what a stream loses by a pause.

    After a long pause its caller leaves. The stream was then decoded in vain,
    and the caller may request it again.
    """
    if pause_seconds > stream.patience_seconds * _PATIENCE_SHARE:
        return _ABANDONED_LOSS * stream.worth
    if pause_seconds > stream.pause_seconds * _PAUSE_SHARE:
        return _LATE_LOSS * stream.worth
    return 0


def lateness_cost(first_token_seconds: float, request: PlanRequest) -> float:
    """Return what an answer loses if it begins after its target.

    It goes on losing after that. Otherwise a long prompt that is late anyway
    would be prefilled by one engine, and take several times as long.
    """
    target = request.target_seconds
    lateness = (first_token_seconds - _TARGET_SHARE * target) / (
        _LATENESS_RAMP_SHARE * target
    )
    lost = _LATE_LOSS * min(1.0, max(0, lateness))
    if first_token_seconds > request.seconds_left:
        lost = 1
    elif first_token_seconds > target:
        late_share = (first_token_seconds - target) / request.seconds_left
        lost += _DELAY_LOSS * late_share
    return (
        stream_worth(request.prompt_tokens) * lost
        + FIRST_TOKEN_WEIGHT * first_token_seconds / target
    )
