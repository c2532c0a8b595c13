"""Runs the tasks that keep a configuration up to date and confirmed."""

import random

import trio

from limpetdrift.coordination.configuration.config_broadcast import (
    ConfigurationBroadcaster,
)
from limpetdrift.coordination.configuration.config_confirmation import (
    ClusterView,
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.coordination.configuration.config_store import (
    ConfigurationStore,
    StoreComparison,
)
from limpetdrift.coordination.configuration.config_sync import (
    ConfigurationSync,
    ExchangeResult,
)
from limpetdrift.state.configuration_replica import ConfigurationReplica
from limpetdrift.transport.messages import Address

_CONFIRMED_PEERS_NEEDED = 2
_JITTER_SHARE = 0.1


class ConfigurationRefresher:
    """Records heartbeats, confirms versions, and syncs with store and peers."""

    def __init__(
        self,
        *,
        replica: ConfigurationReplica,
        confirmation: ConfirmationState,
        sync: ConfigurationSync,
        store: ConfigurationStore,
        broadcaster: ConfigurationBroadcaster,
        cluster: ClusterView,
        randomness: random.Random,
        timing: ConfigurationTiming,
    ) -> None:
        self._replica = replica
        self._confirmation = confirmation
        self._sync = sync
        self._store = store
        self._broadcaster = broadcaster
        self._cluster = cluster
        self._randomness = randomness
        self._timing = timing

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        try:
            await self._run_tasks()
        finally:
            self._broadcaster.detach()

    async def _run_tasks(self) -> None:
        async with trio.open_nursery() as nursery:
            self._broadcaster.attach(nursery)
            nursery.start_soon(self._heartbeat_loop)
            nursery.start_soon(self._confirmation_loop)
            nursery.start_soon(self._poll_loop)
            nursery.start_soon(self._exchange_loop)

    async def _heartbeat_loop(self) -> None:
        while True:
            self._confirmation.record_heartbeat(
                self._cluster.contacts(),
                list_reachable=self._cluster.list_reachable(),
            )
            await trio.sleep(self._timing.heartbeat_interval_seconds)

    async def _confirmation_loop(self) -> None:
        while True:
            generation = self._confirmation.generation
            if not self._confirmation.is_confirmed:
                if await self._confirm():
                    self._confirmation.confirm(generation)
            await trio.sleep(self._timing.heartbeat_interval_seconds)

    async def _poll_loop(self) -> None:
        while True:
            if self._confirmation.is_isolation_suspected:
                await self._store.confirm()
                await trio.sleep(
                    self._jittered(self._timing.call_timeout_seconds)
                )
                continue
            if self._cluster.is_poller():
                await self._broadcaster.broadcast(await self._store.poll())
            await trio.sleep(self._jittered(self._timing.poll_seconds))

    async def _exchange_loop(self) -> None:
        while True:
            await trio.sleep(
                self._jittered(self._timing.exchange_interval_seconds)
            )
            await self._exchange(self._timing.exchange_peers)

    async def _confirm(self) -> bool:
        """Fetch the newest versions; return whether they are confirmed.

        The store confirms them if it has no newer stamp. Two peers confirm
        them if their own versions are confirmed. While the store is
        unreachable, it is also enough that each sampled peer answers, or
        refuses connections and so is dead: then no other entry can hold a
        newer version. Nothing is confirmed while documents are missing.
        """
        comparisons = []

        async def compare_with_store() -> None:
            comparisons.append(await self._store.confirm())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(compare_with_store)
            results = await self._exchange(self._timing.confirm_peers)
        if self._replica.awaits_requirements or not self._replica.sites:
            return False
        return _are_confirmed(comparisons[0], results)

    async def _exchange(self, count: int) -> list[ExchangeResult]:
        results = []

        async def exchange(peer: Address) -> None:
            results.append(await self._sync.exchange(peer))

        async with trio.open_nursery() as nursery:
            others = self._cluster.others()
            sampled = self._randomness.sample(others, min(count, len(others)))
            for other in sampled:
                nursery.start_soon(exchange, other.peer_address)
        return results

    def _jittered(self, seconds: float) -> float:
        return seconds * self._randomness.uniform(
            1 - _JITTER_SHARE, 1 + _JITTER_SHARE
        )


def _are_confirmed(
    comparison: StoreComparison, results: list[ExchangeResult]
) -> bool:
    if comparison is StoreComparison.NEWEST:
        return True
    if results.count(ExchangeResult.CONFIRMED) >= _CONFIRMED_PEERS_NEEDED:
        return True
    unreachable = comparison is StoreComparison.UNREACHABLE
    return unreachable and ExchangeResult.FAILED not in results
