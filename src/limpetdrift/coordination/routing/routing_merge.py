"""Compares routing data between entries, and merges what a peer replied.

Routes are ordered by their version, which the operator assigns and which never
goes back, and among equal versions by the era of the store. The endpoint list's
version is the store's own and goes back when the store returns to an older
copy, so the list is ordered by the era first.
"""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import (
    UNKNOWN_AGE_SECONDS,
    UNKNOWN_ERA,
    RoutingSyncReply,
    RoutingSyncRequest,
    unpack,
    unpack_endpoints,
)
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import NEVER, RouteTableCache
from limpetdrift.state.seen_faults import MAX_REASON_LENGTH
from limpetdrift.state.store_era import StoreEra

# Faults of a peer's list that are compared and logged.
_MAX_FAULTS = 3


@dataclass(kw_only=True, slots=True)
class EndpointListState:
    """The endpoint list's version, its digest, and when it was confirmed.

    Versions are ordered within one ``era`` of the store. ``faults`` are those
    of a peer's list that were logged last.
    """

    era: int = UNKNOWN_ERA
    version: int = 0
    digest: int = 0
    confirmed_at: float = NEVER
    faults: tuple[str, ...] = ()

    @property
    def position(self) -> tuple[int, int]:
        """The era and the version."""
        return self.era, self.version

    def confirm(self, requested_at: float) -> None:
        """Record that a read that began then found no newer list."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def move_to(self, era: int, version: int) -> None:
        """Take another position."""
        self.era = era
        self.version = version


def are_routes_outdated(
    routes: RouteTableCache, request: RoutingSyncRequest
) -> bool:
    """Return whether the routes of a request are older.

    An entry of a build without eras is compared by the version alone.
    """
    if routes.version != request.routes_version or request.routes_era is None:
        return routes.version > request.routes_version
    return routes.era > request.routes_era


def is_list_outdated(
    list_state: EndpointListState, request: RoutingSyncRequest
) -> bool:
    """Return whether the endpoint list of a request is older or differs.

    Lists of one version differ where a reader has dropped endpoints that did
    not register again after an outage of the store. An entry of a build
    without eras is compared by the version alone.
    """
    request_era = request.list_era
    if request_era is None:
        request_era = list_state.era
    position = (request_era, request.list_version)
    if list_state.position != position:
        return list_state.position > position
    return list_state.digest != request.list_digest


def are_evacuations_outdated(
    evacuations: Evacuations, request: RoutingSyncRequest
) -> bool:
    """Return whether the evacuations of a request are older.

    An entry of a build without evacuations has no use for them.
    """
    position = request.evacuations_position
    return position is not None and evacuations.current.position > position


def merge_reply(
    reply: RoutingSyncReply,
    sent_at: float,
    *,
    routes: RouteTableCache,
    list_state: EndpointListState,
    evacuations: Evacuations,
    store_era: StoreEra,
    replace_endpoints: Callable[[tuple[ListedEndpoint, ...]], None],
    is_reading: bool,
) -> bool:
    """Merge a peer's reply to a poll that was sent at ``sent_at``.

    Return whether the endpoint list or the evacuations were replaced. An
    entry that ``is_reading``
    the store itself takes only a first list: a peer's may hold endpoints that
    have no row, and no change of a row would drop them here.
    """
    routes_era = _adopt_era(reply.routes_era, store_era)
    _merge_routes(reply, sent_at, routes, routes_era)
    is_evacuation_new = _merge_evacuations(reply, evacuations, store_era)
    position = (_adopt_era(reply.list_era, store_era), reply.list_version)
    if is_reading and list_state.version:
        return is_evacuation_new
    if reply.endpoints is None or position < list_state.position:
        return is_evacuation_new
    endpoints = _unpack_usable(reply.endpoints, list_state)
    if endpoints is None:
        return is_evacuation_new
    list_state.move_to(*position)
    list_state.confirmed_at = sent_at - reply.list_age_seconds
    replace_endpoints(endpoints)
    return True


def _unpack_usable(
    packed: bytes, list_state: EndpointListState
) -> tuple[ListedEndpoint, ...] | None:
    """Return the endpoints of a packed list that can be used.

    ``None`` if it is no list. What is wrong is logged when it is new.
    """
    unpacked = unpack_endpoints(packed)
    if unpacked.is_error():
        telemetry.count('relayed_lists_unread')
        endpoints, faults = None, (unpacked.error.detail,)
    else:
        endpoints, faults = unpacked.ok
    shown = tuple(each[:MAX_REASON_LENGTH] for each in faults[:_MAX_FAULTS])
    if shown and shown != list_state.faults:
        warn(
            'endpoint list of a peer can not be used as a whole',
            count=len(faults),
            faults=shown,
        )
    list_state.faults = shown
    return endpoints


def _merge_evacuations(
    reply: RoutingSyncReply, evacuations: Evacuations, store_era: StoreEra
) -> bool:
    evacuated = reply.evacuations
    if evacuated is None:
        return False
    _adopt_era(evacuated.era, store_era)
    return evacuations.replace(evacuated)


def _merge_routes(
    reply: RoutingSyncReply, sent_at: float, routes: RouteTableCache, era: int
) -> None:
    # The age was computed after the request was sent, so this is a lower
    # bound of the start of the read, and the data never appears fresher.
    routes_at = sent_at - reply.routes_age_seconds
    if reply.routes_age_seconds >= UNKNOWN_AGE_SECONDS:
        routes_at = NEVER
    if reply.routes is not None:
        table = unpack(reply.routes, RouteTable)
        if table.is_ok() and routes.accept_newer(table.ok, routes_at, era):
            note(
                'configuration in force',
                version=table.ok.version,
                era=era,
                source='peer',
                age_seconds=round(reply.routes_age_seconds, 3),
            )
    routes.confirm(reply.routes_version, routes_at, era)


def _adopt_era(era: int | None, store_era: StoreEra) -> int:
    """Return the era of a peer's version, and adopt it if it is newer.

    A peer of a build without eras does not notice that the store returned, so
    its versions are at best of the first era that was seen here.
    """
    if era is None:
        return store_era.first
    store_era.learn(era, 'relay')
    return era
