"""Relays routes and endpoints from the entries that read the store.

In a deployment of many entries the load on the store would grow with their
number, so only a few of each failure domain read it, and the others poll these.
Polls stay within the failure domain, since a release of servers or a burst of
configurations is sent to every entry. The same relay serves entries that the
store rejects while it serves others. All ages count from the
start of the read in the store, so that relayed data never appears fresher than
it is, over any number of entries.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.coordination.routing.routing_merge import (
    EndpointListState,
    are_evacuations_outdated,
    are_routes_outdated,
    is_list_outdated,
    merge_reply,
)
from limpetdrift.coordination.routing.store_readers import (
    MAX_DIRECT_ENTRIES,
    StoreReaders,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.routing_sync import (
    UNKNOWN_AGE_SECONDS,
    RoutingSyncReply,
    RoutingSyncRequest,
    pack,
)
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.evacuations import Evacuations
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.store_era import StoreEra
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

KNOWLEDGE_PATH = 'knowledge'
# Long-poll timeout: how long a reader delays its reply if nothing changes.
LONG_POLL_SECONDS = 1.0
# Peers that are polled at once for a newer configuration than the store's.
MAX_PARALLEL_POLLS = 3
# Margin of the caller's timeout over the long-poll timeout.
REPLY_MARGIN_SECONDS = 0.4
# Long-poll timeout of a reader's own reads of the store while it serves other
# entries. This is how often it confirms its data.
READER_LONG_POLL_SECONDS = 0.5
# Staleness bound: above this age of the routes another reader is polled.
# Together with LONG_POLL_SECONDS it stays below the three seconds within which
# a deployment of many entries must follow a change.
STALENESS_BOUND_SECONDS = 1.5
# Back-off ceiling of failing reads of the store: its increase for each entry
# above MAX_DIRECT_ENTRIES, and its value up to there.
_EXTRA_RETRY_SECONDS_PER_ENTRY = 0.03
_BASE_MAX_RETRY_SECONDS = 0.6
# Interval at which an entry that doesn't read the store checks if it is to.
DUTY_CHECK_SECONDS = 1.0
# Range of the random pause between two polls of peers.
_POLL_INTERVAL_SECONDS = (0.05, 0.15)


@dataclass(frozen=True, kw_only=True)
class RoutingRelayInputs:
    """The data that is relayed, and the entries that take part.

    ``store_era`` follows the eras that the store and the peers name.

    ``is_store_unreachable`` returns whether this entry can't reach the store,
    and ``is_store_behind`` whether the store shows an older configuration than
    the one in force.
    ``endpoints`` returns the endpoint list, and ``replace_endpoints`` replaces
    it. ``entries`` returns all live entries, including this one. ``seeds``
    returns addresses of peers to poll before any peer is known.
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
    is_store_unreachable: Callable[[], bool]
    is_store_behind: Callable[[], bool]
    store_era: StoreEra
    clock: Callable[[], float]
    randomness: Random


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


class RoutingRelay:
    """Decides whether this entry reads the store, and polls peers otherwise.

    It also answers the polls of other entries.
    """

    def __init__(self, *, inputs: RoutingRelayInputs) -> None:
        self._inputs = inputs
        self.readers = StoreReaders(
            node=inputs.node, entries=inputs.entries, clock=inputs.clock
        )
        # Called when the deployment becomes so large that not all entries read
        # the store, so that readers confirm their data more often.
        self.on_growth: list[Callable[[], None]] = []
        self._changed = trio.Event()
        self._routes_packer = _Packer()
        self._list_packer = _Packer()

    @property
    def is_store_reader(self) -> bool:
        """Whether this entry is to read the store itself.

        All entries of a small deployment do; in a large one those chosen by
        rendezvous hashing, and for a time those that take their place.
        """
        return self.readers.is_reader

    @property
    def long_poll_seconds(self) -> float | None:
        """The long-poll timeout of reads of the store, in a large deployment.

        ``None`` in a small one, where no other entry depends on the reads.
        """
        if self.readers.is_small_deployment:
            return None
        return READER_LONG_POLL_SECONDS

    async def wait_store_reader(self) -> None:
        """Wait until this entry may be a reader, for a limited time."""
        await self.readers.wait_duty(DUTY_CHECK_SECONDS)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler of peers' polls."""
        peer_routes.add(KNOWLEDGE_PATH, RoutingSyncRequest, self.on_poll)

    def notify_waiters(self) -> None:
        """Wake the waiting polls after a change or the loss of the store.

        Each then checks again whether its reply is due.
        """
        self._changed.set()
        self._changed = trio.Event()

    async def on_poll(
        self,
        request: RoutingSyncRequest,
    ) -> Result[RoutingSyncReply, Failure]:
        """Answer a peer's long poll.

        Replies once the peer's data is outdated or the store is unreachable,
        and at the latest after the long-poll timeout.
        """
        with trio.move_on_after(min(request.wait_seconds, LONG_POLL_SECONDS)):
            while not _is_reply_due(self._inputs, request):
                await self._changed.wait()
        return Ok(self._reply(request))

    async def run(self) -> None:
        """Poll peers while this entry doesn't or can't read the store."""
        was_small = self.readers.is_small_deployment
        while True:
            if was_small and not self.readers.is_small_deployment:
                for callback in self.on_growth:
                    callback()
            was_small = self.readers.is_small_deployment
            if self._inputs.store_era.is_peer_poll_due:
                era = self._inputs.store_era.known
                await self._poll_any()
                self._inputs.store_era.record_peer_poll(era)
            elif (
                not self.is_store_reader or self._inputs.is_store_unreachable()
            ):
                await self.poll_peer()
            # Also limits the rate of polls that fail at once.
            await trio.sleep(
                self._inputs.randomness.uniform(*_POLL_INTERVAL_SECONDS)
            )

    async def poll_peer(self) -> None:
        """Poll one peer, and record whether it is stale."""
        name, address = self._choose_peer()
        if address is None:
            return
        # One that takes the place of a stale reader is asked what it has now.
        wait_seconds = (
            0.0 if self.readers.has_stale_reader else LONG_POLL_SECONDS
        )
        reply = await self._poll(address, wait_seconds=wait_seconds)
        if reply.is_ok() and _is_fresh(reply.ok):
            self.readers.record_fresh()
        else:
            self.readers.record_stale(
                name,
                has_failed=reply.is_error(),
                may_read=not self._inputs.is_store_unreachable(),
            )

    async def _poll_any(self) -> None:
        """Poll some peers at once, until one has replied.

        One that is dead or silent must not hide what another one knows.
        """
        async with trio.open_nursery() as nursery:

            async def poll(address: Address) -> None:
                reply = await self._poll(address, wait_seconds=0.0)
                if reply.is_ok():
                    nursery.cancel_scope.cancel()

            for address in _choose_some(self._inputs):
                nursery.start_soon(poll, address)

    async def _poll(
        self, address: Address, *, wait_seconds: float
    ) -> Result[RoutingSyncReply, Failure]:
        """Poll one peer, and merge its reply."""
        sent_at = self._inputs.clock()
        reply = await self._inputs.call(
            address,
            KNOWLEDGE_PATH,
            RoutingSyncRequest(
                routes_version=self._inputs.routes.version,
                routes_era=self._inputs.routes.era,
                list_version=self._inputs.endpoint_list_state.version,
                list_era=self._inputs.endpoint_list_state.era,
                list_digest=self._inputs.endpoint_list_state.digest,
                evacuations_position=self._inputs.evacuations.current.position,
                wait_seconds=wait_seconds,
            ),
            RoutingSyncReply,
            timeout_seconds=wait_seconds + REPLY_MARGIN_SECONDS,
        )
        telemetry.count('knowledge_asked', outcome=_outcome(reply))
        if reply.is_ok() and merge_reply(
            reply.ok,
            sent_at,
            routes=self._inputs.routes,
            list_state=self._inputs.endpoint_list_state,
            evacuations=self._inputs.evacuations,
            store_era=self._inputs.store_era,
            replace_endpoints=self._inputs.replace_endpoints,
            is_reading=self.is_store_reader
            and not self._inputs.is_store_unreachable(),
        ):
            self.notify_waiters()
        return reply

    def _reply(self, request: RoutingSyncRequest) -> RoutingSyncReply:
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

    def _choose_peer(self) -> tuple[str, Address | None]:
        """Return the name and address of the peer to poll.

        This is a reader that was not stale lately, or any peer if all readers
        were. Before any peer is known it is a seed, and the name is empty;
        without seeds the address is ``None``.
        """
        own = self._inputs.node
        peers = [each for each in self._inputs.entries() if each != own]
        if not peers:
            return '', next(iter(_choose_some(self._inputs)), None)
        candidates = self.readers.others() or peers
        chosen = _choose_nearest(own, candidates)
        return chosen.name, chosen.peer_address


def max_retry_interval_seconds(entry_count: int) -> float:
    """Return the back-off ceiling of failing reads of the store."""
    extra_entries = max(0, entry_count - MAX_DIRECT_ENTRIES)
    return (
        _BASE_MAX_RETRY_SECONDS + extra_entries * _EXTRA_RETRY_SECONDS_PER_ENTRY
    )


def _is_reply_due(
    inputs: RoutingRelayInputs, request: RoutingSyncRequest
) -> bool:
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


def _choose_some(inputs: RoutingRelayInputs) -> list[Address]:
    """Return a few random peers, or seeds before any peer is known."""
    own_address = inputs.node.peer_address
    peers = [each.peer_address for each in inputs.entries()]
    addresses = [each for each in peers if each != own_address]
    if not addresses:
        seeds = inputs.seeds()
        addresses = [each for each in seeds if each != own_address]
    count = min(MAX_PARALLEL_POLLS, len(addresses))
    return inputs.randomness.sample(addresses, count)


def _choose_nearest(own: Node, candidates: Iterable[Node]) -> Node:
    """Return one of the candidates, of the own failure domain if possible."""
    local = {
        each.name: each
        for each in candidates
        if each.failure_domain == own.failure_domain
    }
    choices = local or {each.name: each for each in candidates}
    name = choose_by_hash(f'reader-of/{own.name}', choices, 1)[0]
    return choices[name]


def _is_fresh(reply: RoutingSyncReply) -> bool:
    """Return whether reading the store would show nothing newer."""
    return not reply.is_cut and (
        reply.is_store_behind
        or reply.routes_age_seconds <= STALENESS_BOUND_SECONDS
    )


def _outcome(reply: Result[RoutingSyncReply, Failure]) -> str:
    return 'answered' if reply.is_ok() else str(reply.error.reason)
