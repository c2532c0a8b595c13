"""Keeps an entry's configuration at the newest accepted versions.

The entry that writes an accepted change pushes it to all known entries. A few
entries poll the store's stamp. All compare a hash over their versions with
sampled peers and fetch only the documents that differ. Requests are served
from memory; only a change itself waits for the store.

>>> manager = ConfigurationManager(node=node, ...)  # doctest: +SKIP
>>> manager.register(peer_routes)  # doctest: +SKIP
>>> nursery.start_soon(manager.run)  # doctest: +SKIP
>>> manager.check_admission()  # doctest: +SKIP
"""

import random
from collections.abc import Callable

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.configuration.config_broadcast import (
    ConfigurationBroadcaster,
)
from limpetdrift.coordination.configuration.config_confirmation import (
    ClusterView,
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.coordination.configuration.config_refresh import (
    ConfigurationRefresher,
)
from limpetdrift.coordination.configuration.config_store import (
    ConfigurationStore,
)
from limpetdrift.coordination.configuration.config_sync import ConfigurationSync
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.configuration import (
    Accepted,
    Change,
    EntryVersions,
    Rejection,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.table import TableCalls
from limpetdrift.state.applying import apply_change, check_change
from limpetdrift.state.configuration_replica import ConfigurationReplica
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot
from limpetdrift.state.site import SiteConfig
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, not_run

# Number of entries that poll the store.
POLLERS = 2
_MAX_ALTERNATIVES = 3
_RETRY_AFTER_SECONDS = 1.0


class ConfigurationManager:
    """Holds the configuration of one entry and keeps it up to date."""

    def __init__(
        self,
        *,
        node: Node,
        calls: TableCalls,
        peer_call: PeerCall,
        cluster: ClusterView,
        randomness: random.Random,
        now: Callable[[], float] = trio.current_time,
        timing: ConfigurationTiming | None = None,
    ) -> None:
        timing = timing or ConfigurationTiming()
        self._calls = calls
        self._cluster = cluster
        self._randomness = randomness
        self._replica = ConfigurationReplica()
        self._confirmation = ConfirmationState(now=now, timing=timing)
        self._sync = ConfigurationSync(
            node=node,
            replica=self._replica,
            confirmation=self._confirmation,
            call=peer_call,
            timing=timing,
        )
        self._broadcaster = ConfigurationBroadcaster(
            sync=self._sync,
            others=cluster.others,
            timing=timing,
        )
        self._refresher = ConfigurationRefresher(
            replica=self._replica,
            confirmation=self._confirmation,
            sync=self._sync,
            store=ConfigurationStore(
                calls=calls,
                replica=self._replica,
                confirmation=self._confirmation,
                timing=timing,
                now=now,
            ),
            broadcaster=self._broadcaster,
            cluster=cluster,
            randomness=randomness,
            timing=timing,
        )

    @property
    def stamp(self) -> int:
        """A hash over the versions held, which other messages carry along."""
        return self._replica.versions_hash

    @property
    def replica(self) -> ConfigurationReplica:
        """The documents held and the sites in force."""
        return self._replica

    @property
    def versions(self) -> EntryVersions:
        """The versions that this entry holds and has in force."""
        return self._sync.own_versions

    @property
    def known_entries(self) -> int:
        """The number of known entries, including this one."""
        return len(self._cluster.others()) + 1

    def site(self, name: str) -> SiteConfig | None:
        """Return a site's configuration in force, or ``None``."""
        return self._replica.site(name)

    def register(self, routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        self._sync.register(routes)

    def check_admission(self) -> Result[None, Failure]:
        """Return an error while new requests may not be admitted.

        Its reason is a partition, or versions that are not confirmed; its
        alternatives are the addresses of a few other entries.
        """
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
        """Apply an operator's change, and push it to all other entries.

        For an accepted change, return when all pushes have ended, or after
        ``push_wait_seconds``; unfinished pushes continue.
        """
        outcome = await apply_change(self._calls, change)
        if outcome.is_error():
            return Result.Error(outcome.error)
        applied = outcome.ok
        self._replica.apply_newer(applied.documents)
        await self._broadcaster.broadcast(applied.documents)
        return Result.Ok(applied.accepted)

    async def check(
        self, change: Change
    ) -> Result[ConfigurationSnapshot, Rejection]:
        """Check a change against the store without writing it."""
        return await check_change(self._calls, change)

    async def all_versions(self) -> tuple[EntryVersions, ...]:
        """Return the versions of all known entries that answer, by name."""
        found = [self.versions]

        async def ask(peer: Address) -> None:
            answer = await self._sync.versions(peer)
            if answer.is_ok():
                found.append(answer.ok)

        async with trio.open_nursery() as nursery:
            for other in self._cluster.others():
                nursery.start_soon(ask, other.peer_address)
        return tuple(sorted(found, key=lambda each: each.entry))

    async def on_stamp(self, peer: Address, stamp: int) -> None:
        """Synchronize with a peer if the stamp in its message differs."""
        if stamp != self._replica.versions_hash:
            await self._sync.exchange(peer)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        await self._refresher.run()

    def _alternatives(self) -> tuple[str, ...]:
        others = self._cluster.others()
        count = min(_MAX_ALTERNATIVES, len(others))
        sampled = self._randomness.sample(others, count)
        return tuple(str(other.caller_address) for other in sampled)
