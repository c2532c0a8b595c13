"""Accounts for the memory of one engine at the endpoint's home.

Memory that the home granted counts at once; memory that it didn't grant is
read from the engine's own list of allocations. Amounts are tokens of KV cache.
"""

# Capacity that is assumed before the engine reports it.
_UNREPORTED_CAPACITY_TOKENS = 1_000_000_000


class MemoryLedger:
    """Granted and other memory against the engine's capacity.

    ``foreign_tokens`` is the memory in use that this home did not grant.
    """

    def __init__(self, *, capacity_tokens: int | None = None) -> None:
        self.capacity_tokens = capacity_tokens or _UNREPORTED_CAPACITY_TOKENS
        self.foreign_tokens = 0
        self._tokens_by_grant: dict[str, int] = {}
        self._granted_tokens = 0

    @property
    def free_tokens(self) -> int:
        """Unallocated memory; below zero after a restart or a race."""
        held = self._granted_tokens + self.foreign_tokens
        return self.capacity_tokens - held

    @property
    def granted_tokens(self) -> int:
        """The sum of this home's grants."""
        return self._granted_tokens

    def add_grant(self, grant_id: str, tokens: int) -> None:
        """Add a grant's memory; a grant that is known is replaced."""
        self.remove_grant(grant_id)
        self._tokens_by_grant[grant_id] = tokens
        self._granted_tokens += tokens

    def remove_grant(self, grant_id: str) -> None:
        """Free a grant's memory, if the grant is known."""
        self._granted_tokens -= self._tokens_by_grant.pop(grant_id, 0)
