"""Keeps a few nodes of every other region as contacts."""

from itertools import chain

from limpetdrift.protocol.node import Node

MAX_CONTACTS_PER_REGION = 6


class Contacts:
    """The most recently added nodes of every other region."""

    def __init__(self) -> None:
        self._by_region: dict[str, dict[str, Node]] = {}

    def add(self, node: Node) -> None:
        """Add a contact, in place of the oldest one if there are too many."""
        contacts = self._by_region.setdefault(node.region, {})
        contacts.pop(node.name, None)
        contacts[node.name] = node
        if len(contacts) > MAX_CONTACTS_PER_REGION:
            contacts.pop(next(iter(contacts)))

    def regions(self) -> tuple[str, ...]:
        """Return the names of the regions that have contacts."""
        return tuple(self._by_region)

    def of_region(self, region: str) -> tuple[Node, ...]:
        """Return the contacts of one region."""
        return tuple(self._by_region.get(region, {}).values())

    def all(self) -> tuple[Node, ...]:
        """Return all contacts."""
        regions = self._by_region.values()
        return tuple(
            chain.from_iterable(contacts.values() for contacts in regions)
        )
