"""The slots and the memory of a model engine, and who waits for them."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.verdict import FailureError, Reason, not_run


@dataclass(kw_only=True, eq=False)
class Job:
    """A request at the engine that writes its answer."""

    tokens: int
    events: int
    answer_tokens: int = 0
    parts: int = 1
    reserved_tokens: int = 0
    urgency: int = 5
    written: int = 0
    broken: bool = False
    news: trio.Event = field(default_factory=trio.Event)

    @property
    def memory_tokens(self) -> int:
        """What the job holds at the engine itself."""
        return self.tokens + self.answer_tokens - self.reserved_tokens

    def wake(self) -> None:
        """Tell the reader of the answer that there is news."""
        self.news.set()
        self.news = trio.Event()

    def write(self) -> None:
        """Add an event to the answer."""
        self.written += 1
        self.wake()


class AdmissionQueue:
    """Jobs that run and jobs that wait, the most urgent first."""

    def __init__(self, *, law: EngineCostModel) -> None:
        self._law = law
        self._running: list[Job] = []
        self._waiting: list[Job] = []
        self._reserved_tokens = 0

    @property
    def running(self) -> int:
        """The number of jobs that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of jobs that wait."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """The memory in use, set aside for others included."""
        used = sum(job.memory_tokens for job in self._running)
        return used + self._reserved_tokens

    def queue(self, job: Job) -> None:
        """Let a job wait for its place."""
        self._waiting.append(job)
        self._waiting.sort(key=lambda each: each.urgency)

    def may_start(self, job: Job) -> bool:
        """Return whether a waiting job is the next and fits."""
        first = bool(self._waiting) and self._waiting[0] is job
        has_slot = len(self._running) < self._law.slots
        return first and has_slot and self._fits(job.memory_tokens)

    def start(self, job: Job) -> None:
        """Give a waiting job its place."""
        self._waiting.remove(job)
        self._running.append(job)

    def drop(self, job: Job) -> None:
        """Forget a job, ended or not."""
        for held in (self._running, self._waiting):
            if job in held:
                held.remove(job)

    def clear(self) -> list[Job]:
        """Forget all, and return the jobs that there were."""
        jobs = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self._reserved_tokens = 0
        return jobs

    @contextmanager
    def reserve_memory(self, tokens: int) -> Iterator[None]:
        """Set memory aside; raise ``FailureError`` where it is taken."""
        if not self._fits(tokens):
            raise FailureError(not_run(Reason.NO_MEMORY))
        self._reserved_tokens += tokens
        try:
            yield
        finally:
            self._reserved_tokens = max(0, self._reserved_tokens - tokens)

    def _fits(self, tokens: int) -> bool:
        return tokens <= self._law.memory_tokens - self.used_tokens
