"""Lists the allocations of a stand-in engine's KV memory."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

import trio

from limpet_standins.engine_messages import AllocationState
from limpet_standins.kv_memory import Footprint, KvMemory

# Reported where there is no expiry, since JSON has no infinity.
NO_EXPIRY_SECONDS = 1e9


@dataclass(kw_only=True, slots=True)
class Allocation:
    """A stream, reservation (``hold``) or export, and the memory it holds.

    ``expires_at`` is reported for each kind, but only reservations are freed
    at that time. Times are those of the trio clock.
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
        """Return the allocation in the form in which the engine lists it."""
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
            expires_in_seconds=min(self.expires_at - now, NO_EXPIRY_SECONDS),
            finished=self.finished,
        )


class Allocations:
    """The allocations of one memory, by kind and id."""

    def __init__(self, *, memory: KvMemory) -> None:
        self.memory = memory
        self._allocations: dict[tuple[str, str], Allocation] = {}

    def add(self, allocation: Allocation) -> None:
        """Add an allocation whose footprint is reserved already."""
        self._allocations[allocation.kind, allocation.id] = allocation

    def find(self, kind: str, allocation_id: str) -> Allocation | None:
        """Return the allocation, or None if it is unknown or was freed."""
        return self._allocations.get((kind, allocation_id))

    def free(self, kind: str, allocation_id: str) -> int:
        """Free an allocation and return the number of tokens freed.

        That is 0 for an unknown allocation, and for one whose footprint has
        other references.
        """
        allocation = self._allocations.pop((kind, allocation_id), None)
        if allocation is None:
            return 0
        return self.memory.release(allocation.footprint)

    def of_kind(self, kind: str) -> Iterable[Allocation]:
        """Return the allocations of one kind."""
        return [
            each for each in self._allocations.values() if each.kind == kind
        ]

    def states(self) -> list[AllocationState]:
        """Return all allocations in the form in which they are listed."""
        return [allocation.state() for allocation in self._allocations.values()]
