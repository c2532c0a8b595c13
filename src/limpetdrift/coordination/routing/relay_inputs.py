"""Names the data that is relayed between entries, and who takes part."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.routing.routing_merge import EndpointListState
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.registered import RegisteredNode
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.store_era import StoreEra
from limpetdrift.transport.messages import Address


@dataclass(frozen=True, kw_only=True)
class RoutingRelayInputs:
    """The data that is relayed, and the entries that take part.

    ``store_era`` follows the eras that the store and the peers name.

    ``is_store_unreachable`` returns whether this entry can't reach the store,
    and ``is_store_behind`` whether the store shows an older configuration than
    the one in force, or one that can't be read.
    ``endpoints`` returns the endpoint list, and ``replace_endpoints`` replaces
    it. ``entries`` returns all live entries, including this one. ``seeds``
    returns addresses of peers to poll before any peer is known.
    ``read_registered`` reads the entries' rows in the store, after which
    ``seeds`` names these too; it returns ``None`` if it fails.
    ``revoke_seconds`` is the time within which a revoked key must be refused.
    """

    node: Node
    call: PeerCall
    routes: RouteTableCache
    endpoint_list_state: EndpointListState
    evacuations: Evacuations
    endpoints: Callable[[], tuple[ListedEndpoint, ...]]
    replace_endpoints: Callable[[tuple[ListedEndpoint, ...]], None]
    entries: Callable[[], tuple[Node, ...]]
    seeds: Callable[[], tuple[Address, ...]]
    read_registered: Callable[[], Awaitable[tuple[RegisteredNode, ...] | None]]
    is_store_unreachable: Callable[[], bool]
    is_store_behind: Callable[[], bool]
    store_era: StoreEra
    clock: Callable[[], float]
    randomness: Random
    revoke_seconds: float
