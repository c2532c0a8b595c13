"""Recent prompt prefixes, by the chained hashes of their blocks."""

from collections import OrderedDict
from collections.abc import Iterable

# Prompt tokens in a block.
BLOCK_TOKENS = 256
# Default limit on the number of blocks that are held.
_DEFAULT_LIMIT_BLOCKS = 65_536
# Ratio of the depths of two adjacent samples of a long prompt.
_SAMPLE_DEPTH_RATIO = 1.25


class RecentPrefixes:
    """A bounded set of prefix blocks; evicts the least recently used.

    >>> prefixes = RecentPrefixes()
    >>> prefixes.add((11, 12))
    >>> prefixes.matched_tokens((11, 12, 13))
    512
    """

    def __init__(self, *, limit_blocks: int = _DEFAULT_LIMIT_BLOCKS) -> None:
        self._limit_blocks = limit_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def add(self, blocks: Iterable[int]) -> None:
        """Add the blocks of one prompt as the most recently used."""
        # The beginning, which prompts share, is added last and evicted last.
        for block in reversed(tuple(blocks)):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit_blocks:
            self._blocks.popitem(last=False)

    def remove(self, block: int) -> None:
        """Remove a block that the engine no longer caches."""
        self._blocks.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks, as after the engine's restart."""
        self._blocks.clear()

    def resize(self, limit_blocks: int) -> None:
        """Set the limit on blocks, which the next ``add`` applies."""
        self._limit_blocks = limit_blocks

    def matched_samples(
        self,
        depths: tuple[int, ...],
        blocks: tuple[int, ...],
    ) -> int:
        """Return the tokens up to the deepest sampled block that is known.

        ``depths`` counts the blocks up to each of the sampled ``blocks``.
        """
        for depth, block in zip(
            reversed(depths),
            reversed(blocks),
            strict=False,
        ):
            if block in self._blocks:
                return depth * BLOCK_TOKENS
        return 0

    def matched_tokens(self, blocks: Iterable[int]) -> int:
        """Return how many tokens at the prompt's beginning are known."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            matched += BLOCK_TOKENS
        return matched


def sample_depths(count: int) -> tuple[int, ...]:
    """Return the depths, in blocks, at which a prompt is sampled.

    Each is about a quarter deeper than the last; they end with ``count``.

    >>> sample_depths(12)
    (1, 2, 3, 4, 5, 6, 7, 8, 10, 12)
    """
    depths = []
    depth = 1
    while depth < count:
        depths.append(depth)
        depth = max(depth + 1, int(depth * _SAMPLE_DEPTH_RATIO))
    return (*depths, count) if count else ()


class PrefixEndpoints:
    """The endpoint to which this entry last sent a prompt with a block."""

    def __init__(self, *, limit_blocks: int = _DEFAULT_LIMIT_BLOCKS) -> None:
        self._limit_blocks = limit_blocks
        self._endpoints: OrderedDict[int, str] = OrderedDict()

    def note(self, blocks: Iterable[int], endpoint: str) -> None:
        """Record that a prompt with these blocks went to the endpoint."""
        for block in blocks:
            self._endpoints[block] = endpoint
            self._endpoints.move_to_end(block)
        while len(self._endpoints) > self._limit_blocks:
            self._endpoints.popitem(last=False)

    def find(self, blocks: tuple[int, ...]) -> str | None:
        """Return the endpoint recorded for the longest known prefix."""
        for block in reversed(blocks):
            endpoint = self._endpoints.get(block)
            if endpoint is not None:
                return endpoint
        return None
