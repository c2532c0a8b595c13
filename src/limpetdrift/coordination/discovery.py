"""Tells callers which entries to use, and for how long.

Each answer is another sample, in which every entry is as likely as any other,
so that callers who pick one at random spread evenly.

>>> add_discovery_routes(routes, membership, random)  # doctest: +SKIP
"""

from collections.abc import Iterable
from itertools import groupby
from random import Random

from limpetdrift import telemetry
from limpetdrift.coordination.membership import Membership
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

MAX_AGE_SECONDS = 10.0
ENTRIES_LISTED = 6
_PREFERRED_STATES = (
    MemberState.LIVE,
    MemberState.SUSPECT,
    MemberState.LEAVING,
)


def add_discovery_routes(
    routes: Routes,
    membership: Membership,
    random: Random,
) -> None:
    """Serve ``GET /v1/entries``, for which no key is needed."""

    async def discover(exchange: Exchange, parameters: Parameters) -> None:
        telemetry.count('discovery_answers')
        answer = make_answer(membership, random)
        await exchange.respond(json_response(answer))

    routes.add('GET', DISCOVERY_PATH, discover)


def make_answer(membership: Membership, random: Random) -> DiscoveryAnswer:
    """Return several entries of this node's region."""
    chosen = sample_entries(usable_entries(membership), random)
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


def usable_entries(membership: Membership, but: str = '') -> list[Node]:
    """Return the entries for callers to use, but the one of that name.

    Suspect ones are named only where none is held live, and leaving ones only
    where there is no other.
    """
    entries = [
        member
        for member in membership.members()
        if member.node.role is Role.ENTRY and member.node.name != but
    ]
    for state in _PREFERRED_STATES:
        found = [member.node for member in entries if member.state is state]
        if found:
            return found
    return []


def sample_entries(
    entries: Iterable[Node],
    random: Random,
    count: int = ENTRIES_LISTED,
) -> list[Node]:
    """Return entries spread over failure domains, each as likely as another.

    The entries are laid out domain by domain, and every so many is taken from
    a random start on.
    """
    laid_out = _lay_out(entries, random)
    if len(laid_out) <= count:
        return random.sample(laid_out, len(laid_out))
    step = len(laid_out) / count
    start = random.uniform(0, step)
    taken = [laid_out[int(start + index * step)] for index in range(count)]
    return random.sample(taken, count)


def _lay_out(entries: Iterable[Node], random: Random) -> list[Node]:
    def domain_of(entry: Node) -> str:
        return entry.failure_domain

    domains = [
        list(inside)
        for _, inside in groupby(sorted(entries, key=domain_of), domain_of)
    ]
    laid_out: list[Node] = []
    for inside in random.sample(domains, len(domains)):
        laid_out.extend(random.sample(inside, len(inside)))
    return laid_out
