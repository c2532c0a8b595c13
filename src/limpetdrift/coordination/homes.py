"""Which entry keeps the queue of which endpoint, by rendezvous hashing.

Every entry works the home out from its own list of live entries. Two entries
whose lists differ may name two homes for a while; that costs efficiency only,
since the engine's own memory check is final.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain

from xxhash import xxh64_intdigest

from limpetdrift.protocol.node import Endpoint, Node


def weight(name: str, key: str) -> int:
    """Return the rendezvous weight of a name for a key."""
    return xxh64_intdigest(f'{name}\0{key}'.encode())


def rank_homes(endpoint: Endpoint, entries: Iterable[Node]) -> list[Node]:
    """Return the entries in the order in which they are the home.

    Entries of the endpoint's failure domain come first.
    """
    return sorted(
        entries,
        key=lambda entry: (
            entry.failure_domain != endpoint.failure_domain,
            -weight(entry.name, endpoint.name),
        ),
    )


def home_of(endpoint: Endpoint, entries: Iterable[Node]) -> Node | None:
    """Return the endpoint's home, or ``None`` where no entry is live."""
    return next(iter(rank_homes(endpoint, entries)), None)


def homed_at(
    node: Node,
    endpoints: Iterable[Endpoint],
    entries: Iterable[Node],
) -> list[Endpoint]:
    """Return the endpoints whose home is the node.

    Only the entries of an endpoint's failure domain are weighed, where it has
    any.
    """
    by_domain: dict[str, list[Node]] = defaultdict(list)
    for entry in entries:
        by_domain[entry.failure_domain].append(entry)
    everywhere = list(chain.from_iterable(by_domain.values()))
    homed: list[Endpoint] = []
    for endpoint in endpoints:
        near = by_domain.get(endpoint.failure_domain, everywhere)
        if node in near and home_of(endpoint, near) == node:
            homed.append(endpoint)
    return homed
