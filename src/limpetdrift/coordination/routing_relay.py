"""Passes routes and endpoints from a few entries that read them to the rest.

Answers deployments of many entries, whose reads of the store would grow with
their number, and stores that turn some entries away and serve the others.
All ages count from the start of the read in the store, so a chain of entries
never makes knowledge look fresher than it is.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.logs import note
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import (
    KnowledgeReply,
    RoutingSyncRequest,
    pack,
    unpack,
)
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.messages import Address

KNOWLEDGE_PATH = 'knowledge'
# Up to so many entries all read the store; beyond, one in so many does.
DIRECT_ENTRIES = 12
ENTRIES_OF_A_READER = 24
LEAST_READERS = 3
# How long a reader keeps a question when nothing changes, and how much later
# its answer may come.
WAIT_SECONDS = 1.0
LATE_SECONDS = 0.4
# A reader that others ask confirms what it holds so often.
READER_WAIT_SECONDS = 0.5
# Knowledge older than this is asked elsewhere. With the wait it stays under
# the three seconds that a deployment of many entries has to follow a change.
FRESH_SECONDS = 1.5
# So many readers are asked before an entry reads for itself.
READERS_ASKED = 2
# Pauses between failing reads grow to this, for each entry beyond those that
# always read.
_RETRY_SECONDS_OF_AN_ENTRY = 0.03
_RETRY_SECONDS = 0.6
# An entry whose reader fell behind reads for itself this long.
ALONE_SECONDS = 4.0
# Stands for the age of what was never read.
UNKNOWN_AGE_SECONDS = 1_000_000.0
_PAUSE_SECONDS = (0.05, 0.15)


@dataclass(kw_only=True, slots=True)
class EndpointListState:
    """The endpoint list's version, its digest, and when it was confirmed."""

    version: int = 0
    digest: int = 0
    confirmed_at: float = float('-inf')


@dataclass(frozen=True, kw_only=True)
class RoutingRelayInputs:
    """What is passed on, and among whom.

    ``is_cut`` tells whether this entry can't reach the store. ``endpoints``
    returns the list, and ``take_endpoints`` replaces it. ``seeds`` are
    peers' addresses to ask before any peer is known.
    """

    node: Node
    call: PeerCall
    routes: RouteTableCache
    endpoint_list_state: EndpointListState
    endpoints: Callable[[], tuple[ListedEndpoint, ...]]
    replace_endpoints: Callable[[tuple[ListedEndpoint, ...]], None]
    entries: Callable[[], tuple[Node, ...]]
    seeds: Callable[[], tuple[Address, ...]]
    is_store_unreachable: Callable[[], bool]
    clock: Callable[[], float]
    randomness: Random


class _Packer:
    """Packs each version once, however many ask for it."""

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
    """Whether this entry reads the store, and whom it asks otherwise."""

    def __init__(self, *, inputs: RoutingRelayInputs) -> None:
        self._inputs = inputs
        self._alone_until = float('-inf')
        self._failed: set[str] = set()
        self._news = trio.Event()
        self._routes_pack = _Packer()
        self._list_pack = _Packer()

    @property
    def is_store_reader(self) -> bool:
        """Whether this entry is to read the store itself."""
        names = [entry.name for entry in self._inputs.entries()]
        if len(names) <= DIRECT_ENTRIES:
            return True
        if self._inputs.clock() < self._alone_until:
            return True
        return self._inputs.node.name in _readers(names)

    @property
    def wait_seconds(self) -> float | None:
        """How soon a read is to end without news, if others wait for it."""
        if len(self._inputs.entries()) <= DIRECT_ENTRIES:
            return None
        return READER_WAIT_SECONDS

    @property
    def max_retry_interval_seconds(self) -> float:
        """The longest pause between reads that fail."""
        beyond = max(0, len(self._inputs.entries()) - DIRECT_ENTRIES)
        return _RETRY_SECONDS + beyond * _RETRY_SECONDS_OF_AN_ENTRY

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handler to peers."""
        peer_routes.add(KNOWLEDGE_PATH, RoutingSyncRequest, self.answer)

    def notify_waiters(self) -> None:
        """Answer those who wait: something changed, or the store is lost."""
        self._news.set()
        self._news = trio.Event()

    async def answer(
        self,
        request: RoutingSyncRequest,
    ) -> Result[KnowledgeReply, Failure]:
        """Answer a peer, at once if there is news and later if not."""
        with trio.move_on_after(min(request.wait_seconds, WAIT_SECONDS)):
            while not self._has_news(request):
                await self._news.wait()
        return Ok(self._reply(request))

    async def run(self) -> None:
        """Ask peers while this entry doesn't or can't read the store."""
        while True:
            if not self.is_store_reader or self._inputs.is_store_unreachable():
                await self.step()
            # A short pause also where nobody answers.
            await trio.sleep(self._inputs.randomness.uniform(*_PAUSE_SECONDS))

    async def step(self) -> None:
        """Ask one peer."""
        name, address = self._choose()
        if address is None:
            return
        sent_at = self._inputs.clock()
        reply = await self._inputs.call(
            address,
            KNOWLEDGE_PATH,
            RoutingSyncRequest(
                routes_version=self._inputs.routes.version,
                list_version=self._inputs.endpoint_list_state.version,
                list_digest=self._inputs.endpoint_list_state.digest,
                wait_seconds=WAIT_SECONDS,
            ),
            KnowledgeReply,
            timeout_seconds=WAIT_SECONDS + LATE_SECONDS,
        )
        telemetry.count('knowledge_asked', outcome=_outcome(reply))
        if reply.is_ok() and _is_fresh(reply.ok):
            self._failed.clear()
        else:
            self._note_behind(name, is_silent=reply.is_error())
        if reply.is_ok():
            self._take(reply.ok, sent_at)

    def _has_news(self, request: RoutingSyncRequest) -> bool:
        return (
            self._inputs.is_store_unreachable()
            or self._inputs.routes.version > request.routes_version
            or _has_other_list(self._inputs.endpoint_list_state, request)
        )

    def _reply(self, request: RoutingSyncRequest) -> KnowledgeReply:
        routes = self._inputs.routes
        held = self._inputs.endpoint_list_state
        newer = routes.version > request.routes_version
        listed = _has_other_list(held, request)
        return KnowledgeReply(
            routes_version=routes.version,
            routes_age_seconds=min(routes.age_seconds(), UNKNOWN_AGE_SECONDS),
            list_version=held.version,
            list_age_seconds=min(
                self._inputs.clock() - held.confirmed_at,
                UNKNOWN_AGE_SECONDS,
            ),
            is_cut=self._inputs.is_store_unreachable(),
            routes=self._routes_pack.pack(
                (routes.version,),
                lambda: routes.table,
            )
            if newer
            else None,
            endpoints=self._list_pack.pack(
                (held.version, held.digest),
                self._inputs.endpoints,
            )
            if listed
            else None,
        )

    def _choose(self) -> tuple[str, Address | None]:
        """Return whom to ask: a reader, or any peer while cut off."""
        own = self._inputs.node.name
        entries = {
            entry.name: entry.peer_address
            for entry in self._inputs.entries()
            if entry.name != own
        }
        if not entries:
            seeds = [
                seed
                for seed in self._inputs.seeds()
                if seed != self._inputs.node.peer_address
            ]
            if not seeds:
                return '', None
            return '', self._inputs.randomness.choice(seeds)
        asked = _readers([*entries, own]) if len(entries) > 1 else entries
        heard = [
            name
            for name in asked
            if name in entries and name not in self._failed
        ]
        if not heard:
            self._failed.clear()
            heard = list(entries)
        chosen = choose_by_hash(f'reader-of/{own}', heard, 1)[0]
        return chosen, entries[chosen]

    def _note_behind(self, name: str, *, is_silent: bool) -> None:
        """Ask another reader, and read for oneself if none is better.

        A silent one has cost too much time to try another.
        """
        self._failed.add(name)
        if not is_silent and len(self._failed) < READERS_ASKED:
            return
        now = self._inputs.clock()
        if now >= self._alone_until and not self._inputs.is_store_unreachable():
            note('reader of the store fell behind', reader=name)
            self._alone_until = now + ALONE_SECONDS

    def _take(self, reply: KnowledgeReply, sent_at: float) -> None:
        # The reply was made after the question was sent, so this is early.
        routes_at = sent_at - reply.routes_age_seconds
        if reply.routes is not None:
            table = unpack(reply.routes, RouteTable)
            if table.is_ok() and self._inputs.routes.accept_newer(
                table.ok, routes_at
            ):
                note(
                    'configuration in force',
                    version=table.ok.version,
                    source='peer',
                    age_seconds=round(reply.routes_age_seconds, 3),
                )
        self._inputs.routes.confirm(reply.routes_version, routes_at)
        held = self._inputs.endpoint_list_state
        if reply.endpoints is None or reply.list_version < held.version:
            return
        endpoints = unpack(reply.endpoints, tuple[ListedEndpoint, ...])
        if endpoints.is_ok():
            held.version = reply.list_version
            held.confirmed_at = sent_at - reply.list_age_seconds
            self._inputs.replace_endpoints(endpoints.ok)
        self.notify_waiters()


def _readers(names: list[str]) -> list[str]:
    count = max(LEAST_READERS, math.ceil(len(names) / ENTRIES_OF_A_READER))
    return choose_by_hash('readers', names, count)


def _has_other_list(
    held: EndpointListState, request: RoutingSyncRequest
) -> bool:
    """Return whether a list is newer, or lacks what didn't come back."""
    if held.version != request.list_version:
        return held.version > request.list_version
    return held.digest != request.list_digest


def _is_fresh(reply: KnowledgeReply) -> bool:
    return not reply.is_cut and reply.routes_age_seconds <= FRESH_SECONDS


def _outcome(reply: Result[KnowledgeReply, Failure]) -> str:
    return 'answered' if reply.is_ok() else str(reply.error.reason)
