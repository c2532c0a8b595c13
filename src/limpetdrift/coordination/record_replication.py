"""Replicates records of one kind across the entries of a region.

Changes are broadcast to every entry at once, batched into one message. The
gossip of the membership carries a hash over the records; an entry that finds
another hash at a peer pulls that peer's records, which makes up for a lost
push.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.node import Node
from limpetdrift.supervision import run_contained
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

# Timeout of one push or pull.
CALL_TIMEOUT_SECONDS = 1.0
PUSH_ATTEMPTS = 2
MAX_PARALLEL_CALLS = 64


@dataclass(frozen=True, kw_only=True)
class ReplicatedRecords:
    """The kind of records that are replicated, and how they are kept.

    ``pull`` is the message that requests all records, and also the reply to a
    push. ``compose`` makes the message of type ``message_type`` that holds
    records. ``merge`` applies such a message, ``all_records`` returns the
    records for a pull, and ``has_digest`` tells whether a peer's digest equals
    this node's. Changes within ``batch_seconds`` are sent in one message.
    """

    push_path: str
    pull_path: str
    message_type: type
    pull: Any
    compose: Callable[[tuple[Any, ...]], Any]
    merge: Callable[[Any], None]
    all_records: Callable[[], tuple[Any, ...]]
    has_digest: Callable[[bytes], bool]
    batch_seconds: float = 0.0


class RecordReplicator:
    """Replicates the records of one entry.

    ``run`` has to run in the background to push and pull them.
    """

    def __init__(
        self,
        *,
        node: Node,
        replicated: ReplicatedRecords,
        live_entries: Callable[[], tuple[Node, ...]],
        call: PeerCall,
    ) -> None:
        self._node = node
        self._replicated = replicated
        self._live_entries = live_entries
        self._call = call
        self._queued: list[Any] = []
        self._differing_peers: set[str] = set()
        self._work_added = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of pushes and pulls."""
        replicated = self._replicated
        peer_routes.add(
            replicated.push_path, replicated.message_type, self.handle_records
        )
        peer_routes.add(
            replicated.pull_path, type(replicated.pull), self.handle_pull
        )

    def add(self, record: Any | None) -> None:
        """Queue a changed record, if any, for all other entries."""
        if record is not None:
            self._queued.append(record)
            self._work_added.set()

    def on_digest(self, sender: str, digest: bytes) -> None:
        """Schedule a pull from a peer whose records differ."""
        if not self._replicated.has_digest(digest):
            self._differing_peers.add(sender)
            self._work_added.set()

    async def handle_records(self, message: Any) -> Result[Any, Failure]:
        """Merge a peer's records; the reply is an empty message."""
        self._replicated.merge(message)
        return Ok(self._replicated.pull)

    async def handle_pull(self, _: Any) -> Result[Any, Failure]:
        """Return all records."""
        return Ok(self._replicated.compose(self._replicated.all_records()))

    async def run(self) -> None:
        """Push changes and pull from differing peers until cancelled."""
        if self._queued or self._differing_peers:
            self._work_added.set()
        async with trio.open_nursery() as nursery:
            while True:
                await self._work_added.wait()
                await trio.sleep(self._replicated.batch_seconds)
                self._work_added = trio.Event()
                queued = tuple(self._queued)
                self._queued.clear()
                differing = frozenset(self._differing_peers)
                self._differing_peers.clear()
                # A peer that doesn't answer must not delay later pushes.
                nursery.start_soon(
                    run_contained,
                    'record-replication',
                    self._synchronize,
                    queued,
                    differing,
                )

    async def pull_from(
        self, address: Address, timeout_seconds: float
    ) -> Result[Any, Failure]:
        """Merge the records of one peer; return its message."""
        pulled = await self._call(
            address,
            self._replicated.pull_path,
            self._replicated.pull,
            self._replicated.message_type,
            timeout_seconds=timeout_seconds,
        )
        if pulled.is_ok():
            self._replicated.merge(pulled.ok)
        return pulled

    async def learn_from(
        self, seeds: tuple[Address, ...], timeout_seconds: float
    ) -> bool:
        """Merge the records of seeds; return whether one had learned them.

        This ends with the first such reply. Messages of this kind tell by
        ``has_learned`` whether their sender may know less than what is kept.
        """
        informed = trio.Event()

        async def pull(address: Address) -> None:
            reply = await self.pull_from(address, timeout_seconds)
            if reply.is_ok() and reply.ok.has_learned:
                informed.set()
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in seeds:
                nursery.start_soon(run_contained, 'record-pull', pull, address)
        return informed.is_set()

    async def _synchronize(
        self, queued: tuple[Any, ...], differing: frozenset[str]
    ) -> None:
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)
        message = self._replicated.compose(queued)

        async def limited(call, entry: Node, *more: object) -> None:
            async with limiter:
                await run_contained('record-exchange', call, entry, *more)

        async with trio.open_nursery() as nursery:
            for entry in self._live_entries():
                if entry.name == self._node.name:
                    continue
                if queued:
                    nursery.start_soon(limited, self._push, entry, message)
                if entry.name in differing:
                    nursery.start_soon(limited, self._pull, entry)

    async def _push(self, entry: Node, message: Any) -> None:
        for _ in range(PUSH_ATTEMPTS):
            reply = await self._call(
                entry.peer_address,
                self._replicated.push_path,
                message,
                type(self._replicated.pull),
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
            if reply.is_ok():
                return
            telemetry.count('retries', reason=reply.error.reason)

    async def _pull(self, entry: Node) -> None:
        await self.pull_from(entry.peer_address, CALL_TIMEOUT_SECONDS)
