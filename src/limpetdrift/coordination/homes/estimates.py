"""Estimates the wait of a ticket at an endpoint and the memory to earmark."""

from heapq import nsmallest

import trio

from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

# Wait after which memory is earmarked for a ticket.
EARMARK_AFTER_SECONDS = 1.0
# Wait after which all memory may be earmarked for a ticket that needs more
# than the usual share.
EARMARK_ALL_AFTER_SECONDS = 8.0
# Share of an engine's memory that may be earmarked for all tickets together.
_EARMARK_SHARE = 0.6
# Lower bound of a stream's remaining time, as a share of its time so far.
_OVERDUE_EXTENSION_SHARE = 0.2


def expected_first_token_seconds(
    queue: EndpointQueue,
    ticket: Ticket,
) -> float:
    """Return the expected time to the ticket's first token.

    It adds up the prefill of the ticket and of all work at its priority or
    ahead of it, and the longer of the waits for memory and for a stream slot.
    """
    work_tokens = (
        queue.waiting.work_tokens(ticket.priority) + ticket.uncached_tokens
    )
    work_tokens += queue.backlog_tokens(ticket.priority)
    work_tokens += queue.step_wait_tokens(ticket.uncached_tokens)
    work_seconds = work_tokens / queue.speed.prefill_tokens_per_second
    return work_seconds + max(
        _memory_seconds(queue, ticket),
        _slot_seconds(queue, ticket),
    )


def may_earmark(ticket: Ticket) -> bool:
    """Return whether the ticket has waited long enough to earmark memory."""
    waited_seconds = trio.current_time() - ticket.arrived_at
    return waited_seconds >= EARMARK_AFTER_SECONDS


def tokens_to_earmark(queue: EndpointQueue, ticket: Ticket) -> float:
    """Return the memory to withhold from later tickets for this one."""
    waited_seconds = trio.current_time() - ticket.arrived_at
    limit_tokens = queue.ledger.capacity_tokens * _EARMARK_SHARE
    # The whole engine is earmarked only for a ticket that can't fit otherwise,
    # and only after a longer wait.
    if (
        ticket.memory_tokens > limit_tokens
        and waited_seconds > EARMARK_ALL_AFTER_SECONDS
    ):
        limit_tokens = queue.ledger.capacity_tokens
    room_tokens = max(0, limit_tokens - queue.earmarked_tokens)
    return min(room_tokens, ticket.memory_tokens)


def _memory_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Return the time until enough memory is expected to be free.

    Granted attempts are expected to produce output up to their limits.
    """
    free_tokens = queue.ledger.free_tokens - queue.earmarked_tokens
    missing_tokens = ticket.memory_tokens - free_tokens
    if missing_tokens <= 0:
        return 0
    expected_ends = sorted(
        (queue.ends_at(each), each.memory_tokens)
        for each in queue.granted.values()
    )
    free_at = trio.current_time()
    for ends_at, tokens in expected_ends:
        missing_tokens -= tokens
        free_at = max(free_at, ends_at)
        if missing_tokens <= 0:
            break
    return free_at - trio.current_time()


def _slot_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    """Return the time until the engine is expected to run one more stream."""
    excess = queue.running(ticket.priority) - queue.running_limit.streams
    if excess < 0:
        return 0
    remaining = [
        _remaining_seconds(queue, each)
        for each in queue.granted.values()
        if each.priority <= ticket.priority
    ]
    rounds, rest = divmod(excess, len(remaining))
    return nsmallest(rest + 1, remaining)[-1] + rounds * max(remaining)


def _remaining_seconds(queue: EndpointQueue, ticket: Ticket) -> float:
    # A stream past its expected end decodes slowly, and may run on for a time
    # in proportion to its time so far.
    now = trio.current_time()
    elapsed_seconds = now - (ticket.granted_at or now)
    return max(
        queue.ends_at(ticket) - now, elapsed_seconds * _OVERDUE_EXTENSION_SHARE
    )
