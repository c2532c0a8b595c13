"""Executes one run to its end: placement, attempts, and retries by verdict.

A repeatable request continues on another engine from the tokens already
delivered. A non-idempotent request is never attempted again once it may have
run.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import trio
from absl import logging
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.guarded_attempt import (
    Guard,
    GuardedAttempt,
    run_unguarded,
)
from limpetdrift.coordination.runs.at_most_once_runs import Dispatch
from limpetdrift.coordination.runs.attempt import Attempt, follow_attempt
from limpetdrift.protocol.engine import (
    EngineCalls,
    EngineReservation,
    StreamStart,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import (
    AttemptOutcome,
    Placement,
    PlacementRequest,
)
from limpetdrift.protocol.prompts import prefix_blocks
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.run import Run, RunEnd
from limpetdrift.verdict import Failure, Reason, Verdict, not_run

# Attempts per run; an attempt that got no placement counts too.
ATTEMPT_LIMIT = 5
# First retry interval; it doubles up to the back-off ceiling.
RETRY_INTERVAL_SECONDS = 0.02
RETRY_BACKOFF_CEILING_SECONDS = 0.5
# Bounds of the random factor of each retry interval.
RETRY_JITTER = (0.5, 1.5)
# Retry-after of runs that used up their deadline, attempts or retry budget.
OVERLOAD_RETRY_AFTER_SECONDS = 2.0

PlaceRun = Callable[[PlacementRequest], Awaitable[Result[Placement, Failure]]]
AtMostOnceRunner = Callable[
    [Run, Placement, Attempt, Dispatch],
    Awaitable[Result[RunEnd, Failure]],
]
ReportFailure = Callable[[Endpoint, Failure], None]
ReleaseRun = Callable[[Placement, AttemptOutcome], None]

_FINAL_REASONS = frozenset(
    (
        Reason.OVERLOADED,
        Reason.UNKNOWN_MODEL,
        Reason.QUARANTINED,
        Reason.DEADLINE,
    ),
)
# Failures after which a run avoids the endpoint.
_EXCLUDING_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.STREAM_UNKNOWN,
        Reason.ENDPOINT_LEAVING,
        Reason.ENDPOINT_FAILED,
        Reason.CONNECTION_BROKEN,
        Reason.UNKNOWN_MODEL,
    ),
)
# Outcomes by failure; all other failures count as a crash.
_RELEASE_OUTCOMES = {
    Reason.NO_MEMORY: AttemptOutcome.NO_MEMORY,
    Reason.OVERLOADED: AttemptOutcome.REFUSED,
    Reason.ENDPOINT_LEAVING: AttemptOutcome.REFUSED,
    Reason.UNKNOWN_MODEL: AttemptOutcome.REFUSED,
}


@dataclass(frozen=True, kw_only=True)
class RunInputs:
    """What the execution of runs needs from the rest of the entry.

    ``name`` and ``incarnation`` identify this entry to engines.
    """

    name: str
    incarnation: int
    engine: EngineCalls
    place: PlaceRun
    release: ReleaseRun
    run_at_most_once: AtMostOnceRunner
    report_failure: ReportFailure
    budget: RetryBudget
    nursery: trio.Nursery
    randomness: random.Random
    guard: Guard = run_unguarded


@dataclass(kw_only=True, slots=True)
class _RetryState:
    """The excluded endpoints and the interval for a run's next attempt."""

    excluded: tuple[str, ...] = ()
    retry_interval_seconds: float = RETRY_INTERVAL_SECONDS


async def refuse_non_idempotent(
    run: Run,
    placement: Placement,
    attempt: Attempt,
    dispatch: Dispatch,
) -> Result[RunEnd, Failure]:
    """Replace ``AtMostOnceRuns.run`` where there is no table service."""
    return Error(
        not_run(Reason.STORE_UNAVAILABLE, 'no table service in the settings'),
    )


async def execute_run(inputs: RunInputs, run: Run) -> None:
    """Attempt a run until it has an answer or a failure, by its deadline."""
    inputs.budget.earn()
    try:
        await _run_until_deadline(inputs, run)
    except Exception:
        logging.exception('unexpected error in run %s', run.request.handle)
        run.fail(Failure(verdict=run.verdict, reason=Reason.INTERNAL))
    reason = 'finished' if run.failure is None else run.failure.reason
    telemetry.count('runs_ended', reason=reason)


async def _run_until_deadline(inputs: RunInputs, run: Run) -> None:
    with run.cancel_scope:
        with trio.move_on_at(run.request.deadline):
            await _attempt_until_ended(inputs, run)
            return
        run.fail(_deadline_failure(run))
        return
    run.fail(Failure(verdict=run.verdict, reason=Reason.CANCELLED))


async def _attempt_until_ended(inputs: RunInputs, run: Run) -> None:
    state = _RetryState()
    while not run.ended:
        run_attempt = partial(_attempt, inputs, run, state)
        outcome = await inputs.guard(run.request, run_attempt)
        if outcome.is_ok():
            run.finish(outcome.ok)
            return
        final = _final_failure(inputs.budget, run, outcome.error)
        if final is not None:
            run.fail(final)
            return
        telemetry.count('retries', reason=outcome.error.reason)
        await _wait_before_retry(inputs, state)


async def _wait_before_retry(inputs: RunInputs, state: _RetryState) -> None:
    jitter = inputs.randomness.uniform(*RETRY_JITTER)
    await trio.sleep(state.retry_interval_seconds * jitter)
    doubled = state.retry_interval_seconds * 2
    state.retry_interval_seconds = min(doubled, RETRY_BACKOFF_CEILING_SECONDS)


async def _attempt(
    inputs: RunInputs,
    run: Run,
    state: _RetryState,
    guarded: GuardedAttempt,
) -> Result[RunEnd, Failure]:
    run.attempts += 1
    placed = await _place(
        inputs, _placement_request(run, state, guarded), guarded
    )
    if placed.is_error():
        return placed
    placement = placed.ok
    release = AttemptOutcome.CANCELLED
    attempt = Attempt(
        address=placement.endpoint.address,
        start=_stream_start(inputs, run, placement),
    )
    try:
        if not await guarded.begin(placement.endpoint):
            return Error(not_run(Reason.CANCELLED, 'placed too late'))
        outcome = await _run_placed(inputs, run, placement, attempt)
        release = _release_outcome(outcome)
    finally:
        inputs.release(placement, release)
    if outcome.is_error():
        inputs.report_failure(placement.endpoint, outcome.error)
        _exclude(state, placement, outcome.error)
    return outcome


async def _place(
    inputs: RunInputs,
    request: PlacementRequest,
    guarded: GuardedAttempt,
) -> Result[Placement, Failure]:
    with trio.move_on_at(guarded.placement_deadline):
        return await inputs.place(request)
    return Error(not_run(Reason.NO_ENDPOINT, 'none to have alone'))


async def _run_placed(
    inputs: RunInputs,
    run: Run,
    placement: Placement,
    attempt: Attempt,
) -> Result[RunEnd, Failure]:
    dispatch = partial(_dispatch, inputs, run, attempt)
    if run.request.repeatable:
        return await dispatch()
    return await inputs.run_at_most_once(run, placement, attempt, dispatch)


async def _dispatch(
    inputs: RunInputs,
    run: Run,
    attempt: Attempt,
) -> Result[RunEnd, Failure]:
    is_settled = False
    previous_verdict = run.verdict
    run.verdict = Verdict.MAY_HAVE_RUN
    try:
        outcome = await follow_attempt(inputs.engine, attempt, run)
        is_settled = outcome.is_ok() or _never_ran(outcome.error)
    finally:
        if not is_settled:
            _cancel_in_background(inputs, attempt)
    if outcome.is_error() and _never_ran(outcome.error):
        run.verdict = previous_verdict
    return outcome


def _cancel_in_background(inputs: RunInputs, attempt: Attempt) -> None:
    inputs.nursery.start_soon(
        inputs.engine.cancel,
        attempt.address,
        attempt.start.stream_id,
    )


def _stream_start(
    inputs: RunInputs,
    run: Run,
    placement: Placement,
) -> StreamStart:
    request = run.request
    return StreamStart(
        stream_id=f'{request.handle}.{run.attempts}',
        request_key=request.handle,
        attempt=run.attempts,
        holder=inputs.name,
        incarnation=inputs.incarnation,
        expires_in_seconds=request.deadline - trio.current_time(),
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=placement.priority,
        start_offset=run.offset,
        delivered=run.delivered,
        group=tuple(
            EngineReservation(
                address=str(member.endpoint.address),
                hold_id=member.hold_id,
            )
            for member in placement.group
        ),
        journal_key=f'{request.account}/{request.key}',
    )


def _placement_request(
    run: Run,
    state: _RetryState,
    guarded: GuardedAttempt,
) -> PlacementRequest:
    request = run.request
    return PlacementRequest(
        request_key=request.handle,
        attempt=run.attempts,
        account=request.account,
        model=request.model,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        urgency=request.urgency,
        deadline_in_seconds=request.deadline - trio.current_time(),
        prefix_blocks=prefix_blocks(request.prompt),
        excluded=guarded.extend_excluded(state.excluded),
        isolated=guarded.isolated,
    )


def _final_failure(
    budget: RetryBudget,
    run: Run,
    failure: Failure,
) -> Failure | None:
    final = replace(failure, verdict=run.verdict)
    if failure.reason in _FINAL_REASONS:
        return final
    if _is_repeat_forbidden(run):
        return final
    if run.attempts >= ATTEMPT_LIMIT:
        return _with_retry_after(final)
    if not budget.spend():
        return _with_retry_after(replace(final, reason=Reason.RETRY_BUDGET))
    return None


def _is_repeat_forbidden(run: Run) -> bool:
    if run.request.repeatable:
        return False
    return run.verdict is not Verdict.NOT_RUN


def _never_ran(failure: Failure) -> bool:
    return failure.verdict is Verdict.NOT_RUN


def _exclude(
    state: _RetryState, placement: Placement, failure: Failure
) -> None:
    if failure.reason in _EXCLUDING_REASONS:
        state.excluded = (*state.excluded, placement.endpoint.name)


def _release_outcome(outcome: Result[RunEnd, Failure]) -> AttemptOutcome:
    if outcome.is_ok():
        return AttemptOutcome.FINISHED
    return _RELEASE_OUTCOMES.get(outcome.error.reason, AttemptOutcome.CRASHED)


def _deadline_failure(run: Run) -> Failure:
    return Failure(
        verdict=run.verdict,
        reason=Reason.DEADLINE,
        detail='the deadline passed',
        retry_after_seconds=OVERLOAD_RETRY_AFTER_SECONDS,
    )


def _with_retry_after(failure: Failure) -> Failure:
    if failure.retry_after_seconds is not None:
        return failure
    return replace(failure, retry_after_seconds=OVERLOAD_RETRY_AFTER_SECONDS)
