"""Forwards opaque requests, with retries, to an answer or a clear failure.

The entry that accepted a request owns it: its deadline, its attempts, the
verdict on whether it has run, and its stream. Attempts run one at a time,
except while an endpoint is silent: it may only pause, so its attempt goes on
beside one elsewhere. When the caller disconnects, all attempts end at once.
"""

from collections.abc import Callable
from dataclasses import replace

import trio
from expression import Error, Ok

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.crash_guard import (
    BrokenAttempt,
)
from limpetdrift.coordination.forwarding.attempt_outcomes import (
    answer_timeout_seconds,
    forget_refused_try,
    make_harmless_reporter,
    outcome_of_error,
    record_end,
    record_failure,
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
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.forwarding.request_logs import (
    log_cut_answer,
    log_end,
    log_placement,
)
from limpetdrift.coordination.forwarding.retry_decisions import (
    may_retry,
    schedule_try_beside,
)
from limpetdrift.coordination.forwarding.retry_policy import (
    unused_memory_timeout_seconds,
)
from limpetdrift.logs import is_sampled
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
)
from limpetdrift.state.endpoint_view import ANSWER_SOURCE
from limpetdrift.transport.messages import OK
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

RETRY_INTERVAL_SECONDS = 0.01
# Bounds of the random factor of each retry interval.
_RETRY_JITTER = (0.5, 1.5)


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
            on_event=make_harmless_reporter(
                self._inputs.report_harmless, request
            ),
            attempts=request.prior_attempts,
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
        if race.is_answered or progress.exchange.is_whole:
            # The deadline may pass while the attempts clean up, or while an
            # answer is written to a caller that reads slowly.
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
                if schedule_try_beside(self._inputs, progress, race):
                    start_attempt()
                continue
            if outcome.is_ok():
                return None
            if race.has_contender:
                continue
            failure = replace(outcome.error, verdict=progress.verdict)
            if not may_retry(self._inputs, progress, failure):
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
            outcome = outcome_of_error(progress, attempt, error)
        finally:
            attempt.race.end(attempt, outcome)

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
            forget_refused_try(progress, attempt)
            return placed.map(lambda placement: None)
        attempt.use(placed.ok)
        log_placement(progress, placed.ok)
        try:
            return await self._wait_and_send(progress, attempt)
        finally:
            record_end(progress, attempt)
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
            placement = attempt.placement
            # A peer may choose another endpoint for a second attempt.
            is_at_peer = placement.is_carried
            if not is_at_peer and attempt.race.is_used_by_other(attempt):
                forget_refused_try(progress, attempt)
                return Error(not_run(Reason.NO_ENDPOINT, 'no other endpoint'))
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
        if placement.reserved:
            attempt.bound_unused_memory(
                unused_memory_timeout_seconds(
                    placement.read_seconds - placement.delay_seconds
                )
            )
        # If the memory stays unused.
        outcome: Outcome = Error(
            may_have_run(Reason.IDLE_TIMEOUT, 'reserved memory was not used')
        )
        try:
            with attempt.memory_scope:
                async with self._inputs.reserve_memory(placement) as reserved:
                    outcome = await self._send(progress, attempt, reserved)
        except FailureError as error:
            outcome = Error(error.failure)
        if outcome.is_error():
            record_failure(progress, attempt, outcome.error)
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
            answer_timeout_seconds(progress, placement)
        )
        prior_attempts = progress.attempts - 1
        async with self._inputs.send(
            replace(progress.request, prior_attempts=prior_attempts),
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


async def _cancel_on_disconnect(
    progress: RequestProgress, race: AttemptRace, scope: trio.CancelScope
) -> None:
    await progress.exchange.wait_closed()
    progress.has_caller_left = not race.is_answered
    scope.cancel()
