"""Brings opaque requests to an answer or a clear failure in their time.

The entry that took a request in owns it: its deadline, its attempts, what is
known of whether it has run, and its stream. One attempt is under way at a
time. When the caller leaves, the attempt ends at once.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, replace

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.delivery import (
    Identity,
    Outcome,
    RequestProgress,
    pass_events,
    pass_whole,
)
from limpetdrift.coordination.endpoint_response import EndpointResponse, Sending
from limpetdrift.coordination.retry_policy import (
    attempt_seconds,
    may_repeat,
    start_seconds,
)
from limpetdrift.logs import is_sampled, note
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
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.messages import OK, Response
from limpetdrift.transport.server import Exchange

# Bounds the search where nobody listens; such tries reach no endpoint.
TRY_LIMIT = 6
# Prompts under 2^12 tokens are one class in measurements.
_LEAST_POWER = 12
RETRY_PAUSE_SECONDS = 0.01
_JITTER = (0.5, 1.5)
_GONE_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)
_ENDPOINT_FAILURES = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.CONNECTION_BROKEN,
        Reason.IDLE_TIMEOUT,
        Reason.BAD_ANSWER,
        Reason.ENDPOINT_FAILED,
    ),
)
# Failures after which no endpoint can have got the request.
_UNREACHED = frozenset((Reason.CONNECT_FAILED, Reason.CONNECT_TIMEOUT))

PlaceRequest = Callable[
    [CallerRequest, frozenset[Identity]],
    Awaitable[Result[DispatchPlan, Failure]],
]
# Ends a placement; the last argument lists endpoints that failed it.
ReleasePlacement = Callable[
    [CallerRequest, DispatchPlan, Iterable[ListedEndpoint]], None
]
# Sets the memory of a placement aside while it is entered; raises
# ``FailureError`` where it is taken.
ReserveMemory = Callable[
    [DispatchPlan], AbstractAsyncContextManager[DispatchPlan]
]


@dataclass(frozen=True, kw_only=True)
class ForwardingInputs:
    """What the forwarder is given by the rest of the entry.

    ``check`` returns why a request may not be sent now, if it may not;
    ``render`` turns a failure into the answer that a caller gets;
    ``note_broken`` is told of connections that broke while a request ran,
    and ``note_served`` of requests that ended well.
    """

    place: PlaceRequest
    release: ReleasePlacement
    hold: ReserveMemory
    send: Sending
    check: Callable[[CallerRequest], Failure | None]
    render: Callable[[Failure], Response]
    report_broken_connection: Callable[[CallerRequest, ListedEndpoint], None]
    report_success: Callable[[CallerRequest], None]
    view: EndpointView
    budget: RetryBudget
    clock: Callable[[], float]
    randomness: random.Random


class Forwarder:
    """Serves requests, each in the task of its connection."""

    def __init__(self, *, parts: ForwardingInputs) -> None:
        self._parts = parts

    async def serve(self, work: CallerRequest, exchange: Exchange) -> None:
        """Answer one request."""
        self._parts.budget.earn()
        course = RequestProgress(
            work=work,
            exchange=exchange,
            clock=self._parts.clock,
            may_retry=lambda: self._parts.budget.has_retry,
            last_event=work.last_event_id,
            is_told=is_sampled(work.request_id),
        )
        failure = await self._run(course)
        telemetry.observe(
            'request_seconds',
            course.seconds_taken(),
            kind=work.route.kind,
        )
        if course.is_gone:
            _note_end(course, 'caller left', None)
        elif failure is None:
            _note_end(course, 'served', None)
            self._parts.report_success(work)
        else:
            _note_end(course, 'request failed', failure)
            await self._answer_failure(course, failure)

    async def _run(self, course: RequestProgress) -> Failure | None:
        failure: Failure | None = None
        limit = trio.CancelScope(
            deadline=trio.current_time() + max(0, course.seconds_left()),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, course, nursery.cancel_scope)
            with limit:
                failure = await self._drive(course)
            nursery.cancel_scope.cancel()
        if limit.cancelled_caught:
            return Failure(
                verdict=course.verdict,
                reason=Reason.DEADLINE,
                detail='the deadline passed',
            )
        return failure

    async def _drive(self, course: RequestProgress) -> Failure | None:
        """Attempt until an answer is delivered or a failure is final."""
        try:
            while True:
                outcome = await self._attempt(course)
                if outcome.is_ok():
                    return None
                failure = replace(outcome.error, verdict=course.verdict)
                if not self._goes_on(course, failure):
                    return failure
                jitter = self._parts.randomness.uniform(*_JITTER)
                await trio.sleep(RETRY_PAUSE_SECONDS * jitter)
        except _GONE_ERRORS:
            course.is_gone = True
        return None

    def _goes_on(self, course: RequestProgress, failure: Failure) -> bool:
        work = course.work
        if course.tries >= TRY_LIMIT:
            return False
        again = may_repeat(
            work.route,
            failure,
            attempts=course.attempts,
            seconds_left=course.seconds_left(),
        )
        if not again:
            return False
        if course.attempts and not self._parts.budget.spend():
            telemetry.count('refusals', reason=Reason.RETRY_BUDGET)
            return False
        telemetry.count('retries', reason=failure.reason)
        note(
            'attempt failed, trying another endpoint',
            id=work.request_id,
            reason=failure.reason,
            verdict=failure.verdict,
            detail=failure.detail,
            attempts=course.attempts,
            endpoints=[each.name for each in course.failed],
            seconds=round(course.seconds_taken(), 3),
        )
        return True

    async def _attempt(self, course: RequestProgress) -> Outcome:
        course.tries += 1
        blocked = self._check(course)
        if blocked is not None:
            return Error(blocked)
        placed = await self._parts.place(
            replace(course.work, is_begun=course.has_head),
            frozenset(course.excluded),
        )
        if placed.is_error():
            return placed.map(lambda placement: None)
        placement = placed.ok
        course.failed = []
        _note_placement(course, placement)
        try:
            return await self._hold_and_send(course, placement)
        finally:
            self._parts.release(course.work, placement, course.failed)

    async def _hold_and_send(
        self,
        course: RequestProgress,
        placement: DispatchPlan,
    ) -> Outcome:
        earlier = course.verdict
        course.excluded.add(placement.endpoint.identity)
        try:
            # Engines read what comes last first, so it comes when they are
            # free.
            await trio.sleep(placement.delay_seconds)
            async with self._parts.hold(placement) as held:
                outcome = await self._send(course, held)
        except FailureError as error:
            outcome = Error(error.failure)
        if outcome.is_error():
            _note_failure(course, placement, outcome.error)
            if outcome.error.reason is Reason.ENDPOINT_LEAVING:
                self._parts.view.mark_leaving(placement.endpoint, 'answer')
            if outcome.error.reason is Reason.CONNECTION_BROKEN:
                self._parts.report_broken_connection(
                    course.work, placement.endpoint
                )
            if outcome.error.verdict is Verdict.NOT_RUN:
                course.verdict = earlier
        return outcome

    async def _send(
        self, course: RequestProgress, placement: DispatchPlan
    ) -> Outcome:
        # Setting memory aside took time, in which keys may have gone.
        blocked = self._check(course)
        if blocked is not None:
            return Error(blocked)
        if not self._parts.view.is_usable(placement.endpoint):
            return Error(not_run(Reason.ENDPOINT_REFUSED, 'not listed now'))
        course.verdict = Verdict.MAY_HAVE_RUN
        course.attempts += 1
        if course.tries == 1:
            telemetry.observe(
                'queue_seconds',
                course.seconds_taken(),
                kind=course.work.route.kind,
            )
        if course.work.route.kind is RequestKind.STREAMING:
            return await self._send_stream(course, placement)
        limit = attempt_seconds(
            course.work.route,
            attempts=course.attempts - 1,
            seconds_left=course.seconds_left(),
        )
        with trio.move_on_after(limit) as watch:
            async with self._open(course, placement) as answer:
                return await pass_whole(course, answer, watch)
        return Error(may_have_run(Reason.IDLE_TIMEOUT, 'no answer in time'))

    async def _send_stream(
        self,
        course: RequestProgress,
        placement: DispatchPlan,
    ) -> Outcome:
        limit = start_seconds(
            course.work.route,
            attempts=course.attempts - 1,
            read_seconds=placement.read_seconds - placement.delay_seconds,
            seconds_left=course.seconds_left(),
        )
        with trio.move_on_after(limit) as watch:
            async with self._open(course, placement) as answer:
                if answer.refused or answer.status != OK:
                    return await pass_whole(course, answer, watch)
                await pass_events(course, answer, watch)
                return Ok(None)
        return Error(may_have_run(Reason.IDLE_TIMEOUT, 'no event in time'))

    def _check(self, course: RequestProgress) -> Failure | None:
        """Return why the request may not be sent; a begun stream goes on."""
        return None if course.has_head else self._parts.check(course.work)

    def _open(
        self,
        course: RequestProgress,
        placement: DispatchPlan,
    ) -> AbstractAsyncContextManager[EndpointResponse]:
        return self._parts.send(
            course.work,
            placement,
            course.seconds_left(),
            course.last_event,
        )

    async def _answer_failure(
        self, course: RequestProgress, failure: Failure
    ) -> None:
        """Tell the caller how its request failed."""
        if course.exchange.started:
            # What was written last may have been cut off by the deadline.
            await course.exchange.abort()
            return
        response = course.endpoint_answer
        if response is None:
            response = self._parts.render(failure)
        await course.exchange.respond(response)


def size_label(work: CallerRequest) -> str:
    """Return the class of prompt lengths, which labels measurements.

    Classes grow fourfold from one to the next, so they are few.
    """
    if work.size is None:
        return 'unknown'
    power = max(_LEAST_POWER, work.size.prompt_tokens.bit_length())
    limit = 1 << (power + power % 2)
    return f'under-{limit}'


async def _watch_caller(
    course: RequestProgress, scope: trio.CancelScope
) -> None:
    await course.exchange.wait_closed()
    course.is_gone = True
    scope.cancel()


def _note_failure(
    course: RequestProgress,
    placement: DispatchPlan,
    failure: Failure,
) -> None:
    telemetry.count('attempt_failures', reason=failure.reason)
    if failure.reason in _UNREACHED and course.attempts:
        course.attempts -= 1
    if failure.reason in _ENDPOINT_FAILURES:
        course.failed.append(placement.endpoint)


def _note_placement(course: RequestProgress, placement: DispatchPlan) -> None:
    if placement.helpers:
        course.is_told = True
    if not course.is_told:
        return
    note(
        'placed',
        id=course.work.request_id,
        endpoint=placement.endpoint.name,
        helpers=[each.endpoint.name for each in placement.helpers],
        reserved=[tokens for _, tokens in placement.reserved],
        prompt_tokens=course.work.size and course.work.size.prompt_tokens,
        read_seconds=round(placement.read_seconds, 3),
        grant=placement.grant,
        version=course.work.version,
        seconds=round(course.seconds_taken(), 3),
    )


def _note_end(
    course: RequestProgress,
    message: str,
    failure: Failure | None,
) -> None:
    """Log how a request ended: each failure, and a sample of the rest."""
    work = course.work
    outcome = failure.reason if failure else message.replace(' ', '-')
    telemetry.count('requests', outcome=outcome)
    first = None
    if course.first_event_at is not None:
        first = round(course.first_event_at - work.arrived_at, 3)
        telemetry.observe('first_event_seconds', first, size=size_label(work))
    if failure is None and not course.is_told:
        return
    note(
        message,
        id=work.request_id,
        route=work.route.name,
        account=work.account,
        reason=failure and failure.reason,
        verdict=failure and failure.verdict,
        detail=failure and failure.detail,
        attempts=course.attempts,
        version=work.version,
        first_event_seconds=first,
        seconds=round(course.seconds_taken(), 3),
        begun=course.has_head,
    )
