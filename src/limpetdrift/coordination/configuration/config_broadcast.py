"""Pushes new configuration documents to every other entry."""

from collections.abc import Callable

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.configuration.config_confirmation import (
    ConfigurationTiming,
)
from limpetdrift.coordination.configuration.config_sync import ConfigurationSync
from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.node import Node
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason

_RETRY_INTERVAL_SECONDS = 0.25

Documents = tuple[StoredDocument, ...]


class ConfigurationBroadcaster:
    """Runs one task for each peer, which retries its push until a deadline.

    A peer that refuses connections is dead, and its push is not retried.
    """

    def __init__(
        self,
        *,
        sync: ConfigurationSync,
        others: Callable[[], tuple[Node, ...]],
        timing: ConfigurationTiming,
    ) -> None:
        self._sync = sync
        self._others = others
        self._timing = timing
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Run pushes in this nursery from now on."""
        self._nursery = nursery

    def detach(self) -> None:
        """Start no more pushes, since the nursery has ended."""
        self._nursery = None

    async def broadcast(self, documents: Documents) -> None:
        """Push to all other entries.

        Return when every push has ended, or after ``push_wait_seconds``;
        unfinished pushes continue.
        """
        if not documents or self._nursery is None:
            return
        others = self._others()
        finished = trio.Semaphore(0)
        for other in others:
            self._nursery.start_soon(
                self._push,
                other.peer_address,
                documents,
                finished,
            )
        with trio.move_on_after(self._timing.push_wait_seconds):
            for _ in others:
                await finished.acquire()

    async def _push(
        self,
        peer: Address,
        documents: Documents,
        finished: trio.Semaphore,
    ) -> None:
        with trio.move_on_after(self._timing.push_deadline_seconds):
            while True:
                reply = await self._sync.push(peer, documents)
                if reply.is_ok() or _is_refused(reply.error):
                    break
                telemetry.count('retries', reason=reply.error.reason)
                await trio.sleep(_RETRY_INTERVAL_SECONDS)
        finished.release()


def _is_refused(failure: Failure) -> bool:
    return failure.reason is Reason.CONNECT_FAILED
