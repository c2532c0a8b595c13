"""Relays an endpoint's response to the caller of a request."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from expression import Error, Ok

from limpetdrift.coordination.forwarding.attempt_race import (
    Outcome,
    RacingAttempt,
)
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.coordination.forwarding.event_relay import (
    StreamEvent,
    progressing_events,
    whole_events,
)
from limpetdrift.coordination.forwarding.retry_policy import (
    is_failure_of_endpoint,
    stream_idle_timeout_seconds,
)
from limpetdrift.protocol.work import CallerRequest, EndpointIdentity
from limpetdrift.transport.holding import AnswerMemory
from limpetdrift.transport.messages import Response
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

# Longest body that is kept until it is whole, so that another endpoint can
# answer if it breaks off.
MAX_BUFFERED_BYTES = 1_048_576
# Longest body for which no memory is reserved, and the part of a longer one for
# which it is before it is read.
SHORT_ANSWER_BYTES = 16_384
ANSWER_READ_BYTES = 65_536
# Longest body that is passed on. An endpoint that fails may send one without
# end.
MAX_BODY_BYTES = 67_108_864


@dataclass(kw_only=True, slots=True)
class RequestProgress:
    """The state of one request from its arrival to its end.

    ``placements`` counts the tries to place the request, and ``attempts``
    those that may have reached an endpoint, ``unproven`` of them without proof
    that the request did not run. ``excluded`` holds the endpoints that were
    tried, without those whose attempt another one overtook.
    ``last_event`` is the number of the last stream event that the caller has,
    ``last_event_at`` when one was last sent to the caller, and
    ``endpoint_answer`` the last error response of an endpoint.
    ``is_answer_final`` is set once part of a body was sent that no other
    attempt can continue.
    ``is_logged`` says that the request is logged even if it succeeds.
    ``may_retry`` returns whether the retry budget has a retry left, and
    ``on_event`` is called after each event that an attempt receives.
    """

    request: CallerRequest
    exchange: Exchange
    clock: Callable[[], float]
    may_retry: Callable[[], bool]
    on_event: Callable[[RacingAttempt], None]
    placements: int = 0
    attempts: int = 0
    unproven: int = 0
    excluded: set[EndpointIdentity] = field(default_factory=set)
    last_event: int | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    is_head_sent: bool = False
    has_caller_left: bool = False
    is_logged: bool = False
    endpoint_answer: Response | None = None
    is_answer_final: bool = False

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run."""
        return Verdict.MAY_HAVE_RUN if self.unproven else Verdict.NOT_RUN

    def seconds_left(self) -> float:
        """Return the time until the deadline."""
        return self.request.deadline - self.clock()

    def seconds_elapsed(self) -> float:
        """Return the time since the request arrived."""
        return self.clock() - self.request.arrived_at


async def relay_response(
    progress: RequestProgress,
    answer: EndpointResponse,
    attempt: RacingAttempt,
) -> Outcome:
    """Read an endpoint's whole response, then send it to the caller.

    Nothing is sent if the endpoint refused the request or failed; the failure
    is returned. A long response is sent as it arrives.
    """
    if answer.refused:
        return Error(_refusal(answer))
    if answer.is_failure_of_peer:
        detail = f'status {answer.status} of a peer'
        return Error(may_have_run(Reason.PEER_FAILED, detail))
    if answer.is_for_other_request or progress.is_head_sent:
        return Error(may_have_run(Reason.BAD_ANSWER, 'not what was asked'))
    memory = progress.exchange.make_answer_memory()
    try:
        chunks = answer.chunks()
        body, is_whole = await _read_body(answer, chunks, memory)
    finally:
        # It counts again as it is written, at once.
        memory.release()
    is_failure = is_failure_of_endpoint(progress.request.route, answer.status)
    if not is_whole:
        if is_failure:
            return Error(may_have_run(Reason.BAD_ANSWER, 'failure too long'))
        await _relay_long_body(progress, answer, attempt, body, chunks)
        return Ok(None)
    response = Response(
        status=answer.status,
        headers=answer.headers,
        body=body,
    )
    if is_failure:
        progress.endpoint_answer = response
        return Error(
            Failure(
                verdict=Verdict.RAN,
                reason=Reason.ENDPOINT_FAILED,
                detail=f'status {answer.status}',
            ),
        )
    await attempt.claim_answer()
    await progress.exchange.respond(response)
    attempt.race.mark_answered()
    return Ok(None)


async def _read_body(
    answer: EndpointResponse,
    chunks: AsyncIterator[bytes],
    memory: AnswerMemory,
) -> tuple[bytes, bool]:
    """Read a body as long as there is memory; return if it is whole, too.

    It is not if it is longer than ``MAX_BUFFERED_BYTES``.
    """
    received = []
    length = 0
    is_whole = True
    async for chunk in chunks:
        received.append(chunk)
        length += len(chunk)
        if length <= SHORT_ANSWER_BYTES:
            continue
        is_whole = length <= MAX_BUFFERED_BYTES and memory.reserve(
            length + ANSWER_READ_BYTES
        )
        if not is_whole:
            break
        answer.expect_bytes(ANSWER_READ_BYTES)
    return b''.join(received), is_whole


async def _relay_long_body(
    progress: RequestProgress,
    answer: EndpointResponse,
    attempt: RacingAttempt,
    begin: bytes,
    chunks: AsyncIterator[bytes],
) -> None:
    """Send a body as it arrives, ``begin`` first.

    It can't be answered otherwise once it has begun, so no other endpoint is
    tried. Raises ``FailureError`` if it is longer than ``MAX_BODY_BYTES``.
    """
    await attempt.claim_answer()
    progress.is_answer_final = True
    answer.expect_bytes(SHORT_ANSWER_BYTES)
    await _send_head(progress, answer)
    await progress.exchange.send(begin)
    length = len(begin)
    async for chunk in chunks:
        length += len(chunk)
        if length > MAX_BODY_BYTES:
            raise FailureError(
                may_have_run(Reason.BAD_ANSWER, 'body without end')
            )
        await progress.exchange.send(chunk)
    await progress.exchange.finish()
    attempt.race.mark_answered()


async def relay_events(
    progress: RequestProgress,
    answer: EndpointResponse,
    attempt: RacingAttempt,
) -> None:
    """Send the events of a stream to the caller as they arrive.

    Events that the caller already has are skipped. The attempt counts as
    silent when no event arrives within the idle timeout. Raises
    ``FailureError`` if the response answers another request or is cut off.
    """
    if answer.is_for_other_request:
        raise FailureError(may_have_run(Reason.BAD_ANSWER, 'foreign answer'))
    events = whole_events(answer.chunks(), framed=answer.framed)
    async for event in progressing_events(events):
        is_progress = await _relay_event(progress, answer, attempt, event)
        progress.on_event(attempt)
        if not is_progress:
            # A stream that stalls may go on sending comments.
            continue
        attempt.expect_answer_within(
            stream_idle_timeout_seconds(
                progress.request.route,
                attempts=progress.attempts,
                seconds_left=progress.seconds_left(),
                may_retry=progress.may_retry(),
            )
        )
    is_empty = progress.last_event is None and not attempt.events
    if is_empty and not answer.framed:
        # An endpoint that crashes before the first event ends it the same way.
        raise FailureError(
            may_have_run(Reason.CONNECTION_BROKEN, 'closed before any event')
        )
    await attempt.claim_answer()
    await _send_head(progress, answer)
    await progress.exchange.finish()
    attempt.race.mark_answered()


async def _relay_event(
    progress: RequestProgress,
    answer: EndpointResponse,
    attempt: RacingAttempt,
    event: StreamEvent,
) -> bool:
    """Send an event unless the caller has it; return whether it is new."""
    if not event.is_comment:
        attempt.count_event()
    last_number = progress.last_event
    is_known = (
        event.number is not None
        and last_number is not None
        and event.number <= last_number
    )
    is_unordered = event.number is None and last_number is not None
    is_progress = not (is_known or is_unordered or event.is_comment)
    if is_known or (is_unordered and not attempt.has_written):
        # Only a new numbered event shows that this attempt is ahead.
        return False
    if is_progress:
        await attempt.claim_answer()
        await _write_event(progress, answer, event)
        progress.last_event_at = progress.clock()
    elif not attempt.race.has_other_contender(attempt):
        with attempt.timeout_paused():
            await _write_event(progress, answer, event)
        attempt.has_written = True
    return is_progress


async def _write_event(
    progress: RequestProgress, answer: EndpointResponse, event: StreamEvent
) -> None:
    if event.number is not None:
        progress.last_event = event.number
    await _send_head(progress, answer)
    await progress.exchange.send(event.payload)


async def _send_head(
    progress: RequestProgress, answer: EndpointResponse
) -> None:
    """Send the head once; later attempts continue the same response."""
    if progress.is_head_sent:
        return
    progress.is_head_sent = True
    progress.first_event_at = progress.clock()
    await progress.exchange.start(answer.status, answer.headers)


def _refusal(answer: EndpointResponse) -> Failure:
    if answer.is_from_other_process:
        return not_run(Reason.ENDPOINT_LEAVING, 'another process is there')
    return not_run(
        Reason.ENDPOINT_REFUSED,
        f'status {answer.status} {answer.failed_address}',
    )
