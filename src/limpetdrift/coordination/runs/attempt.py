"""Runs one attempt: one stream on one engine, followed to its end.

A connection that breaks or reaches its idle timeout is replaced by a new one
to the same stream, from the next offset. This is not a second run. The attempt
is lost when the engine refuses connections, does not know the stream or
reports a failure, or when repeated reconnects bring no new token.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.engine import EngineCalls, StreamLine, StreamStart
from limpetdrift.state.run import Run, RunEnd
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
)

# The first reconnect is immediate; each further one without a new token waits
# this much longer than the last.
RECONNECT_BACKOFF_STEP_SECONDS = 0.05
# Reconnects in a row that break without a new token, after which the attempt
# is lost.
RECONNECT_LIMIT = 4

_LOST_REASONS = frozenset(
    (Reason.STREAM_UNKNOWN, Reason.CONNECT_FAILED, Reason.ENDPOINT_FAILED),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """The stream to start and the address of its engine."""

    address: Address
    start: StreamStart


@dataclass(kw_only=True, slots=True)
class _ReconnectState:
    """The number of reconnects in a row that broke without a new token."""

    reconnects: int = 0


async def follow_attempt(
    calls: EngineCalls,
    attempt: Attempt,
    run: Run,
) -> Result[RunEnd, Failure]:
    """Start a stream and follow it to its end, reconnecting if necessary."""
    opened = calls.start(attempt.address, attempt.start)
    first = await _read_connection(opened, attempt.start.stream_id, run)
    if first.is_ok() or first.error.verdict is Verdict.NOT_RUN:
        return first
    return await resume_attempt(
        calls,
        attempt.address,
        attempt.start.stream_id,
        run,
        first.error,
    )


async def resume_attempt(
    calls: EngineCalls,
    address: Address,
    stream_id: str,
    run: Run,
    cause: Failure,
) -> Result[RunEnd, Failure]:
    """Follow a stream that was started earlier, on new connections.

    ``cause`` is the failure of the last connection. When the attempt is lost,
    the verdict of the failure is that the request may have run.
    """
    state = _ReconnectState()
    while not _is_lost(cause, state):
        previous_offset = run.offset
        telemetry.count('retries', reason=f'resume-{cause.reason}')
        await trio.sleep(RECONNECT_BACKOFF_STEP_SECONDS * state.reconnects)
        opened = calls.resume(address, stream_id, run.offset)
        outcome = await _read_connection(opened, stream_id, run)
        if outcome.is_ok():
            return outcome
        cause = outcome.error
        state.reconnects += 1
        # A slow prefill reaches the idle timeout too, so only broken
        # connections are counted.
        if run.offset > previous_offset or cause.reason is Reason.IDLE_TIMEOUT:
            state.reconnects = 0
    return Error(cause.with_verdict(Verdict.MAY_HAVE_RUN))


def _is_lost(cause: Failure, state: _ReconnectState) -> bool:
    return cause.reason in _LOST_REASONS or state.reconnects >= RECONNECT_LIMIT


async def _read_connection(
    opened,
    stream_id: str,
    run: Run,
) -> Result[RunEnd, Failure]:
    try:
        async with opened as batches:
            return await _read_batches(batches, stream_id, run)
    except FailureError as error:
        return Error(error.failure)


async def _read_batches(
    batches: AsyncIterator[tuple[StreamLine, ...]],
    stream_id: str,
    run: Run,
) -> Result[RunEnd, Failure]:
    async for lines in batches:
        for line in lines:
            if _is_for_other_stream(line, stream_id):
                telemetry.count('answers_dropped', reason='crossed')
                return Error(may_have_run(Reason.BAD_ANSWER, 'crossed'))
            ending = _apply_line(line, run)
            if ending is not None:
                return ending
        run.wake_readers()
    return Error(may_have_run(Reason.CONNECTION_BROKEN, 'stream cut short'))


def _is_for_other_stream(line: StreamLine, stream_id: str) -> bool:
    return line.stream_id != stream_id


def _apply_line(line: StreamLine, run: Run) -> Result[RunEnd, Failure] | None:
    if line.error:
        return Error(may_have_run(Reason.ENDPOINT_FAILED, line.error))
    if not line.finish:
        if run.append(line.offset, line.text):
            return None
        return Error(may_have_run(Reason.BAD_ANSWER, 'a gap in the stream'))
    if line.offset != run.offset:
        return Error(may_have_run(Reason.BAD_ANSWER, 'tokens are missing'))
    return Ok(
        RunEnd(
            finish=line.finish,
            prompt_tokens=line.prompt_tokens,
            cached_tokens=line.cached_tokens,
            completion_tokens=run.offset,
        ),
    )
