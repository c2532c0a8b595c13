"""Defines the placement policies and looks them up by name.

A policy decides which endpoints are asked for bids, which bid is accepted, in
which order a home grants waiting tickets, and when a ticket may start.

>>> POLICIES['least-tokens'].name
'least-tokens'
"""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import trio

from limpetdrift.coordination.homes.candidate_selection import (
    SelectCandidates,
    affinity_and_random,
    random_two,
    round_robin,
)
from limpetdrift.protocol.grants import Bid
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.queue import EndpointQueue
from limpetdrift.state.waiting import Ticket

# Limit of an engine's prefill backlog. Further requests wait at the home,
# where they can still be reordered.
_MAX_BACKLOG_SECONDS = 0.1
# Weight of a request's own prefill in the cost of a bid, on top of its share
# of the expected time to first token.
_PREFILL_WEIGHT = 1.0
# A waiting ticket improves by one rank for each of these periods.
_AGING_SECONDS_PER_RANK = 10.0
# Longer prompts must leave the memory reserved for short prompts free.
_LONG_PROMPT_TOKENS = 32_768
# Share of the engine's memory that is reserved for short prompts.
_SHORT_PROMPT_SHARE = 0.15
_RANKS_PER_URGENCY = 10
# An isolated ticket that has waited longer holds back all others, since under
# steady load the endpoint would never become empty by itself.
_ISOLATION_WAIT_SECONDS = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """The functions that make up one placement policy.

    ``queue_key`` returns a ticket's sort key at its home, lowest first.
    ``priority`` returns the priority that is passed to the engine, lowest
    first, and ``age`` the priority of a ticket after its wait so far.
    ``is_full`` returns whether the engine already has as much work as it may
    get at the ticket's priority; if so, no ticket behind it starts either,
    except for the parts of groups, which only take memory.
    ``admits`` returns whether the engine has room for the ticket itself. If
    ``bids_for_all_homed`` is set, a home that is asked for a bid considers
    all eligible endpoints that it is home of, not only the candidates.
    """

    name: str
    select_candidates: SelectCandidates
    choose_bid: Callable[[PlacementRequest, list[Bid]], Bid]
    age: Callable[[Ticket], int]
    queue_key: Callable[[Ticket], tuple[float, ...]]
    priority: Callable[[PlacementRequest], int]
    is_full: Callable[[Ticket, EndpointQueue], bool]
    admits: Callable[[Ticket, EndpointQueue], bool]
    bids_for_all_homed: bool = False


def _lowest_cost(request: PlacementRequest, bids: list[Bid]) -> Bid:
    return min(
        bids,
        key=lambda bid: (
            bid.first_token_seconds + _PREFILL_WEIGHT * bid.work_seconds
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
    """Return the priority by size, improved by a rank for each 10 s waited.

    Aging never moves a ticket ahead of its own level of urgency.
    """
    waited = trio.current_time() - ticket.arrived_at
    ranks_gained = int(waited / _AGING_SECONDS_PER_RANK)
    urgency_rank = ticket.request.urgency * _RANKS_PER_URGENCY
    return max(urgency_rank, priority_by_size(ticket.request) - ranks_gained)


def _keep_priority(ticket: Ticket) -> int:
    return ticket.priority


def _same_priority(request: PlacementRequest) -> int:
    return 0


def priority_by_size(request: PlacementRequest) -> int:
    """Return the priority by urgency, then by the prompt's length.

    Lower runs first. Within one urgency, the priority rises by one each time
    that the prompt's length grows fourfold.
    """
    length_rank = max(0, request.prompt_tokens.bit_length() - 10) // 2
    return request.urgency * _RANKS_PER_URGENCY + length_rank


def _always_admits(ticket: Ticket, queue: EndpointQueue) -> bool:
    return True


def fits_memory(ticket: Ticket, queue: EndpointQueue) -> bool:
    """Return whether the ticket fits beside the earmarked memory.

    A share of the memory is reserved for short prompts, which may use it even
    while memory is earmarked for waiting tickets.
    """
    free_tokens = queue.ledger.free_tokens
    reserve_tokens = queue.ledger.capacity_tokens * _SHORT_PROMPT_SHARE
    short_tokens = queue.short_tokens
    if ticket.is_short:
        if short_tokens + ticket.memory_tokens <= reserve_tokens:
            return ticket.memory_tokens <= free_tokens
        return ticket.memory_tokens <= free_tokens - queue.earmarked_tokens
    free_tokens -= queue.earmarked_tokens
    if queue.granted and _must_leave_reserve(ticket.request):
        free_tokens -= max(0, reserve_tokens - short_tokens)
    return ticket.memory_tokens <= free_tokens


def _must_leave_reserve(request: PlacementRequest) -> bool:
    return request.memory_only or request.prompt_tokens > _LONG_PROMPT_TOKENS


def allows_isolation(ticket: Ticket, queue: EndpointQueue) -> bool:
    """Return whether granting the ticket respects isolation.

    An isolated ticket runs alone at its endpoint. Once it has waited for a
    while, tickets without isolation are held back until it has started.
    """
    if ticket.request.isolated:
        waited = trio.current_time() - ticket.arrived_at
        if queue.granted and waited > _ISOLATION_WAIT_SECONDS:
            queue.exclusive_ticket = ticket
        return not queue.granted
    if _awaits_isolation(queue):
        return False
    return not any(each.request.isolated for each in queue.granted.values())


def _awaits_isolation(queue: EndpointQueue) -> bool:
    ticket = queue.exclusive_ticket
    if ticket is None or queue.find(ticket.grant_id) is not ticket:
        return False
    return ticket.granted_at is None


def _has_room(ticket: Ticket, queue: EndpointQueue) -> bool:
    return fits_memory(ticket, queue) and allows_isolation(ticket, queue)


def _never_full(ticket: Ticket, queue: EndpointQueue) -> bool:
    return False


def _is_saturated(ticket: Ticket, queue: EndpointQueue) -> bool:
    if queue.running(ticket.priority) >= queue.running_limit.streams:
        return True
    backlog = queue.backlog_tokens(ticket.priority)
    speed = queue.speed.prefill_tokens_per_second
    return backlog > speed * _MAX_BACKLOG_SECONDS


_POLICIES = (
    Policy(
        name='round-robin',
        select_candidates=round_robin,
        choose_bid=_least_tokens,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_always_admits,
    ),
    Policy(
        name='least-tokens',
        select_candidates=random_two,
        choose_bid=_least_tokens,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_always_admits,
    ),
    Policy(
        name='prefix-two-choices',
        select_candidates=affinity_and_random,
        choose_bid=_most_cached_unless_loaded,
        queue_key=_by_arrival,
        priority=_same_priority,
        age=_keep_priority,
        is_full=_never_full,
        admits=_always_admits,
    ),
    Policy(
        name='slack',
        select_candidates=affinity_and_random,
        choose_bid=_lowest_cost,
        queue_key=_by_slack,
        priority=priority_by_size,
        age=aged_priority,
        is_full=_is_saturated,
        admits=_has_room,
        bids_for_all_homed=True,
    ),
)

POLICIES = MappingProxyType({policy.name: policy for policy in _POLICIES})
DEFAULT_POLICY = 'slack'
