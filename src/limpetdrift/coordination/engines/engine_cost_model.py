"""Computes prefill and decode times of engines from their published rates."""

from limpetdrift.protocol.route_table import EngineCostModel

_HALF = 0.5


def prefill_seconds(
    cost_model: EngineCostModel, tokens: int, parts: int = 1
) -> float:
    """Return the prefill time of one of ``parts`` equal parts of a prompt.

    Each part has an equal share of the token pairs of the whole prompt.
    """
    pairs = _HALF * tokens * tokens * cost_model.pair_seconds
    return (tokens / cost_model.read_tokens_per_second + pairs) / parts


def decode_step_seconds(
    cost_model: EngineCostModel, streams: int, context_tokens: int
) -> float:
    """Return the duration of a pass of ``stride`` decode steps without prefill.

    ``context_tokens`` is the sum over all ``streams``.
    """
    step = cost_model.step_seconds + streams * cost_model.stream_seconds
    return cost_model.stride * (
        step + context_tokens * cost_model.context_seconds
    )
