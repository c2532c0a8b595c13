"""Simulates a model engine in virtual time by its cost model.

The engine works in passes. A pass writes one event for each stream and
prefills prompts: first parts of split prompts, the newest of them first, then
whole prompts. Preemption and weights are not simulated; a request that
doesn't fit waits.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from limpetdrift.coordination.engines.engine_cost_model import (
    decode_step_seconds,
)
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import EngineReport, ListedEndpoint
from limpetdrift.replays.admission_queue import AdmissionQueue, Job
from limpetdrift.replays.orphans import Orphans, end_decoded
from limpetdrift.replays.prefill_queue import PrefillQueue, PrefillTask
from limpetdrift.transport.messages import OK, UNAVAILABLE
from limpetdrift.verdict import (
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

# Time until prefill at a dead helper fails.
HELPER_FAILURE_SECONDS = 1.5
_SERVER_ERROR = 500
_NO_EVENTS: tuple[bytes, ...] = ()


@dataclass(kw_only=True)
class Condition:
    """The current faults of an engine.

    ``pace`` is a slowdown factor. A ``hanging`` engine does no work, and a
    ``failing`` one answers every request with a server error.
    """

    pace: float = 1.0
    alive: bool = True
    failing: bool = False
    hanging: bool = False


class Engine:
    """One engine; ``run`` does its work."""

    def __init__(
        self, *, endpoint: ListedEndpoint, cost_model: EngineCostModel
    ) -> None:
        self.endpoint = endpoint
        self.condition = Condition()
        self.admission = AdmissionQueue(cost_model=cost_model)
        self._cost_model = cost_model
        self._decoding: list[Job] = []
        self._prefills = PrefillQueue(cost_model=cost_model)
        self.orphans = Orphans()
        self._changed = trio.Event()

    def report(self) -> EngineReport:
        """Return the engine's report of its load."""
        return EngineReport(
            active=self.admission.running,
            queued=self.admission.waiting,
            memory_tokens=self.admission.used_tokens,
            pace=self.condition.pace,
        )

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change of the engine's state."""
        self._changed.set()
        self._changed = trio.Event()

    def crash(self) -> None:
        """End the engine's process and break all its jobs."""
        self.condition.alive = False
        for job in self.admission.clear():
            job.is_broken = True
            job.notify_reader()
        self._decoding.clear()
        self.orphans.clear()
        self._prefills.clear()
        self.notify_changed()

    async def run(self) -> None:
        """Do passes while there is work, until cancelled."""
        while True:
            has_work = self._prefills.has_pending or bool(self._decoding)
            if self.condition.hanging or not has_work:
                await self._changed.wait()
                continue
            await self._do_pass()

    async def prefill_part(self, tokens: int, parts: int) -> bool:
        """Prefill a part of another engine's prompt; return whether it is done.

        ``tokens`` is the length of the whole prompt.
        """
        if not self.condition.alive:
            await trio.sleep(HELPER_FAILURE_SECONDS)
            return False
        task = self._add_prefill(tokens, parts)
        try:
            await self._wait_until(task.done.is_set)
        finally:
            self._prefills.remove(task)
        return task.done.is_set()

    @asynccontextmanager
    async def open(
        self,
        job: Job,
        helpers: tuple['Engine', ...],
    ) -> AsyncIterator[EndpointResponse]:
        """Run a job while the context is open; yield its response.

        A failing engine responds with 500, and one whose helpers could not
        prefill their parts with 503. Raises ``FailureError`` if the engine is
        dead or crashes.
        """
        if not self.condition.alive:
            raise FailureError(not_run(Reason.CONNECT_FAILED, 'refused'))
        if self.condition.failing:
            yield EndpointResponse(
                status=_SERVER_ERROR, headers=(), chunks=_no_chunks
            )
            return
        try:
            await self._admit(job)
            if await self._prefill_prompt(job, helpers):
                yield EndpointResponse(
                    status=OK,
                    headers=(),
                    chunks=lambda: self._stream_events(job),
                )
            else:
                yield EndpointResponse(
                    status=UNAVAILABLE,
                    headers=(),
                    chunks=_no_chunks,
                    refused=True,
                )
        finally:
            self._remove(job)

    async def _admit(self, job: Job) -> None:
        self.admission.enqueue(job)
        await self._wait_until(
            lambda: job.is_broken or self.admission.can_start(job)
        )
        _check_alive(job)
        self.admission.start(job)

    async def _prefill_prompt(
        self,
        job: Job,
        helpers: tuple['Engine', ...],
    ) -> bool:
        """Prefill here and at helpers; return whether all helpers succeeded."""
        helper_results: list[bool] = []

        async def prefill_at(engine: 'Engine') -> None:
            helper_results.append(
                await engine.prefill_part(job.tokens, job.parts)
            )

        task = self._add_prefill(job.tokens, job.parts, job.urgency)
        try:
            async with trio.open_nursery() as nursery:
                for helper in helpers:
                    nursery.start_soon(prefill_at, helper)
                await self._wait_until(
                    lambda: task.done.is_set() or job.is_broken,
                )
                if job.is_broken:
                    nursery.cancel_scope.cancel()
        finally:
            if self.orphans.is_keeping:
                self.orphans.keep_prefill(job, task)
            else:
                self._prefills.remove(task)
        _check_alive(job)
        return all(helper_results)

    async def _stream_events(self, job: Job) -> AsyncIterator[bytes]:
        sent = job.written
        # Prefill yields the first token, so the first event needs no pass.
        job.write_event()
        if job.written < job.events:
            self._decoding.append(job)
            self.notify_changed()
        while sent < job.events:
            while sent >= job.written and not job.is_broken:
                await job.progress.wait()
            if sent >= job.written:
                raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, ''))
            sent += 1
            yield f'id: {sent}\ndata: x\n\n'.encode()

    async def _do_pass(self) -> None:
        cost_model = self._cost_model
        decoding = tuple(self._decoding)
        steps = cost_model.stride if decoding else 1
        seconds, prefilled = self._prefills.next_chunk(
            steps * cost_model.chunk_tokens
        )
        if decoding:
            context = sum(job.tokens // job.parts for job in decoding)
            seconds += decode_step_seconds(cost_model, len(decoding), context)
        await trio.sleep(seconds * self.condition.pace)
        if not self.condition.alive:
            return
        for task, tokens in prefilled:
            task.advance(tokens)
        for job in decoding:
            job.write_event()
        self._decoding += self.orphans.take_prefilled(self._prefills)
        end_decoded(self._decoding, self.admission)
        self._decoding = [
            each for each in self._decoding if each.written < each.events
        ]
        self.notify_changed()

    def _add_prefill(
        self, tokens: int, parts: int, urgency: int = 0
    ) -> PrefillTask:
        task = self._prefills.add(tokens, parts, urgency)
        self.notify_changed()
        return task

    def _remove(self, job: Job) -> None:
        if self.orphans.is_keeping and self.admission.is_running(job):
            job.is_orphan = True
            return
        self.admission.remove(job)
        if job in self._decoding:
            self._decoding.remove(job)
        self.notify_changed()

    async def _wait_until(self, predicate: Callable[[], bool]) -> None:
        """Wait until the predicate holds or the engine is dead."""
        while self.condition.alive and not predicate():
            await self._changed.wait()


def _check_alive(job: Job) -> None:
    if job.is_broken:
        raise FailureError(may_have_run(Reason.CONNECTION_BROKEN, 'crashed'))


async def _no_chunks() -> AsyncIterator[bytes]:
    for event in _NO_EVENTS:
        yield event
