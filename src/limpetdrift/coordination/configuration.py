"""Keeps an entry's configuration at the newest accepted versions.

An accepted change is pushed to all known entries by the one that wrote it. A
few entries poll the store's stamp; all exchange a stamp over their versions
with sampled peers and fetch only the documents that differ. Serving reads
from memory, and only a change itself waits for the store.

>>> keeper = ConfigurationKeeper(node=node, ...)  # doctest: +SKIP
>>> keeper.register(peer_routes)  # doctest: +SKIP
>>> nursery.start_soon(keeper.run)  # doctest: +SKIP
>>> keeper.may_admit()  # doctest: +SKIP
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.config_broadcast import ConfigurationBroadcaster
from limpetdrift.coordination.config_confirmation import (
    ClusterView,
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.coordination.config_refresh import ConfigurationRefresher
from limpetdrift.coordination.config_store import ConfigurationStore
from limpetdrift.coordination.config_sync import ConfigurationSync
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.configuration import (
    Accepted,
    Change,
    EntryVersions,
    Rejection,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.table import TableCalls
from limpetdrift.protocol.verdict import Failure, not_run
from limpetdrift.state.applying import apply_change, check_change
from limpetdrift.state.configuration_replica import ConfigurationReplica
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.messages import Address

POLLERS = 2
_ALTERNATIVES = 3
_RETRY_AFTER_SECONDS = 1.0


class ConfigurationManager:
    """Holds the configuration of one entry and keeps it up to date."""

    def __init__(
        self,
        *,
        node: Node,
        calls: TableCalls,
        peer_call: PeerCall,
        surroundings: ClusterView,
        randomness: random.Random,
        now: Callable[[], float] = trio.current_time,
        timing: ConfigurationTiming | None = None,
    ) -> None:
        timing = timing or ConfigurationTiming()
        self._calls = calls
        self._surroundings = surroundings
        self._randomness = randomness
        self._held = ConfigurationReplica()
        self._confirmation = ConfirmationState(now=now, timing=timing)
        self._peers = ConfigurationSync(
            node=node,
            held=self._held,
            confirmation=self._confirmation,
            call=peer_call,
            timing=timing,
        )
        self._broadcaster = ConfigurationBroadcaster(
            peers=self._peers,
            others=surroundings.others,
            timing=timing,
        )
        self._refresher = ConfigurationRefresher(
            held=self._held,
            confirmation=self._confirmation,
            peers=self._peers,
            store=ConfigurationStore(
                calls=calls,
                held=self._held,
                confirmation=self._confirmation,
                timing=timing,
                now=now,
            ),
            broadcaster=self._broadcaster,
            surroundings=surroundings,
            randomness=randomness,
            timing=timing,
        )

    @property
    def stamp(self) -> int:
        """A hash over the versions held; rides on others' messages."""
        return self._held.versions_hash

    @property
    def replica(self) -> ConfigurationReplica:
        """The documents held and the sites in force."""
        return self._held

    @property
    def versions(self) -> EntryVersions:
        """What this entry holds and has in force."""
        return self._peers.own_versions

    @property
    def known_entries(self) -> int:
        """How many entries are known, with this one."""
        return len(self._surroundings.others()) + 1

    def site(self, name: str) -> SiteConfig | None:
        """Return a site's configuration in force, from memory."""
        return self._held.site(name)

    def register(self, routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        self._peers.register(routes)

    def check_admission(self) -> Result[None, Failure]:
        """Say whether a new request may rely on this configuration."""
        reason = self._confirmation.check()
        if reason is None:
            return Result.Ok(None)
        telemetry.count('refusals', reason=reason)
        return Result.Error(
            not_run(
                reason,
                'the configuration here may be out of date',
                retry_after_seconds=_RETRY_AFTER_SECONDS,
                alternatives=self._alternatives(),
            ),
        )

    async def apply(self, change: Change) -> Result[Accepted, Rejection]:
        """Carry out an operator's change and spread it.

        An accepted one is told once every other entry has it, or after
        ``push_wait_seconds``; the pushes to the rest go on.
        """
        outcome = await apply_change(self._calls, change)
        if outcome.is_error():
            return Result.Error(outcome.error)
        applied = outcome.ok
        self._held.apply_newer(applied.documents)
        await self._broadcaster.broadcast(applied.documents)
        return Result.Ok(applied.accepted)

    async def check(
        self, change: Change
    ) -> Result[ConfigurationSnapshot, Rejection]:
        """Check a change against the store, and write nothing."""
        return await check_change(self._calls, change)

    async def all_versions(self) -> tuple[EntryVersions, ...]:
        """Ask every known entry what it has in force."""
        found = [self.versions]

        async def ask(peer: Address) -> None:
            answer = await self._peers.versions(peer)
            if answer.is_ok():
                found.append(answer.ok)

        async with trio.open_nursery() as nursery:
            for other in self._surroundings.others():
                nursery.start_soon(ask, other.peer_address)
        return tuple(sorted(found, key=lambda each: each.entry))

    async def on_stamp(self, peer: Address, stamp: int) -> None:
        """Compare with a peer whose stamp came along with its message."""
        if stamp != self._held.versions_hash:
            await self._peers.exchange(peer)

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        await self._refresher.run()

    def _alternatives(self) -> tuple[str, ...]:
        others = self._surroundings.others()
        count = min(_ALTERNATIVES, len(others))
        sampled = self._randomness.sample(others, count)
        return tuple(str(other.caller_address) for other in sampled)
