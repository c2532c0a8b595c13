"""Watches a table of the store: reads it once, then polls for changes."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note
from limpetdrift.platform.store import RowPage, StoreClient, read_all
from limpetdrift.verdict import Failure, Reason

# The retry interval after a failed call doubles with each further failure. The
# first is short, since most failures affect one connection only.
INITIAL_RETRY_SECONDS = 0.1
_MAX_DOUBLINGS = 6
# Bounds of the random factor of each retry interval.
_JITTER = (0.5, 1.0)
# Pause after a poll that returned changes. Changes come in bursts, and those
# within this time are read by one call. It is a tenth of the time within which
# a change must be in force.
BURST_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class TableSubscription:
    """A table to watch, and the callbacks for its rows.

    ``on_snapshot`` gets all rows, ``on_changes`` the changed ones; both also
    get the time at which the call began, on the watcher's clock.
    ``on_confirmed`` gets the start of each successful call; all changes up to
    then have been applied. ``on_store_lost`` is called when the store becomes
    unreachable. The table is watched while ``is_enabled`` returns true;
    ``wait_enabled`` waits until it may return true again.
    ``long_poll_seconds`` returns the time after which a call without changes
    ends, and ``max_retry_interval_seconds`` the back-off ceiling.
    """

    table: str
    on_snapshot: Callable[[RowPage, float], None]
    on_changes: Callable[[RowPage, float], None]
    on_confirmed: Callable[[float], None]
    on_store_lost: Callable[[], None]
    is_enabled: Callable[[], bool]
    wait_enabled: Callable[[], Awaitable[None]]
    long_poll_seconds: Callable[[], float]
    max_retry_interval_seconds: Callable[[], float]


class TableWatcher:
    """Watches one table, and passes its rows to a subscription."""

    def __init__(
        self,
        *,
        store: StoreClient,
        subscription: TableSubscription,
        clock: Callable[[], float],
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._subscription = subscription
        self._clock = clock
        self._randomness = randomness
        # The era and version up to which all changes have been applied.
        self._position: tuple[int, int] | None = None
        self._poll = trio.CancelScope()
        self._is_cut_short = False
        self._in_burst = False
        self._failures = 0
        self._lost_at: float | None = None
        self._regained_at = float('-inf')

    def outage_within(self, seconds: float) -> bool:
        """Return whether an outage lasts, or ended within ``seconds``."""
        if self._lost_at is not None:
            return True
        return self._clock() - self._regained_at < seconds

    @property
    def is_store_unreachable(self) -> bool:
        """Whether calls have failed since the last successful one."""
        return self._lost_at is not None

    def restart(self) -> None:
        """Read the whole table next, since the store is in a new era.

        The changes since the last read are unknown, and rows may lapse until
        they are written again, as after an outage.
        """
        self._position = None
        self._in_burst = False
        self._regained_at = self._clock()
        self._poll.cancel()

    def poll_again(self) -> None:
        """End a poll under way, and poll with the present timeout."""
        self._poll.cancel()

    async def run(self) -> None:
        """Watch the table until cancelled.

        After an error the whole table is read again: what was read last may
        be applied in part only.
        """
        self._position = None
        self._in_burst = False
        while True:
            if self._subscription.is_enabled():
                await self._step_or_lose_store()
            else:
                # Peers provide newer data than this position meanwhile, so the
                # whole table is read when the watcher is enabled again.
                self._position = None
                self._lost_at = None
                await self._subscription.wait_enabled()

    async def step(self) -> None:
        """Read the table, or poll once for changes; back off on failure."""
        requested_at = self._clock()
        self._is_cut_short = False
        if self._position is None:
            failure = await self._read_all(requested_at)
        else:
            failure = await self._read_changes(requested_at, *self._position)
        if failure is None and (self._is_cut_short or self._position is None):
            # Such a call says nothing about the store.
            return
        if failure is None:
            self._record_success()
            if self._in_burst:
                await trio.sleep(BURST_SECONDS)
            return
        if failure.reason is Reason.CONFLICT:
            note(
                'changelog of the store is truncated',
                table=self._subscription.table,
            )
            telemetry.count('store_rereads', table=self._subscription.table)
            self._position = None
            return
        await self._back_off(failure)

    async def _step_or_lose_store(self) -> None:
        """Take a step; an error is as if the store could not be read."""
        try:
            await self.step()
        except Exception as error:
            self._record_lost(type(error).__name__, str(error))
            raise

    async def _read_all(self, requested_at: float) -> Failure | None:
        result = await read_all(self._store, self._subscription.table)
        if result.is_error():
            return result.error
        page = result.ok
        self._position = (page.era, page.version)
        self._subscription.on_snapshot(page, requested_at)
        self._subscription.on_confirmed(requested_at)
        return None

    async def _read_changes(
        self, requested_at: float, era: int, version: int
    ) -> Failure | None:
        self._poll = trio.CancelScope()
        with self._poll:
            result = await self._store.poll_changes(
                self._subscription.table,
                version,
                self._subscription.long_poll_seconds(),
            )
        if self._poll.cancelled_caught:
            self._is_cut_short = True
            return None
        if result.is_error():
            return result.error
        page = result.ok
        if self._position is None or page.era != era:
            # These are not the changes after this position.
            self.restart()
            return None
        self._position = (era, max(version, page.version))
        if page.rows:
            self._subscription.on_changes(page, requested_at)
        self._subscription.on_confirmed(requested_at)
        self._in_burst = bool(page.rows)
        return None

    async def _back_off(self, failure: Failure) -> None:
        self._failures += 1
        self._record_lost(failure.reason, failure.detail)
        ceiling = min(
            INITIAL_RETRY_SECONDS
            * 2 ** min(self._failures - 1, _MAX_DOUBLINGS),
            self._subscription.max_retry_interval_seconds(),
        )
        await trio.sleep(ceiling * self._randomness.uniform(*_JITTER))

    def _record_lost(self, reason: str, detail: str) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock()
            self._subscription.on_store_lost()
            note(
                'store lost',
                table=self._subscription.table,
                reason=reason,
                detail=detail,
            )

    def _record_success(self) -> None:
        self._failures = 0
        if self._lost_at is not None:
            note(
                'store regained',
                table=self._subscription.table,
                lost_seconds=round(self._clock() - self._lost_at, 3),
            )
            self._lost_at = None
            self._regained_at = self._clock()
