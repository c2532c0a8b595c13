"""Pushes newly taken documents to every other entry."""

from collections.abc import Callable

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.config_confirmation import ConfigurationTiming
from limpetdrift.coordination.config_sync import ConfigurationSync
from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.transport.messages import Address

_RETRY_SECONDS = 0.25

Documents = tuple[StoredDocument, ...]


class ConfigurationBroadcaster:
    """One task for each push, retried until it is taken or time is up."""

    def __init__(
        self,
        *,
        peers: ConfigurationSync,
        others: Callable[[], tuple[Node, ...]],
        timing: ConfigurationTiming,
    ) -> None:
        self._peers = peers
        self._others = others
        self._timing = timing
        self._nursery: trio.Nursery | None = None

    def attach(self, nursery: trio.Nursery) -> None:
        """Let pushes run in this nursery."""
        self._nursery = nursery

    def detach(self) -> None:
        """Push no more; the nursery has ended."""
        self._nursery = None

    async def broadcast(self, documents: Documents) -> None:
        """Push to all others; wait a while for them to have taken it."""
        if not documents or self._nursery is None:
            return
        others = self._others()
        done = trio.Semaphore(0)
        for other in others:
            self._nursery.start_soon(
                self._push,
                other.peer_address,
                documents,
                done,
            )
        with trio.move_on_after(self._timing.push_wait_seconds):
            for _ in others:
                await done.acquire()

    async def _push(
        self,
        peer: Address,
        documents: Documents,
        done: trio.Semaphore,
    ) -> None:
        with trio.move_on_after(self._timing.push_seconds):
            while True:
                answer = await self._peers.push(peer, documents)
                if answer.is_ok() or _is_dead(answer.error):
                    break
                telemetry.count('retries', reason=answer.error.reason)
                await trio.sleep(_RETRY_SECONDS)
        done.release()


def _is_dead(failure: Failure) -> bool:
    return failure.reason is Reason.CONNECT_FAILED
