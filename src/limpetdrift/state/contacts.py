"""The few nodes of other regions that a node knows."""

from itertools import chain

from limpetdrift.protocol.node import Node

CONTACTS_KEPT = 6


class Contacts:
    """The nodes of each other region that were heard of last."""

    def __init__(self) -> None:
        self._by_region: dict[str, dict[str, Node]] = {}

    def add(self, node: Node) -> None:
        """Keep a contact; the one kept longest makes room."""
        kept = self._by_region.setdefault(node.region, {})
        kept.pop(node.name, None)
        kept[node.name] = node
        if len(kept) > CONTACTS_KEPT:
            kept.pop(next(iter(kept)))

    def regions(self) -> tuple[str, ...]:
        """Return the names of the regions that have contacts."""
        return tuple(self._by_region)

    def of_region(self, region: str) -> tuple[Node, ...]:
        """Return the contacts of one region."""
        return tuple(self._by_region.get(region, {}).values())

    def all(self) -> tuple[Node, ...]:
        """Return all contacts."""
        regions = self._by_region.values()
        return tuple(chain.from_iterable(kept.values() for kept in regions))
