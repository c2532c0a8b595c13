"""Forwards opaque requests, with retries, to an answer or a clear failure.

The entry that accepted a request owns it: its deadline, its attempts, the
verdict on whether it has run, and its stream. Attempts run one at a time,
except while an endpoint is silent: it may only pause, so its attempt goes on
beside one elsewhere. When the caller disconnects, all attempts end at once.
"""

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, replace

import trio
from absl import logging
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.crash_guard import (
    HARMLESS_ANSWER_SECONDS,
    BrokenAttempt,
)
from limpetdrift.coordination.forwarding.attempt_race import (
    AttemptRace,
    Outcome,
    RacingAttempt,
)
from limpetdrift.coordination.forwarding.delivery import (
    EndpointIdentity,
    RequestProgress,
    relay_events,
    relay_response,
)
from limpetdrift.coordination.forwarding.endpoint_response import SendRequest
from limpetdrift.coordination.forwarding.request_logs import (
    log_cut_answer,
    log_end,
    log_placement,
    log_retry,
)
from limpetdrift.coordination.forwarding.retry_policy import (
    attempt_timeout_seconds,
    first_event_timeout_seconds,
    may_repeat,
)
from limpetdrift.logs import is_sampled
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import ANSWER_SOURCE, EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.messages import OK, Response
from limpetdrift.transport.server import Exchange

# Placements per request. This bounds the search when endpoints refuse
# connections, which does not count against the route's attempt limit.
PLACEMENT_LIMIT = 6
RETRY_INTERVAL_SECONDS = 0.01
# First interval between tries elsewhere while an attempt stays silent.
SILENT_RETRY_INTERVAL_SECONDS = 0.5
# Bounds of the random factor of each retry interval.
_RETRY_JITTER = (0.5, 1.5)
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

PlaceRequest = Callable[
    [CallerRequest, frozenset[EndpointIdentity]],
    Awaitable[Result[DispatchPlan, Failure]],
]
# Ends a placement; the last argument lists the endpoints that failed it.
ReleasePlacement = Callable[
    [CallerRequest, DispatchPlan, Iterable[ListedEndpoint]], None
]
# Returns what to use now in place of a tentative placement whose delay is over;
# it may have a further delay. The failure refuses the request.
ConfirmPlacement = Callable[
    [CallerRequest, DispatchPlan], Awaitable[Result[DispatchPlan, Failure]]
]
# Reserves a placement's memory while the context is open; raises
# ``FailureError`` if the memory is taken.
ReserveMemory = Callable[
    [DispatchPlan], AbstractAsyncContextManager[DispatchPlan]
]
# Holds other requests like one back, if that may crash endpoints, while the
# context is open. The arguments are the request and the endpoints that it has
# tried; the value adds those that it may not use. Raises ``FailureError``.
IsolateAttempt = Callable[
    [CallerRequest, frozenset[EndpointIdentity]],
    AbstractAsyncContextManager[frozenset[EndpointIdentity]],
]


@asynccontextmanager
async def run_at_once(
    request: CallerRequest, tried: frozenset[EndpointIdentity]
) -> AsyncIterator[frozenset[EndpointIdentity]]:
    """Run an attempt without isolation, at endpoints that it has not tried."""
    yield tried


async def keep_placement(
    request: CallerRequest, placement: DispatchPlan
) -> Result[DispatchPlan, Failure]:
    """Use a tentative placement as it is."""
    await trio.lowlevel.checkpoint()
    return Ok(placement.as_due())


@dataclass(frozen=True, kw_only=True)
class ForwardingInputs:
    """What the rest of the entry provides to the forwarder.

    ``check`` returns the failure for a request that must not be sent now, else
    ``None``.
    ``render`` turns a failure into the response to the caller.
    ``report_broken_connection`` is called when a connection breaks while an
    attempt runs, and ``report_harmless`` when an endpoint has answered a
    request, or has done so for a while. ``isolate`` waits until an attempt may
    be placed, and yields the endpoints that it may not use; ``is_suspected``
    returns whether a request may crash endpoints, and ``is_cut_off`` whether a
    peer has to pass it on since this entry does not reach its service.
    ``report_silence`` is called when an endpoint has not begun to answer in
    time. ``confirm`` is called for tentative placements only.
    """

    place: PlaceRequest
    release: ReleasePlacement
    reserve_memory: ReserveMemory
    send: SendRequest
    check: Callable[[CallerRequest], Failure | None]
    render: Callable[[Failure], Response]
    report_broken_connection: Callable[[BrokenAttempt], None]
    report_harmless: Callable[[CallerRequest], None]
    view: EndpointView
    budget: RetryBudget
    clock: Callable[[], float]
    randomness: random.Random
    isolate: IsolateAttempt = run_at_once
    is_suspected: Callable[[CallerRequest], bool] = lambda request: False
    is_cut_off: Callable[[CallerRequest], bool] = lambda request: False
    report_silence: Callable[[ListedEndpoint], None] = lambda endpoint: None
    confirm: ConfirmPlacement = keep_placement


class Forwarder:
    """Serves requests, each in the task of its caller's connection."""

    def __init__(self, *, inputs: ForwardingInputs) -> None:
        self._inputs = inputs

    async def serve(self, request: CallerRequest, exchange: Exchange) -> None:
        """Answer one request."""
        self._inputs.budget.earn()
        progress = RequestProgress(
            request=request,
            exchange=exchange,
            clock=self._inputs.clock,
            may_retry=lambda: self._inputs.budget.has_retry,
            on_event=_make_harmless_reporter(
                self._inputs.report_harmless, request
            ),
            last_event=request.last_event_id,
            is_logged=is_sampled(request.request_id),
        )
        failure = await self._run(progress)
        telemetry.observe(
            'request_seconds',
            progress.seconds_elapsed(),
            kind=request.route.kind,
        )
        if progress.has_caller_left:
            log_end(progress, 'caller left', None)
        elif failure is None:
            log_end(progress, 'served', None)
            self._inputs.report_harmless(request)
        else:
            log_end(progress, 'request failed', failure)
            await self._answer_failure(progress, failure)

    async def _run(self, progress: RequestProgress) -> Failure | None:
        race = AttemptRace()
        failure: Failure | None = None
        deadline_scope = trio.CancelScope(
            deadline=trio.current_time() + max(0, progress.seconds_left()),
        )
        async with trio.open_nursery() as nursery:

            def start_attempt() -> None:
                nursery.start_soon(self._run_attempt, progress, race.start())

            nursery.start_soon(
                _cancel_on_disconnect, progress, race, nursery.cancel_scope
            )
            with deadline_scope:
                failure = await self._supervise(progress, race, start_attempt)
            nursery.cancel_scope.cancel()
        if race.is_answered:
            # The deadline may pass while the attempts clean up.
            return None
        if deadline_scope.cancelled_caught:
            return Failure(
                verdict=progress.verdict,
                reason=Reason.DEADLINE,
                detail='the deadline passed',
            )
        return failure

    async def _supervise(
        self,
        progress: RequestProgress,
        race: AttemptRace,
        start_attempt: Callable[[], None],
    ) -> Failure | None:
        """Start attempts until an answer is delivered or a failure is final."""
        start_attempt()
        while True:
            outcome = await race.wait()
            if outcome is None:
                if self._schedule_try_beside(progress, race):
                    start_attempt()
                continue
            if outcome.is_ok():
                return None
            if race.has_contender:
                continue
            failure = replace(outcome.error, verdict=progress.verdict)
            if not self._may_retry(progress, failure):
                return failure
            jitter = self._inputs.randomness.uniform(*_RETRY_JITTER)
            await trio.sleep(RETRY_INTERVAL_SECONDS * jitter)
            start_attempt()

    async def _run_attempt(
        self, progress: RequestProgress, attempt: RacingAttempt
    ) -> None:
        outcome: Outcome | None = None
        try:
            with attempt.scope:
                outcome = await self._attempt(progress, attempt)
        except Exception as error:
            outcome = _outcome_of_error(progress, attempt, error)
        finally:
            attempt.race.end(attempt, outcome)

    def _schedule_try_beside(
        self, progress: RequestProgress, race: AttemptRace
    ) -> bool:
        """Return whether to try another endpoint now, beside a silent attempt.

        Sets the time of the next such try; its interval doubles each time.
        """
        silent = race.silent_attempt()
        if silent is None:
            return False
        if self._inputs.is_suspected(progress.request):
            silent.expect_answer_within(SILENT_RETRY_INTERVAL_SECONDS)
            return False
        if not silent.is_silent:
            silent.is_silent = True
            telemetry.count('attempts_silent')
            if not silent.events:
                self._inputs.report_silence(silent.endpoint)
        interval = SILENT_RETRY_INTERVAL_SECONDS * 2**silent.tries_beside
        silent.tries_beside += 1
        silent.expect_answer_within(interval)
        return self._may_retry(
            progress, may_have_run(Reason.IDLE_TIMEOUT, 'no answer in time')
        )

    def _may_retry(self, progress: RequestProgress, failure: Failure) -> bool:
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
        is_retry = progress.attempts and not self._inputs.is_cut_off(request)
        if is_retry and not self._inputs.budget.has_retry:
            telemetry.count('refusals', reason=Reason.RETRY_BUDGET)
            return False
        telemetry.count('retries', reason=failure.reason)
        log_retry(progress, failure)
        return True

    async def _attempt(
        self, progress: RequestProgress, attempt: RacingAttempt
    ) -> Outcome:
        progress.placements += 1
        try:
            async with self._inputs.isolate(
                progress.request, frozenset(progress.excluded)
            ) as excluded:
                return await self._place_and_send(progress, attempt, excluded)
        except FailureError as error:
            return Error(error.failure)

    async def _place_and_send(
        self,
        progress: RequestProgress,
        attempt: RacingAttempt,
        excluded: frozenset[EndpointIdentity],
    ) -> Outcome:
        refusal = self._check(progress)
        if refusal is not None:
            return Error(refusal)
        placed = await self._inputs.place(
            replace(progress.request, is_begun=progress.is_head_sent),
            excluded,
        )
        if placed.is_error():
            _forget_refused_try(progress, attempt)
            return placed.map(lambda placement: None)
        attempt.use(placed.ok)
        log_placement(progress, placed.ok)
        try:
            return await self._wait_and_send(progress, attempt)
        finally:
            _record_end(progress, attempt)
            self._inputs.release(
                progress.request, attempt.placement, attempt.failed
            )

    async def _wait_and_send(
        self, progress: RequestProgress, attempt: RacingAttempt
    ) -> Outcome:
        """Send a request once its engines are expected to be free.

        Engines prefill the newest prompt first, so it must not be sent before.
        """
        while True:
            if attempt.race.is_used_by_other(attempt):
                _forget_refused_try(progress, attempt)
                return Error(not_run(Reason.NO_ENDPOINT, 'no other endpoint'))
            placement = attempt.placement
            progress.excluded.add(placement.endpoint.identity)
            await trio.sleep(placement.delay_seconds)
            if not placement.is_tentative:
                return await self._reserve_and_send(
                    progress, attempt, placement
                )
            # Nothing was sent to the endpoint, so it may be tried again.
            progress.excluded.discard(placement.endpoint.identity)
            confirmed = await self._inputs.confirm(progress.request, placement)
            if confirmed.is_error():
                return confirmed.map(lambda unused: None)
            attempt.use(confirmed.ok)
            log_placement(progress, confirmed.ok)

    async def _reserve_and_send(
        self,
        progress: RequestProgress,
        attempt: RacingAttempt,
        placement: DispatchPlan,
    ) -> Outcome:
        try:
            async with self._inputs.reserve_memory(placement) as reserved:
                outcome = await self._send(progress, attempt, reserved)
        except FailureError as error:
            outcome = Error(error.failure)
        if outcome.is_error():
            _record_failure(progress, attempt, outcome.error)
            if outcome.error.reason is Reason.ENDPOINT_LEAVING:
                self._inputs.view.mark_leaving(
                    placement.endpoint, ANSWER_SOURCE
                )
            is_broken = outcome.error.reason is Reason.CONNECTION_BROKEN
            # An order that breaks off has not sent the request.
            if is_broken and attempt.is_sent and not placement.is_carried:
                self._inputs.report_broken_connection(
                    BrokenAttempt(
                        request=progress.request,
                        endpoint=placement.endpoint,
                        seconds=trio.current_time() - attempt.sent_at,
                        events=attempt.events,
                        answer_seconds=attempt.answer_seconds(),
                    )
                )
        return outcome

    async def _send(
        self,
        progress: RequestProgress,
        attempt: RacingAttempt,
        placement: DispatchPlan,
    ) -> Outcome:
        # The caller's key may have been revoked during the reservation.
        refusal = self._check(progress)
        if refusal is not None:
            return Error(refusal)
        is_carried = placement.is_carried
        if not (is_carried or self._inputs.view.is_usable(placement.endpoint)):
            return Error(not_run(Reason.ENDPOINT_REFUSED, 'not listed now'))
        is_retry = progress.attempts > 0 and not is_carried
        if is_retry and not self._inputs.budget.spend():
            return Error(not_run(Reason.RETRY_BUDGET, 'no retry is left'))
        attempt.mark_sent()
        progress.unproven += 1
        progress.attempts += 1
        if progress.placements == 1:
            telemetry.observe(
                'queue_seconds',
                progress.seconds_elapsed(),
                kind=progress.request.route.kind,
            )
        attempt.expect_answer_within(
            _answer_timeout_seconds(progress, placement)
        )
        async with self._inputs.send(
            progress.request,
            placement,
            progress.seconds_left(),
            progress.last_event,
        ) as answer:
            is_stream = progress.request.route.kind is RequestKind.STREAMING
            if not is_stream or answer.refused or answer.status != OK:
                return await relay_response(progress, answer, attempt)
            await relay_events(progress, answer, attempt)
            return Ok(None)

    def _check(self, progress: RequestProgress) -> Failure | None:
        """Return the failure if the request must not be sent, else ``None``.

        A stream whose head was sent to the caller is exempt: it is not checked
        again, so that later attempts can continue it.
        """
        return (
            None
            if progress.is_head_sent
            else self._inputs.check(progress.request)
        )

    async def _answer_failure(
        self, progress: RequestProgress, failure: Failure
    ) -> None:
        """Send the failure to the caller."""
        if progress.exchange.started:
            log_cut_answer(progress, failure)
            # The deadline may have cut off the last write.
            await progress.exchange.abort()
            return
        response = progress.endpoint_answer
        if response is None:
            response = self._inputs.render(failure)
        await progress.exchange.respond(response)


def _make_harmless_reporter(
    report: Callable[[CallerRequest], None], request: CallerRequest
) -> Callable[[RacingAttempt], None]:
    """Return the function that reports once that a request is harmless."""
    pending = [request]

    def on_event(attempt: RacingAttempt) -> None:
        if pending and attempt.answer_seconds() >= HARMLESS_ANSWER_SECONDS:
            report(pending.pop())

    return on_event


async def _cancel_on_disconnect(
    progress: RequestProgress, race: AttemptRace, scope: trio.CancelScope
) -> None:
    await progress.exchange.wait_closed()
    progress.has_caller_left = not race.is_answered
    scope.cancel()


def _outcome_of_error(
    progress: RequestProgress, attempt: RacingAttempt, error: Exception
) -> Outcome:
    """Return how an attempt ended that raised an error.

    Once it writes to the caller, a broken stream means that the caller has
    left; any other error is raised again.
    """
    if not attempt.has_written:
        # Another attempt may still answer.
        logging.exception('attempt failed')
        return Error(may_have_run(Reason.INTERNAL, 'attempt failed'))
    if isinstance(error, _DISCONNECT_ERRORS):
        progress.has_caller_left = True
        return Ok(None)
    raise error


def _answer_timeout_seconds(
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


def _forget_refused_try(
    progress: RequestProgress, attempt: RacingAttempt
) -> None:
    """Take a refused try off the count if another attempt is under way.

    Tries during a silence would leave none for a failure after it.
    """
    if attempt.race.has_other_contender(attempt):
        progress.placements -= 1


def _record_failure(
    progress: RequestProgress,
    attempt: RacingAttempt,
    failure: Failure,
) -> None:
    telemetry.count('attempt_failures', reason=failure.reason)
    if attempt.is_sent and failure.verdict is Verdict.NOT_RUN:
        progress.unproven -= 1
    if attempt.is_sent and failure.reason in _UNREACHED_REASONS:
        progress.attempts -= 1
    if failure.reason in _ENDPOINT_FAILURE_REASONS:
        attempt.failed.append(attempt.endpoint)


def _record_end(progress: RequestProgress, attempt: RacingAttempt) -> None:
    """Record an endpoint that is silent to the end as failed.

    One that was only slower than another may be used again.
    """
    if attempt.is_silent and attempt.endpoint not in attempt.failed:
        telemetry.count('attempt_failures', reason=Reason.IDLE_TIMEOUT)
        attempt.failed.append(attempt.endpoint)
    elif attempt.is_cancelled and not attempt.is_silent:
        progress.excluded.discard(attempt.endpoint.identity)
