"""How long model engines take, worked out from their published rates."""

from limpetdrift.protocol.route_table import EngineCostModel

_HALF = 0.5


def prefill_seconds(law: EngineCostModel, tokens: int, parts: int = 1) -> float:
    """Return how long one of so many even parts of a prompt is read.

    Each part has its share of the pairs of the whole prompt.
    """
    pairs = _HALF * tokens * tokens * law.pair_seconds
    return (tokens / law.read_tokens_per_second + pairs) / parts


def decode_step_seconds(
    law: EngineCostModel, streams: int, context_tokens: int
) -> float:
    """Return how long a pass takes that reads nothing."""
    step = law.step_seconds + streams * law.stream_seconds
    return law.stride * (step + context_tokens * law.context_seconds)
