"""Simulates an engine's continuous batching with a time model.

Each step decodes one token of every running stream whose prefill is complete,
and prefills the other prompts by priority, up to a budget of tokens. The step
lasts as long as the longer of the decode and the prefill.
"""

import trio

from limpet_standins.controls import Controls
from limpet_standins.engine_messages import EngineSettings
from limpet_standins.kv_memory import KvMemory
from limpet_standins.stream_run import StreamRun

# Longest lag behind the modelled time that later steps catch up on.
MAX_CATCH_UP_SECONDS = 0.1


class Scheduler:
    """The running and waiting streams of an engine."""

    def __init__(
        self,
        *,
        settings: EngineSettings,
        memory: KvMemory,
        controls: Controls,
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._controls = controls
        self._running: list[StreamRun] = []
        self._waiting: list[StreamRun] = []
        self._work_available = trio.Event()
        self._step_ends_at = 0.0

    @property
    def running(self) -> int:
        """The number of running streams."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of streams that wait to run."""
        return len(self._waiting)

    @property
    def queued_prefill_tokens(self) -> int:
        """Tokens to prefill of running and waiting streams."""
        runs = (*self._running, *self._waiting)
        return sum(run.remaining_prefill_tokens for run in runs)

    def submit(self, run: StreamRun) -> None:
        """Queue a stream whose memory is reserved."""
        self._waiting.append(run)
        self._work_available.set()

    async def run_steps(self) -> None:
        """Run steps while there are streams to run, until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._work_available = trio.Event()
                await self._work_available.wait()
                self._step_ends_at = trio.current_time()
                continue
            await self._controls.wait_while_frozen()
            await self._step()

    def _admit(self) -> None:
        self._running = [run for run in self._running if not run.ended]
        self._waiting = [run for run in self._waiting if not run.ended]
        self._waiting.sort(key=_queue_key)
        free_slots = self._settings.max_running - len(self._running)
        self._running += self._waiting[:free_slots]
        self._waiting = self._waiting[free_slots:]

    async def _step(self) -> None:
        decoding = [
            run for run in self._running if not run.remaining_prefill_tokens
        ]
        shares = self._share_budget()
        # A step starts at the end of the previous step instead of now, so that
        # the processing time of this process does not slow the engine down.
        earliest = trio.current_time() - MAX_CATCH_UP_SECONDS
        started_at = max(self._step_ends_at, earliest)
        self._step_ends_at = started_at + self._step_duration(
            sum(shares.values())
        )
        await trio.sleep_until(self._step_ends_at)
        for run in decoding:
            _decode(run)
        for sequence_number, tokens in shares.items():
            self._prefill(sequence_number, tokens)

    def _share_budget(self) -> dict[int, int]:
        """Return the tokens to prefill in this step, by sequence number."""
        shares: dict[int, int] = {}
        budget = self._settings.chunk_tokens
        for run in sorted(self._running, key=_queue_key):
            share = min(run.remaining_prefill_tokens, budget)
            if share:
                shares[run.sequence_number] = share
                budget -= share
        return shares

    def _step_duration(self, chunk_tokens: int) -> float:
        settings = self._settings
        prefill_seconds = chunk_tokens / settings.prefill_tokens_per_second
        seconds = max(settings.step_seconds, prefill_seconds)
        return seconds * self._controls.faults.slow

    def _prefill(self, sequence_number: int, tokens: int) -> None:
        run = next(
            each
            for each in self._running
            if each.sequence_number == sequence_number
        )
        if run.ended:
            return
        run.remaining_prefill_tokens -= tokens
        if not run.remaining_prefill_tokens:
            self._memory.store(run.footprint, run.prefix)
            _decode(run)


def _queue_key(run: StreamRun) -> tuple[int, int]:
    return run.queue_key


def _decode(run: StreamRun) -> None:
    if run.ended:
        return
    run.next_offset += 1
    if run.next_offset < run.answer.length:
        run.notify()
        return
    run.next_offset = run.answer.length
    run.end()
