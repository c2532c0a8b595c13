"""Decides which peers are polled, and whether a reply is fresh.

Answers a store that turns some entries away, and readers that die: a poll goes
to an entry of the own failure domain where there is one. All functions depend
only on their arguments.
"""

from collections.abc import Collection, Iterable
from random import Random

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.routing_sync import RoutingSyncReply
from limpetdrift.transport.messages import Address

# Staleness bound: above this age of the routes another reader is polled.
# Together with the long-poll timeout it stays below the three seconds within
# which a deployment of many entries must follow a change.
STALENESS_BOUND_SECONDS = 1.5


def other_addresses(own: Node, entries: Iterable[Node]) -> list[Address]:
    """Return the peer addresses of all entries but the own."""
    return other_seeds(own, (each.peer_address for each in entries))


def other_seeds(own: Node, seeds: Iterable[Address]) -> list[Address]:
    """Return all addresses but the own."""
    return [each for each in seeds if each != own.peer_address]


def choose_some(
    addresses: Iterable[Address],
    excluded: Collection[Address],
    limit: int,
    randomness: Random,
) -> list[Address]:
    """Return random addresses, at most ``limit`` with the excluded ones."""
    others = [each for each in addresses if each not in excluded]
    count = min(limit - len(excluded), len(others))
    return randomness.sample(others, count)


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
