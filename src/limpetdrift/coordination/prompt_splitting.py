"""Decides which engine writes an answer, and over how many a prompt is read.

Answers a load of short prompts beside long ones. An engine that reads a long
prompt holds up all streams that it writes, so a long prompt is read in parts
short enough for the streams beside it, or by engines that write nothing.
Short prompts share few engines, which leaves others free of streams. Plain
functions of the request, the uses of the engines and their law.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from limpetdrift.coordination.engine_cost_model import (
    decode_step_seconds,
    prefill_seconds,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.state.engine_ledger import EngineUsage, StreamUse

# Numbers of parts that are weighed; the platform takes 16 helpers.
PART_COUNTS = (1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 17)
# Streams of a typical pass, for what it takes without reading.
_TYPICAL_STREAMS = 5
_TYPICAL_CONTEXT_TOKENS = 30_000
# Share of a pause bound that planned reading may fill; the rest is for
# passes that don't end as planned.
_PAUSE_SHARE = 0.8
# A prompt waits for half a pass on average, and for the one that reads it.
_PASSES_BEFORE_READING = 1.5
# Share of the target time that is planned for.
_TARGET_SHARE = 0.75
# An answer that begins so much after that, as a share of the target, is late
# for sure.
_LATE_SHARE = 0.35
# Tokens that are worth as much as keeping one short stream on time.
_TOKENS_OF_ONE_STREAM = 7500.0
# The part of its worth that a late answer loses.
_LATE_LOSS = 0.75
# No prompt is worth ending an answer that was admitted and has begun.
_LEFT_LOSS = 50.0
# Share of a caller's patience that a planned pause may take. After more an
# engine is held to be silent.
_PATIENCE_SHARE = 0.45
# Weighs time to the first token where nothing else decides.
_HASTE = 0.2
# What each part costs besides, in the same measure.
_PART_COST = 0.02
# Parts under this are not worth a helper.
_LEAST_PART_SECONDS = 0.06
# Share of the slots that are filled before another engine is opened.
_PACKED_SHARE = 0.8
_OPENING_COST = 0.15
_CROWDING_COST = 0.5
_QUEUED_COST = 2.0
_FAILING_COST = 5.0
_OTHER_DOMAIN_COST = 0.02
_SLOW_COST = 1.0
# Share of an engine's memory that plans may fill; estimates err.
_MEMORY_SHARE = 0.92
# An engine with more reading than this before it makes short prompts late.
_CALM_SECONDS = 0.1
# What a short prompt takes to read.
_SHORT_READ_SECONDS = 0.05
# Seconds that a short stream takes, to tell from the streams that are there
# how many come in a second.
_STREAM_SECONDS = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Split:
    """One way to read a prompt; ``reserved`` holds engines and tokens.

    The request is sent after ``delay_seconds``, and its first token comes
    after ``first_token_seconds`` from now.
    """

    writer: EngineUsage
    helpers: tuple[EngineUsage, ...]
    reserved: tuple[tuple[EngineUsage, int], ...]
    part_seconds: float
    delay_seconds: float
    first_token_seconds: float
    cost: float


def choose_split(
    request: PlanRequest,
    uses: tuple[EngineUsage, ...],
    law: EngineCostModel,
) -> Split | None:
    """Return the split that costs least, or ``None`` if memory is short."""
    # Failing engines help nobody while others are left.
    sound = tuple(use for use in uses if not use.failing)
    helpers = sound or uses
    splits = [
        split
        for parts in PART_COUNTS
        if parts <= _most_parts(request, helpers, law)
        for split in (_split_into(parts, request, helpers, law),)
        if split is not None
    ]
    return min(splits, key=lambda split: split.cost, default=None)


def _most_parts(
    request: PlanRequest,
    uses: tuple[EngineUsage, ...],
    law: EngineCostModel,
) -> int:
    whole = prefill_seconds(law, request.prompt_tokens)
    return max(1, min(len(uses), int(whole / _LEAST_PART_SECONDS)))


def stream_worth(prompt_tokens: int) -> float:
    """Return the worth of an answer on time, in those of short prompts."""
    return 1 + prompt_tokens / _TOKENS_OF_ONE_STREAM


def start_slack(law: EngineCostModel, parts: int) -> float:
    """Return how much later the parts of a split prompt may be read.

    They begin with a pass of the writer, which may be busy with another.
    """
    if parts == 1:
        return 0
    return _PASSES_BEFORE_READING * _idle_pass_seconds(law)


def free_tokens(use: EngineUsage, law: EngineCostModel) -> int:
    """Return the memory of an engine that no plan has taken."""
    return int(law.memory_tokens * _MEMORY_SHARE) - use.memory_tokens


def _split_into(
    parts: int,
    request: PlanRequest,
    uses: tuple[EngineUsage, ...],
    law: EngineCostModel,
) -> Split | None:
    part = prefill_seconds(law, request.prompt_tokens, parts)
    engines, cost = _choose_engines(parts, request, uses, law)
    writer, *helpers = engines
    reserved = _reserve(request, writer, helpers, law)
    if reserved is None:
        return None
    taken = part + start_slack(law, parts)
    delay = max(use.wait_seconds(taken) for use in engines)
    first = delay + part + _PASSES_BEFORE_READING * _idle_pass_seconds(law)
    cost += _lateness_cost(first, request)
    cost += _blocking_cost(engines, uses, part, law)
    return Split(
        writer=writer,
        helpers=tuple(helpers),
        reserved=reserved,
        part_seconds=part,
        delay_seconds=delay if helpers else 0,
        first_token_seconds=first,
        cost=cost + _PART_COST * parts,
    )


def _choose_engines(
    parts: int,
    request: PlanRequest,
    uses: tuple[EngineUsage, ...],
    law: EngineCostModel,
) -> tuple[tuple[EngineUsage, ...], float]:
    """Return the engines that cost least, the writer first, and their cost."""
    part = prefill_seconds(law, request.prompt_tokens, parts)
    shared = [(use, _shared_cost(use, part, law)) for use in uses]
    cost, place = min(
        (cost + _writer_cost(use, part, request, law), place)
        for place, (use, cost) in enumerate(shared)
    )
    helpers = sorted(
        (cost + use.wait_seconds(part) * _HASTE, order)
        for order, (use, cost) in enumerate(shared)
        if order != place
    )[: parts - 1]
    chosen = (place, *(order for _, order in helpers))
    cost += sum(helper_cost for helper_cost, _ in helpers)
    return tuple(uses[order] for order in chosen), cost


def _blocking_cost(
    engines: tuple[EngineUsage, ...],
    uses: tuple[EngineUsage, ...],
    part: float,
    law: EngineCostModel,
) -> float:
    """Return how many short prompts would find no calm engine.

    Answers a long prompt that would be read by all engines at once while
    short ones keep coming.
    """
    if part <= _CALM_SECONDS:
        return 0
    streams = sum(use.streams for use in uses)
    needed = 1 + math.ceil(streams / (law.slots * _PACKED_SHARE))
    taken = {use.endpoint.identity for use in engines}
    calm = sum(
        use.wait_seconds(_SHORT_READ_SECONDS) <= _CALM_SECONDS
        for use in uses
        if use.endpoint.identity not in taken
    )
    missing = max(0, needed - calm) / needed
    return missing * part * max(1, streams) / _STREAM_SECONDS


def _writer_cost(
    use: EngineUsage,
    part: float,
    request: PlanRequest,
    law: EngineCostModel,
) -> float:
    """Return what it costs besides to have an engine write the answer."""
    cost = use.wait_seconds(part)
    if use.streams >= law.slots:
        cost += _QUEUED_COST * (1 + use.streams - law.slots)
    elif use.streams >= law.slots * _PACKED_SHARE:
        cost += _CROWDING_COST * use.streams / law.slots
    elif use.pause_seconds > request.pause_seconds:
        cost += _OPENING_COST
    if use.endpoint.failure_domain != request.failure_domain:
        cost += _OTHER_DOMAIN_COST
    return cost + _memory_cost(use, request, law)


def _memory_cost(
    use: EngineUsage,
    request: PlanRequest,
    law: EngineCostModel,
) -> float:
    """Avoid engines that would have to gather memory elsewhere."""
    free = free_tokens(use, law)
    if request.memory_tokens <= free:
        return 0
    return _QUEUED_COST


def _shared_cost(use: EngineUsage, part: float, law: EngineCostModel) -> float:
    """Return what it costs to have an engine read a part, writer or not."""
    cost = _harm(use, part, law)
    cost += _QUEUED_COST * min(1, use.queued) + _slowness_cost(use)
    if use.failing:
        cost += _FAILING_COST
    return cost


def _slowness_cost(use: EngineUsage) -> float:
    """Leave slow engines to last; a little slowness costs little."""
    return _SLOW_COST * max(0, use.pace - 1)


def _harm(use: EngineUsage, part: float, law: EngineCostModel) -> float:
    """Return what is lost of the streams that would pause for too long."""
    pause = part + _idle_pass_seconds(law)
    return sum(_pause_cost(stream, pause) for stream in use.written)


def _pause_cost(stream: StreamUse, pause: float) -> float:
    """Return what a stream loses by a pause; callers leave after a long one.

    One that is left was written in vain, and may be asked for again.
    """
    if pause > stream.patience_seconds * _PATIENCE_SHARE:
        return _LEFT_LOSS * stream.worth
    if pause > stream.pause_seconds * _PAUSE_SHARE:
        return _LATE_LOSS * stream.worth
    return 0


def _lateness_cost(first: float, request: PlanRequest) -> float:
    target = request.target_seconds
    over = (first - _TARGET_SHARE * target) / (_LATE_SHARE * target)
    lost = _LATE_LOSS * min(1.0, max(0, over))
    if first > request.seconds_left:
        lost = 1
    return stream_worth(request.prompt_tokens) * lost + _HASTE * first / target


def _reserve(
    request: PlanRequest,
    writer: EngineUsage,
    helpers: Iterable[EngineUsage],
    law: EngineCostModel,
) -> tuple[tuple[EngineUsage, int], ...] | None:
    """Return what to set aside at helpers, or ``None`` if it isn't enough."""
    missing = request.memory_tokens - free_tokens(writer, law)
    reserved: list[tuple[EngineUsage, int]] = []
    by_room = sorted(helpers, key=lambda use: use.memory_tokens)
    for use in by_room:
        if missing <= 0:
            break
        taken = min(missing, free_tokens(use, law))
        if taken > 0:
            reserved.append((use, taken))
            missing -= taken
    return None if missing > 0 else tuple(reserved)


def _idle_pass_seconds(law: EngineCostModel) -> float:
    return decode_step_seconds(law, _TYPICAL_STREAMS, _TYPICAL_CONTEXT_TOKENS)
