"""Decides after which time the first token of an answer is too late.

Answers demand beyond what the engines can prefill, and callers that send a
request again shortly before their deadline, as after a loss of all entries:
what can't be whole in time is refused at once.
"""

from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
)
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.route_table import EngineCostModel

# Admission threshold: a prompt is refused if its first token is expected after
# more than this share of the time left.
_LATEST_FIRST_TOKEN_SHARE = 0.9
# Safety margin: the share of an answer's tokens that is counted. Callers state
# the most that it may have, and many answers are shorter than the usual one.
_LEAST_ANSWER_SHARE = 0.5


def latest_first_token(
    request: PlanRequest,
    due_seconds: float,
    cost_model: EngineCostModel | None,
) -> float:
    """Return after how many seconds a first token is too late.

    Room for ``due_seconds`` is left to callers that are due to return, but not
    at the expense of a prompt that is on time. What follows the first token
    must end before the deadline.
    """
    latest = request.seconds_left * _LATEST_FIRST_TOKEN_SHARE
    latest = min(latest, max(request.target_seconds, latest - due_seconds))
    if cost_model is None:
        return latest
    least_seconds = least_answer_seconds(request, cost_model)
    return min(latest, request.hold_seconds - least_seconds)


def least_answer_seconds(
    request: PlanRequest, cost_model: EngineCostModel
) -> float:
    """Return the least time from the first token of an answer to its end.

    It is that on an engine without other streams. Of a stream that has begun
    an unknown part is left, so it is zero.
    """
    if request.yields or request.is_admitted:
        return 0
    tokens = request.answer_tokens
    if cost_model.usual_answer_tokens:
        tokens = min(tokens, cost_model.usual_answer_tokens)
    passes = _LEAST_ANSWER_SHARE * tokens / cost_model.stride
    return passes * decode_step_seconds(
        cost_model, streams=1, context_tokens=request.prompt_tokens
    )
