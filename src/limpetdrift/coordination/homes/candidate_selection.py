"""Selects the endpoints that a placer asks for bids."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import nlargest
from random import Random

from limpetdrift.coordination.homes.home_assignment import rendezvous_weight
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.prefixes import PrefixEndpoints

# Numbers of endpoints that are selected at random and by a prefix's hash.
_RANDOM_PROBES = 2
_AFFINITY_PROBES = 2


@dataclass(kw_only=True, slots=True)
class ProbeState:
    """State that an entry's candidate selection keeps between placements.

    ``prefix_endpoints`` records which endpoint last received a prompt with a
    given prefix.
    """

    randomness: Random
    prefix_endpoints: PrefixEndpoints
    round_robin_count: int = 0


SelectCandidates = Callable[
    [PlacementRequest, list[Endpoint], ProbeState],
    list[Endpoint],
]


def round_robin(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Select one endpoint, cycling through all of them."""
    state.round_robin_count += 1
    return [endpoints[state.round_robin_count % len(endpoints)]]


def random_two(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Select two endpoints at random, or the only one."""
    count = min(_RANDOM_PROBES, len(endpoints))
    return state.randomness.sample(endpoints, count)


def affinity_and_random(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Select endpoints that may cache the prefix, and two at random."""
    selected = _prefix_affine(request, endpoints, state)
    for endpoint in random_two(request, endpoints, state):
        if endpoint not in selected:
            selected.append(endpoint)
    return selected


def _prefix_affine(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    blocks = request.prefix_blocks
    if not blocks:
        return []
    # Hash the longest prefix whose length in blocks is a power of two. It is
    # long enough to separate prompts that share only their beginning, and has
    # the same length for prompts of similar lengths.
    depth = 1 << (len(blocks).bit_length() - 1)
    key = str(blocks[depth - 1])
    selected = nlargest(
        _AFFINITY_PROBES,
        endpoints,
        key=lambda endpoint: rendezvous_weight(endpoint.name, key),
    )
    recent_name = state.prefix_endpoints.find(blocks)
    recent = [each for each in endpoints if each.name == recent_name]
    return selected + [each for each in recent if each not in selected]
