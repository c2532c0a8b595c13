"""Keeps a table of the store in mind: one read, then what changes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note
from limpetdrift.platform.store import RowPage, StoreClient, StoredRow
from limpetdrift.protocol.verdict import Failure, Reason

# The pause after a call that failed doubles with each one in turn; the first
# is short since most failures are of one connection only.
RETRY_SECONDS = 0.1
_DOUBLINGS = 6
_JITTER = (0.5, 1.0)
# How often a table that others follow is looked at.
UNWANTED_SECONDS = 0.25
# Changes come in bursts: those that follow one within this time are read in
# one call. It is a tenth of the time in which a change is to be in force.
BURST_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class TableSubscription:
    """What to do with a table's rows.

    ``replace`` gets all rows, ``apply`` the changed ones; both get the time
    at which the call began, on the follower's clock. ``confirm`` gets that
    of a call that showed all changes so far. ``lost`` is told when the store
    goes out of reach. The table is followed while ``is_wanted``; without a
    change a call ends after ``wait_seconds``, and calls that fail are made
    again after ``retry_seconds`` at most.
    """

    table: str
    on_snapshot: Callable[[RowPage, float], None]
    on_changes: Callable[[RowPage, float], None]
    on_confirmed: Callable[[float], None]
    on_store_lost: Callable[[], None]
    is_enabled: Callable[[], bool]
    long_poll_seconds: Callable[[], float]
    max_retry_interval_seconds: Callable[[], float]


class TableWatcher:
    """How far one table was followed; ``run`` follows it until cancelled."""

    def __init__(
        self,
        *,
        store: StoreClient,
        followed: TableSubscription,
        clock: Callable[[], float],
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._followed = followed
        self._clock = clock
        self._random = randomness
        self._version: int | None = None
        self._in_burst = False
        self._failures = 0
        self._lost_at: float | None = None
        self._regained_at = float('-inf')

    def outage_within(self, seconds: float) -> bool:
        """Return whether the store was out of reach so lately, or is now."""
        if self._lost_at is not None:
            return True
        return self._clock() - self._regained_at < seconds

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last calls found the store out of reach."""
        return self._lost_at is not None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if self._followed.is_enabled():
                await self.step()
            else:
                # What others tell meanwhile is newer than this version.
                self._version = None
                self._lost_at = None
                await trio.sleep(UNWANTED_SECONDS)

    async def step(self) -> None:
        """Make one call, and pause if it failed."""
        requested_at = self._clock()
        if self._version is None:
            failure = await self._read_all(requested_at)
        else:
            failure = await self._read_changes(requested_at)
        if failure is None:
            self._note_regained()
            if self._in_burst:
                await trio.sleep(BURST_SECONDS)
            return
        if failure.reason is Reason.CONFLICT:
            note('history of the store is gone', table=self._followed.table)
            telemetry.count('store_rereads', table=self._followed.table)
            self._version = None
            return
        await self._pause(failure)

    async def _read_all(self, requested_at: float) -> Failure | None:
        rows: list[StoredRow] = []
        version: int | None = None
        start = ''
        while True:
            answer = await self._store.read(self._followed.table, start=start)
            if answer.is_error():
                return answer.error
            page = answer.ok
            rows.extend(page.rows)
            version = page.version if version is None else version
            if not page.truncated or not page.rows:
                break
            last = page.rows[-1].key
            start = f'{last}\0'
        self._version = version
        self._followed.on_snapshot(
            RowPage(rows=tuple(rows), version=version),
            requested_at,
        )
        self._followed.on_confirmed(requested_at)
        return None

    async def _read_changes(self, requested_at: float) -> Failure | None:
        answer = await self._store.poll_changes(
            self._followed.table,
            self._version,
            self._followed.long_poll_seconds(),
        )
        if answer.is_error():
            return answer.error
        page = answer.ok
        self._version = max(self._version, page.version)
        if page.rows:
            self._followed.on_changes(page, requested_at)
        self._followed.on_confirmed(requested_at)
        self._in_burst = bool(page.rows)
        return None

    async def _pause(self, failure: Failure) -> None:
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = self._clock()
            self._followed.on_store_lost()
            note(
                'store lost',
                table=self._followed.table,
                reason=failure.reason,
                detail=failure.detail,
            )
        longest = min(
            RETRY_SECONDS * 2 ** min(self._failures - 1, _DOUBLINGS),
            self._followed.max_retry_interval_seconds(),
        )
        await trio.sleep(longest * self._random.uniform(*_JITTER))

    def _note_regained(self) -> None:
        self._failures = 0
        if self._lost_at is not None:
            note(
                'store regained',
                table=self._followed.table,
                lost_seconds=round(self._clock() - self._lost_at, 3),
            )
            self._lost_at = None
            self._regained_at = self._clock()
