"""The memory of one engine, as its home accounts for it.

What the home granted is known at once; what others put there is learnt from
the engine's own list of allocations. Amounts are tokens of KV cache.
"""

_UNKNOWN_MEMORY_TOKENS = 1_000_000_000


class MemoryLedger:
    """Granted and foreign memory against the engine's capacity."""

    def __init__(self, *, capacity_tokens: int | None = None) -> None:
        self.capacity_tokens = capacity_tokens or _UNKNOWN_MEMORY_TOKENS
        self.foreign_tokens = 0
        self._granted: dict[str, int] = {}
        self._granted_tokens = 0

    @property
    def free_tokens(self) -> int:
        """Memory that nothing holds; below zero after a restart or race."""
        held = self._granted_tokens + self.foreign_tokens
        return self.capacity_tokens - held

    @property
    def granted_tokens(self) -> int:
        """Memory that this home granted."""
        return self._granted_tokens

    def take(self, grant_id: str, tokens: int) -> None:
        """Account for a grant; the same grant counts once."""
        self.give_back(grant_id)
        self._granted[grant_id] = tokens
        self._granted_tokens += tokens

    def give_back(self, grant_id: str) -> None:
        """Free what a grant held, if it is known."""
        self._granted_tokens -= self._granted.pop(grant_id, 0)
