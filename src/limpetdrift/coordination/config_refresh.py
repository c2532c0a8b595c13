"""The tasks that keep an entry's configuration up to date and confirmed."""

import random

import trio

from limpetdrift.coordination.config_broadcast import ConfigurationBroadcaster
from limpetdrift.coordination.config_confirmation import (
    ClusterView,
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.coordination.config_store import (
    ConfigurationStore,
    StoreComparison,
)
from limpetdrift.coordination.config_sync import (
    ConfigurationSync,
    ExchangeResult,
)
from limpetdrift.state.configuration_replica import ConfigurationReplica
from limpetdrift.transport.messages import Address

_ENOUGH_CONFIRMED = 2
_JITTER = 0.1


class ConfigurationRefresher:
    """Beats, confirms, polls the store, and exchanges with peers."""

    def __init__(
        self,
        *,
        held: ConfigurationReplica,
        confirmation: ConfirmationState,
        peers: ConfigurationSync,
        store: ConfigurationStore,
        broadcaster: ConfigurationBroadcaster,
        surroundings: ClusterView,
        randomness: random.Random,
        timing: ConfigurationTiming,
    ) -> None:
        self._held = held
        self._confirmation = confirmation
        self._peers = peers
        self._store = store
        self._broadcaster = broadcaster
        self._surroundings = surroundings
        self._randomness = randomness
        self._timing = timing

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        try:
            await self._run_tasks()
        finally:
            self._broadcaster.detach()

    async def _run_tasks(self) -> None:
        async with trio.open_nursery() as nursery:
            self._broadcaster.attach(nursery)
            nursery.start_soon(self._beat)
            nursery.start_soon(self._keep_confirmed)
            nursery.start_soon(self._keep_polling)
            nursery.start_soon(self._keep_exchanging)

    async def _beat(self) -> None:
        while True:
            self._confirmation.record_heartbeat(
                self._surroundings.contacts(),
                list_reachable=self._surroundings.list_reachable(),
            )
            await trio.sleep(self._timing.heartbeat_interval_seconds)

    async def _keep_confirmed(self) -> None:
        while True:
            generation = self._confirmation.generation
            if not self._confirmation.is_confirmed:
                if await self._confirm():
                    self._confirmation.confirm(generation)
            await trio.sleep(self._timing.heartbeat_interval_seconds)

    async def _keep_polling(self) -> None:
        while True:
            if self._confirmation.is_isolation_suspected:
                await self._store.confirm()
                await trio.sleep(
                    self._jittered(self._timing.call_timeout_seconds)
                )
                continue
            if self._surroundings.is_poller():
                await self._broadcaster.broadcast(await self._store.poll())
            await trio.sleep(self._jittered(self._timing.poll_seconds))

    async def _keep_exchanging(self) -> None:
        while True:
            await trio.sleep(self._jittered(self._timing.exchange_seconds))
            await self._exchange(self._timing.exchange_peers)

    async def _confirm(self) -> bool:
        """Take the highest versions of store and peers; say if that is enough.

        Peers are enough where two that rely on their own versions answer, or
        where none is silent and the store knows of nothing newer: then
        nobody else can.
        """
        freshness = []

        async def ask_store() -> None:
            freshness.append(await self._store.confirm())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_store)
            contacts = await self._exchange(self._timing.confirm_peers)
        if self._held.awaits_requirements or not self._held.sites:
            return False
        return _is_enough(freshness[0], contacts)

    async def _exchange(self, count: int) -> list[ExchangeResult]:
        contacts = []

        async def exchange(peer: Address) -> None:
            contacts.append(await self._peers.exchange(peer))

        async with trio.open_nursery() as nursery:
            others = self._surroundings.others()
            sampled = self._randomness.sample(others, min(count, len(others)))
            for other in sampled:
                nursery.start_soon(exchange, other.peer_address)
        return contacts

    def _jittered(self, seconds: float) -> float:
        return seconds * self._randomness.uniform(1 - _JITTER, 1 + _JITTER)


def _is_enough(
    freshness: StoreComparison, contacts: list[ExchangeResult]
) -> bool:
    if freshness is StoreComparison.NEWEST:
        return True
    if contacts.count(ExchangeResult.CONFIRMED) >= _ENOUGH_CONFIRMED:
        return True
    unreachable = freshness is StoreComparison.UNREACHABLE
    return unreachable and ExchangeResult.SILENT not in contacts
