"""Keeps the jobs of simulated engines whose callers are gone.

An engine doesn't notice that an entry has lost power, so it goes on with the
entry's requests until their answers are written.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from limpetdrift.replays.admission_queue import AdmissionQueue, Job
from limpetdrift.replays.prefill_queue import PrefillQueue, PrefillTask


class Orphans:
    """The jobs of one engine that go on without a connection.

    ``is_keeping`` says that jobs whose connections end now become orphans.
    """

    def __init__(self) -> None:
        self.is_keeping = False
        self._prefills: list[tuple[Job, PrefillTask]] = []

    @contextmanager
    def keeping(self) -> Iterator[None]:
        """Make orphans of the jobs whose connections end in the context."""
        self.is_keeping = True
        yield
        self.is_keeping = False

    def keep_prefill(self, job: Job, task: PrefillTask) -> None:
        """Go on with the prefill of a job."""
        self._prefills.append((job, task))

    def clear(self) -> None:
        """Drop all prefills, as the engine has crashed."""
        self._prefills.clear()

    def take_prefilled(self, prefills: PrefillQueue) -> list[Job]:
        """Return and forget the jobs whose prompts have been prefilled."""
        done = [pair for pair in self._prefills if pair[1].done.is_set()]
        self._prefills = [pair for pair in self._prefills if pair not in done]
        for _, task in done:
            prefills.remove(task)
        return [job for job, _ in done]


def end_decoded(decoding: list[Job], admission: AdmissionQueue) -> None:
    """Free the slots and the memory of orphans whose answers are written."""
    for job in decoding:
        if job.is_orphan and job.written >= job.events:
            admission.remove(job)
