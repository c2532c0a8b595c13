"""Brings opaque requests to an answer or a clear failure in their time.

The entry that took a request in owns it: its deadline, its attempts, what is
known of whether it has run, and its stream. One attempt is under way at a
time. When the caller leaves, the attempt ends at once.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field, replace

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.attempts import Answer, Sending
from limpetdrift.coordination.eventrelay import StreamEvent, whole_events
from limpetdrift.coordination.retrying import (
    attempt_seconds,
    is_failure_of_endpoint,
    may_repeat,
    pause_seconds,
    start_seconds,
)
from limpetdrift.logs import note
from limpetdrift.protocol.routetable import WorkKind
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.protocol.work import ListedEndpoint, Placement, Work
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.transport.messages import OK, Response
from limpetdrift.transport.server import Exchange

# Bounds the search where nobody listens; such tries reach no endpoint.
TRY_LIMIT = 6
RETRY_PAUSE_SECONDS = 0.01
_JITTER = (0.5, 1.5)
_GONE_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

Identity = tuple[str, int]
Place = Callable[
    [Work, frozenset[Identity]],
    Awaitable[Result[Placement, Failure]],
]
# Ends a placement; the last argument lists endpoints that failed it.
Release = Callable[[Work, Placement, Iterable[ListedEndpoint]], None]
# Sets the memory of a placement aside while it is entered; raises
# ``FailureError`` where it is taken.
Holding = Callable[[Placement], AbstractAsyncContextManager[Placement]]
Outcome = Result[None, Failure]


@dataclass(frozen=True, kw_only=True)
class ForwardingParts:
    """What the forwarder is given by the rest of the entry.

    ``check`` returns why a request may not be sent now, if it may not;
    ``render`` turns a failure into the answer that a caller gets.
    """

    place: Place
    release: Release
    hold: Holding
    send: Sending
    check: Callable[[Work], Failure | None]
    render: Callable[[Failure], Response]
    view: EndpointView
    budget: RetryBudget
    clock: Callable[[], float]
    randomness: random.Random


@dataclass(kw_only=True, slots=True)
class _Course:
    """How far one request has come, and what is known of it."""

    work: Work
    exchange: Exchange
    tries: int = 0
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    excluded: set[Identity] = field(default_factory=set)
    failed: list[ListedEndpoint] = field(default_factory=list)
    last_event: int | None = None
    has_head: bool = False
    is_gone: bool = False
    endpoint_answer: Response | None = None


class Forwarder:
    """Serves requests, each in the task of its connection."""

    def __init__(self, *, parts: ForwardingParts) -> None:
        self._parts = parts

    async def serve(self, work: Work, exchange: Exchange) -> None:
        """Answer one request."""
        self._parts.budget.earn()
        course = _Course(
            work=work,
            exchange=exchange,
            last_event=work.last_event_id,
        )
        failure = await self._run(course)
        took = self._parts.clock() - work.arrived_at
        telemetry.observe('request_seconds', took, kind=work.route.kind)
        if course.is_gone:
            telemetry.count('requests', outcome='caller-left')
            return
        if failure is None:
            telemetry.count('requests', outcome='served')
            return
        await self._finish(course, failure)

    async def _run(self, course: _Course) -> Failure | None:
        failure: Failure | None = None
        left = self._left(course)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, course, nursery.cancel_scope)
            with trio.move_on_after(max(0, left)) as limit:
                failure = await self._drive(course)
            if limit.cancelled_caught:
                failure = Failure(
                    verdict=course.verdict,
                    reason=Reason.DEADLINE,
                    detail='the deadline passed',
                )
            nursery.cancel_scope.cancel()
        return failure

    async def _drive(self, course: _Course) -> Failure | None:
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

    def _goes_on(self, course: _Course, failure: Failure) -> bool:
        work = course.work
        if course.tries >= TRY_LIMIT:
            return False
        again = may_repeat(
            work.route,
            failure,
            attempts=course.attempts,
            seconds_left=self._left(course),
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
        )
        return True

    async def _attempt(self, course: _Course) -> Outcome:
        course.tries += 1
        blocked = self._parts.check(course.work)
        if blocked is not None:
            return Error(blocked)
        placed = await self._parts.place(
            course.work,
            frozenset(course.excluded),
        )
        if placed.is_error():
            return placed.map(lambda placement: None)
        placement = placed.ok
        course.failed = []
        try:
            return await self._hold_and_send(course, placement)
        finally:
            self._parts.release(course.work, placement, course.failed)

    async def _hold_and_send(
        self,
        course: _Course,
        placement: Placement,
    ) -> Outcome:
        earlier = course.verdict
        course.excluded.add(placement.endpoint.identity)
        try:
            async with self._parts.hold(placement) as held:
                outcome = await self._send(course, held)
        except FailureError as error:
            outcome = Error(error.failure)
        if outcome.is_error():
            self._note_failure(course, placement, outcome.error)
            if outcome.error.verdict is Verdict.NOT_RUN:
                course.verdict = earlier
        return outcome

    async def _send(self, course: _Course, placement: Placement) -> Outcome:
        # Setting memory aside took time, in which keys may have gone.
        blocked = self._parts.check(course.work)
        if blocked is not None:
            return Error(blocked)
        if not self._parts.view.is_usable(placement.endpoint):
            return Error(not_run(Reason.ENDPOINT_LEAVING))
        course.verdict = Verdict.MAY_HAVE_RUN
        course.attempts += 1
        if course.work.route.kind is WorkKind.STREAMING:
            return await self._send_stream(course, placement)
        limit = attempt_seconds(
            course.work.route,
            attempts=course.attempts - 1,
            seconds_left=self._left(course),
        )
        with trio.move_on_after(limit):
            async with self._open(course, placement) as answer:
                return await self._pass_whole(course, answer)
        return Error(may_have_run(Reason.SILENT, 'no answer in time'))

    def _open(
        self,
        course: _Course,
        placement: Placement,
    ) -> AbstractAsyncContextManager[Answer]:
        return self._parts.send(
            course.work,
            placement,
            self._left(course),
            course.last_event,
        )

    async def _send_stream(
        self,
        course: _Course,
        placement: Placement,
    ) -> Outcome:
        work = course.work
        limit = start_seconds(
            work.route,
            attempts=course.attempts - 1,
            read_seconds=placement.read_seconds,
            seconds_left=self._left(course),
        )
        with trio.move_on_after(limit) as watch:
            async with self._open(course, placement) as answer:
                if answer.refused or answer.status != OK:
                    return await self._pass_whole(course, answer)
                await self._pass_events(course, answer, watch)
                return Ok(None)
        return Error(may_have_run(Reason.SILENT, 'no event in time'))

    async def _pass_events(
        self,
        course: _Course,
        answer: Answer,
        watch: trio.CancelScope,
    ) -> None:
        if answer.foreign:
            raise FailureError(may_have_run(Reason.BAD_ANSWER, 'foreign'))
        async for event in whole_events(
            answer.chunks(),
            framed=answer.framed,
        ):
            watch.deadline = float('inf')
            await _deliver(course, answer, event)
            watch.deadline = trio.current_time() + pause_seconds(
                course.work.route,
                attempts=course.attempts,
                seconds_left=self._left(course),
            )
        watch.deadline = float('inf')
        if not course.has_head:
            await _send_head(course, answer)
        await course.exchange.finish()

    async def _pass_whole(self, course: _Course, answer: Answer) -> Outcome:
        """Deliver an answer once it is here as a whole."""
        if answer.refused:
            return Error(_refusal(answer))
        body = b''.join([chunk async for chunk in answer.chunks()])
        if answer.foreign:
            return Error(may_have_run(Reason.BAD_ANSWER, 'foreign answer'))
        response = Response(
            status=answer.status,
            headers=answer.headers,
            body=body,
        )
        if course.has_head:
            return Error(may_have_run(Reason.ENDPOINT_FAILED, 'no stream'))
        if is_failure_of_endpoint(course.work.route, answer.status):
            course.endpoint_answer = response
            return Error(
                Failure(
                    verdict=Verdict.RAN,
                    reason=Reason.ENDPOINT_FAILED,
                    detail=f'status {answer.status}',
                ),
            )
        await course.exchange.respond(response)
        return Ok(None)

    def _note_failure(
        self,
        course: _Course,
        placement: Placement,
        failure: Failure,
    ) -> None:
        if failure.reason is Reason.CONNECT_FAILED and course.attempts:
            # Nobody listened, so no endpoint got the request.
            course.attempts -= 1
        if failure.reason in _ENDPOINT_FAILURES:
            course.failed.append(placement.endpoint)
        if failure.reason is Reason.ENDPOINT_LEAVING:
            return
        telemetry.count('attempt_failures', reason=failure.reason)

    async def _finish(self, course: _Course, failure: Failure) -> None:
        """Tell the caller how its request failed."""
        work = course.work
        telemetry.count('requests', outcome=failure.reason)
        note(
            'request failed',
            id=work.request_id,
            route=work.route.name,
            account=work.account,
            reason=failure.reason,
            verdict=failure.verdict,
            detail=failure.detail,
            attempts=course.attempts,
            version=work.version,
            seconds=round(self._parts.clock() - work.arrived_at, 3),
            begun=course.has_head,
        )
        if course.has_head:
            await course.exchange.abort()
            return
        response = course.endpoint_answer
        if response is None:
            response = self._parts.render(failure)
        await course.exchange.respond(response)

    def _left(self, course: _Course) -> float:
        return course.work.deadline - self._parts.clock()


_ENDPOINT_FAILURES = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.CONNECTION_BROKEN,
        Reason.SILENT,
        Reason.BAD_ANSWER,
        Reason.ENDPOINT_FAILED,
    ),
)


async def _watch_caller(course: _Course, scope: trio.CancelScope) -> None:
    await course.exchange.wait_closed()
    course.is_gone = True
    scope.cancel()


async def _deliver(
    course: _Course,
    answer: Answer,
    event: StreamEvent,
) -> None:
    seen = course.last_event
    if event.number is not None:
        if seen is not None and event.number <= seen:
            return
        course.last_event = event.number
    if not course.has_head:
        await _send_head(course, answer)
    await course.exchange.send(event.payload)


async def _send_head(course: _Course, answer: Answer) -> None:
    course.has_head = True
    await course.exchange.start(answer.status, answer.headers)


def _refusal(answer: Answer) -> Failure:
    if answer.misdirected:
        return not_run(Reason.ENDPOINT_LEAVING, 'another process is there')
    return not_run(
        Reason.ENDPOINT_REFUSED,
        f'status {answer.status} {answer.at_fault}',
    )
