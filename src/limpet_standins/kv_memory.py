"""The limited KV memory of an engine, with a cache of prefix blocks.

Memory is counted in tokens. A footprint holds some tokens of its own and
shares blocks of its prompt's prefix with others. A block that no footprint
shares stays cached until its memory is needed, least recently used first.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256
_BYTES_PER_TOKEN = 4

CacheListener = Callable[[str, int], None]


def count_tokens(text: bytes) -> int:
    """Return the number of tokens of a text in UTF-8."""
    return -(-len(text) // _BYTES_PER_TOKEN)


def prefix_blocks(text: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the text's whole blocks, in order."""
    hashes: list[int] = []
    seed = 0
    for end in range(BLOCK_BYTES, len(text) + 1, BLOCK_BYTES):
        seed = xxh64_intdigest(text[end - BLOCK_BYTES : end], seed=seed)
        hashes.append(seed)
    return tuple(hashes)


@dataclass(kw_only=True, slots=True)
class Footprint:
    """What one or more allocations hold: own tokens and shared blocks."""

    own_tokens: int
    blocks: list[int] = field(default_factory=list)
    holders: int = 1

    @property
    def tokens(self) -> int:
        """All tokens that it keeps from being freed."""
        return self.own_tokens + len(self.blocks) * BLOCK_TOKENS


class KvMemory:
    """Reserves and frees memory; tells a listener of cached blocks."""

    def __init__(
        self,
        *,
        capacity_tokens: int,
        listener: CacheListener,
    ) -> None:
        self._capacity = capacity_tokens
        self._listener = listener
        self._own_total = 0
        self._shares: dict[int, int] = {}
        self._idle: OrderedDict[int, None] = OrderedDict()

    @property
    def capacity_tokens(self) -> int:
        """All memory there is."""
        return self._capacity

    @property
    def held_tokens(self) -> int:
        """Memory that can't be evicted."""
        shared = len(self._shares) - len(self._idle)
        return self._own_total + shared * BLOCK_TOKENS

    @property
    def cached_tokens(self) -> int:
        """Memory of blocks that nothing holds."""
        return len(self._idle) * BLOCK_TOKENS

    @property
    def free_tokens(self) -> int:
        """Memory that a reservation could have, by eviction too."""
        return self._capacity - self.held_tokens

    def reserve(
        self,
        tokens: int,
        prefix: tuple[int, ...] = (),
    ) -> Footprint | None:
        """Hold so many tokens, sharing cached blocks; None if none are free."""
        shared = self._cached_prefix(prefix[: tokens // BLOCK_TOKENS])
        for block in shared:
            self._take(block)
        own = tokens - len(shared) * BLOCK_TOKENS
        if own > self.free_tokens:
            self._drop(shared)
            return None
        self._evict(own)
        self._own_total += own
        return Footprint(own_tokens=own, blocks=shared)

    def store(self, footprint: Footprint, prefix: tuple[int, ...]) -> None:
        """Turn a footprint's own tokens into blocks that others can share."""
        for block in prefix[len(footprint.blocks) :]:
            if footprint.own_tokens < BLOCK_TOKENS:
                return
            footprint.own_tokens -= BLOCK_TOKENS
            self._own_total -= BLOCK_TOKENS
            footprint.blocks.append(block)
            if block not in self._shares:
                self._shares[block] = 0
                self._idle[block] = None
                self._listener('stored', block)
            self._take(block)

    def release(self, footprint: Footprint) -> int:
        """Give up one holder's part; return the tokens that came free."""
        footprint.holders -= 1
        if footprint.holders:
            return 0
        freed = footprint.tokens
        self._own_total -= footprint.own_tokens
        self._drop(footprint.blocks)
        return freed

    def _cached_prefix(self, prefix: tuple[int, ...]) -> list[int]:
        found: list[int] = []
        for block in prefix:
            if block not in self._shares:
                break
            found.append(block)
        return found

    def _take(self, block: int) -> None:
        self._shares[block] += 1
        self._idle.pop(block, None)

    def _drop(self, blocks: list[int]) -> None:
        for block in reversed(blocks):
            self._shares[block] -= 1
            if not self._shares[block]:
                self._idle[block] = None

    def _evict(self, wanted: int) -> None:
        while self._capacity - self.held_tokens - self.cached_tokens < wanted:
            block, _ = self._idle.popitem(last=False)
            self._shares.pop(block)
            self._listener('removed', block)
