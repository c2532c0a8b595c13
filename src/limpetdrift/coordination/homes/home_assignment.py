"""Assigns each endpoint to its home by rendezvous hashing.

The home is the entry that keeps the endpoint's queue. Every entry computes it
from its own list of live entries. While the lists of two entries differ, they
may compute different homes. This costs only efficiency, since the engine
itself checks its memory.
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
    """Return the entries in order of preference as the endpoint's home.

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
    """Return the endpoint's home, or ``None`` if there are no entries."""
    return next(iter(rank_homes(endpoint, entries)), None)


def endpoints_homed_at(
    node: Node,
    endpoints: Iterable[Endpoint],
    entries: Iterable[Node],
) -> list[Endpoint]:
    """Return the endpoints whose home is the node.

    Entries of other failure domains are considered only for an endpoint whose
    own failure domain has none.
    """
    by_domain: dict[str, list[str]] = defaultdict(list)
    for entry in entries:
        by_domain[entry.failure_domain].append(entry.name)
    all_names = list(chain.from_iterable(by_domain.values()))
    return [
        endpoint
        for endpoint in endpoints
        if _is_first(
            node.name,
            endpoint,
            by_domain.get(endpoint.failure_domain, all_names),
        )
    ]


def _is_first(name: str, endpoint: Endpoint, entry_names: list[str]) -> bool:
    if name not in entry_names:
        return False
    own_weight = rendezvous_weight(name, endpoint.name)
    return all(
        rendezvous_weight(other, endpoint.name) <= own_weight
        for other in entry_names
    )


class HomeTable:
    """Caches the homes of all endpoints until a list changes.

    Ranking computes a hash for each entry. Done for each message, it would
    make the cost of a placement grow with the deployment.
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
        """Recompute the homes if the live entries or the endpoints changed."""
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
        """Return the home of an endpoint, even of one not in the list."""
        if endpoint.name not in self._homes:
            # Entries of other domains count only if its own domain has none.
            candidates = self._domains.get(
                endpoint.failure_domain, self._entries
            )
            self._homes[endpoint.name] = home_of(endpoint, candidates)
        return self._homes[endpoint.name]

    def endpoints_of(self, home: Node | None) -> list[Endpoint]:
        """Return the endpoints whose home is that entry."""
        return [] if home is None else self._homed.get(home.name, [])
