"""Decides when a peer's poll is answered, and with what.

Answers a release of servers or a burst of configurations, which all entries of
a failure domain ask for at once: each version is packed once for all of them.
"""

from collections.abc import Callable

from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.coordination.routing.routing_merge import (
    are_evacuations_outdated,
    are_routes_outdated,
    is_list_outdated,
)
from limpetdrift.protocol.routing_sync import (
    UNKNOWN_AGE_SECONDS,
    RoutingSyncReply,
    RoutingSyncRequest,
    pack,
)


class _Packer:
    """Packs each version once, for any number of requests."""

    def __init__(self) -> None:
        self._key: tuple[int, ...] = ()
        self._packed = b''

    def pack(
        self,
        key: tuple[int, ...],
        read: Callable[[], object],
    ) -> bytes:
        if key != self._key:
            self._packed = pack(read())
            self._key = key
        return self._packed


class PollReplies:
    """Makes the replies to peers' polls."""

    def __init__(self, *, inputs: RoutingRelayInputs) -> None:
        self._inputs = inputs
        self._routes_packer = _Packer()
        self._list_packer = _Packer()

    def make(self, request: RoutingSyncRequest) -> RoutingSyncReply:
        """Return a reply with what the peer lacks."""
        routes = self._inputs.routes
        list_state = self._inputs.endpoint_list_state
        are_routes_newer = are_routes_outdated(routes, request)
        is_list_newer = is_list_outdated(list_state, request)
        return RoutingSyncReply(
            routes_version=routes.version,
            routes_era=routes.era,
            routes_age_seconds=min(routes.age_seconds(), UNKNOWN_AGE_SECONDS),
            list_version=list_state.version,
            list_era=list_state.era,
            list_age_seconds=min(
                self._inputs.clock() - list_state.confirmed_at,
                UNKNOWN_AGE_SECONDS,
            ),
            is_cut=self._inputs.is_store_unreachable(),
            evacuations=self._inputs.evacuations.current
            if are_evacuations_outdated(self._inputs.evacuations, request)
            else None,
            is_store_behind=self._inputs.is_store_behind(),
            settled_era=self._inputs.store_era.settled_era,
            routes=self._routes_packer.pack(
                (routes.era, routes.version),
                lambda: routes.table,
            )
            if are_routes_newer
            else None,
            endpoints=_pack_endpoints(self._list_packer, self._inputs)
            if is_list_newer
            else None,
        )


def is_reply_due(
    inputs: RoutingRelayInputs, request: RoutingSyncRequest
) -> bool:
    """Return whether a poll is answered before its timeout."""
    return (
        inputs.is_store_unreachable()
        or are_routes_outdated(inputs.routes, request)
        or is_list_outdated(inputs.endpoint_list_state, request)
        or are_evacuations_outdated(inputs.evacuations, request)
    )


def _pack_endpoints(packer: _Packer, inputs: RoutingRelayInputs) -> bytes:
    """Return the packed list; it is packed again as cold times fall."""
    endpoints = inputs.endpoints()
    list_state = inputs.endpoint_list_state
    cold = (int(each.cold_seconds) for each in endpoints)
    return packer.pack(
        (*list_state.position, list_state.digest, *filter(None, cold)),
        lambda: endpoints,
    )
