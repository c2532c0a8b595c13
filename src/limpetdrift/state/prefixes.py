"""Recent prompt prefixes, by the chain hashes of their blocks."""

from collections import OrderedDict
from collections.abc import Iterable

BLOCK_TOKENS = 256
_DEFAULT_BLOCKS = 65_536
_DEPTH_RATIO = 1.25


class RecentPrefixes:
    """A bounded set of prefix blocks, least recently used out first.

    >>> prefixes = RecentPrefixes()
    >>> prefixes.add((11, 12))
    >>> prefixes.matched_tokens((11, 12, 13))
    512
    """

    def __init__(self, *, limit_blocks: int = _DEFAULT_BLOCKS) -> None:
        self._limit_blocks = limit_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def add(self, blocks: Iterable[int]) -> None:
        """Note the blocks of one prompt as just used."""
        # Ends of prompts go first, so that shared beginnings stay longest.
        for block in reversed(tuple(blocks)):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit_blocks:
            self._blocks.popitem(last=False)

    def remove(self, block: int) -> None:
        """Forget a block that the engine no longer caches."""
        self._blocks.pop(block, None)

    def clear(self) -> None:
        """Forget all, as after the engine's restart."""
        self._blocks.clear()

    def resize(self, limit_blocks: int) -> None:
        """Follow the size of the engine's memory."""
        self._limit_blocks = limit_blocks

    def matched_samples(
        self,
        depths: tuple[int, ...],
        blocks: tuple[int, ...],
    ) -> int:
        """Return the tokens down to the deepest sample that is known."""
        for depth, block in zip(
            reversed(depths),
            reversed(blocks),
            strict=False,
        ):
            if block in self._blocks:
                return depth * BLOCK_TOKENS
        return 0

    def matched_tokens(self, blocks: Iterable[int]) -> int:
        """Return how many tokens of the prompt's beginning are known."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            matched += BLOCK_TOKENS
        return matched


def sample_depths(count: int) -> tuple[int, ...]:
    """Return depths from one block to all, each about a quarter on.

    >>> sample_depths(12)
    (1, 2, 3, 4, 5, 6, 7, 8, 10, 12)
    """
    depths = []
    depth = 1
    while depth < count:
        depths.append(depth)
        depth = max(depth + 1, int(depth * _DEPTH_RATIO))
    return (*depths, count) if count else ()


class PrefixPlaces:
    """Where prompts with a block went last, as one entry remembers it."""

    def __init__(self, *, limit_blocks: int = _DEFAULT_BLOCKS) -> None:
        self._limit_blocks = limit_blocks
        self._places: OrderedDict[int, str] = OrderedDict()

    def note(self, blocks: Iterable[int], endpoint: str) -> None:
        """Remember that a prompt with these blocks went to the endpoint."""
        for block in blocks:
            self._places[block] = endpoint
            self._places.move_to_end(block)
        while len(self._places) > self._limit_blocks:
            self._places.popitem(last=False)

    def find(self, blocks: tuple[int, ...]) -> str | None:
        """Return the endpoint that saw the longest of these prefixes."""
        for block in reversed(blocks):
            place = self._places.get(block)
            if place is not None:
                return place
        return None
