"""One attempt: a stream on one engine, followed to its end.

A connection that breaks or goes silent is replaced by a new one to the same
stream, from the next offset; that is not a second run. Only when the engine
refuses connections or does not know the stream is the attempt lost.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.engine import EngineCalls, StreamLine, StreamStart
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
)
from limpetdrift.state.run import Run, RunEnd
from limpetdrift.transport.messages import Address

RECONNECT_PAUSE_SECONDS = 0.05
RECONNECT_LIMIT = 4

_LOST = frozenset(
    (Reason.STREAM_UNKNOWN, Reason.CONNECT_FAILED, Reason.ENDPOINT_FAILED),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A stream to run at an engine."""

    address: Address
    start: StreamStart


@dataclass(kw_only=True, slots=True)
class _Progress:
    """How often the attempt reconnected without a new token."""

    reconnects: int = 0


async def follow_attempt(
    calls: EngineCalls,
    attempt: Attempt,
    run: Run,
) -> Result[RunEnd, Failure]:
    """Run a stream to its end, over as many connections as it takes."""
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
    """Go on with a stream that was started before, on new connections."""
    progress = _Progress()
    while not _is_lost(cause, progress):
        before = run.offset
        telemetry.count('retries', reason=f'resume-{cause.reason}')
        await trio.sleep(RECONNECT_PAUSE_SECONDS * progress.reconnects)
        opened = calls.resume(address, stream_id, run.offset)
        outcome = await _read_connection(opened, stream_id, run)
        if outcome.is_ok():
            return outcome
        cause = outcome.error
        progress.reconnects += 1
        # A slow prefill is silent too: only broken connections are counted.
        if run.offset > before or cause.reason is Reason.IDLE_TIMEOUT:
            progress.reconnects = 0
    return Error(cause.with_verdict(Verdict.MAY_HAVE_RUN))


def _is_lost(cause: Failure, progress: _Progress) -> bool:
    return cause.reason in _LOST or progress.reconnects >= RECONNECT_LIMIT


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
            if _is_another(line, stream_id):
                telemetry.count('answers_dropped', reason='crossed')
                return Error(may_have_run(Reason.BAD_ANSWER, 'crossed'))
            ending = _take_line(line, run)
            if ending is not None:
                return ending
        run.wake_readers()
    return Error(may_have_run(Reason.CONNECTION_BROKEN, 'stream cut short'))


def _is_another(line: StreamLine, stream_id: str) -> bool:
    return line.stream_id != stream_id


def _take_line(line: StreamLine, run: Run) -> Result[RunEnd, Failure] | None:
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
