"""Models the limited KV memory of an engine, with a cache of prefix blocks.

Memory is counted in tokens. A footprint has tokens of its own, and shares
blocks of its prompt's prefix with other footprints. A block that no footprint
refers to stays cached until its memory is needed; the least recently used
block is evicted first.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from xxhash import xxh64_intdigest

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256
_BYTES_PER_TOKEN = 4

# Called with ``stored`` or ``removed`` and the hash of the block.
CacheListener = Callable[[str, int], None]


def count_tokens(text: bytes) -> int:
    """Return the number of tokens of a UTF-8 text, rounded up."""
    return -(-len(text) // _BYTES_PER_TOKEN)


def prefix_blocks(text: bytes) -> tuple[int, ...]:
    """Return the chained hashes of the text's whole blocks, in order.

    The hash of a block covers all text before it too, so that equal hashes
    mean an equal prefix.
    """
    hashes: list[int] = []
    seed = 0
    for end in range(BLOCK_BYTES, len(text) + 1, BLOCK_BYTES):
        seed = xxh64_intdigest(text[end - BLOCK_BYTES : end], seed=seed)
        hashes.append(seed)
    return tuple(hashes)


@dataclass(kw_only=True, slots=True)
class Footprint:
    """Memory of one or more allocations: own tokens and shared blocks.

    ``references`` is the number of these allocations.
    """

    own_tokens: int
    blocks: list[int] = field(default_factory=list)
    references: int = 1

    @property
    def tokens(self) -> int:
        """Tokens that can't be evicted because of this footprint."""
        return self.own_tokens + len(self.blocks) * BLOCK_TOKENS


class KvMemory:
    """Reserves and frees memory; reports cached blocks to a listener."""

    def __init__(
        self,
        *,
        capacity_tokens: int,
        listener: CacheListener,
    ) -> None:
        self._capacity_tokens = capacity_tokens
        self._listener = listener
        self._total_own_tokens = 0
        self._references: dict[int, int] = {}
        self._unreferenced: OrderedDict[int, None] = OrderedDict()

    @property
    def capacity_tokens(self) -> int:
        """The size of the memory."""
        return self._capacity_tokens

    @property
    def held_tokens(self) -> int:
        """Memory that can't be evicted."""
        shared = len(self._references) - len(self._unreferenced)
        return self._total_own_tokens + shared * BLOCK_TOKENS

    @property
    def cached_tokens(self) -> int:
        """Memory of cached blocks that no footprint refers to."""
        return len(self._unreferenced) * BLOCK_TOKENS

    @property
    def free_tokens(self) -> int:
        """Memory that can be reserved, including what can be evicted."""
        return self._capacity_tokens - self.held_tokens

    def reserve(
        self,
        tokens: int,
        prefix: tuple[int, ...] = (),
    ) -> Footprint | None:
        """Reserve tokens, and share the cached blocks of the prefix.

        Return None if the memory is not enough, even with eviction.
        """
        shared = self._cached_prefix(prefix[: tokens // BLOCK_TOKENS])
        for block in shared:
            self._add_reference(block)
        own_tokens = tokens - len(shared) * BLOCK_TOKENS
        if own_tokens > self.free_tokens:
            self._drop_references(shared)
            return None
        self._evict(own_tokens)
        self._total_own_tokens += own_tokens
        return Footprint(own_tokens=own_tokens, blocks=shared)

    def store(self, footprint: Footprint, prefix: tuple[int, ...]) -> None:
        """Turn a footprint's own tokens into blocks that others can share.

        Stops at the first block of the prefix that the own tokens don't cover.
        """
        for block in prefix[len(footprint.blocks) :]:
            if footprint.own_tokens < BLOCK_TOKENS:
                return
            footprint.own_tokens -= BLOCK_TOKENS
            self._total_own_tokens -= BLOCK_TOKENS
            footprint.blocks.append(block)
            if block not in self._references:
                self._references[block] = 0
                self._unreferenced[block] = None
                self._listener('stored', block)
            self._add_reference(block)

    def release(self, footprint: Footprint) -> int:
        """Drop one reference to a footprint and return the tokens freed.

        That is 0 while other allocations refer to it.
        """
        footprint.references -= 1
        if footprint.references:
            return 0
        freed = footprint.tokens
        self._total_own_tokens -= footprint.own_tokens
        self._drop_references(footprint.blocks)
        return freed

    def _cached_prefix(self, prefix: tuple[int, ...]) -> list[int]:
        found: list[int] = []
        for block in prefix:
            if block not in self._references:
                break
            found.append(block)
        return found

    def _add_reference(self, block: int) -> None:
        self._references[block] += 1
        self._unreferenced.pop(block, None)

    def _drop_references(self, blocks: list[int]) -> None:
        for block in reversed(blocks):
            self._references[block] -= 1
            if not self._references[block]:
                self._unreferenced[block] = None

    def _evict(self, needed_tokens: int) -> None:
        while (
            self._capacity_tokens - self.held_tokens - self.cached_tokens
            < needed_tokens
        ):
            block, _ = self._unreferenced.popitem(last=False)
            self._references.pop(block)
            self._listener('removed', block)
