"""Tickets that wait for one endpoint, in the order of their grants."""

from bisect import insort
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import attrgetter

import trio

from limpetdrift.protocol.placement import PlacementRequest

# Largest prompt that may use the memory reserved for short ones.
SHORT_PROMPT_TOKENS = 8192
_SORT_KEY = attrgetter('sort_key')


@dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """One attempt at one endpoint, waiting or granted.

    Times are in trio time. ``sort_key`` orders the waiting tickets.
    A lower ``priority`` is better.
    """

    grant_id: str
    request: PlacementRequest
    owner: str
    incarnation: int
    arrived_at: float
    deadline_at: float
    polled_at: float
    cached_tokens: int = 0
    priority: int = 0
    granted_at: float | None = None
    remaining_prefill_tokens: float = 0
    sort_key: tuple[float, ...] = ()
    settled: trio.Event = field(default_factory=trio.Event)

    @property
    def memory_tokens(self) -> int:
        """The largest memory that the attempt needs, in tokens."""
        return self.request.prompt_tokens + self.request.max_tokens

    @property
    def is_short(self) -> bool:
        """Whether the prompt may use the memory reserved for short ones."""
        if self.request.memory_only:
            return False
        return self.request.prompt_tokens <= SHORT_PROMPT_TOKENS

    @property
    def uncached_tokens(self) -> int:
        """Prompt tokens that the engine has to prefill."""
        if self.request.memory_only:
            return 0
        return max(1, self.request.prompt_tokens - self.cached_tokens)


class WaitingTickets:
    """Waiting tickets in the order of ``sort_key``, with sums for estimates.

    The sort keys change as tickets age; ``reorder`` updates them.
    """

    def __init__(self) -> None:
        self.reordered_at = 0.0
        self.memory_tokens = 0
        self._by_id: dict[str, Ticket] = {}
        self._in_order: list[Ticket] = []
        self._work_by_priority: Counter[int] = Counter()

    @property
    def count(self) -> int:
        """The number of waiting tickets."""
        return len(self._in_order)

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over a copy, in the order of grants."""
        return iter(tuple(self._in_order))

    def find(self, grant_id: str) -> Ticket | None:
        """Return the waiting ticket of a grant, or ``None``."""
        return self._by_id.get(grant_id)

    def add(self, ticket: Ticket) -> None:
        """Add a ticket at its place in the order."""
        self._by_id[ticket.grant_id] = ticket
        self.memory_tokens += ticket.memory_tokens
        self._work_by_priority[ticket.priority] += ticket.uncached_tokens
        insort(self._in_order, ticket, key=_SORT_KEY)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket."""
        self._by_id.pop(ticket.grant_id)
        self.memory_tokens -= ticket.memory_tokens
        self._work_by_priority[ticket.priority] -= ticket.uncached_tokens
        self._in_order.remove(ticket)

    def reorder(self, update_ticket: Callable[[Ticket], None]) -> None:
        """Sort again after ``update_ticket`` set priorities and sort keys."""
        self.reordered_at = trio.current_time()
        self._work_by_priority.clear()
        for ticket in self._in_order:
            update_ticket(ticket)
            self._work_by_priority[ticket.priority] += ticket.uncached_tokens
        self._in_order.sort(key=_SORT_KEY)

    def work_tokens(self, priority: int) -> int:
        """Return the waiting prefill tokens of this or a better priority."""
        return sum(
            tokens
            for ticket_priority, tokens in self._work_by_priority.items()
            if ticket_priority <= priority
        )
