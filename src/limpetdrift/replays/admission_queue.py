"""Admits jobs to the slots and the memory of a simulated model engine."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import trio

from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.verdict import FailureError, Reason, not_run


@dataclass(kw_only=True, eq=False)
class Job:
    """A request at the engine that decodes its answer.

    The prompt has ``tokens`` tokens and is prefilled in ``parts`` equal parts,
    one of them here. ``reserved_tokens`` of its memory are reserved apart from
    the job. The answer has ``events`` events, of which ``written`` are
    written, including those before a resumption. The lowest ``urgency`` is
    admitted first. ``is_broken`` means that the engine crashed, ``is_orphan``
    that nobody reads the answer.
    """

    tokens: int
    events: int
    answer_tokens: int = 0
    parts: int = 1
    reserved_tokens: int = 0
    urgency: int = 5
    written: int = 0
    is_broken: bool = False
    is_orphan: bool = False
    progress: trio.Event = field(default_factory=trio.Event)

    @property
    def memory_tokens(self) -> int:
        """The memory that the job uses, without the reserved tokens."""
        return self.tokens + self.answer_tokens - self.reserved_tokens

    def notify_reader(self) -> None:
        """Wake the task that reads the answer."""
        self.progress.set()
        self.progress = trio.Event()

    def write_event(self) -> None:
        """Add an event to the answer and wake its reader."""
        self.written += 1
        self.notify_reader()


class AdmissionQueue:
    """The running jobs of an engine, and the waiting ones by urgency."""

    def __init__(self, *, cost_model: EngineCostModel) -> None:
        self._cost_model = cost_model
        self._running: list[Job] = []
        self._waiting: list[Job] = []
        self._reserved_tokens = 0

    @property
    def running(self) -> int:
        """The number of running jobs."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of waiting jobs."""
        return len(self._waiting)

    @property
    def used_tokens(self) -> int:
        """The tokens of memory that running jobs use or that are reserved."""
        used = sum(job.memory_tokens for job in self._running)
        return used + self._reserved_tokens

    def is_running(self, job: Job) -> bool:
        """Return whether a job is in a slot."""
        return job in self._running

    def enqueue(self, job: Job) -> None:
        """Append a job to the waiting ones of its urgency."""
        self._waiting.append(job)
        self._waiting.sort(key=lambda each: each.urgency)

    def can_start(self, job: Job) -> bool:
        """Return whether a job is first in the queue, and can be admitted.

        It needs a free slot, and enough free memory.
        """
        is_first = bool(self._waiting) and self._waiting[0] is job
        has_slot = len(self._running) < self._cost_model.slots
        return is_first and has_slot and self._fits(job.memory_tokens)

    def start(self, job: Job) -> None:
        """Move a waiting job to a slot."""
        self._waiting.remove(job)
        self._running.append(job)

    def remove(self, job: Job) -> None:
        """Remove a job, running or waiting, if it is present."""
        for jobs in (self._running, self._waiting):
            if job in jobs:
                jobs.remove(job)

    def clear(self) -> list[Job]:
        """Remove all jobs and reservations, and return the jobs."""
        jobs = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self._reserved_tokens = 0
        return jobs

    @contextmanager
    def reserve_memory(self, tokens: int) -> Iterator[None]:
        """Reserve memory, or raise ``FailureError`` if too little is free."""
        if not self._fits(tokens):
            raise FailureError(not_run(Reason.NO_MEMORY))
        self._reserved_tokens += tokens
        try:
            yield
        finally:
            self._reserved_tokens = max(0, self._reserved_tokens - tokens)

    def _fits(self, tokens: int) -> bool:
        return tokens <= self._cost_model.memory_tokens - self.used_tokens
