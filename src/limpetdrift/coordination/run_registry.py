"""The runs that this entry owns, by handle and by the caller's key.

The entry that admits a request owns it to its end: its deadline, attempts,
verdict and stream. What brings a run to its end is passed in as a function.
"""

import random
from collections.abc import Awaitable, Callable

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.verdict import Failure, Reason, Verdict, not_run
from limpetdrift.state.run import Run, RunRequest

RETAIN_SECONDS = 60.0
ABANDON_SECONDS = 15.0
SWEEP_SECONDS = 2.0
HANDLE_BITS = 64

Drive = Callable[[Run], Awaitable[None]]


class RunRegistry:
    """Keeps the runs, starts them, and forgets them after a while."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        random_source: random.Random,
        drive: Drive,
        nursery: trio.Nursery,
    ) -> None:
        self._incarnation = incarnation
        self._prefix = f'{name}~{incarnation}'
        self._random = random_source
        self._start_run = drive
        self._nursery = nursery
        self._by_handle: dict[str, Run] = {}
        self._by_key: dict[tuple[str, str], Run] = {}
        self._run_ended = trio.Event()

    @property
    def active(self) -> int:
        """The number of runs that have not ended."""
        return sum(not run.ended for run in self._by_handle.values())

    def make_handle(self) -> str:
        """Return a new handle; it names this process as the owner."""
        unique = format(self._random.getrandbits(HANDLE_BITS), 'x')
        return f'{self._prefix}~{unique}'

    def find(self, handle: str) -> Run | None:
        """Return the run of that handle, if it is kept here."""
        return self._by_handle.get(handle)

    def owns_attempt(
        self,
        request_key: str,
        attempt: int,
        incarnation: int,
    ) -> bool:
        """Return whether that attempt is the live one of a run here."""
        run = self._by_handle.get(request_key)
        if run is None or run.ended or incarnation != self._incarnation:
            return False
        return run.attempts == attempt

    def submit(self, request: RunRequest) -> Result[Run, Failure]:
        """Start a run, or return the one that has the same key.

        The same key with another body is a conflict. A run that is proved
        not to have run gives way to a new one.
        """
        name = (request.account, request.key)
        known = self._by_key.get(name)
        if known is not None and not _gives_way(known, request):
            if known.request.fingerprint == request.fingerprint:
                telemetry.count('requests_joined')
                return Ok(known)
            return Error(not_run(Reason.CONFLICT, 'key used for another body'))
        run = Run(request=request)
        self._by_key[name] = run
        self._by_handle[request.handle] = run
        self._nursery.start_soon(self._drive, run)
        return Ok(run)

    async def sweep(self) -> None:
        """Forget ended runs after a while, and cancel abandoned ones."""
        while True:
            await trio.sleep(SWEEP_SECONDS)
            now = trio.current_time()
            for run in list(self._by_handle.values()):
                self._sweep_run(run, now)

    async def wait_until_idle(self) -> None:
        """Wait until no run is left."""
        while self.active:
            await self._run_ended.wait()

    async def _drive(self, run: Run) -> None:
        await self._start_run(run)
        self._run_ended.set()
        self._run_ended = trio.Event()

    def _sweep_run(self, run: Run, now: float) -> None:
        if run.ended_at is not None:
            if now - run.ended_at > RETAIN_SECONDS:
                self._forget(run)
            return
        idle = not run.readers and now - run.last_read_at > ABANDON_SECONDS
        if idle and run.request.repeatable:
            telemetry.count('runs_abandoned')
            run.cancel_scope.cancel()

    def _forget(self, run: Run) -> None:
        self._by_handle.pop(run.request.handle, None)
        name = (run.request.account, run.request.key)
        if self._by_key.get(name) is run:
            self._by_key.pop(name)


def _gives_way(run: Run, request: RunRequest) -> bool:
    if run.request.start_offset > request.start_offset:
        return True
    if run.failure is None:
        return False
    return run.request.repeatable or run.verdict is Verdict.NOT_RUN
