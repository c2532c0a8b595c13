"""The exact queue of one endpoint: what waits, what runs, what finished.

The home estimates how far the engine has got with the prompts that it was
given, from the time that passed and the engine's own speed, as if the engine
took prompts in the order of their priority.
"""

from collections import Counter
from dataclasses import dataclass

import trio

from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.concurrency_limit import EngineConcurrencyLimit
from limpetdrift.state.ledger import MemoryLedger
from limpetdrift.state.prefixes import RecentPrefixes
from limpetdrift.state.waiting import Ticket, WaitingTickets

DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_STEP_SECONDS = 0.02
PREFILL_CHUNK_TOKENS = 2048


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """How fast an engine works, by its last report."""

    prefill_tokens_per_second: float = DEFAULT_PREFILL_TOKENS_PER_SECOND
    step_seconds: float = DEFAULT_STEP_SECONDS


class EndpointQueue:
    """Tickets waiting for and granted at one endpoint.

    Sums are kept as tickets come and go, so that an estimate costs the same
    with one granted ticket and with hundreds.
    """

    def __init__(self) -> None:
        self.speed = EngineSpeed()
        self.ledger = MemoryLedger()
        self.prefixes = RecentPrefixes()
        self.waiting = WaitingTickets()
        self.granted: dict[str, Ticket] = {}
        self.arrival = trio.Event()
        self.earmarked_tokens = 0.0
        self.exclusive_ticket: Ticket | None = None
        self.short_tokens = 0
        self.running_limit = EngineConcurrencyLimit()
        self._running: Counter[int] = Counter()
        self._unfinished: dict[str, Ticket] = {}
        self._drained_at = 0.0

    @property
    def outstanding_tokens(self) -> int:
        """Prompt and output tokens of all tickets."""
        return self.waiting.memory_tokens + self.ledger.granted_tokens

    @property
    def empty(self) -> bool:
        """Whether nothing waits or runs here."""
        return not self.waiting.count and not self.granted

    def find(self, grant_id: str) -> Ticket | None:
        """Return the ticket of that name."""
        return self.granted.get(grant_id) or self.waiting.find(grant_id)

    def wait(self, ticket: Ticket) -> None:
        """Add a waiting ticket; ``arrival`` tells who grants."""
        self.waiting.add(ticket)
        self.arrival.set()

    def grant(self, ticket: Ticket) -> None:
        """Move a ticket from waiting to granted and wake its owner's poll."""
        self.waiting.remove(ticket)
        ticket.granted_at = trio.current_time()
        ticket.cached_tokens = self.match(ticket.request)
        ticket.uncached_left = ticket.uncached_tokens
        self.granted[ticket.grant_id] = ticket
        self.short_tokens += ticket.memory_tokens * ticket.is_short
        self._running[ticket.priority] += not ticket.request.memory_only
        if ticket.uncached_left:
            self._unfinished[ticket.grant_id] = ticket
        self.ledger.take(ticket.grant_id, ticket.memory_tokens)
        self.prefixes.add(ticket.request.prefix_blocks)
        ticket.settled.set()

    def remove(self, grant_id: str) -> Ticket | None:
        """Drop a ticket, waiting or granted."""
        ticket = self.find(grant_id)
        if ticket is None:
            return None
        if self.granted.pop(grant_id, None) is None:
            self.waiting.remove(ticket)
        else:
            self.short_tokens -= ticket.memory_tokens * ticket.is_short
            self._running[ticket.priority] -= not ticket.request.memory_only
            self._unfinished.pop(grant_id, None)
            self.ledger.give_back(grant_id)
        ticket.settled.set()
        return ticket

    def match(self, request: PlacementRequest) -> int:
        """Return how many prompt tokens the engine probably has cached."""
        matched = self.prefixes.matched_tokens(request.prefix_blocks)
        return min(matched, request.prompt_tokens)

    def advance_prefill(self) -> None:
        """Advance the estimate of prefill work to the present."""
        now = trio.current_time()
        done = (now - self._drained_at) * self.speed.prefill_tokens_per_second
        self._drained_at = now
        for ticket in self._in_engine_order():
            worked = min(done, ticket.uncached_left)
            ticket.uncached_left -= worked
            done -= worked
            if ticket.uncached_left <= 0:
                self._unfinished.pop(ticket.grant_id)
            if done <= 0:
                return

    def backlog_tokens(self, priority: int) -> float:
        """Return granted prefill work at that priority or before it."""
        return sum(
            ticket.uncached_left
            for ticket in self._unfinished.values()
            if ticket.priority <= priority
        )

    def running(self, priority: int) -> int:
        """Return how many streams run at that priority or before it."""
        return sum(
            count for rank, count in self._running.items() if rank <= priority
        )

    def ends_at(self, ticket: Ticket) -> float:
        """Return when a granted ticket ends at the earliest."""
        since = ticket.granted_at or trio.current_time()
        prefill = ticket.uncached_tokens / self.speed.prefill_tokens_per_second
        decode = ticket.request.max_tokens * self.speed.step_seconds
        return since + prefill + decode

    def step_wait_tokens(self, own_tokens: float) -> float:
        """Return the work of others that shares the ticket's own steps.

        An engine works off prompts in whole chunks, so a prompt that arrives
        beside others waits for half a step and then for a full one.
        """
        if not self._unfinished:
            return 0
        filled = -own_tokens % PREFILL_CHUNK_TOKENS
        return PREFILL_CHUNK_TOKENS / 2 + filled

    def _in_engine_order(self) -> list[Ticket]:
        return sorted(
            self._unfinished.values(),
            key=lambda ticket: (ticket.priority, ticket.granted_at),
        )
