"""The engine's list of what holds memory."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

import trio

from limpet_standins.engine_messages import AllocationState
from limpet_standins.kv_memory import Footprint, KvMemory

NEVER_SECONDS = 1e9


@dataclass(kw_only=True, slots=True)
class Allocation:
    """A stream, hold or export and the memory that it keeps.

    ``expires_at`` is told to who asks; only holds act on it.
    """

    id: str
    kind: str
    footprint: Footprint
    taken_at: float
    expires_at: float = inf
    request_key: str = ''
    attempt: int = 0
    holder: str = ''
    incarnation: int = 0
    finished: bool = False

    def state(self) -> AllocationState:
        """Return what is listed."""
        now = trio.current_time()
        return AllocationState(
            id=self.id,
            kind=self.kind,
            request_key=self.request_key,
            attempt=self.attempt,
            holder=self.holder,
            incarnation=self.incarnation,
            tokens=self.footprint.tokens,
            age_seconds=now - self.taken_at,
            expires_in_seconds=min(self.expires_at - now, NEVER_SECONDS),
            finished=self.finished,
        )


class Allocations:
    """Allocations by kind and id over one memory."""

    def __init__(self, *, memory: KvMemory) -> None:
        self.memory = memory
        self._held: dict[tuple[str, str], Allocation] = {}

    def add(self, allocation: Allocation) -> None:
        """List an allocation whose footprint was reserved."""
        self._held[allocation.kind, allocation.id] = allocation

    def find(self, kind: str, allocation_id: str) -> Allocation | None:
        """Return the allocation, unless it was freed."""
        return self._held.get((kind, allocation_id))

    def free(self, kind: str, allocation_id: str) -> int:
        """Free an allocation; return the tokens that came free."""
        allocation = self._held.pop((kind, allocation_id), None)
        if allocation is None:
            return 0
        return self.memory.release(allocation.footprint)

    def of_kind(self, kind: str) -> Iterable[Allocation]:
        """Return the allocations of one kind."""
        return [each for each in self._held.values() if each.kind == kind]

    def states(self) -> list[AllocationState]:
        """Return all allocations as they are listed."""
        return [allocation.state() for allocation in self._held.values()]
