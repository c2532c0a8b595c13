"""Decides which entries read the store for all others.

Answers a store that turns some entries away, and readers that die or are cut
off, in a deployment of many entries. If all entries of a failure domain read
the store themselves then, the load on it grows with their number. So an entry
whose reader is stale skips it for a while: the entry that comes next in the
order of the hash takes its place. All entries of the domain come to the same
choice, since they poll the same reader. The one that is chosen may not know of
it yet: polls name the readers that are skipped, and it has some time to read
the store before it counts as stale. Only if those that come next are stale,
too, an entry reads the store itself.
"""

import math
from collections.abc import Callable, Collection, Iterable

import trio

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.logs import note
from limpetdrift.protocol.node import Node

# Up to this number of entries, each reads the store.
MAX_DIRECT_ENTRIES = 12
# Beyond it, one in this number of entries of a failure domain does, but at
# least one of each and MIN_READERS in all.
ENTRIES_PER_READER = 48
MIN_READERS = 3
# Numbers of stale readers in a row, and of failed polls among them, after which
# an entry reads the store itself. A failed poll takes a large part of the time
# within which an entry must follow a change.
MAX_STALE_READERS = 4
MAX_FAILED_POLLS = 2
# How long a stale reader is skipped, and how long an entry reads the store
# itself.
DIRECT_READ_SECONDS = 4.0
# How long an entry that takes a reader's place may be behind, from when it was
# first polled for it. It covers a read that fails once.
CATCH_UP_SECONDS = 0.8


class StoreReaders:
    """The readers of the store, as one entry sees them.

    ``entries`` returns all live entries, including this one, ``node``;
    ``clock`` returns seconds.
    """

    def __init__(
        self,
        *,
        node: Node,
        entries: Callable[[], tuple[Node, ...]],
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._entries = entries
        self._clock = clock
        self._skipped_until: dict[str, float] = {}
        # When entries were first polled in the place of a skipped reader.
        self._replacing_since: dict[str, float] = {}
        self._direct_read_until = float('-inf')
        self._stale = 0
        self._failed = 0
        self._duty_changed = trio.Event()
        self._readers_among = _cache_readers()

    @property
    def is_small_deployment(self) -> bool:
        """Whether all entries read the store, since there are few."""
        return len(self._entries()) <= MAX_DIRECT_ENTRIES

    @property
    def is_reader(self) -> bool:
        """Whether this entry is to read the store itself.

        One that others skip goes on, since it may reach the store again.
        """
        if self.is_small_deployment or self._clock() < self._direct_read_until:
            return True
        entries = self._entries()
        if self._node in self._readers_among(entries, frozenset()):
            return True
        skipped = self._skipped()
        return bool(skipped) and self._node in self._readers_among(
            entries, skipped
        )

    @property
    def has_stale_reader(self) -> bool:
        """Whether the last reader polled was stale."""
        return self._stale > 0

    @property
    def skipped_count(self) -> int:
        """The number of readers that are skipped, as they were stale."""
        return len(self._skipped())

    @property
    def skipped_names(self) -> tuple[str, ...]:
        """The names of the readers that are skipped, for those polled."""
        return tuple(sorted(self._skipped()))

    def others(self) -> tuple[Node, ...]:
        """Return the other entries that may be polled as readers."""
        found = self._readers_among(self._entries(), self._skipped())
        return tuple(each for each in found if each != self._node)

    async def wait_duty(self, seconds: float) -> None:
        """Wait until this entry may have become a reader, at most so long."""
        with trio.move_on_after(seconds):
            await self._duty_changed.wait()

    def take_place(self, skipped: Collection[str]) -> None:
        """Read the store for a time if this entry is next after ``skipped``.

        These are the readers that a peer skips which polls this entry.
        """
        was_reader = self.is_reader
        names = self._skipped().union(skipped)
        if self._node not in self._readers_among(self._entries(), names):
            return
        self._direct_read_until = self._clock() + DIRECT_READ_SECONDS
        if not was_reader:
            note('reading the store in the place of others', skipped=skipped)
            self._wake()

    def may_catch_up(self, name: str) -> bool:
        """Return whether an entry that is behind still has time to read.

        It has while readers are skipped, since it may have taken the place of
        one. The time begins with the first call for it.
        """
        if not self._skipped():
            return False
        now = self._clock()
        return now - self._replacing_since.setdefault(name, now) < (
            CATCH_UP_SECONDS
        )

    def record_fresh(self) -> None:
        """Record that the reader polled last is up to date."""
        self._stale = 0
        self._failed = 0
        self._replacing_since.clear()

    def record_stale(
        self, name: str, *, has_failed: bool, may_read: bool
    ) -> None:
        """Skip a reader whose poll failed or whose data is stale.

        With ``may_read``, the entry reads the store itself after several of
        them.
        """
        now = self._clock()
        self._skipped_until[name] = now + DIRECT_READ_SECONDS
        self._replacing_since.pop(name, None)
        self._stale += 1
        self._failed += has_failed
        note('reader of the store is stale or unreachable', reader=name)
        is_last = (
            self._stale >= MAX_STALE_READERS or self._failed >= MAX_FAILED_POLLS
        )
        if is_last and may_read:
            note('reading the store directly', stale_readers=self._stale)
            self.record_fresh()
            self._direct_read_until = now + DIRECT_READ_SECONDS
        self._wake()

    def _wake(self) -> None:
        self._duty_changed.set()
        self._duty_changed = trio.Event()

    def _skipped(self) -> frozenset[str]:
        if not self._skipped_until:
            return frozenset()
        now = self._clock()
        self._skipped_until = {
            name: until
            for name, until in self._skipped_until.items()
            if until > now
        }
        return frozenset(self._skipped_until)


def choose_readers(entries: Iterable[Node]) -> tuple[Node, ...]:
    """Return the entries that read the store for all others.

    Rendezvous hashing chooses them in each failure domain.
    """
    by_domain: dict[str, dict[str, Node]] = {}
    for entry in entries:
        by_domain.setdefault(entry.failure_domain, {})[entry.name] = entry
    least = math.ceil(MIN_READERS / max(1, len(by_domain)))
    return tuple(
        members[name]
        for members in by_domain.values()
        for name in choose_by_hash(
            'readers',
            members,
            max(least, math.ceil(len(members) / ENTRIES_PER_READER)),
        )
    )


def _cache_readers() -> Callable[
    [tuple[Node, ...], frozenset[str]], tuple[Node, ...]
]:
    """Return ``choose_readers`` that keeps its results for one tuple.

    The second argument names entries that are not chosen.
    """
    last: list[tuple[Node, ...]] = [()]
    found: dict[frozenset[str], tuple[Node, ...]] = {}

    def readers_among(
        entries: tuple[Node, ...], skipped: frozenset[str]
    ) -> tuple[Node, ...]:
        if entries is not last[0]:
            last[0] = entries
            found.clear()
        if skipped not in found:
            found[skipped] = choose_readers(
                each for each in entries if each.name not in skipped
            )
        return found[skipped]

    return readers_among
