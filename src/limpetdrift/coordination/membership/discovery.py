"""Answers callers that ask which entries to use, and for how long.

Each answer is a new random sample in which all entries are equally likely, so
that callers that pick one at random spread evenly over the entries.

>>> add_discovery_routes(routes, membership, randomness)  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from itertools import groupby
from random import Random

from limpetdrift import telemetry
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.protocol.codec import json_response
from limpetdrift.protocol.discovery import (
    DISCOVERY_PATH,
    DiscoveredEntry,
    DiscoveryAnswer,
)
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Node, Role
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange

# How long callers may use a discovery answer. It is part of the grace period
# of a drain.
MAX_AGE_SECONDS = 10.0
# Maximum number of entries in a discovery answer.
ENTRIES_LISTED = 6
# In order of preference.
_PREFERRED_STATES = (
    MemberState.LIVE,
    MemberState.SUSPECT,
    MemberState.LEAVING,
)


def add_discovery_routes(
    routes: Routes,
    membership: Membership,
    randomness: Random,
) -> None:
    """Serve ``GET /v1/entries``, for which no key is needed."""

    async def discover(exchange: Exchange, parameters: Parameters) -> None:
        telemetry.count('discovery_answers')
        answer = make_answer(membership, randomness)
        await exchange.respond(json_response(answer))

    routes.add('GET', DISCOVERY_PATH, discover)


def make_answer(membership: Membership, randomness: Random) -> DiscoveryAnswer:
    """Return a discovery answer with a sample of this region's entries."""
    chosen = sample_entries(usable_entries(membership), randomness)
    return DiscoveryAnswer(
        entries=tuple(
            DiscoveredEntry(
                address=str(entry.caller_address),
                failure_domain=entry.failure_domain,
            )
            for entry in chosen
        ),
        max_age_seconds=MAX_AGE_SECONDS,
    )


def usable_entries(membership: Membership, excluding: str = '') -> list[Node]:
    """Return the entries that callers may use, without node ``excluding``.

    Suspect entries are returned only if none is live, and leaving entries only
    if none is live or suspect.
    """
    entries = [
        member
        for member in membership.members()
        if member.node.role is Role.ENTRY and member.node.name != excluding
    ]
    for state in _PREFERRED_STATES:
        preferred = [member.node for member in entries if member.state is state]
        if preferred:
            return preferred
    return []


def cache_usable_entries(
    membership: Membership,
) -> Callable[[], tuple[Node, ...]]:
    """Return a function like ``usable_entries`` for frequent calls.

    Its result is computed again only when a member has changed, and is the
    same object until then. Hooks that call it must be added to the membership
    after this call.
    """
    cached: list[tuple[Node, ...]] = []
    membership.on_change.append(lambda changed: cached.clear())

    def entries() -> tuple[Node, ...]:
        if not cached:
            cached.append(tuple(usable_entries(membership)))
        return cached[0]

    return entries


def sample_entries(
    entries: Iterable[Node],
    randomness: Random,
    count: int = ENTRIES_LISTED,
) -> list[Node]:
    """Return entries spread over failure domains, all equally likely.

    This is systematic sampling: the entries are arranged by failure domain,
    in random order otherwise, and picked at equal steps from a random start.
    The result is in random order.
    """
    arranged = _arrange_by_domain(entries, randomness)
    if len(arranged) <= count:
        return randomness.sample(arranged, len(arranged))
    step = len(arranged) / count
    start = randomness.uniform(0, step)
    picked = [arranged[int(start + index * step)] for index in range(count)]
    return randomness.sample(picked, count)


def _arrange_by_domain(
    entries: Iterable[Node], randomness: Random
) -> list[Node]:
    def domain_of(entry: Node) -> str:
        return entry.failure_domain

    domains = [
        list(members)
        for _, members in groupby(sorted(entries, key=domain_of), domain_of)
    ]
    arranged: list[Node] = []
    for members in randomness.sample(domains, len(domains)):
        arranged.extend(randomness.sample(members, len(members)))
    return arranged
