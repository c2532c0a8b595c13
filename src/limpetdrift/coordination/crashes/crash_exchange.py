"""Shares with all entries which requests endpoints crashed on.

Cut attempts are pushed to all entries at once. An entry that knows an answer to
a request with one of their keys tells the others after a random delay, unless
another has done so before.
"""

import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import trio

from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.record_replication import (
    RecordReplicator,
    ReplicatedRecords,
)
from limpetdrift.logs import warn
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.crashes import (
    PULL_PATH,
    PUSH_PATH,
    CrashDigest,
    CrashNews,
    CrashPull,
    CutAttempt,
    HarmlessKey,
)
from limpetdrift.protocol.node import Node
from limpetdrift.state.crash_evidence import CrashEvidence
from limpetdrift.supervision import call_hooks, keep_running
from limpetdrift.transport.messages import Address

DIGEST_NAME = 'crashes'
# Timeout of a starting entry's question to a seed.
LEARN_TIMEOUT_SECONDS = 0.3
# Random delay of news of harmless keys for each live entry, and its maximum.
DELAY_SECONDS_PER_ENTRY = 0.002
MAX_DELAY_SECONDS = 0.2


async def _read_nothing() -> tuple[CutAttempt, ...]:
    return ()


@dataclass(frozen=True, kw_only=True)
class CrashExchangeInputs:
    """What the exchange needs from the rest of the entry.

    ``read_kept`` returns the cut attempts that are kept outside of the
    entries, and ``on_change`` is called when the evidence has changed.
    """

    node: Node
    evidence: CrashEvidence
    live_entries: Callable[[], tuple[Node, ...]]
    call: PeerCall
    clock: Callable[[], float]
    randomness: random.Random
    read_kept: Callable[[], Awaitable[tuple[CutAttempt, ...]]] = _read_nothing
    on_change: list[Callable[[], None]] = field(default_factory=list)


class CrashExchange:
    """Spreads this entry's evidence, and takes that of other entries.

    ``run`` has to run in the background. ``wait_learned`` waits until ``learn``
    has ended.
    """

    def __init__(self, *, inputs: CrashExchangeInputs) -> None:
        self._inputs = inputs
        self.evidence = inputs.evidence
        self._learned = trio.Event()
        self.wait_learned = self._learned.wait
        self._replicator = RecordReplicator(
            node=inputs.node,
            replicated=ReplicatedRecords(
                push_path=PUSH_PATH,
                pull_path=PULL_PATH,
                message_type=CrashNews,
                pull=CrashPull(),
                compose=self._compose,
                merge=self._merge,
                all_records=self._all_records,
                has_digest=partial(_has_digest, inputs.evidence),
            ),
            live_entries=inputs.live_entries,
            call=inputs.call,
        )
        self.on_digest = self._replicator.on_digest
        self._told_at: dict[str, float] = {}
        self._untold: set[str] = set()
        self._untold_added = trio.Event()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of pushes and pulls."""
        self._replicator.register(peer_routes)

    def make_digest(self) -> bytes:
        """Return the digest for the membership's gossip, if there is any."""
        if self.evidence.is_empty:
            return b''
        return encode(CrashDigest(cut=self.evidence.digest))

    def add_cut(self, cut: CutAttempt) -> None:
        """Add a cut attempt of this entry, and tell all others."""
        if self.evidence.add_cut(cut):
            self._replicator.add(cut)
            self._note_change(cut.keys)

    def add_harmless(self, keys: Iterable[str]) -> None:
        """Add keys that were harmless now; tell others if it matters."""
        keys = tuple(keys)
        self.evidence.add_harmless(keys, self._inputs.clock())
        news = [key for key in keys if self._is_news(key)]
        if news:
            self._note_change(news)

    async def learn(self, seeds: tuple[Address, ...]) -> None:
        """Ask some seeds for all evidence; else read what is kept."""
        try:
            if not await self._replicator.learn_from(
                seeds, LEARN_TIMEOUT_SECONDS
            ):
                for cut in await self._inputs.read_kept():
                    self.evidence.add_cut(cut)
        finally:
            # Prompts wait for it, and go on without evidence after an error.
            self._learned.set()

    async def run(self) -> None:
        """Spread evidence until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'crash-replication', self._replicator.run
            )
            if self._untold:
                self._untold_added.set()
            while True:
                await self._untold_added.wait()
                await trio.sleep(
                    self._inputs.randomness.uniform(
                        0, _longest_delay(len(self._inputs.live_entries()))
                    )
                )
                self._untold_added = trio.Event()
                keys = tuple(self._untold)
                self._untold.clear()
                for key in keys:
                    self._tell_harmless(key)

    def _note_change(self, keys: Iterable[str]) -> None:
        """Schedule news of those keys that this entry knows to be harmless."""
        self._untold.update(key for key in keys if self._is_news(key))
        if self._untold:
            self._untold_added.set()
        call_hooks('crash-hooks', self._inputs.on_change)

    def _tell_harmless(self, key: str) -> None:
        """Tell all entries of a harmless key, unless another did meanwhile."""
        if not self._is_news(key):
            return
        self._told_at[key] = self.evidence.harmless_at(key)
        self._replicator.add(self._describe_harmless(key))

    def _is_news(self, key: str) -> bool:
        """Return whether others don't know an answer since the last crash."""
        told_at = self._told_at.get(key, float('-inf'))
        return (
            self.evidence.harmless_at(key) > told_at
            and self.evidence.crashed_at(key) > told_at
        )

    def _merge(self, message: CrashNews) -> None:
        now = self._inputs.clock()
        added = [each for each in message.cut if self.evidence.add_cut(each)]
        for news in message.harmless:
            self.evidence.add_harmless((news.key,), now - news.age_seconds)
            if self.evidence.crashed_at(news.key) > float('-inf'):
                told_at = self._told_at.get(news.key, float('-inf'))
                self._told_at[news.key] = max(told_at, now - news.age_seconds)
        for cut in added:
            self._note_change(cut.keys)
        if self.evidence.is_empty:
            self._told_at.clear()

    def _all_records(self) -> tuple[CutAttempt | HarmlessKey, ...]:
        keys = self.evidence.all_keys()
        harmless = (self._describe_harmless(key) for key in keys)
        return (*self.evidence.cut_attempts(), *filter(None, harmless))

    def _describe_harmless(self, key: str) -> HarmlessKey | None:
        age_seconds = self._inputs.clock() - self.evidence.harmless_at(key)
        if age_seconds == float('inf'):
            return None
        return HarmlessKey(key=key, age_seconds=max(0.0, age_seconds))

    def _compose(
        self, records: tuple[CutAttempt | HarmlessKey, ...]
    ) -> CrashNews:
        return CrashNews(
            cut=tuple(each for each in records if isinstance(each, CutAttempt)),
            harmless=tuple(
                each for each in records if isinstance(each, HarmlessKey)
            ),
            has_learned=self._learned.is_set(),
        )


def _longest_delay(entries: int) -> float:
    return min(MAX_DELAY_SECONDS, DELAY_SECONDS_PER_ENTRY * entries)


def _has_digest(evidence: CrashEvidence, digest: bytes) -> bool:
    """Return whether a peer knows the same cut attempts."""
    decoded = decode(digest, CrashDigest)
    if decoded.is_error():
        warn('digest of crashes can not be decoded')
        return True
    return decoded.ok.cut == evidence.digest
