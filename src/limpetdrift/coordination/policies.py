"""Placement policies as plain functions, by name.

A policy says which endpoints are asked for bids, which bid is taken, in which
order a home grants what waits, and when an endpoint may get a ticket.

>>> POLICIES['least-tokens'].name
'least-tokens'
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import MappingProxyType

import trio

from limpetdrift.coordination.homes import weight
from limpetdrift.protocol.grants import Bid
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.prefixes import PrefixPlaces
from limpetdrift.state.queue import EndpointQueue, Ticket

_START_SOON_SECONDS = 0.1
_RANDOM_PROBES = 2
_AGING_SECONDS_PER_RANK = 5.0
_LONG_PROMPT_TOKENS = 32_768
_RESERVED_SHARE = 0.15
_PRIORITY_RANKS = 10


@dataclass(kw_only=True, slots=True)
class ProbeState:
    """What one entry remembers between placements."""

    random: Random
    places: PrefixPlaces
    turn: int = 0


Candidates = Callable[
    [PlacementRequest, list[Endpoint], ProbeState],
    list[Endpoint],
]


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """The decisions of one way to place requests.

    ``order`` gives a ticket's sort key at its home, least first; ``priority``
    is what the engine is told, lower first; ``admits`` says whether the
    endpoint may get the ticket now.
    """

    name: str
    candidates: Candidates
    choose: Callable[[list[Bid]], Bid]
    order: Callable[[Ticket], tuple[float, ...]]
    priority: Callable[[PlacementRequest], int]
    admits: Callable[[Ticket, EndpointQueue], bool]


def is_long(request: PlacementRequest) -> bool:
    """Tell whether a prompt counts as long."""
    return request.prompt_tokens > _LONG_PROMPT_TOKENS


def _next_in_turn(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    state.turn += 1
    return [endpoints[state.turn % len(endpoints)]]


def _random_two(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    count = min(_RANDOM_PROBES, len(endpoints))
    return state.random.sample(endpoints, count)


def _affinity_and_random(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    chosen = _affine(request, endpoints, state)
    for endpoint in _random_two(request, endpoints, state):
        if endpoint not in chosen:
            chosen.append(endpoint)
    return chosen


def _affine(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    if not request.prefix_blocks:
        return []
    first = str(request.prefix_blocks[0])
    ranked = max(endpoints, key=lambda each: weight(each.name, first))
    place = state.places.find(request.prefix_blocks)
    seen = [each for each in endpoints if each.name == place]
    return seen if ranked in seen else [*seen, ranked]


def _least_seconds(bids: list[Bid]) -> Bid:
    return min(bids, key=lambda bid: bid.first_token_seconds)


def _least_tokens(bids: list[Bid]) -> Bid:
    return min(bids, key=lambda bid: bid.outstanding_tokens)


def _most_cached_unless_loaded(bids: list[Bid]) -> Bid:
    return min(
        bids,
        key=lambda bid: bid.outstanding_tokens - bid.cached_tokens,
    )


def _by_arrival(ticket: Ticket) -> tuple[float, ...]:
    return (ticket.arrived_at,)


def _by_slack(ticket: Ticket) -> tuple[float, ...]:
    waited = trio.current_time() - ticket.arrived_at
    rank = priority_by_size(ticket.request) - waited / _AGING_SECONDS_PER_RANK
    return (rank, ticket.deadline_at)


def _same_priority(request: PlacementRequest) -> int:
    return 0


def priority_by_size(request: PlacementRequest) -> int:
    """Return urgency first, then the prompt's length in powers of four."""
    length_rank = max(0, request.prompt_tokens.bit_length() - 10) // 2
    return request.urgency * _PRIORITY_RANKS + length_rank


def _at_once(ticket: Ticket, queue: EndpointQueue) -> bool:
    return True


def _fits_memory(ticket: Ticket, queue: EndpointQueue) -> bool:
    ledger = queue.ledger
    reserve = 0.0
    if is_long(ticket.request) and queue.granted:
        reserve = ledger.capacity_tokens * _RESERVED_SHARE
    return ticket.memory_tokens <= ledger.free_tokens - reserve


def _when_it_starts_soon(ticket: Ticket, queue: EndpointQueue) -> bool:
    if not _fits_memory(ticket, queue):
        return False
    backlog = queue.backlog_tokens(ticket.priority)
    speed = queue.speed.prefill_tokens_per_second
    return backlog <= speed * _START_SOON_SECONDS


_ALL = (
    Policy(
        name='round-robin',
        candidates=_next_in_turn,
        choose=_least_tokens,
        order=_by_arrival,
        priority=_same_priority,
        admits=_at_once,
    ),
    Policy(
        name='least-tokens',
        candidates=_random_two,
        choose=_least_tokens,
        order=_by_arrival,
        priority=_same_priority,
        admits=_at_once,
    ),
    Policy(
        name='prefix-two-choices',
        candidates=_affinity_and_random,
        choose=_most_cached_unless_loaded,
        order=_by_arrival,
        priority=_same_priority,
        admits=_at_once,
    ),
    Policy(
        name='slack',
        candidates=_affinity_and_random,
        choose=_least_seconds,
        order=_by_slack,
        priority=priority_by_size,
        admits=_when_it_starts_soon,
    ),
)

POLICIES = MappingProxyType({policy.name: policy for policy in _ALL})
DEFAULT_POLICY = 'slack'
