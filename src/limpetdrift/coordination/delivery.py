"""Passes an endpoint's answer on to the caller of a request."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.endpoint_response import EndpointResponse
from limpetdrift.coordination.event_relay import StreamEvent, whole_events
from limpetdrift.coordination.retry_policy import (
    is_failure_of_endpoint,
    stream_idle_timeout_seconds,
)
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.protocol.work import CallerRequest, ListedEndpoint
from limpetdrift.transport.messages import Response
from limpetdrift.transport.server import Exchange

Identity = tuple[str, int]
Outcome = Result[None, Failure]


@dataclass(kw_only=True, slots=True)
class RequestProgress:
    """How far one request has come, and what is known of it.

    ``tries`` counts placements, ``attempts`` those that reached an endpoint.
    ``last_event`` is the last one that the caller has of a stream, and
    ``endpoint_answer`` a failure that an endpoint gave. ``is_told`` says
    that the log tells of the request though it goes well. ``may_retry``
    returns whether the budget has a retry left.
    """

    work: CallerRequest
    exchange: Exchange
    clock: Callable[[], float]
    may_retry: Callable[[], bool]
    tries: int = 0
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    excluded: set[Identity] = field(default_factory=set)
    failed: list[ListedEndpoint] = field(default_factory=list)
    last_event: int | None = None
    first_event_at: float | None = None
    has_head: bool = False
    is_gone: bool = False
    is_told: bool = False
    endpoint_answer: Response | None = None

    def seconds_left(self) -> float:
        """Return the time to the deadline."""
        return self.work.deadline - self.clock()

    def seconds_taken(self) -> float:
        """Return the time since the request came."""
        return self.clock() - self.work.arrived_at


async def pass_whole(
    course: RequestProgress,
    answer: EndpointResponse,
    watch: trio.CancelScope,
) -> Outcome:
    """Deliver an answer once it is here as a whole.

    ``watch`` is the scope that ends the attempt when it takes too long.
    """
    if answer.refused:
        return Error(_refusal(answer))
    body = b''.join([chunk async for chunk in answer.chunks()])
    if answer.is_for_other_request or course.has_head:
        return Error(may_have_run(Reason.BAD_ANSWER, 'not what was asked'))
    response = Response(
        status=answer.status,
        headers=answer.headers,
        body=body,
    )
    if is_failure_of_endpoint(course.work.route, answer.status):
        course.endpoint_answer = response
        return Error(
            Failure(
                verdict=Verdict.RAN,
                reason=Reason.ENDPOINT_FAILED,
                detail=f'status {answer.status}',
            ),
        )
    await _stop_watch(watch)
    await course.exchange.respond(response)
    return Ok(None)


async def pass_events(
    course: RequestProgress,
    answer: EndpointResponse,
    watch: trio.CancelScope,
) -> None:
    """Deliver events as they come, those that the caller has left out.

    ``watch`` is cancelled when the stream pauses for too long.
    """
    if answer.is_for_other_request:
        raise FailureError(may_have_run(Reason.BAD_ANSWER, 'foreign answer'))
    events = whole_events(answer.chunks(), framed=answer.framed)
    async for event in events:
        await _stop_watch(watch)
        await _deliver(course, answer, event)
        watch.deadline = trio.current_time() + stream_idle_timeout_seconds(
            course.work.route,
            attempts=course.attempts,
            seconds_left=course.seconds_left(),
            may_retry=course.may_retry(),
        )
    await _stop_watch(watch)
    await _send_head(course, answer)
    await course.exchange.finish()


async def _stop_watch(watch: trio.CancelScope) -> None:
    """Let nothing end the attempt while the caller is written to.

    A process that stood still finds an answer and the end of its time at
    once. A write that is cancelled then would leave the caller's connection
    with a part of an answer, onto which the next attempt would write.
    """
    watch.deadline = float('inf')
    if watch.cancel_called:
        await trio.lowlevel.checkpoint()


async def _deliver(
    course: RequestProgress,
    answer: EndpointResponse,
    event: StreamEvent,
) -> None:
    seen = course.last_event
    if event.number is not None:
        if seen is not None and event.number <= seen:
            return
        course.last_event = event.number
    await _send_head(course, answer)
    await course.exchange.send(event.payload)


async def _send_head(course: RequestProgress, answer: EndpointResponse) -> None:
    """Send the head once; a resumed stream keeps that of its first run."""
    if course.has_head:
        return
    course.has_head = True
    course.first_event_at = course.clock()
    await course.exchange.start(answer.status, answer.headers)


def _refusal(answer: EndpointResponse) -> Failure:
    if answer.is_from_other_process:
        return not_run(Reason.ENDPOINT_LEAVING, 'another process is there')
    return not_run(
        Reason.ENDPOINT_REFUSED,
        f'status {answer.status} {answer.failed_address}',
    )
