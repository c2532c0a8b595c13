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


def rendezvous_weight(name: str, key: str) -> int:
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
            -rendezvous_weight(entry.name, endpoint.name),
        ),
    )


def home_of(endpoint: Endpoint, entries: Iterable[Node]) -> Node | None:
    """Return the endpoint's home, or ``None`` where no entry is live."""
    return next(iter(rank_homes(endpoint, entries)), None)


def endpoints_homed_at(
    node: Node,
    endpoints: Iterable[Endpoint],
    entries: Iterable[Node],
) -> list[Endpoint]:
    """Return the endpoints whose home is the node.

    Only the entries of an endpoint's failure domain are weighed, where it has
    any.
    """
    by_domain: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        by_domain[entry.failure_domain].append(entry.name)
    everywhere = list(chain.from_iterable(by_domain.values()))
    return [
        endpoint
        for endpoint in endpoints
        if _weighs_most(
            node.name,
            endpoint,
            by_domain.get(endpoint.failure_domain, everywhere),
        )
    ]


def _weighs_most(name: str, endpoint: Endpoint, near: list[str]) -> bool:
    if name not in near:
        return False
    own = rendezvous_weight(name, endpoint.name)
    return all(rendezvous_weight(other, endpoint.name) <= own for other in near)


class HomeTable:
    """The homes of all endpoints, worked out again only when a list changes.

    Ranking costs a hash for each entry, so that doing it for each message
    would make the cost of a placement grow with the deployment.
    """

    def __init__(self) -> None:
        self._entries: tuple[Node, ...] = ()
        self._endpoints: tuple[Endpoint, ...] = ()
        self._homes: dict[str, Node | None] = {}
        self._homed: dict[str, list[Endpoint]] = {}
        self._domains: dict[str, list[Node]] = {}

    def refresh(
        self,
        entries: tuple[Node, ...],
        endpoints: tuple[Endpoint, ...],
    ) -> None:
        """Follow the lists of live entries and of endpoints."""
        if entries == self._entries and endpoints == self._endpoints:
            return
        self._entries = entries
        self._endpoints = endpoints
        self._homes.clear()
        self._homed.clear()
        self._domains.clear()
        for entry in entries:
            self._domains.setdefault(entry.failure_domain, []).append(entry)
        for endpoint in endpoints:
            home = self.find(endpoint)
            if home is not None:
                self._homed.setdefault(home.name, []).append(endpoint)

    def find(self, endpoint: Endpoint) -> Node | None:
        """Return an endpoint's home, also for one that left the list."""
        if endpoint.name not in self._homes:
            # Entries of other domains matter only where its own has none.
            own = self._domains.get(endpoint.failure_domain, self._entries)
            self._homes[endpoint.name] = home_of(endpoint, own)
        return self._homes[endpoint.name]

    def endpoints_of(self, home: Node | None) -> list[Endpoint]:
        """Return the endpoints whose home that entry is."""
        return [] if home is None else self._homed.get(home.name, [])
