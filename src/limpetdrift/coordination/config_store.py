"""Reads configuration from the store: by stamp, whole, and for certain."""

from collections.abc import Callable
from enum import Enum, auto, unique

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.config_confirmation import (
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.table import ABSENT, TableCalls
from limpetdrift.protocol.verdict import Reason
from limpetdrift.state.configuration import (
    confirm_stamp,
    read_snapshot,
    read_stamp,
)
from limpetdrift.state.configuration_replica import ConfigurationReplica

Documents = tuple[StoredDocument, ...]


@unique
class StoreComparison(Enum):
    """What the store says about the documents that were read from it."""

    NEWEST = auto()
    OUTDATED = auto()
    UNREACHABLE = auto()


class ConfigurationStore:
    """Brings what the store has into the held configuration."""

    def __init__(
        self,
        *,
        calls: TableCalls,
        held: ConfigurationReplica,
        confirmation: ConfirmationState,
        timing: ConfigurationTiming,
        now: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._held = held
        self._confirmation = confirmation
        self._timing = timing
        self._now = now
        self._seen_stamp = ABSENT

    async def poll(self) -> Documents:
        """Read the stamp, and the documents where it is new.

        Return the documents that were taken.
        """
        asked_at = self._now()
        with trio.move_on_after(self._timing.call_timeout_seconds):
            stamp = await read_stamp(self._calls)
            if stamp.is_error():
                telemetry.count('retries', reason=stamp.error.reason)
                return ()
            self._confirmation.record_contact(asked_at)
            if stamp.ok > self._seen_stamp or self._held.awaits_requirements:
                return await self._read()
            return ()
        telemetry.count('retries', reason=Reason.TIMEOUT)
        return ()

    async def confirm(self) -> StoreComparison:
        """Read all, and ask whether there is a newer stamp.

        The answer also holds where the service's reads lag behind its writes.
        """
        asked_at = self._now()
        with trio.move_on_after(self._timing.call_timeout_seconds):
            await self._read()
            newest = await confirm_stamp(self._calls, self._seen_stamp)
            if newest.is_ok():
                return self._judge(asked_at, is_newest=newest.ok)
        return StoreComparison.UNREACHABLE

    def _judge(self, asked_at: float, *, is_newest: bool) -> StoreComparison:
        if not is_newest:
            return StoreComparison.OUTDATED
        self._confirmation.record_contact(asked_at)
        return StoreComparison.NEWEST

    async def _read(self) -> Documents:
        read = await read_snapshot(self._calls)
        if read.is_error():
            telemetry.count('retries', reason=read.error.reason)
            return ()
        self._seen_stamp = max(self._seen_stamp, read.ok.stamp)
        return self._held.apply_newer(tuple(read.ok.documents.values()))
