"""Makes this process known to its peers through the platform's store.

Each process writes one row at its start and drops it at its end. The rows
are only a way to find a first peer; who lives is settled among the peers.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from limpetdrift.logs import note, warn
from limpetdrift.platform.store import RowPage, StoreClient
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.transport.messages import Address

TABLE = 'limpetdrift-entries'
# Rows are read again so often while no peer is known, and so seldom else.
LONELY_SECONDS = 1.0
COMPANY_SECONDS = 60.0
# Rows of processes that ended without dropping theirs go after this long.
_STALE_MILLISECONDS = 600_000
_RETRY_SECONDS = (0.3, 0.8)


@dataclass(frozen=True, kw_only=True)
class RegistrationInputs:
    """What is registered where.

    ``peers`` counts the known live peers, ``join`` calls some of the seeds.
    """

    store: StoreClient
    node: Node
    peers: Callable[[], int]
    join: Callable[[], Awaitable[None]]
    randomness: random.Random


class Registration:
    """The row of this process, and the addresses that the others' rows name."""

    def __init__(
        self,
        *,
        inputs: RegistrationInputs,
        seeds: tuple[Address, ...],
    ) -> None:
        self._inputs = inputs
        self._seeds = set(seeds)
        self._has_row = False

    def seeds(self) -> tuple[Address, ...]:
        """Return the peers' addresses known from settings and rows."""
        return tuple(sorted(self._seeds))

    async def run(self) -> None:
        """Register, and look for peers until cancelled."""
        await self._inputs.join()
        while True:
            if not self._has_row:
                await self._write()
            lonely = self._inputs.peers() == 0
            if lonely:
                # The seeds of the settings may all be stale or down.
                await self._read()
                await self._inputs.join()
            pause = LONELY_SECONDS if lonely else COMPANY_SECONDS
            if not self._has_row:
                pause = self._inputs.randomness.uniform(*_RETRY_SECONDS)
            await trio.sleep(pause)

    async def leave(self) -> None:
        """Drop the row; what stays after a failure is dropped by others."""
        if self._has_row:
            self._has_row = False
            await self._inputs.store.delete(TABLE, self._inputs.node.name)

    async def _write(self) -> None:
        node = self._inputs.node
        written = await self._inputs.store.put(TABLE, node.name, encode(node))
        self._has_row = written.is_ok()
        if written.is_error():
            warn('registration failed', reason=written.error.reason)

    async def _read(self) -> None:
        answer = await self._inputs.store.read(TABLE)
        if answer.is_error():
            return
        page: RowPage = answer.ok
        own = self._inputs.node
        for row in page.rows:
            found = decode(row.value or b'', Node)
            if found.is_error():
                warn('registration of a peer can not be read', key=row.key)
                continue
            self._seeds.add(found.ok.peer_address)
            age = own.incarnation - found.ok.incarnation
            if age > _STALE_MILLISECONDS:
                await self._inputs.store.delete(TABLE, row.key)
        note('peers read from the store', rows=len(page.rows))
