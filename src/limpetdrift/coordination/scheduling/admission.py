"""Decides whether a prompt is admitted with the engines chosen for it.

Answers demand beyond what the engines can prefill: prompts that would time out
while they wait are refused at once, with the time after which engines should
be free.
"""

from limpetdrift.coordination.prompt_splitting import Split
from limpetdrift.protocol.plans import PlanRequest
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.engine_usage import EngineUsage

# Admission threshold: a prompt is refused if its first token is expected after
# more than this share of the time left.
_LATEST_FIRST_TOKEN_SHARE = 0.9
# Share of the engines' mean backlog after which refused callers should retry.
_RETRY_BACKLOG_SHARE = 0.5
MIN_RETRY_AFTER_SECONDS = 0.3


def find_refusal(
    split: Split | None,
    usages: tuple[EngineUsage, ...],
    request: PlanRequest,
) -> Failure | None:
    """Return why a prompt is refused, or ``None`` if it is admitted.

    Refused are also prompts for which no memory is free: it is taken for
    seconds, so another try at once would fail, too.
    """
    if split is None:
        detail = 'memory of the engines is taken'
    elif (
        split.first_token_seconds
        > request.seconds_left * _LATEST_FIRST_TOKEN_SHARE
    ):
        detail = 'would begin too late'
    elif split.cost > request.cost_limit:
        detail = 'no better plan than another group has made'
    else:
        return None
    backlog = sum(usage.backlog_seconds for usage in usages) / len(usages)
    return not_run(
        Reason.OVERLOADED,
        detail,
        retry_after_seconds=max(
            MIN_RETRY_AFTER_SECONDS,
            backlog * _RETRY_BACKLOG_SHARE,
        ),
    )
