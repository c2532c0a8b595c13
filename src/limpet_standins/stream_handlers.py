"""Starts, resumes and cancels the streams of a stand-in engine."""

from dataclasses import dataclass
from http import HTTPStatus
from itertools import count

import trio

from limpet_standins.allocations import Allocation
from limpet_standins.answers import answer_for
from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import StreamStart
from limpet_standins.groups import Groups
from limpet_standins.kv_memory import (
    BLOCK_TOKENS,
    Footprint,
    count_tokens,
    prefix_blocks,
)
from limpet_standins.serving import read_body, refuse
from limpet_standins.stream_run import StreamRun
from limpet_standins.stream_writer import StreamWriter
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

# Retention: the time after its end for which a stream can be resumed.
RETENTION_SECONDS = 60.0
SWEEP_INTERVAL_SECONDS = 1.0
_STREAM = 'stream'


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a stream was not started; no part of it has run."""

    status: int
    code: str


_EXISTS = Refusal(status=HTTPStatus.CONFLICT, code='stream-exists')
_LEAVING = Refusal(status=HTTPStatus.SERVICE_UNAVAILABLE, code='leaving')
_UNKNOWN_MODEL = Refusal(status=HTTPStatus.NOT_FOUND, code='unknown-model')
_QUEUE_FULL = Refusal(status=HTTPStatus.TOO_MANY_REQUESTS, code='queue-full')
_HOLD_UNKNOWN = Refusal(status=HTTPStatus.GONE, code='hold-unknown')
_NEVER_FITS = Refusal(
    status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE, code='never-fits'
)
_NO_MEMORY = Refusal(status=HTTPStatus.TOO_MANY_REQUESTS, code='no-memory')
_UNKNOWN = Refusal(status=HTTPStatus.NOT_FOUND, code='stream-unknown')


class StreamHandlers:
    """Handlers of ``/v1/streams`` and the paths below it."""

    def __init__(self, *, core: EngineCore, groups: Groups) -> None:
        self.runs: dict[str, StreamRun] = {}
        self._core = core
        self._groups = groups
        self._sequence_numbers = count()
        self._writer = StreamWriter(
            controls=core.controls, on_delivered=self._free_allocation
        )

    async def begin(self, exchange: Exchange, _params: Parameters) -> None:
        """Start a stream and send its tokens, or refuse it."""
        start = await read_body(exchange, StreamStart)
        if start is None:
            return
        group_tokens = await self._groups.tokens(start.group)
        refusal = self._find_refusal(start, group_tokens)
        run = None if refusal else self._reserve(start, group_tokens or 0)
        if run is None:
            await self._refuse(exchange, start, refusal or _NO_MEMORY)
            return
        self._start_run(run)
        await self._writer.send(exchange, run, start.start_offset)

    async def resume(self, exchange: Exchange, params: Parameters) -> None:
        """Send the tokens of a stream from an offset on."""
        run = self.runs.get(params['stream'])
        if run is None:
            await refuse(exchange, _UNKNOWN.status, _UNKNOWN.code)
            return
        offset = exchange.request.query.get('offset', '0')
        if not offset.isdigit():
            await refuse(exchange, HTTPStatus.BAD_REQUEST, 'bad-request')
            return
        await self._writer.send(exchange, run, int(offset))

    async def cancel(self, exchange: Exchange, params: Parameters) -> None:
        """End a stream, free its memory and respond with the tokens freed."""
        stream_id = params['stream']
        run = self.runs.get(stream_id)
        if run is not None and not run.ended:
            self._record('cancelled', run.start)
            run.end('cancelled')
        freed = self._core.allocations.free(_STREAM, stream_id)
        await exchange.respond(json_response({'freed_tokens': freed}))

    async def drop_finished(self) -> None:
        """Until cancelled, drop streams and their text after the retention."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            cutoff = trio.current_time() - RETENTION_SECONDS
            for stream_id, run in list(self.runs.items()):
                if run.ended_at is not None and run.ended_at < cutoff:
                    self.runs.pop(stream_id)

    def _find_refusal(
        self,
        start: StreamStart,
        group_tokens: int | None,
    ) -> Refusal | None:
        core = self._core
        allocation = core.allocations.find(_STREAM, start.stream_id)
        needed = _tokens_needed(start) - (group_tokens or 0)
        checks = (
            (allocation is not None or start.stream_id in self.runs, _EXISTS),
            (core.controls.faults.leaving, _LEAVING),
            (start.model != core.model, _UNKNOWN_MODEL),
            (group_tokens is None, _HOLD_UNKNOWN),
            (needed > core.settings.memory_tokens, _NEVER_FITS),
            (core.scheduler.waiting >= core.settings.max_waiting, _QUEUE_FULL),
        )
        return next((refusal for failed, refusal in checks if failed), None)

    def _reserve(
        self,
        start: StreamStart,
        group_tokens: int,
    ) -> StreamRun | None:
        prefix = prefix_blocks(start.prompt.encode())
        footprint = self._core.memory.reserve(
            max(0, _tokens_needed(start) - group_tokens),
            prefix,
        )
        if footprint is None:
            return None
        run = self._make_run(start, footprint, prefix)
        self._allocate(start, footprint)
        return run

    def _make_run(
        self,
        start: StreamStart,
        footprint: Footprint,
        prefix: tuple[int, ...],
    ) -> StreamRun:
        prompt_tokens = count_tokens(start.prompt.encode())
        cached = min(len(footprint.blocks) * BLOCK_TOKENS, prompt_tokens)
        context_tokens = prompt_tokens + count_tokens(start.delivered.encode())
        return StreamRun(
            start=start,
            answer=answer_for(start.model, start.prompt, start.max_tokens),
            footprint=footprint,
            prefix=prefix,
            sequence_number=next(self._sequence_numbers),
            on_end=self._on_run_end,
            prompt_tokens=prompt_tokens,
            cached_tokens=cached,
            remaining_prefill_tokens=max(1, context_tokens - cached),
            next_offset=start.start_offset,
        )

    def _allocate(self, start: StreamStart, footprint: Footprint) -> None:
        now = trio.current_time()
        self._core.allocations.add(
            Allocation(
                id=start.stream_id,
                kind=_STREAM,
                footprint=footprint,
                taken_at=now,
                expires_at=now + start.expires_in_seconds,
                request_key=start.request_key,
                attempt=start.attempt,
                holder=start.holder,
                incarnation=start.incarnation,
            ),
        )

    def _start_run(self, run: StreamRun) -> None:
        start = run.start
        self.runs[start.stream_id] = run
        self._record('started', start)
        kill_text = self._core.controls.faults.kill_on_text
        if kill_text and kill_text in start.prompt:
            self._core.controls.end()
        self._groups.watch(run)
        self._core.scheduler.submit(run)

    def _on_run_end(self, run: StreamRun) -> None:
        allocation = self._core.allocations.find(_STREAM, run.start.stream_id)
        if allocation is not None:
            allocation.finished = True
        if not run.error:
            self._record('finished', run.start)

    def _free_allocation(self, run: StreamRun) -> None:
        self._core.allocations.free(_STREAM, run.start.stream_id)

    async def _refuse(
        self,
        exchange: Exchange,
        start: StreamStart,
        refusal: Refusal,
    ) -> None:
        self._record('refused', start)
        free = self._core.memory.free_tokens
        details = {'free_tokens': free} if refusal is _NO_MEMORY else {}
        await refuse(exchange, refusal.status, refusal.code, **details)

    def _record(self, event: str, start: StreamStart) -> None:
        self._core.controls.record(
            event,
            stream_id=start.stream_id,
            request_key=start.request_key,
            journal_key=start.journal_key,
            attempt=start.attempt,
        )


def _tokens_needed(start: StreamStart) -> int:
    return count_tokens(start.prompt.encode()) + start.max_tokens
