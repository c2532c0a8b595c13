"""Decides whether a request is tried at another endpoint.

Answers endpoints that fail, and those that fall silent and may only pause: the
silent attempt goes on beside the next one.
"""

from limpetdrift import telemetry
from limpetdrift.coordination.forwarding.attempt_race import AttemptRace
from limpetdrift.coordination.forwarding.delivery import RequestProgress
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.forwarding.request_logs import log_retry
from limpetdrift.coordination.forwarding.retry_policy import may_repeat
from limpetdrift.verdict import Failure, Reason, may_have_run

# Placements per request. This bounds the search when endpoints refuse
# connections, which does not count against the route's attempt limit.
PLACEMENT_LIMIT = 6
# First interval between tries elsewhere while an attempt stays silent.
SILENT_RETRY_INTERVAL_SECONDS = 0.5


def schedule_try_beside(
    inputs: ForwardingInputs, progress: RequestProgress, race: AttemptRace
) -> bool:
    """Return whether to try another endpoint now, beside a silent attempt.

    Sets the time of the next such try; its interval doubles each time.
    """
    silent = race.silent_attempt()
    if silent is None:
        return False
    if inputs.is_suspected(progress.request):
        silent.expect_answer_within(SILENT_RETRY_INTERVAL_SECONDS)
        return False
    if not silent.is_silent:
        silent.is_silent = True
        telemetry.count('attempts_silent')
        if not silent.events:
            inputs.report_silence(silent.endpoint)
    interval = SILENT_RETRY_INTERVAL_SECONDS * 2**silent.tries_beside
    silent.tries_beside += 1
    silent.expect_answer_within(interval)
    return may_retry(
        inputs, progress, may_have_run(Reason.IDLE_TIMEOUT, 'no answer in time')
    )


def may_retry(
    inputs: ForwardingInputs, progress: RequestProgress, failure: Failure
) -> bool:
    """Return whether the route and the retry budget allow a retry.

    A retry after attempts that reached no endpoint is free of charge.
    """
    request = progress.request
    if progress.placements >= PLACEMENT_LIMIT or progress.is_answer_final:
        return False
    is_allowed = may_repeat(
        request.route,
        failure,
        attempts=progress.attempts,
        seconds_left=progress.seconds_left(),
    )
    if not is_allowed:
        return False
    is_retry = progress.attempts and not inputs.is_cut_off(request)
    if is_retry and not inputs.budget.has_retry:
        telemetry.count('refusals', reason=Reason.RETRY_BUDGET)
        return False
    telemetry.count('retries', reason=failure.reason)
    log_retry(progress, failure)
    return True
