"""Spreads the standing of fingerprints to all entries of the region.

News are pushed to every entry at once, many in one message. An exchange of
the membership carries a hash over the refusals; where two differ, the one
that notices pulls the other's.
"""

from collections.abc import Callable

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.quarantine import (
    NEWS_PATH,
    PULL_PATH,
    QuarantineDigest,
    QuarantineNews,
    QuarantinePull,
    QuarantineRecord,
    QuarantineState,
)
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.suspects import CrashSuspects

DIGEST_NAME = 'quarantine'
PUSH_TIMEOUT_SECONDS = 1.0
PUSH_TRIES = 2
PARALLEL_PUSHES = 64
_PULLED = frozenset((QuarantineState.REFUSED, QuarantineState.RELEASED))


class QuarantineReplicator:
    """Pushes, takes in, and compares; ``run`` pushes until cancelled."""

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
        self._apart: set[str] = set()
        self._wake = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        peer_routes.add(NEWS_PATH, QuarantineNews, self.handle_news)
        peer_routes.add(PULL_PATH, QuarantinePull, self.handle_pull)

    def add(self, news: QuarantineRecord | None) -> None:
        """Queue news for all other entries."""
        if news is not None:
            self._queued.append(news)
            self._wake.set()

    def make_digest(self) -> bytes:
        """Return the digest for an exchange of the membership."""
        return encode(QuarantineDigest(refused=self._suspects.digest))

    def on_digest(self, sender: str, digest: bytes) -> None:
        """Pull from a peer that knows other refusals."""
        read = decode(digest, QuarantineDigest)
        if read.is_ok() and read.ok.refused != self._suspects.digest:
            self._apart.add(sender)
            self._wake.set()

    async def handle_news(
        self,
        message: QuarantineNews,
    ) -> Result[QuarantinePull, Failure]:
        """Take a peer's news in."""
        for news in message.news:
            self._suspects.merge(news)
        return Ok(QuarantinePull())

    async def handle_pull(
        self,
        _: QuarantinePull,
    ) -> Result[QuarantineNews, Failure]:
        """Answer with all refusals."""
        return Ok(
            QuarantineNews(news=tuple(self._suspects.records_in(_PULLED)))
        )

    async def run(self) -> None:
        """Push news and pull differences until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                message = QuarantineNews(news=tuple(self._queued))
                self._queued.clear()
                apart = frozenset(self._apart)
                self._apart.clear()
                # A peer that doesn't answer must not hold up later news.
                nursery.start_soon(self._tell_all, message, apart)

    async def _tell_all(
        self, message: QuarantineNews, apart: frozenset[str]
    ) -> None:
        limiter = trio.CapacityLimiter(PARALLEL_PUSHES)

        async def limited(step, entry: Node, *more: object) -> None:
            async with limiter:
                await step(entry, *more)

        async with trio.open_nursery() as nursery:
            for entry in self._live_entries():
                if entry.name == self._node.name:
                    continue
                if message.news:
                    nursery.start_soon(limited, self._push, entry, message)
                if entry.name in apart:
                    nursery.start_soon(limited, self._pull, entry)

    async def _push(self, entry: Node, message: QuarantineNews) -> None:
        for _ in range(PUSH_TRIES):
            answer = await self._call(
                entry.peer_address,
                NEWS_PATH,
                message,
                QuarantinePull,
                timeout_seconds=PUSH_TIMEOUT_SECONDS,
            )
            if answer.is_ok():
                return
            telemetry.count('retries', reason=answer.error.reason)

    async def _pull(self, entry: Node) -> None:
        pulled = await self._call(
            entry.peer_address,
            PULL_PATH,
            QuarantinePull(),
            QuarantineNews,
            timeout_seconds=PUSH_TIMEOUT_SECONDS,
        )
        if pulled.is_ok():
            await self.handle_news(pulled.ok)
