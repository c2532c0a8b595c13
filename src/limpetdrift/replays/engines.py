"""A model engine in virtual time, by its published law.

All waiting work is done in passes. A pass writes one event for each stream
and reads prompts, parts for split prompts ahead of others and the newest of
them first. Left out are preemption and weights; a request that doesn't fit
waits.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from limpetdrift.coordination.endpoint_response import EndpointResponse
from limpetdrift.coordination.engine_cost_model import decode_step_seconds
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import (
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.protocol.work import EngineReport, ListedEndpoint
from limpetdrift.replays.admission_queue import AdmissionQueue, Job
from limpetdrift.replays.prefill_queue import PrefillQueue, PrefillTask
from limpetdrift.transport.messages import OK, UNAVAILABLE

# Work that depends on a dead engine stalls for so long.
STALL_SECONDS = 1.5
_SERVER_ERROR = 500
_NO_EVENTS: tuple[bytes, ...] = ()


@dataclass(kw_only=True)
class Condition:
    """What is wrong with an engine now."""

    pace: float = 1.0
    alive: bool = True
    failing: bool = False
    silent: bool = False


class Engine:
    """The work of one engine; ``run`` does it until cancelled."""

    def __init__(
        self, *, endpoint: ListedEndpoint, law: EngineCostModel
    ) -> None:
        self.endpoint = endpoint
        self.condition = Condition()
        self.admission = AdmissionQueue(law=law)
        self._law = law
        self._writers: list[Job] = []
        self._readings = PrefillQueue(law=law)
        self._changed = trio.Event()

    def report(self) -> EngineReport:
        """Return what the engine says of itself."""
        return EngineReport(
            active=self.admission.running,
            queued=self.admission.waiting,
            memory_tokens=self.admission.used_tokens,
            pace=self.condition.pace,
        )

    def wake(self) -> None:
        """Let everyone look at the engine's state again."""
        self._changed.set()
        self._changed = trio.Event()

    def crash(self) -> None:
        """End the process with all that it was doing."""
        self.condition.alive = False
        for job in self.admission.clear():
            job.broken = True
            job.wake()
        self._writers.clear()
        self._readings.clear()
        self.wake()

    async def run(self) -> None:
        """Do passes while there is work."""
        while True:
            has_work = self._readings.has_pending or bool(self._writers)
            if self.condition.silent or not has_work:
                await self._changed.wait()
                continue
            await self._do_pass()

    async def read_part(self, tokens: int, parts: int) -> bool:
        """Read a part for another engine; return whether it was read."""
        if not self.condition.alive:
            await trio.sleep(STALL_SECONDS)
            return False
        reading = self._read(tokens, parts)
        try:
            await self._until(reading.done.is_set)
        finally:
            self._readings.drop(reading)
        return reading.done.is_set()

    @asynccontextmanager
    async def open(
        self,
        job: Job,
        helpers: tuple['Engine', ...],
    ) -> AsyncIterator[EndpointResponse]:
        """Run a job while the context is open."""
        if not self.condition.alive:
            raise FailureError(not_run(Reason.CONNECT_FAILED, 'refused'))
        if self.condition.failing:
            yield EndpointResponse(
                status=_SERVER_ERROR, headers=(), chunks=_nothing
            )
            return
        try:
            await self._admit(job)
            if await self._read_prompt(job, helpers):
                yield EndpointResponse(
                    status=OK,
                    headers=(),
                    chunks=lambda: self._write(job),
                )
            else:
                yield EndpointResponse(
                    status=UNAVAILABLE,
                    headers=(),
                    chunks=_nothing,
                    refused=True,
                )
        finally:
            self._drop(job)

    async def _admit(self, job: Job) -> None:
        self.admission.queue(job)
        await self._until(lambda: job.broken or self.admission.may_start(job))
        _check_alive(job)
        self.admission.start(job)

    async def _read_prompt(
        self,
        job: Job,
        helpers: tuple['Engine', ...],
    ) -> bool:
        """Read the prompt here and at the helpers; return whether all did."""
        read: list[bool] = []

        async def help_with(engine: 'Engine') -> None:
            read.append(await engine.read_part(job.tokens, job.parts))

        reading = self._read(job.tokens, job.parts, job.urgency)
        try:
            async with trio.open_nursery() as nursery:
                for helper in helpers:
                    nursery.start_soon(help_with, helper)
                await self._until(
                    lambda: reading.done.is_set() or job.broken,
                )
                if job.broken:
                    nursery.cancel_scope.cancel()
        finally:
            self._readings.drop(reading)
        _check_alive(job)
        return all(read)

    async def _write(self, job: Job) -> AsyncIterator[bytes]:
        told = job.written
        # The first event holds the token that ended the reading.
        job.write()
        if job.written < job.events:
            self._writers.append(job)
            self.wake()
        while told < job.events:
            while told >= job.written and not job.broken:
                await job.news.wait()
            if told >= job.written:
                raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, ''))
            told += 1
            yield f'id: {told}\ndata: x\n\n'.encode()

    async def _do_pass(self) -> None:
        law = self._law
        writers = tuple(self._writers)
        steps = law.stride if writers else 1
        took, read = self._readings.next_chunk(steps * law.chunk_tokens)
        if writers:
            context = sum(job.tokens // job.parts for job in writers)
            took += decode_step_seconds(law, len(writers), context)
        await trio.sleep(took * self.condition.pace)
        if not self.condition.alive:
            return
        for reading, tokens in read:
            reading.advance(tokens)
        for job in writers:
            job.write()
        self._writers = [
            writer for writer in self._writers if writer.written < writer.events
        ]
        self.wake()

    def _read(self, tokens: int, parts: int, urgency: int = 0) -> PrefillTask:
        reading = self._readings.add(tokens, parts, urgency)
        self.wake()
        return reading

    def _drop(self, job: Job) -> None:
        self.admission.drop(job)
        if job in self._writers:
            self._writers.remove(job)
        self.wake()

    async def _until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds or the engine is gone."""
        while self.condition.alive and not holds():
            await self._changed.wait()


def _check_alive(job: Job) -> None:
    if job.broken:
        raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, 'crashed'))


async def _nothing() -> AsyncIterator[bytes]:
    for event in _NO_EVENTS:
        yield event
