"""The exact queue of one endpoint, with its waiting and granted tickets.

The home estimates how much of the granted prompts the engine has prefilled,
from the time that passed and the engine's reported speed, as if the engine
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

# Speed that is assumed of an engine before its first report.
DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000.0
DEFAULT_DECODE_STEP_SECONDS = 0.02
# Prompt tokens that an engine prefills in one step.
PREFILL_CHUNK_TOKENS = 2048


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """The speed of an engine, by its last report."""

    prefill_tokens_per_second: float = DEFAULT_PREFILL_TOKENS_PER_SECOND
    step_seconds: float = DEFAULT_DECODE_STEP_SECONDS


class EndpointQueue:
    """The tickets that wait for or were granted a place at one endpoint.

    Sums are updated when tickets are added or removed, so that an estimate
    costs the same with one granted ticket and with hundreds. ``short_tokens``
    is the memory granted to short prompts, and ``earmarked_tokens`` the memory
    withheld for waiting tickets. While the isolated ``exclusive_ticket``
    waits, no other ticket that isn't isolated is granted.
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
        self._streams: Counter[int] = Counter()
        self._prefilling: dict[str, Ticket] = {}
        self._advanced_at = 0.0

    @property
    def outstanding_tokens(self) -> int:
        """Prompt and output tokens of all tickets, waiting or granted."""
        return self.waiting.memory_tokens + self.ledger.granted_tokens

    @property
    def empty(self) -> bool:
        """Whether no ticket waits or is granted."""
        return not self.waiting.count and not self.granted

    def find(self, grant_id: str) -> Ticket | None:
        """Return the ticket of a grant, waiting or granted."""
        return self.granted.get(grant_id) or self.waiting.find(grant_id)

    def wait(self, ticket: Ticket) -> None:
        """Add a waiting ticket; ``arrival`` wakes the task that grants."""
        self.waiting.add(ticket)
        self.arrival.set()

    def grant(self, ticket: Ticket) -> None:
        """Move a ticket from waiting to granted and wake its owner's poll."""
        self.waiting.remove(ticket)
        ticket.granted_at = trio.current_time()
        ticket.cached_tokens = self.match(ticket.request)
        ticket.remaining_prefill_tokens = ticket.uncached_tokens
        self.granted[ticket.grant_id] = ticket
        self.short_tokens += ticket.memory_tokens * ticket.is_short
        self._streams[ticket.priority] += not ticket.request.memory_only
        if ticket.remaining_prefill_tokens:
            self._prefilling[ticket.grant_id] = ticket
        self.ledger.add_grant(ticket.grant_id, ticket.memory_tokens)
        self.prefixes.add(ticket.request.prefix_blocks)
        ticket.settled.set()

    def remove(self, grant_id: str) -> Ticket | None:
        """Remove a ticket, waiting or granted, and wake its owner's poll."""
        ticket = self.find(grant_id)
        if ticket is None:
            return None
        if self.granted.pop(grant_id, None) is None:
            self.waiting.remove(ticket)
        else:
            self.short_tokens -= ticket.memory_tokens * ticket.is_short
            self._streams[ticket.priority] -= not ticket.request.memory_only
            self._prefilling.pop(grant_id, None)
            self.ledger.remove_grant(grant_id)
        ticket.settled.set()
        return ticket

    def match(self, request: PlacementRequest) -> int:
        """Return how many prompt tokens the engine probably has cached."""
        matched = self.prefixes.matched_tokens(request.prefix_blocks)
        return min(matched, request.prompt_tokens)

    def advance_prefill(self) -> None:
        """Advance the estimate of prefill work to the present."""
        now = trio.current_time()
        work = (now - self._advanced_at) * self.speed.prefill_tokens_per_second
        self._advanced_at = now
        for ticket in self._in_engine_order():
            prefilled = min(work, ticket.remaining_prefill_tokens)
            ticket.remaining_prefill_tokens -= prefilled
            work -= prefilled
            if ticket.remaining_prefill_tokens <= 0:
                self._prefilling.pop(ticket.grant_id)
            if work <= 0:
                return

    def backlog_tokens(self, priority: int) -> float:
        """Return the granted prefill tokens of this or a better priority."""
        return sum(
            ticket.remaining_prefill_tokens
            for ticket in self._prefilling.values()
            if ticket.priority <= priority
        )

    def running(self, priority: int) -> int:
        """Return the number of granted streams of this or a better priority."""
        return sum(
            count
            for stream_priority, count in self._streams.items()
            if stream_priority <= priority
        )

    def ends_at(self, ticket: Ticket) -> float:
        """Return the earliest time at which a granted ticket ends."""
        started_at = ticket.granted_at or trio.current_time()
        prefill = ticket.uncached_tokens / self.speed.prefill_tokens_per_second
        decode = ticket.request.max_tokens * self.speed.step_seconds
        return started_at + prefill + decode

    def step_wait_tokens(self, own_tokens: float) -> float:
        """Return the tokens of other prompts that share this one's steps.

        An engine prefills a whole chunk in each step. A prompt that arrives
        while others are prefilled waits for half a step on average, and its
        last chunk is filled up with tokens of others.
        """
        if not self._prefilling:
            return 0
        padding = -own_tokens % PREFILL_CHUNK_TOKENS
        return PREFILL_CHUNK_TOKENS / 2 + padding

    def _in_engine_order(self) -> list[Ticket]:
        return sorted(
            self._prefilling.values(),
            key=lambda ticket: (ticket.priority, ticket.granted_at),
        )
