"""Which endpoints a placer asks for bids."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import nlargest
from random import Random

from limpetdrift.coordination.home_assignment import rendezvous_weight
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.placement import PlacementRequest
from limpetdrift.state.prefixes import PrefixPlaces

_RANDOM_PROBES = 2
_AFFINE_PROBES = 2


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


def next_in_turn(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Ask one endpoint, each in its turn."""
    state.turn += 1
    return [endpoints[state.turn % len(endpoints)]]


def random_two(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Ask two endpoints at random."""
    count = min(_RANDOM_PROBES, len(endpoints))
    return state.random.sample(endpoints, count)


def affinity_and_random(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    """Ask those that like prompts went to, and two at random."""
    chosen = _affine(request, endpoints, state)
    for endpoint in random_two(request, endpoints, state):
        if endpoint not in chosen:
            chosen.append(endpoint)
    return chosen


def _affine(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    state: ProbeState,
) -> list[Endpoint]:
    blocks = request.prefix_blocks
    if not blocks:
        return []
    # The deepest power of two tells prompts that share much from those that
    # share only a beginning, and is the same for prompts of like lengths.
    depth = 1 << (len(blocks).bit_length() - 1)
    key = str(blocks[depth - 1])
    chosen = nlargest(
        _AFFINE_PROBES,
        endpoints,
        key=lambda endpoint: rendezvous_weight(endpoint.name, key),
    )
    place = state.places.find(blocks)
    seen = [each for each in endpoints if each.name == place]
    return chosen + [each for each in seen if each not in chosen]
