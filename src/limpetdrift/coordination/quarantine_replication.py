"""Replicates the quarantine states of fingerprints across the region.

Changes are broadcast to every entry at once, batched into one message. The
gossip of the membership carries a hash over the refusals and releases; an
entry that finds another hash at a peer pulls that peer's records, which
makes up for a lost push.
"""

from collections.abc import Callable

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.quarantine import (
    PULL_PATH,
    PUSH_PATH,
    QuarantineDigest,
    QuarantinePull,
    QuarantineRecord,
    QuarantineRecords,
    QuarantineState,
)
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.suspects import CrashSuspects

DIGEST_NAME = 'quarantine'
# Timeout of one push or pull.
CALL_TIMEOUT_SECONDS = 1.0
PUSH_ATTEMPTS = 2
MAX_PARALLEL_CALLS = 64
_PULLED_STATES = frozenset((QuarantineState.REFUSED, QuarantineState.RELEASED))


class QuarantineReplicator:
    """Replicates the records of one entry's suspects.

    ``run`` has to run in the background to push and pull them.
    """

    def __init__(
        self,
        *,
        node: Node,
        suspects: CrashSuspects,
        live_entries: Callable[[], tuple[Node, ...]],
        call: PeerCall,
    ) -> None:
        self._node = node
        self._suspects = suspects
        self._live_entries = live_entries
        self._call = call
        self._queued: list[QuarantineRecord] = []
        self._differing_peers: set[str] = set()
        self._work_added = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of pushes and pulls."""
        peer_routes.add(PUSH_PATH, QuarantineRecords, self.handle_records)
        peer_routes.add(PULL_PATH, QuarantinePull, self.handle_pull)

    def add(self, record: QuarantineRecord | None) -> None:
        """Queue a changed record, if any, for all other entries."""
        if record is not None:
            self._queued.append(record)
            self._work_added.set()

    def make_digest(self) -> bytes:
        """Return the digest of this entry for the membership's gossip."""
        return encode(QuarantineDigest(refused=self._suspects.digest))

    def on_digest(self, sender: str, digest: bytes) -> None:
        """Schedule a pull from a peer whose refusals or releases differ."""
        decoded = decode(digest, QuarantineDigest)
        if decoded.is_ok() and decoded.ok.refused != self._suspects.digest:
            self._differing_peers.add(sender)
            self._work_added.set()

    async def handle_records(
        self,
        message: QuarantineRecords,
    ) -> Result[QuarantinePull, Failure]:
        """Merge a peer's records; the reply is an empty message."""
        for record in message.news:
            self._suspects.merge(record)
        return Ok(QuarantinePull())

    async def handle_pull(
        self,
        _: QuarantinePull,
    ) -> Result[QuarantineRecords, Failure]:
        """Return all refusals and releases."""
        return Ok(
            QuarantineRecords(
                news=tuple(self._suspects.records_in(_PULLED_STATES))
            )
        )

    async def run(self) -> None:
        """Push changes and pull from differing peers until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._work_added.wait()
                self._work_added = trio.Event()
                message = QuarantineRecords(news=tuple(self._queued))
                self._queued.clear()
                differing = frozenset(self._differing_peers)
                self._differing_peers.clear()
                # A peer that doesn't answer must not delay later pushes.
                nursery.start_soon(self._synchronize, message, differing)

    async def _synchronize(
        self, message: QuarantineRecords, differing: frozenset[str]
    ) -> None:
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)

        async def limited(call, entry: Node, *more: object) -> None:
            async with limiter:
                await call(entry, *more)

        async with trio.open_nursery() as nursery:
            for entry in self._live_entries():
                if entry.name == self._node.name:
                    continue
                if message.news:
                    nursery.start_soon(limited, self._push, entry, message)
                if entry.name in differing:
                    nursery.start_soon(limited, self._pull, entry)

    async def _push(self, entry: Node, message: QuarantineRecords) -> None:
        for _ in range(PUSH_ATTEMPTS):
            reply = await self._call(
                entry.peer_address,
                PUSH_PATH,
                message,
                QuarantinePull,
                timeout_seconds=CALL_TIMEOUT_SECONDS,
            )
            if reply.is_ok():
                return
            telemetry.count('retries', reason=reply.error.reason)

    async def _pull(self, entry: Node) -> None:
        pulled = await self._call(
            entry.peer_address,
            PULL_PATH,
            QuarantinePull(),
            QuarantineRecords,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )
        if pulled.is_ok():
            await self.handle_records(pulled.ok)
