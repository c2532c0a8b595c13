"""Placement policies as plain functions, by name.

A policy says which endpoints are asked for bids, which bid is taken, in which
order a home grants what waits, and when an endpoint may get a ticket.

>>> POLICIES['least-tokens'].name
'least-tokens'
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import trio

from limpetdrift.coordination.candidate_selection import (
    Candidates,
    affinity_and_random,
    next_in_turn,
    random_two,
)
from limpetdrift.protocol.grants import Bid
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

_START_SOON_SECONDS = 0.1
_WORK_WEIGHT = 1.0
_AGING_SECONDS_PER_RANK = 10.0
_LONG_PROMPT_TOKENS = 32_768
_RESERVED_SHARE = 0.15
_PRIORITY_RANKS = 10
_EMPTY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """The decisions of one way to place requests.

    ``order`` gives a ticket's sort key at its home, least first; ``priority``
    is what the engine is told, lower first, and ``age`` what it has become
    after the ticket's wait. ``is_full`` says that the engine has as much work
    as it may get at the ticket's priority, so that no later ticket starts
    either; ``admits`` says whether there is room for the ticket itself. With
    ``asks_for_all`` a home that is asked bids with the best of its endpoints.
    """

    name: str
    candidates: Candidates
    choose: Callable[[PlacementRequest, list[Bid]], Bid]
    age: Callable[[Ticket], int]
    queue_key: Callable[[Ticket], tuple[float, ...]]
    priority: Callable[[PlacementRequest], int]
    is_full: Callable[[Ticket, EndpointQueue], bool]
    admits: Callable[[Ticket, EndpointQueue], bool]
    bids_for_all_homed: bool = False


def _least_seconds(request: PlacementRequest, bids: list[Bid]) -> Bid:
    return min(
        bids,
        key=lambda bid: (
            bid.first_token_seconds + _WORK_WEIGHT * bid.work_seconds
        ),
    )


def _least_tokens(request: PlacementRequest, bids: list[Bid]) -> Bid:
    return min(bids, key=lambda bid: bid.outstanding_tokens)


def _most_cached_unless_loaded(
    request: PlacementRequest, bids: list[Bid]
) -> Bid:
    return min(
        bids,
        key=lambda bid: bid.outstanding_tokens - bid.cached_tokens,
    )


def _by_arrival(ticket: Ticket) -> tuple[float, ...]:
    return (ticket.arrived_at,)


def _by_slack(ticket: Ticket) -> tuple[float, ...]:
    return (aged_priority(ticket), ticket.deadline_at)


def aged_priority(ticket: Ticket) -> int:
    """Return the priority by size, better by a rank for each few seconds."""
    waited = trio.current_time() - ticket.arrived_at
    aged = int(waited / _AGING_SECONDS_PER_RANK)
    urgency = ticket.request.urgency * _PRIORITY_RANKS
    return max(urgency, priority_by_size(ticket.request) - aged)


def _keep_priority(ticket: Ticket) -> int:
    return ticket.priority


def _same_priority(request: PlacementRequest) -> int:
    return 0


def priority_by_size(request: PlacementRequest) -> int:
    """Return urgency first, then the prompt's length in powers of four."""
    length_rank = max(0, request.prompt_tokens.bit_length() - 10) // 2
    return request.urgency * _PRIORITY_RANKS + length_rank


def _at_once(ticket: Ticket, queue: EndpointQueue) -> bool:
    return True


def fits_memory(ticket: Ticket, queue: EndpointQueue) -> bool:
    """Tell whether memory is free beside what others gather.

    A share of the memory is kept for short prompts, which may use it also
    while others gather.
    """
    free = queue.ledger.free_tokens
    reserve = queue.ledger.capacity_tokens * _RESERVED_SHARE
    short_tokens = queue.short_tokens
    if ticket.is_short:
        if short_tokens + ticket.memory_tokens <= reserve:
            return ticket.memory_tokens <= free
        return ticket.memory_tokens <= free - queue.earmarked_tokens
    free -= queue.earmarked_tokens
    if queue.granted and _leaves_reserve(ticket.request):
        free -= max(0, reserve - short_tokens)
    return ticket.memory_tokens <= free


def _leaves_reserve(request: PlacementRequest) -> bool:
    return request.memory_only or request.prompt_tokens > _LONG_PROMPT_TOKENS


def allows_isolation(ticket: Ticket, queue: EndpointQueue) -> bool:
    """Keep an isolated request apart from all others.

    One that has waited for a while gets the endpoint emptied for it.
    """
    if ticket.request.isolated:
        waited = trio.current_time() - ticket.arrived_at
        if queue.granted and waited > _EMPTY_AFTER_SECONDS:
            queue.exclusive_ticket = ticket
        return not queue.granted
    if _is_emptied(queue):
        return False
    return not any(each.request.isolated for each in queue.granted.values())


def _is_emptied(queue: EndpointQueue) -> bool:
    ticket = queue.exclusive_ticket
    if ticket is None or queue.find(ticket.grant_id) is not ticket:
        return False
    return ticket.granted_at is None


def _has_room(ticket: Ticket, queue: EndpointQueue) -> bool:
    return fits_memory(ticket, queue) and allows_isolation(ticket, queue)


def _never_full(ticket: Ticket, queue: EndpointQueue) -> bool:
    return False


def _starts_too_late(ticket: Ticket, queue: EndpointQueue) -> bool:
    if queue.running(ticket.priority) >= queue.running_limit.streams:
        return True
    backlog = queue.backlog_tokens(ticket.priority)
    speed = queue.speed.prefill_tokens_per_second
    return backlog > speed * _START_SOON_SECONDS


_ALL = (
    Policy(
        name='round-robin',
        candidates=next_in_turn,
        choose=_least_tokens,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_at_once,
    ),
    Policy(
        name='least-tokens',
        candidates=random_two,
        choose=_least_tokens,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_at_once,
    ),
    Policy(
        name='prefix-two-choices',
        candidates=affinity_and_random,
        choose=_most_cached_unless_loaded,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_at_once,
    ),
    Policy(
        name='slack',
        candidates=affinity_and_random,
        choose=_least_seconds,
        queue_key=_by_slack,
        priority=priority_by_size,
        age=aged_priority,
        is_full=_starts_too_late,
        admits=_has_room,
        bids_for_all_homed=True,
    ),
)

POLICIES = MappingProxyType({policy.name: policy for policy in _ALL})
DEFAULT_POLICY = 'slack'
