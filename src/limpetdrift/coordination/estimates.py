"""How long a ticket would wait at an endpoint, and what it may gather."""

import trio

from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

GATHER_AFTER_SECONDS = 1.0
GATHER_ALL_AFTER_SECONDS = 8.0
_GATHERED_SHARE = 0.6


def expected_seconds(
    queue: EndpointQueue,
    ticket: Ticket,
) -> float:
    """Return the expected time to the ticket's first token."""
    ahead = queue.waiting.work_tokens(ticket.priority) + ticket.uncached_tokens
    ahead += queue.backlog_tokens(ticket.priority)
    ahead += queue.step_wait_tokens(ticket.uncached_tokens)
    return ahead / queue.speed.prefill_tokens_per_second + _memory_seconds(
        queue,
        ticket,
    )


def may_gather(ticket: Ticket) -> bool:
    """Tell whether memory is kept for a ticket that has waited long."""
    waited = trio.current_time() - ticket.arrived_at
    return waited >= GATHER_AFTER_SECONDS


def gathered(queue: EndpointQueue, ticket: Ticket) -> float:
    """Return the memory to keep from later tickets, so that this one fits."""
    waited = trio.current_time() - ticket.arrived_at
    limit = queue.ledger.capacity_tokens * _GATHERED_SHARE
    # Only what can't fit otherwise may take the whole engine, and late.
    if ticket.memory_tokens > limit and waited > GATHER_ALL_AFTER_SECONDS:
        limit = queue.ledger.capacity_tokens
    room = max(0, limit - queue.gathering_tokens)
    return min(room, ticket.memory_tokens)


def _memory_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Estimate when enough memory comes free, from output limits."""
    free = queue.ledger.free_tokens - queue.gathering_tokens
    missing = ticket.memory_tokens - free
    if missing <= 0:
        return 0
    endings = sorted(
        (_ends_at(queue, each), each.memory_tokens)
        for each in queue.granted.values()
    )
    last = trio.current_time()
    for ends_at, tokens in endings:
        missing -= tokens
        last = max(last, ends_at)
        if missing <= 0:
            break
    return last - trio.current_time()


def _ends_at(queue: EndpointQueue, ticket: Ticket) -> float:
    speed = queue.speed
    prefill = ticket.uncached_tokens / speed.prefill_tokens_per_second
    decode = ticket.request.max_tokens * speed.step_seconds
    return (ticket.granted_at or trio.current_time()) + prefill + decode
