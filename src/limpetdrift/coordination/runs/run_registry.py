"""Keeps the runs that this entry owns, by handle and by the caller's key.

The entry that admits a request owns it to its end: its deadline, attempts,
verdict and stream. The function that executes a run is passed in.
"""

import random
from collections.abc import Awaitable, Callable

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.state.run import Run, RunRequest
from limpetdrift.verdict import Failure, Reason, Verdict, not_run

# Time after which an ended run is removed.
RETENTION_SECONDS = 60.0
# Time without a reader after which a repeatable run is cancelled.
ABANDON_TIMEOUT_SECONDS = 15.0
SWEEP_INTERVAL_SECONDS = 2.0
# Random bits of a handle.
HANDLE_BITS = 64

ExecuteRun = Callable[[Run], Awaitable[None]]


class RunRegistry:
    """Starts runs, finds them, and removes them some time after their end."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        randomness: random.Random,
        execute: ExecuteRun,
        nursery: trio.Nursery,
    ) -> None:
        self._incarnation = incarnation
        self._prefix = f'{name}~{incarnation}'
        self._randomness = randomness
        self._execute_run = execute
        self._nursery = nursery
        self._by_handle: dict[str, Run] = {}
        self._by_key: dict[tuple[str, str], Run] = {}
        self._run_ended = trio.Event()

    @property
    def active(self) -> int:
        """The number of runs that have not ended."""
        return sum(not run.ended for run in self._by_handle.values())

    def make_handle(self) -> str:
        """Return a new handle, which names this process as the owner."""
        unique = format(self._randomness.getrandbits(HANDLE_BITS), 'x')
        return f'{self._prefix}~{unique}'

    def find(self, handle: str) -> Run | None:
        """Return the run with that handle, if this entry has it."""
        return self._by_handle.get(handle)

    def owns_attempt(
        self,
        request_key: str,
        attempt: int,
        incarnation: int,
    ) -> bool:
        """Return whether the attempt is the current one of an active run."""
        run = self._by_handle.get(request_key)
        if run is None or run.ended or incarnation != self._incarnation:
            return False
        return run.attempts == attempt

    def submit(self, request: RunRequest) -> Result[Run, Failure]:
        """Start a run, or return the one that has the same key.

        The same key with another body is a conflict. A failed run is replaced
        by a new one if it is repeatable or is proved not to have run. So is
        any run that starts at a later token than the request.
        """
        account_key = (request.account, request.key)
        existing = self._by_key.get(account_key)
        if existing is not None and not _is_replaceable(existing, request):
            if existing.request.fingerprint == request.fingerprint:
                telemetry.count('requests_joined')
                return Ok(existing)
            return Error(not_run(Reason.CONFLICT, 'key used for another body'))
        run = Run(request=request)
        self._by_key[account_key] = run
        self._by_handle[request.handle] = run
        self._nursery.start_soon(self._execute, run)
        return Ok(run)

    async def sweep(self) -> None:
        """Remove old ended runs and cancel abandoned ones in each interval."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            now = trio.current_time()
            for run in list(self._by_handle.values()):
                self._sweep_run(run, now)

    async def wait_until_idle(self) -> None:
        """Wait until no run is active."""
        while self.active:
            await self._run_ended.wait()

    async def _execute(self, run: Run) -> None:
        await self._execute_run(run)
        self._run_ended.set()
        self._run_ended = trio.Event()

    def _sweep_run(self, run: Run, now: float) -> None:
        if run.ended_at is not None:
            if now - run.ended_at > RETENTION_SECONDS:
                self._forget(run)
            return
        is_idle = (
            not run.readers and now - run.last_read_at > ABANDON_TIMEOUT_SECONDS
        )
        if is_idle and run.request.repeatable:
            telemetry.count('runs_abandoned')
            run.cancel_scope.cancel()

    def _forget(self, run: Run) -> None:
        self._by_handle.pop(run.request.handle, None)
        account_key = (run.request.account, run.request.key)
        if self._by_key.get(account_key) is run:
            self._by_key.pop(account_key)


def _is_replaceable(run: Run, request: RunRequest) -> bool:
    if run.request.start_offset > request.start_offset:
        return True
    if run.failure is None:
        return False
    return run.request.repeatable or run.verdict is Verdict.NOT_RUN
