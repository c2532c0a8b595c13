"""Continuous batching with a time model.

Each step decodes one token of every running stream that has its prompt in
memory, and works off prompts in the order of their priorities, up to a
budget of tokens. The step takes as long as the slower of the two.
"""

import trio

from limpet_standins.controls import Controls
from limpet_standins.engine_messages import EngineSettings
from limpet_standins.kv_memory import KvMemory
from limpet_standins.stream_run import StreamRun

CATCH_UP_SECONDS = 0.1


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
        self._work = trio.Event()
        self._step_ends_at = 0.0

    @property
    def running(self) -> int:
        """How many streams run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many streams wait for their turn."""
        return len(self._waiting)

    @property
    def queued_prefill_tokens(self) -> int:
        """Prompt tokens that are still to be worked off."""
        runs = (*self._running, *self._waiting)
        return sum(run.prefill_left for run in runs)

    def submit(self, run: StreamRun) -> None:
        """Take a stream that has its memory."""
        self._waiting.append(run)
        self._work.set()

    async def work(self) -> None:
        """Run steps for ever."""
        while True:
            self._admit()
            if not self._running:
                self._work = trio.Event()
                await self._work.wait()
                self._step_ends_at = trio.current_time()
                continue
            await self._controls.wait_while_frozen()
            await self._step()

    def _admit(self) -> None:
        self._running = [run for run in self._running if not run.ended]
        self._waiting = [run for run in self._waiting if not run.ended]
        self._waiting.sort(key=_rank)
        room = self._settings.max_running - len(self._running)
        self._running += self._waiting[:room]
        self._waiting = self._waiting[room:]

    async def _step(self) -> None:
        decoding = [run for run in self._running if not run.prefill_left]
        shares = self._share_budget()
        # A step is timed from the end of the one before, so that the work of
        # this process doesn't slow the modelled engine down.
        earliest = trio.current_time() - CATCH_UP_SECONDS
        began = max(self._step_ends_at, earliest)
        self._step_ends_at = began + self._duration(sum(shares.values()))
        await trio.sleep_until(self._step_ends_at)
        for run in decoding:
            _decode(run)
        for order, tokens in shares.items():
            self._prefill(order, tokens)

    def _share_budget(self) -> dict[int, int]:
        shares: dict[int, int] = {}
        budget = self._settings.chunk_tokens
        for run in sorted(self._running, key=_rank):
            share = min(run.prefill_left, budget)
            if share:
                shares[run.sequence_number] = share
                budget -= share
        return shares

    def _duration(self, chunk_tokens: int) -> float:
        settings = self._settings
        prefill = chunk_tokens / settings.prefill_tokens_per_second
        seconds = max(settings.step_seconds, prefill)
        return seconds * self._controls.faults.slow

    def _prefill(self, order: int, tokens: int) -> None:
        run = next(
            each for each in self._running if each.sequence_number == order
        )
        if run.ended:
            return
        run.prefill_left -= tokens
        if not run.prefill_left:
            self._memory.store(run.footprint, run.prefix)
            _decode(run)


def _rank(run: StreamRun) -> tuple[int, int]:
    return run.rank


def _decode(run: StreamRun) -> None:
    if run.ended:
        return
    run.produced += 1
    if run.produced < run.answer.length:
        run.notify()
        return
    run.produced = run.answer.length
    run.end()
