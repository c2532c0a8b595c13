"""Polls peers for what an older copy of the store may lack.

This is done after a start and after each rise of the store's era, before the
entry confirms what the store shows, and later once for each new member: an
entry that starts may be known to others only after it has joined them.
"""

from collections.abc import Awaitable, Callable

import trio
from expression import Result

from limpetdrift.coordination.routing.confirmation_evidence import (
    ConfirmationEvidence,
    knows_configuration,
    may_confirm,
)
from limpetdrift.coordination.routing.poll_targets import (
    choose_some,
    other_addresses,
    other_seeds,
)
from limpetdrift.coordination.routing.relay_inputs import RoutingRelayInputs
from limpetdrift.logs import note
from limpetdrift.protocol.registered import RegisteredNode
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA, RoutingSyncReply
from limpetdrift.supervision import run_contained
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason

# Peers that are polled at once, and new members that are polled in one era.
MAX_POLLED_PEERS = 12
# The longest wait for peers that may know better, where the time within which
# a revoked key is refused is not shorter. It leaves more than half of the time
# within which callers are to be served again after a loss of all entries.
MAX_WAIT_SECONDS = 5.0
# Timeout of a poll: that of the first round, which doubles with each round,
# since peers may be slow, and its ceiling.
_FIRST_TIMEOUT_SECONDS = 0.4
_MAX_TIMEOUT_SECONDS = 1.6
# The pause between two rounds doubles too, up to a ceiling.
_FIRST_PAUSE_SECONDS = 0.1
_MAX_PAUSE_SECONDS = 0.8
# Interval of the check for new members.
_MEMBERS_INTERVAL_SECONDS = 0.5

PollPeer = Callable[
    [Address, float], Awaitable[Result[RoutingSyncReply, Failure]]
]


class EraPolls:
    """Polls peers until this entry may confirm, in each era of the store.

    ``poll`` polls one address, with a timeout in seconds, and merges its reply.
    """

    def __init__(self, *, inputs: RoutingRelayInputs, poll: PollPeer) -> None:
        self._inputs = inputs
        self._poll = poll
        # The era in which the following were collected.
        self._era = UNKNOWN_ERA
        self._waited_seconds = 0.0
        self._rounds = 0
        # Addresses that have replied.
        self._polled: set[Address] = set()
        self._registered: tuple[RegisteredNode, ...] | None = None
        self._replies: list[RoutingSyncReply] = []
        self._is_peer_silent = False
        self._round = trio.CancelScope()
        self._risen = trio.Event()
        inputs.store_era.on_rise.append(self._on_era)
        inputs.store_era.on_first.append(self._on_era)
        inputs.routes.on_change.append(self._on_routes_change)

    async def run(self) -> None:
        """Poll peers while it is due, and new members, until cancelled."""
        while True:
            if self._inputs.store_era.is_peer_poll_due:
                await self._poll_round()
            elif self._inputs.store_era.known != UNKNOWN_ERA:
                await self._poll_new_members()
            await self._pause()

    async def _poll_round(self) -> None:
        """Poll peers at once, until this entry may confirm or all polls end."""
        self._begin_era()
        self._replies.clear()
        self._is_peer_silent = False
        timeout_seconds = min(
            _MAX_TIMEOUT_SECONDS,
            _FIRST_TIMEOUT_SECONDS * 2**self._rounds,
            max(_FIRST_TIMEOUT_SECONDS, self._remaining_seconds()),
        )
        self._rounds += 1
        self._round = trio.CancelScope()
        began_at = trio.current_time()
        with self._round:
            await self._poll_targets(timeout_seconds)
        # A process that was stopped meanwhile has not waited for its peers.
        self._waited_seconds += min(
            trio.current_time() - began_at, timeout_seconds
        )
        if not self._round.cancelled_caught:
            self._check(is_round_over=True)

    async def _poll_targets(self, timeout_seconds: float) -> None:
        """Poll the known peers, and those that are read from the store."""
        asked: set[Address] = set()
        async with trio.open_nursery() as nursery:

            def start() -> None:
                for address in self._choose_targets(asked):
                    asked.add(address)
                    nursery.start_soon(
                        run_contained,
                        'era-poll',
                        self._ask,
                        address,
                        timeout_seconds,
                    )

            start()
            store_era = self._inputs.store_era
            if store_era.known != UNKNOWN_ERA and not store_era.has_settled:
                await self._read_registered()
                start()

    async def _ask(self, address: Address, timeout_seconds: float) -> None:
        try:
            reply = await self._poll(address, timeout_seconds)
        except Exception:
            # Nothing was learned from this peer.
            self._is_peer_silent = True
            raise
        if reply.is_ok():
            self._polled.add(address)
            self._replies.append(reply.ok)
        elif reply.error.reason is not Reason.CONNECT_FAILED:
            self._is_peer_silent = True
        self._check()

    async def _read_registered(self) -> None:
        registered = await self._inputs.read_registered()
        # The answer is of the newest era, which it may have made known.
        self._begin_era()
        if registered is not None:
            self._registered = registered
        self._check()

    async def _poll_new_members(self) -> None:
        """Poll members that have not replied in this era."""
        self._begin_era()
        targets = [
            address
            for address in other_addresses(
                self._inputs.node, self._inputs.entries()
            )
            if address not in self._polled
        ][: MAX_POLLED_PEERS - len(self._polled)]
        self._round = trio.CancelScope()
        with self._round:
            async with trio.open_nursery() as nursery:
                for address in targets:
                    nursery.start_soon(
                        run_contained,
                        'era-poll',
                        self._ask,
                        address,
                        _MAX_TIMEOUT_SECONDS,
                    )

    def _check(self, *, is_round_over: bool = False) -> None:
        """Record that this entry may confirm, once it may."""
        store_era = self._inputs.store_era
        if not store_era.is_peer_poll_due:
            return
        self._begin_era()
        if not may_confirm(
            ConfirmationEvidence(
                era=self._era,
                has_settled=store_era.has_settled,
                routes_version=self._inputs.routes.version,
                replies=tuple(self._replies),
                is_round_over=is_round_over,
                is_peer_silent=self._is_peer_silent,
                registered=self._registered,
                is_wait_over=self._remaining_seconds() <= 0,
            )
        ):
            return
        if self._era != UNKNOWN_ERA:
            note(
                'store may be confirmed in its era',
                era=self._era,
                version=self._inputs.routes.version,
                replies=len(self._replies),
                informed=sum(map(knows_configuration, self._replies)),
                registered=len(self._registered or ()),
                waited_seconds=round(self._waited_seconds, 3),
            )
        store_era.record_peer_poll(self._era)
        self._round.cancel()

    def _begin_era(self) -> None:
        """Forget what was learned in an earlier era.

        A reply counts in a later one too, since it names the era itself.
        """
        known = self._inputs.store_era.known
        if known == self._era:
            return
        self._era = known
        self._waited_seconds = 0.0
        self._rounds = 0
        self._polled.clear()
        self._registered = None

    def _remaining_seconds(self) -> float:
        wait_seconds = min(self._inputs.revoke_seconds, MAX_WAIT_SECONDS)
        return max(0, wait_seconds - self._waited_seconds)

    def _choose_targets(self, asked: set[Address]) -> list[Address]:
        return choose_some(
            other_addresses(self._inputs.node, self._inputs.entries())
            or other_seeds(self._inputs.node, self._inputs.seeds()),
            asked,
            MAX_POLLED_PEERS,
            self._inputs.randomness,
        )

    async def _pause(self) -> None:
        """Wait for the next round of polls, or for a new era."""
        seconds = _MEMBERS_INTERVAL_SECONDS
        if self._inputs.store_era.is_peer_poll_due:
            seconds = min(
                _MAX_PAUSE_SECONDS,
                _FIRST_PAUSE_SECONDS * 2 ** (self._rounds - 1),
                self._remaining_seconds(),
            ) * self._inputs.randomness.uniform(0.5, 1.0)
            self._waited_seconds += seconds
        with trio.move_on_after(seconds):
            await self._risen.wait()
        self._risen = trio.Event()

    def _on_era(self) -> None:
        """Begin anew in a new era, at once."""
        self._risen.set()
        self._round.cancel()

    def _on_routes_change(self, table: RouteTable) -> None:
        # The rows may have been read before the configuration.
        self._check()
