"""Reads configuration from the store.

Polling reads only the stamp, a version that grows with every change, and all
documents when it has grown. Confirming also checks, by a conditional
transaction, that no newer stamp exists.
"""

from collections.abc import Callable
from enum import Enum, auto, unique

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.configuration.config_confirmation import (
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.table import ABSENT, TableCalls
from limpetdrift.state.configuration import (
    confirm_stamp,
    read_snapshot,
    read_stamp,
)
from limpetdrift.state.configuration_replica import ConfigurationReplica
from limpetdrift.verdict import Reason

Documents = tuple[StoredDocument, ...]


@unique
class StoreComparison(Enum):
    """Whether the documents read from the store are its newest."""

    NEWEST = auto()
    OUTDATED = auto()
    UNREACHABLE = auto()


class ConfigurationStore:
    """Applies the store's documents to the configuration replica."""

    def __init__(
        self,
        *,
        calls: TableCalls,
        replica: ConfigurationReplica,
        confirmation: ConfirmationState,
        timing: ConfigurationTiming,
        now: Callable[[], float],
    ) -> None:
        self._calls = calls
        self._replica = replica
        self._confirmation = confirmation
        self._timing = timing
        self._now = now
        self._last_stamp = ABSENT

    async def poll(self) -> Documents:
        """Read the stamp, and the documents if needed; return the newer ones.

        Documents are read if the stamp has grown, or if the replica lacks a
        version that one of its documents requires. Nothing is returned after
        a failure or timeout.
        """
        requested_at = self._now()
        with trio.move_on_after(self._timing.call_timeout_seconds):
            stamp = await read_stamp(self._calls)
            if stamp.is_error():
                telemetry.count('retries', reason=stamp.error.reason)
                return ()
            self._confirmation.record_contact(requested_at)
            if stamp.ok > self._last_stamp or self._replica.awaits_requirements:
                return await self._read()
            return ()
        telemetry.count('retries', reason=Reason.TIMEOUT)
        return ()

    async def confirm(self) -> StoreComparison:
        """Read all documents, and compare the stamp with the newest.

        The result also holds where the store's reads lag behind its writes,
        since a transaction checks the stamp.
        """
        requested_at = self._now()
        with trio.move_on_after(self._timing.call_timeout_seconds):
            await self._read()
            newest = await confirm_stamp(self._calls, self._last_stamp)
            if newest.is_ok():
                return self._compare(requested_at, is_newest=newest.ok)
        return StoreComparison.UNREACHABLE

    def _compare(
        self, requested_at: float, *, is_newest: bool
    ) -> StoreComparison:
        if not is_newest:
            return StoreComparison.OUTDATED
        self._confirmation.record_contact(requested_at)
        return StoreComparison.NEWEST

    async def _read(self) -> Documents:
        read = await read_snapshot(self._calls)
        if read.is_error():
            telemetry.count('retries', reason=read.error.reason)
            return ()
        self._last_stamp = max(self._last_stamp, read.ok.stamp)
        return self._replica.apply_newer(tuple(read.ok.documents.values()))
