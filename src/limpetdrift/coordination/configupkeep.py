"""The tasks that keep an entry's configuration up to date and confirmed."""

import random

import trio

from limpetdrift.coordination.configpeers import ConfigurationPeers, Contact
from limpetdrift.coordination.configspread import ConfigurationSpreader
from limpetdrift.coordination.configstore import (
    ConfigurationStore,
    Freshness,
)
from limpetdrift.coordination.confirmation import (
    ConfigurationTiming,
    Confirmation,
    Surroundings,
)
from limpetdrift.state.holding import HeldConfiguration
from limpetdrift.transport.messages import Address

_ENOUGH_CONFIRMED = 2
_JITTER = 0.1


class ConfigurationUpkeep:
    """Beats, confirms, polls the store, and exchanges with peers."""

    def __init__(
        self,
        *,
        held: HeldConfiguration,
        confirmation: Confirmation,
        peers: ConfigurationPeers,
        store: ConfigurationStore,
        spreader: ConfigurationSpreader,
        surroundings: Surroundings,
        chance: random.Random,
        timing: ConfigurationTiming,
    ) -> None:
        self._held = held
        self._confirmation = confirmation
        self._peers = peers
        self._store = store
        self._spreader = spreader
        self._surroundings = surroundings
        self._chance = chance
        self._timing = timing

    async def run(self) -> None:
        """Keep up to date until cancelled."""
        try:
            await self._run_tasks()
        finally:
            self._spreader.detach()

    async def _run_tasks(self) -> None:
        async with trio.open_nursery() as nursery:
            self._spreader.attach(nursery)
            nursery.start_soon(self._beat)
            nursery.start_soon(self._keep_confirmed)
            nursery.start_soon(self._keep_polling)
            nursery.start_soon(self._keep_exchanging)

    async def _beat(self) -> None:
        while True:
            self._confirmation.beat(
                self._surroundings.contacts(),
                list_reachable=self._surroundings.list_reachable(),
            )
            await trio.sleep(self._timing.beat_seconds)

    async def _keep_confirmed(self) -> None:
        while True:
            generation = self._confirmation.generation
            if not self._confirmation.is_confirmed:
                if await self._confirm():
                    self._confirmation.confirm(generation)
            await trio.sleep(self._timing.beat_seconds)

    async def _keep_polling(self) -> None:
        while True:
            if self._confirmation.is_suspicious:
                await self._store.confirm()
                await trio.sleep(self._jittered(self._timing.call_seconds))
                continue
            if self._surroundings.polls():
                await self._spreader.spread(await self._store.poll())
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
        if self._held.is_waiting or not self._held.sites:
            return False
        return _is_enough(freshness[0], contacts)

    async def _exchange(self, count: int) -> list[Contact]:
        contacts = []

        async def exchange(peer: Address) -> None:
            contacts.append(await self._peers.exchange(peer))

        async with trio.open_nursery() as nursery:
            others = self._surroundings.others()
            sampled = self._chance.sample(others, min(count, len(others)))
            for other in sampled:
                nursery.start_soon(exchange, other.peer_address)
        return contacts

    def _jittered(self, seconds: float) -> float:
        return seconds * self._chance.uniform(1 - _JITTER, 1 + _JITTER)


def _is_enough(freshness: Freshness, contacts: list[Contact]) -> bool:
    if freshness is Freshness.NEWEST:
        return True
    if contacts.count(Contact.CONFIRMED) >= _ENOUGH_CONFIRMED:
        return True
    unreachable = freshness is Freshness.UNREACHABLE
    return unreachable and Contact.SILENT not in contacts
