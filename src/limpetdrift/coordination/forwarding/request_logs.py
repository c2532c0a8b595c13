"""Logs and counts how requests are placed, retried and ended."""

from limpetdrift import telemetry
from limpetdrift.coordination.forwarding.delivery import RequestProgress
from limpetdrift.logs import note, warn
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.verdict import Failure, Reason

# Prompts under 2^12 tokens are one class in metrics.
_MIN_SIZE_EXPONENT = 12


def log_placement(progress: RequestProgress, placement: DispatchPlan) -> None:
    """Log where a request is sent, if it is split or sampled."""
    if placement.helpers:
        progress.is_logged = True
    if not progress.is_logged:
        return
    note(
        'placed, waits' if placement.is_tentative else 'placed',
        id=progress.request.request_id,
        endpoint=placement.endpoint.name,
        helpers=[each.endpoint.name for each in placement.helpers],
        reserved=[tokens for _, tokens in placement.reserved],
        prompt_tokens=progress.request.size
        and progress.request.size.prompt_tokens,
        read_seconds=round(placement.read_seconds, 3),
        delay_seconds=round(placement.delay_seconds, 3),
        grant=placement.grant,
        version=progress.request.version,
        seconds=round(progress.seconds_elapsed(), 3),
    )


def log_retry(progress: RequestProgress, failure: Failure) -> None:
    """Log why another endpoint is tried."""
    is_silent = failure.reason is Reason.IDLE_TIMEOUT
    note(
        'attempt silent, trying another endpoint beside it'
        if is_silent
        else 'attempt failed, trying another endpoint',
        id=progress.request.request_id,
        reason=failure.reason,
        verdict=failure.verdict,
        detail=failure.detail,
        attempts=progress.attempts,
        endpoints=sorted(name for name, _ in progress.excluded),
        seconds=round(progress.seconds_elapsed(), 3),
    )


def log_cut_answer(progress: RequestProgress, failure: Failure) -> None:
    """Log an answer that ends midway, and how long it had been silent."""
    telemetry.count('answers_cut', reason=failure.reason)
    silent_since = progress.last_event_at or progress.first_event_at
    warn(
        'answer cut off',
        id=progress.request.request_id,
        reason=failure.reason,
        detail=failure.detail,
        last_event=progress.last_event,
        silent_seconds=silent_since
        and round(progress.clock() - silent_since, 3),
        seconds_left=round(progress.seconds_left(), 3),
        attempts=progress.attempts,
        placements=progress.placements,
        endpoints=sorted(name for name, _ in progress.excluded),
    )


def log_end(
    progress: RequestProgress,
    message: str,
    failure: Failure | None,
) -> None:
    """Count how a request ended; log failures and some of the successes."""
    request = progress.request
    outcome = failure.reason if failure else message.replace(' ', '-')
    telemetry.count('requests', outcome=outcome)
    first_event_seconds = None
    if progress.first_event_at is not None:
        first_event_seconds = round(
            progress.first_event_at - request.arrived_at, 3
        )
        telemetry.observe(
            'first_event_seconds', first_event_seconds, size=size_label(request)
        )
    if failure is None and not progress.is_logged:
        return
    note(
        message,
        id=request.request_id,
        route=request.route.name,
        account=request.account,
        reason=failure and failure.reason,
        verdict=failure and failure.verdict,
        detail=failure and failure.detail,
        attempts=progress.attempts,
        version=request.version,
        first_event_seconds=first_event_seconds,
        seconds=round(progress.seconds_elapsed(), 3),
        begun=progress.is_head_sent,
    )


def size_label(request: CallerRequest) -> str:
    """Return the class of a prompt's length, as a metric label.

    Each class's upper limit is four times that of the class below, so that the
    metric has few label values.
    """
    if request.size is None:
        return 'unknown'
    exponent = max(_MIN_SIZE_EXPONENT, request.size.prompt_tokens.bit_length())
    limit = 1 << (exponent + exponent % 2)
    return f'under-{limit}'
