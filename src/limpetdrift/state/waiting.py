"""Tickets that wait for one endpoint, in the order of their grants."""

from bisect import insort
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from operator import attrgetter

import trio

from limpetdrift.protocol.placement import PlacementRequest

SHORT_PROMPT_TOKENS = 8192
_PLACE = attrgetter('place')


@dataclass(kw_only=True, slots=True, eq=False)
class Ticket:
    """One attempt at one endpoint, waiting or granted. Times are trio's."""

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
    uncached_left: float = 0
    place: tuple[float, ...] = ()
    settled: trio.Event = field(default_factory=trio.Event)

    @property
    def memory_tokens(self) -> int:
        """Memory that the whole attempt may need."""
        return self.request.prompt_tokens + self.request.max_tokens

    @property
    def is_short(self) -> bool:
        """Whether the prompt may use the memory that is kept for short."""
        if self.request.memory_only:
            return False
        return self.request.prompt_tokens <= SHORT_PROMPT_TOKENS

    @property
    def uncached_tokens(self) -> int:
        """Prompt tokens that the engine has to work through."""
        if self.request.memory_only:
            return 0
        return max(1, self.request.prompt_tokens - self.cached_tokens)


class WaitingTickets:
    """Waiting tickets by place, with the sums that estimates need.

    ``place`` of a ticket orders it among the others. Places change as
    tickets age; ``reorder`` brings them up to date.
    """

    def __init__(self) -> None:
        self.reordered_at = 0.0
        self.memory_tokens = 0
        self._by_id: dict[str, Ticket] = {}
        self._in_order: list[Ticket] = []
        self._ranks: Counter[int] = Counter()

    @property
    def count(self) -> int:
        """How many tickets wait."""
        return len(self._in_order)

    def __iter__(self) -> Iterator[Ticket]:
        """Go through a copy, first what is to be granted first."""
        return iter(tuple(self._in_order))

    def find(self, grant_id: str) -> Ticket | None:
        """Return the waiting ticket of that name."""
        return self._by_id.get(grant_id)

    def add(self, ticket: Ticket) -> None:
        """Add a ticket at its place."""
        self._by_id[ticket.grant_id] = ticket
        self.memory_tokens += ticket.memory_tokens
        self._ranks[ticket.priority] += ticket.uncached_tokens
        insort(self._in_order, ticket, key=_PLACE)

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out."""
        self._by_id.pop(ticket.grant_id)
        self.memory_tokens -= ticket.memory_tokens
        self._ranks[ticket.priority] -= ticket.uncached_tokens
        self._in_order.remove(ticket)

    def reorder(self, renew: Callable[[Ticket], None]) -> None:
        """Let ``renew`` set priority and place of each ticket."""
        self.reordered_at = trio.current_time()
        self._ranks.clear()
        for ticket in self._in_order:
            renew(ticket)
            self._ranks[ticket.priority] += ticket.uncached_tokens
        self._in_order.sort(key=_PLACE)

    def work_tokens(self, priority: int) -> int:
        """Return the prefill work that waits at that priority or before."""
        return sum(
            tokens for rank, tokens in self._ranks.items() if rank <= priority
        )
