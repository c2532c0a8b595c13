"""Which entry keeps the queue of which endpoint, by rendezvous hashing.

Every entry works the home out from its own list of live entries. Two entries
whose lists differ may name two homes for a while; that costs efficiency only,
since the engine's own memory check is final.
"""

from collections.abc import Iterable

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
