"""Decides which peers are polled, and whether a reply is fresh.

Answers a store that turns some entries away, and readers that die: a poll goes
to an entry of the own failure domain where there is one, and several peers are
polled at once where one that is dead may hide what another knows. All functions
depend only on their arguments.
"""

from collections.abc import Iterable
from random import Random

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.routing_sync import RoutingSyncReply
from limpetdrift.transport.messages import Address

# Peers that are polled at once for a newer configuration than the store's.
MAX_PARALLEL_POLLS = 3
# Staleness bound: above this age of the routes another reader is polled.
# Together with the long-poll timeout it stays below the three seconds within
# which a deployment of many entries must follow a change.
STALENESS_BOUND_SECONDS = 1.5


def choose_some(
    own: Node,
    entries: Iterable[Node],
    seeds: Iterable[Address],
    randomness: Random,
) -> list[Address]:
    """Return a few random peers, or seeds before any peer is known."""
    peers = [each.peer_address for each in entries]
    addresses = [each for each in peers if each != own.peer_address]
    if not addresses:
        addresses = [each for each in seeds if each != own.peer_address]
    count = min(MAX_PARALLEL_POLLS, len(addresses))
    return randomness.sample(addresses, count)


def choose_nearest(own: Node, candidates: Iterable[Node]) -> Node:
    """Return one of the candidates, of the own failure domain if possible."""
    by_name = {each.name: each for each in candidates}
    local = {
        name: each
        for name, each in by_name.items()
        if each.failure_domain == own.failure_domain
    }
    choices = local or by_name
    return choices[choose_by_hash(f'reader-of/{own.name}', choices, 1)[0]]


def is_fresh(reply: RoutingSyncReply) -> bool:
    """Return whether reading the store would show nothing newer."""
    return not reply.is_cut and (
        reply.is_store_behind
        or reply.routes_age_seconds <= STALENESS_BOUND_SECONDS
    )
