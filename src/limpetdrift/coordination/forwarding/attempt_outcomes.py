"""Decides what the end of an attempt says about its request and endpoint."""

from collections.abc import Callable

import trio
from expression import Error, Ok

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.crash_guard import (
    HARMLESS_ANSWER_SECONDS,
)
from limpetdrift.coordination.forwarding.attempt_race import (
    Outcome,
    RacingAttempt,
)
from limpetdrift.coordination.forwarding.delivery import RequestProgress
from limpetdrift.coordination.forwarding.retry_policy import (
    attempt_timeout_seconds,
    first_event_timeout_seconds,
)
from limpetdrift.error_logs import leaf_type, log_leaves
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.work import CallerRequest, DispatchPlan
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
)

# Errors of a write to a caller that has disconnected.
_DISCONNECT_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_ENDPOINT_FAILURE_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.CONNECTION_BROKEN,
        Reason.IDLE_TIMEOUT,
        Reason.BAD_ANSWER,
        Reason.ENDPOINT_FAILED,
    ),
)
# Failures that prove that no endpoint received the request.
_UNREACHED_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.ENDPOINT_UNAVAILABLE,
    ),
)


def outcome_of_error(
    progress: RequestProgress, attempt: RacingAttempt, error: Exception
) -> Outcome:
    """Return how an attempt ended that raised an error.

    Once it writes to the caller, a broken stream means that the caller has
    left; any other error is raised again.
    """
    if not attempt.has_written:
        # Another attempt may still answer.
        _log_error(progress, attempt, error)
        return Error(may_have_run(Reason.INTERNAL, 'attempt failed'))
    if isinstance(error, _DISCONNECT_ERRORS):
        progress.has_caller_left = True
        return Ok(None)
    _log_error(progress, attempt, error)
    raise error


def _log_error(
    progress: RequestProgress, attempt: RacingAttempt, error: Exception
) -> None:
    telemetry.count('attempt_errors', type=leaf_type(error))
    endpoint = attempt.endpoint
    log_leaves(
        'attempt failed',
        error,
        id=progress.request.request_id,
        endpoint=endpoint.name if endpoint else None,
        address=endpoint.address if endpoint else None,
    )


def answer_timeout_seconds(
    progress: RequestProgress, placement: DispatchPlan
) -> float:
    """Return the time after which an attempt without an answer is silent."""
    request = progress.request
    if request.route.kind is RequestKind.STREAMING:
        return first_event_timeout_seconds(
            request.route,
            attempts=progress.attempts - 1,
            expected_seconds=placement.read_seconds - placement.delay_seconds,
            seconds_left=progress.seconds_left(),
        )
    return attempt_timeout_seconds(
        request.route,
        attempts=progress.attempts - 1,
        seconds_left=progress.seconds_left(),
    )


def forget_refused_try(
    progress: RequestProgress, attempt: RacingAttempt
) -> None:
    """Take a refused try off the count if another attempt is under way.

    Tries during a silence would leave none for a failure after it.
    """
    if attempt.race.has_other_contender(attempt):
        progress.placements -= 1


def record_failure(
    progress: RequestProgress,
    attempt: RacingAttempt,
    failure: Failure,
) -> None:
    """Record why an attempt failed, and whether its endpoint did."""
    telemetry.count('attempt_failures', reason=failure.reason)
    if attempt.is_sent and failure.verdict is Verdict.NOT_RUN:
        progress.unproven -= 1
    if attempt.is_sent and failure.reason in _UNREACHED_REASONS:
        progress.attempts -= 1
    if failure.reason in _ENDPOINT_FAILURE_REASONS:
        attempt.failed.append(attempt.endpoint)


def record_end(progress: RequestProgress, attempt: RacingAttempt) -> None:
    """Record an endpoint that is silent to the end as failed.

    One that was only slower than another may be used again.
    """
    if attempt.is_silent and attempt.endpoint not in attempt.failed:
        telemetry.count('attempt_failures', reason=Reason.IDLE_TIMEOUT)
        attempt.failed.append(attempt.endpoint)
    elif attempt.is_cancelled and not attempt.is_silent:
        progress.excluded.discard(attempt.endpoint.identity)


def make_harmless_reporter(
    report: Callable[[CallerRequest], None], request: CallerRequest
) -> Callable[[RacingAttempt], None]:
    """Return the function that reports once that a request is harmless."""
    pending = [request]

    def on_event(attempt: RacingAttempt) -> None:
        if pending and attempt.answer_seconds() >= HARMLESS_ANSWER_SECONDS:
            report(pending.pop())

    return on_event
