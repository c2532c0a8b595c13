"""Entries that find each other by a few seeds and by their rows in the store.

As in the program, an entry joins the others and writes its row once it is
synced; until then it knows no other.
"""

import functools

import trio

from era_site import EraEntry, EraSite, make_registration
from limpetdrift.platform.admission import AdmissionInputs, is_confirmed
from limpetdrift.protocol.node import Node
from limpetdrift.transport.messages import Address

SEEDS = 3
KEY_BOUND_SECONDS = 4.25
STEP_SECONDS = 0.01


class RegisteredSite(EraSite):
    """A site whose seeds are the first entries alone."""

    def __init__(self, count: int) -> None:
        self.starts = 0
        # Entries that are killed know nobody and are known to nobody.
        self.dead: set[str] = set()
        super().__init__(count)

    def make_registration(self, entry):
        return make_registration(
            entry,
            seeds=tuple(
                Address(host=f'10.0.0.{number}', port=1)
                for number in range(SEEDS)
            ),
            count_peers=lambda: len(self.nodes_known_to(entry)) - 1,
        )

    def nodes_known_to(self, entry: EraEntry) -> tuple[Node, ...]:
        if not entry.replica.is_synced:
            return (entry.node,)
        return tuple(
            each.node
            for each in self.entries
            if each.replica.is_synced and each.node.name not in self.dead
        )

    def start(self, nursery) -> None:
        for entry in self.entries:
            connect(entry)
        super().start(nursery)

    def kill(self, number: int) -> None:
        entry = self.entries[number]
        self.dead.add(entry.node.name)
        entry.scope.cancel()
        self.network.kill(entry.node.peer_address)

    def start_again(self, number: int) -> EraEntry:
        """Start another process at the address of one that was killed."""
        self.starts += 1
        entry = EraEntry(number, self, lifetime=100 * self.starts)
        self.entries[number] = entry
        connect(entry)
        self.nursery.start_soon(entry.run)
        return entry

    async def settle(self) -> None:
        """Write a first configuration, and wait until all are registered."""
        self.write_configuration(1, 'kept', 'revoked')
        self.write_endpoint('a')
        await trio.sleep(2)

    async def served_at(self, entries, key: str, seconds: float) -> list[float]:
        """Return when the key would have been accepted, from now on."""
        started_at = trio.current_time()
        served = []
        while trio.current_time() < started_at + seconds:
            if any(accepts(entry, key) for entry in entries):
                served.append(trio.current_time() - started_at)
            await trio.sleep(STEP_SECONDS)
        return served


def connect(entry: EraEntry) -> None:
    entry.store.era.on_peer_poll.append(entry.registration.write_again)
    entry.tasks = (functools.partial(register, entry),)


async def register(entry: EraEntry) -> None:
    await entry.replica.wait_synced()
    await entry.registration.run()


def accepts(entry: EraEntry, key: str) -> bool:
    """Return whether an entry would run a request with this key."""
    admission = AdmissionInputs(
        routes=entry.routes,
        clock=trio.current_time,
        randomness=None,
        key_staleness_bound_seconds=KEY_BOUND_SECONDS,
        lookup_staleness_bound_seconds=2.0,
    )
    return is_confirmed(admission) and key in entry.keys()
