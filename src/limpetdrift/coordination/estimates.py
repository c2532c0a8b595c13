"""How long a ticket would wait at an endpoint, and what it may gather."""

from heapq import nsmallest

import trio

from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

GATHER_AFTER_SECONDS = 1.0
GATHER_ALL_AFTER_SECONDS = 8.0
_GATHERED_SHARE = 0.6
_OVERDUE_SHARE = 0.2


def expected_seconds(
    queue: EndpointQueue,
    ticket: Ticket,
) -> float:
    """Return the expected time to the ticket's first token."""
    ahead = queue.waiting.work_tokens(ticket.priority) + ticket.uncached_tokens
    ahead += queue.backlog_tokens(ticket.priority)
    ahead += queue.step_wait_tokens(ticket.uncached_tokens)
    work_seconds = ahead / queue.speed.prefill_tokens_per_second
    return work_seconds + max(
        _memory_seconds(queue, ticket),
        _slot_seconds(queue, ticket),
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
    room = max(0, limit - queue.earmarked_tokens)
    return min(room, ticket.memory_tokens)


def _memory_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Estimate when enough memory comes free, from output limits."""
    free = queue.ledger.free_tokens - queue.earmarked_tokens
    missing = ticket.memory_tokens - free
    if missing <= 0:
        return 0
    endings = sorted(
        (queue.ends_at(each), each.memory_tokens)
        for each in queue.granted.values()
    )
    last = trio.current_time()
    for ends_at, tokens in endings:
        missing -= tokens
        last = max(last, ends_at)
        if missing <= 0:
            break
    return last - trio.current_time()


def _slot_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Estimate when the engine has room for one more stream."""
    over = queue.running(ticket.priority) - queue.running_limit.streams
    if over < 0:
        return 0
    stays = [
        _stay_seconds(queue, each)
        for each in queue.granted.values()
        if each.priority <= ticket.priority
    ]
    rounds, rest = divmod(over, len(stays))
    return nsmallest(rest + 1, stays)[-1] + rounds * max(stays)


def _stay_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    # What is overdue decodes slowly and may stay for some time more.
    now = trio.current_time()
    stayed = now - (ticket.granted_at or now)
    return max(queue.ends_at(ticket) - now, stayed * _OVERDUE_SHARE)
