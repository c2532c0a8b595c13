"""Runs background tasks so that an error of one ends no other.

An error is logged with its traceback, counted, and ends nothing but its own
task. A task that has to go on for as long as the process runs begins again,
after a delay that grows while it keeps failing:

>>> nursery.start_soon(keep_running, 'gossip-pushes', self._push_loop)

Work that is started anew for each event is not repeated:

>>> nursery.start_soon(run_contained, 'engine-poll', self._poll, engine)

Cancellation, ``KeyboardInterrupt`` and ``SystemExit`` pass through. What a task
clears before it acts is lost with an error, so each says in
docs/PLATFORM-DESIGN.md what it loses by starting again.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, replace

import trio

from limpetdrift import telemetry
from limpetdrift.error_logs import leaf_type, log_leaves

# Ceilings of the delay before a restart: the first, and the highest.
FIRST_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 5.0
# A task that ran for this time is well again: its next delay is the first one.
WELL_SECONDS = 10.0
# Interval between log lines on errors of one type in one task.
LOG_INTERVAL_SECONDS = 5.0
_MAX_DOUBLINGS = 16
# Bounds of the random factor of each delay.
_JITTER = (0.5, 1.0)

# Gets the name of a task that has failed, and for how long it has been failing.
FailureHook = Callable[[str, float], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureSeries:
    """The failures of a task since it last ran well; ``since`` is the first."""

    count: int = 0
    since: float = 0.0


def extend_series(
    series: FailureSeries, started_at: float, failed_at: float
) -> FailureSeries:
    """Return the series with one more failure, a new one after a good run.

    >>> first = extend_series(FailureSeries(), 0.0, 1.0)
    >>> extend_series(first, 1.1, 2.0)
    FailureSeries(count=2, since=1.0)
    >>> extend_series(first, 1.1, 1.1 + WELL_SECONDS).count
    1
    """
    if series.count and failed_at - started_at < WELL_SECONDS:
        return replace(series, count=series.count + 1)
    return FailureSeries(count=1, since=failed_at)


def max_delay_seconds(series: FailureSeries) -> float:
    """Return the longest delay before the restart after a failure."""
    doublings = min(series.count - 1, _MAX_DOUBLINGS)
    return min(MAX_DELAY_SECONDS, FIRST_DELAY_SECONDS * 2**doublings)


def _ignore_failure(name: str, failing_seconds: float) -> None:
    """Do nothing; a process may set another hook."""


# Called after each failure of a task that begins again.
failure_hook: trio.lowlevel.RunVar[FailureHook] = trio.lowlevel.RunVar(
    'failure_hook', _ignore_failure
)


@dataclass(kw_only=True, slots=True)
class _LoggedErrors:
    """When an error was last logged, and how many were not logged since."""

    at: float
    unlogged: int = 0


_logged: trio.lowlevel.RunVar[dict[tuple[str, str], _LoggedErrors]] = (
    trio.lowlevel.RunVar('logged')
)


async def keep_running(
    name: str, run: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Run a task until it ends without an error; begin again after one."""
    series = FailureSeries()
    while True:
        started_at = trio.current_time()
        if await run_contained(name, run, *arguments):
            return
        failed_at = trio.current_time()
        series = extend_series(series, started_at, failed_at)
        failure_hook.get()(name, failed_at - series.since)
        jitter = random.uniform(*_JITTER)
        await trio.sleep(max_delay_seconds(series) * jitter)


async def run_contained(
    name: str, run: Callable[..., Awaitable[None]], *arguments: object
) -> bool:
    """Run a task once; return whether it ended without an error."""
    try:
        await run(*arguments)
    except Exception as error:
        record_error(name, error)
        return False
    except BaseExceptionGroup as group:
        errors, others = group.split(Exception)
        if errors is not None:
            record_error(name, errors)
        raise others from None
    return True


def call_hooks(
    name: str, hooks: Iterable[Callable[..., None]], *arguments: object
) -> None:
    """Call each hook, also after one that has raised an error.

    >>> call_hooks('members', self.on_change, changed)  # doctest: +SKIP
    """
    for hook in hooks:
        try:
            hook(*arguments)
        except Exception as error:
            record_error(name, error)


def record_error(name: str, error: Exception) -> None:
    """Count an error of a task, and log it unless one like it just was."""
    kind = leaf_type(error)
    telemetry.count('task_failures', task=name, type=kind)
    logged = _logged_errors()
    now = trio.current_time()
    last = logged.get((name, kind))
    if last is not None and now - last.at < LOG_INTERVAL_SECONDS:
        last.unlogged += 1
        return
    log_leaves(
        'background task failed',
        error,
        name,
        unlogged=last.unlogged if last else 0,
    )
    logged[name, kind] = _LoggedErrors(at=now)


def _logged_errors() -> dict[tuple[str, str], _LoggedErrors]:
    """Return the errors that were logged in this run of trio."""
    try:
        return _logged.get()
    except LookupError:
        _logged.set({})
        return _logged.get()
