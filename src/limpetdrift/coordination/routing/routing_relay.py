"""Relays routes and endpoints from the entries that read the store.

In a deployment of many entries the load on the store would grow with their
number, so only a few of each failure domain read it, and the others poll these.
Polls stay within the failure domain, since a release of servers or a burst of
configurations is sent to every entry. The same relay serves entries that the
store rejects while it serves others. All ages count from the
start of the read in the store, so that relayed data never appears fresher than
it is, over any number of entries.
"""

from collections.abc import Callable

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.routing.era_polls import EraPolls
from limpetdrift.coordination.routing.poll_replies import (
    PollReplies,
    is_reply_due,
)
from limpetdrift.coordination.routing.poll_targets import (
    choose_nearest,
    is_fresh,
    other_seeds,
)
from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.coordination.routing.routing_merge import merge_reply
from limpetdrift.coordination.routing.store_readers import (
    MAX_DIRECT_ENTRIES,
    StoreReaders,
)
from limpetdrift.protocol.routing_sync import (
    RoutingSyncReply,
    RoutingSyncRequest,
)
from limpetdrift.supervision import keep_running
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

KNOWLEDGE_PATH = 'knowledge'
# Long-poll timeout: how long a reader delays its reply if nothing changes.
LONG_POLL_SECONDS = 1.0
# Margin of the caller's timeout over the long-poll timeout.
REPLY_MARGIN_SECONDS = 0.4
# Long-poll timeout of a reader's own reads of the store while it serves other
# entries. This is how often it confirms its data.
READER_LONG_POLL_SECONDS = 0.5
# Back-off ceiling of failing reads of the store: its increase for each entry
# above MAX_DIRECT_ENTRIES, and its value up to there.
_EXTRA_RETRY_SECONDS_PER_ENTRY = 0.03
_BASE_MAX_RETRY_SECONDS = 0.6
# Interval at which an entry that doesn't read the store checks if it is to.
DUTY_CHECK_SECONDS = 1.0
# Range of the random pause between two polls of peers.
_POLL_INTERVAL_SECONDS = (0.05, 0.15)


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
        self._replies = PollReplies(inputs=inputs)
        self._era_polls = EraPolls(inputs=inputs, poll=self._poll_at_once)

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
        if request.skipped:
            self.readers.take_place(request.skipped)
        with trio.move_on_after(min(request.wait_seconds, LONG_POLL_SECONDS)):
            while not is_reply_due(self._inputs, request):
                await self._changed.wait()
        return Ok(self._replies.make(request))

    async def run(self) -> None:
        """Poll peers while this entry doesn't or can't read the store.

        They are also polled for what an older copy of the store may lack.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_running, 'era-polls', self._era_polls.run)
            await self._poll_while_needed()

    async def poll_peer(self) -> None:
        """Poll one peer, and record whether it is stale."""
        name, address = self._choose_peer()
        if address is None:
            return
        # One that takes the place of a stale reader is asked what it has now.
        wait_seconds = (
            0.0 if self.readers.has_stale_reader else LONG_POLL_SECONDS
        )
        try:
            reply = await self._poll(address, wait_seconds=wait_seconds)
        except Exception:
            # Another peer is polled next.
            self._record_stale(name, has_failed=True)
            raise
        if reply.is_error():
            self._record_stale(name, has_failed=True)
        elif is_fresh(reply.ok):
            self.readers.record_fresh()
        elif reply.ok.is_cut or not self.readers.may_catch_up(name):
            self._record_stale(name, has_failed=False)

    def _record_stale(self, name: str, *, has_failed: bool) -> None:
        self.readers.record_stale(
            name,
            has_failed=has_failed,
            may_read=not self._inputs.is_store_unreachable(),
        )

    async def _poll_while_needed(self) -> None:
        was_small = self.readers.is_small_deployment
        while True:
            if was_small and not self.readers.is_small_deployment:
                for callback in self.on_growth:
                    callback()
            was_small = self.readers.is_small_deployment
            if not self._inputs.store_era.is_peer_poll_due and (
                not self.is_store_reader or self._inputs.is_store_unreachable()
            ):
                await self.poll_peer()
            # Also limits the rate of polls that fail at once.
            await trio.sleep(
                self._inputs.randomness.uniform(*_POLL_INTERVAL_SECONDS)
            )

    async def _poll_at_once(
        self, address: Address, timeout_seconds: float
    ) -> Result[RoutingSyncReply, Failure]:
        """Poll one peer for what it has now, and merge its reply."""
        return await self._poll(
            address, wait_seconds=0.0, reply_seconds=timeout_seconds
        )

    async def _poll(
        self,
        address: Address,
        *,
        wait_seconds: float,
        reply_seconds: float = REPLY_MARGIN_SECONDS,
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
                skipped=self.readers.skipped_names,
            ),
            RoutingSyncReply,
            timeout_seconds=wait_seconds + reply_seconds,
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

    def _choose_peer(self) -> tuple[str, Address | None]:
        """Return the name and address of the peer to poll.

        This is a reader that was not stale lately, or any peer if all readers
        were. Before any peer is known it is a seed, and the name is empty;
        without seeds the address is ``None``.
        """
        own = self._inputs.node
        peers = [each for each in self._inputs.entries() if each != own]
        if not peers:
            seeds = other_seeds(own, self._inputs.seeds())
            return '', self._inputs.randomness.choice(seeds) if seeds else None
        candidates = self.readers.others() or peers
        chosen = choose_nearest(own, candidates)
        return chosen.name, chosen.peer_address


def max_retry_interval_seconds(entry_count: int) -> float:
    """Return the back-off ceiling of failing reads of the store."""
    extra_entries = max(0, entry_count - MAX_DIRECT_ENTRIES)
    return (
        _BASE_MAX_RETRY_SECONDS + extra_entries * _EXTRA_RETRY_SECONDS_PER_ENTRY
    )


def _outcome(reply: Result[RoutingSyncReply, Failure]) -> str:
    return 'answered' if reply.is_ok() else str(reply.error.reason)
