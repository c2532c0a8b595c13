"""The rows by which entries find each other in the store."""

from dataclasses import dataclass, fields

from limpetdrift.protocol.node import Node
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredNode(Node):
    """A node, and the configuration that it knew when it wrote its row.

    The store did not return from a copy between the writing and a read in the
    same ``era``. Earlier builds write a node alone.
    """

    era: int = UNKNOWN_ERA
    routes_version: int = 0


def register_node(node: Node, era: int, routes_version: int) -> RegisteredNode:
    """Return the row of a node."""
    values = {each.name: getattr(node, each.name) for each in fields(Node)}
    return RegisteredNode(**values, era=era, routes_version=routes_version)
