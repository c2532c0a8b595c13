"""Drives one run to its end: placement, attempts, and retries by verdict.

A repeatable request goes on elsewhere from the tokens already delivered. One
that is not repeatable is never attempted again once it may have run.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from functools import partial

import trio
from absl import logging
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.at_most_once_runs import Dispatch
from limpetdrift.coordination.attempt import Attempt, follow_attempt
from limpetdrift.coordination.guarded_attempt import (
    Guard,
    GuardedAttempt,
    run_unguarded,
)
from limpetdrift.protocol.engine import EngineCalls, EngineHold, StreamStart
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import (
    AttemptOutcome,
    Placement,
    PlacementRequest,
)
from limpetdrift.protocol.prompts import prefix_blocks
from limpetdrift.protocol.verdict import Failure, Reason, Verdict, not_run
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.run import Run, RunEnd

ATTEMPT_LIMIT = 5
RETRY_PAUSE_SECONDS = 0.02
RETRY_PAUSE_LIMIT_SECONDS = 0.5
RETRY_JITTER = (0.5, 1.5)
OVERLOAD_RETRY_AFTER_SECONDS = 2.0

PlaceRun = Callable[[PlacementRequest], Awaitable[Result[Placement, Failure]]]
AtMostOnceRunner = Callable[
    [Run, Placement, Attempt, Dispatch],
    Awaitable[Result[RunEnd, Failure]],
]
NoteFailure = Callable[[Endpoint, Failure], None]
ReleaseRun = Callable[[Placement, AttemptOutcome], None]

_FINAL_REASONS = frozenset(
    (
        Reason.OVERLOADED,
        Reason.UNKNOWN_MODEL,
        Reason.QUARANTINED,
        Reason.DEADLINE,
    ),
)
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
_RELEASES = {
    Reason.NO_MEMORY: AttemptOutcome.NO_MEMORY,
    Reason.OVERLOADED: AttemptOutcome.REFUSED,
    Reason.ENDPOINT_LEAVING: AttemptOutcome.REFUSED,
    Reason.UNKNOWN_MODEL: AttemptOutcome.REFUSED,
}


@dataclass(frozen=True, kw_only=True)
class RunInputs:
    """What driving a run works with."""

    name: str
    incarnation: int
    engine: EngineCalls
    place: PlaceRun
    release: ReleaseRun
    run_at_most_once: AtMostOnceRunner
    note_failure: NoteFailure
    budget: RetryBudget
    nursery: trio.Nursery
    random: random.Random
    guard: Guard = run_unguarded


@dataclass(kw_only=True, slots=True)
class _Course:
    """What the attempts of one run have met so far."""

    excluded: tuple[str, ...] = ()
    pause_seconds: float = RETRY_PAUSE_SECONDS


async def refuse_non_idempotent(
    run: Run,
    placement: Placement,
    attempt: Attempt,
    dispatch: Dispatch,
) -> Result[RunEnd, Failure]:
    """Stand in for ``SingleRuns.run`` where there is no table service."""
    return Error(
        not_run(Reason.STORE_UNAVAILABLE, 'no table service in the settings'),
    )


async def execute_run(parts: RunInputs, run: Run) -> None:
    """Bring a run to its answer or failure by its deadline."""
    parts.budget.earn()
    try:
        await _drive_in_time(parts, run)
    except Exception:
        logging.exception('run failed: %s', run.request.handle)
        run.fail(Failure(verdict=run.verdict, reason=Reason.INTERNAL))
    reason = 'finished' if run.failure is None else run.failure.reason
    telemetry.count('runs_ended', reason=reason)


async def _drive_in_time(parts: RunInputs, run: Run) -> None:
    with run.cancel_scope:
        with trio.move_on_at(run.request.deadline):
            await _attempt_until_ended(parts, run)
            return
        run.fail(_too_late(run))
        return
    run.fail(Failure(verdict=run.verdict, reason=Reason.CANCELLED))


async def _attempt_until_ended(parts: RunInputs, run: Run) -> None:
    course = _Course()
    while not run.ended:
        run_trial = partial(_attempt, parts, run, course)
        outcome = await parts.guard(run.request, run_trial)
        if outcome.is_ok():
            run.finish(outcome.ok)
            return
        final = _final_failure(parts.budget, run, outcome.error)
        if final is not None:
            run.fail(final)
            return
        telemetry.count('retries', reason=outcome.error.reason)
        await _pause(parts, course)


async def _pause(parts: RunInputs, course: _Course) -> None:
    jitter = parts.random.uniform(*RETRY_JITTER)
    await trio.sleep(course.pause_seconds * jitter)
    doubled = course.pause_seconds * 2
    course.pause_seconds = min(doubled, RETRY_PAUSE_LIMIT_SECONDS)


async def _attempt(
    parts: RunInputs,
    run: Run,
    course: _Course,
    trial: GuardedAttempt,
) -> Result[RunEnd, Failure]:
    run.attempts += 1
    placed = await _place(parts, _placement_request(run, course, trial), trial)
    if placed.is_error():
        return placed
    placement = placed.ok
    release = AttemptOutcome.CANCELLED
    attempt = Attempt(
        address=placement.endpoint.address,
        start=_stream_start(parts, run, placement),
    )
    try:
        if not await trial.begin(placement.endpoint):
            return Error(not_run(Reason.CANCELLED, 'placed too late'))
        outcome = await _run_placed(parts, run, placement, attempt)
        release = _release_kind(outcome)
    finally:
        parts.release(placement, release)
    if outcome.is_error():
        parts.note_failure(placement.endpoint, outcome.error)
        _exclude(course, placement, outcome.error)
    return outcome


async def _place(
    parts: RunInputs,
    request: PlacementRequest,
    trial: GuardedAttempt,
) -> Result[Placement, Failure]:
    with trio.move_on_at(trial.placement_deadline):
        return await parts.place(request)
    return Error(not_run(Reason.NO_ENDPOINT, 'none to have alone'))


async def _run_placed(
    parts: RunInputs,
    run: Run,
    placement: Placement,
    attempt: Attempt,
) -> Result[RunEnd, Failure]:
    dispatch = partial(_run_at, parts, run, attempt)
    if run.request.repeatable:
        return await dispatch()
    return await parts.run_at_most_once(run, placement, attempt, dispatch)


async def _run_at(
    parts: RunInputs,
    run: Run,
    attempt: Attempt,
) -> Result[RunEnd, Failure]:
    settled = False
    earlier = run.verdict
    run.verdict = Verdict.MAY_HAVE_RUN
    try:
        outcome = await follow_attempt(parts.engine, attempt, run)
        settled = outcome.is_ok() or _never_ran(outcome.error)
    finally:
        if not settled:
            _cancel_later(parts, attempt)
    if outcome.is_error() and _never_ran(outcome.error):
        run.verdict = earlier
    return outcome


def _cancel_later(parts: RunInputs, attempt: Attempt) -> None:
    parts.nursery.start_soon(
        parts.engine.cancel,
        attempt.address,
        attempt.start.stream_id,
    )


def _stream_start(
    parts: RunInputs,
    run: Run,
    placement: Placement,
) -> StreamStart:
    request = run.request
    return StreamStart(
        stream_id=f'{request.handle}.{run.attempts}',
        request_key=request.handle,
        attempt=run.attempts,
        holder=parts.name,
        incarnation=parts.incarnation,
        expires_in_seconds=request.deadline - trio.current_time(),
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=placement.priority,
        start_offset=run.offset,
        delivered=run.delivered,
        group=tuple(
            EngineHold(
                address=str(member.endpoint.address),
                hold_id=member.hold_id,
            )
            for member in placement.group
        ),
        journal_key=f'{request.account}/{request.key}',
    )


def _placement_request(
    run: Run,
    course: _Course,
    trial: GuardedAttempt,
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
        excluded=trial.extend_excluded(course.excluded),
        isolated=trial.isolated,
    )


def _final_failure(
    budget: RetryBudget,
    run: Run,
    failure: Failure,
) -> Failure | None:
    told = replace(failure, verdict=run.verdict)
    if failure.reason in _FINAL_REASONS:
        return told
    if _may_not_repeat(run):
        return told
    if run.attempts >= ATTEMPT_LIMIT:
        return _come_back(told)
    if not budget.spend():
        return _come_back(replace(told, reason=Reason.RETRY_BUDGET))
    return None


def _may_not_repeat(run: Run) -> bool:
    if run.request.repeatable:
        return False
    return run.verdict is not Verdict.NOT_RUN


def _never_ran(failure: Failure) -> bool:
    return failure.verdict is Verdict.NOT_RUN


def _exclude(course: _Course, placement: Placement, failure: Failure) -> None:
    if failure.reason in _EXCLUDING_REASONS:
        course.excluded = (*course.excluded, placement.endpoint.name)


def _release_kind(outcome: Result[RunEnd, Failure]) -> AttemptOutcome:
    if outcome.is_ok():
        return AttemptOutcome.FINISHED
    return _RELEASES.get(outcome.error.reason, AttemptOutcome.CRASHED)


def _too_late(run: Run) -> Failure:
    return Failure(
        verdict=run.verdict,
        reason=Reason.DEADLINE,
        detail='the deadline passed',
        retry_after_seconds=OVERLOAD_RETRY_AFTER_SECONDS,
    )


def _come_back(failure: Failure) -> Failure:
    if failure.retry_after_seconds is not None:
        return failure
    return replace(failure, retry_after_seconds=OVERLOAD_RETRY_AFTER_SECONDS)
