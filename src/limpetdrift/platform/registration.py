"""Registers this process in the platform's store, and finds first peers there.

A process writes one row after its start and deletes it at its end. The rows
only serve to find a first peer; the peers' gossip decides which are live. So
in a large deployment only a few processes write one. These write it again
after the store came back from an older copy, which may lack it: by the rows a
start also knows whether the store may show an older copy.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from limpetdrift.logs import note, warn
from limpetdrift.platform.store import RowPage, StoreClient
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.registered import RegisteredNode, register_node
from limpetdrift.transport.messages import Address

TABLE = 'limpetdrift-entries'
# Interval of the check for live peers: the short one after a check that found
# none, the long one otherwise. The rows are read only if there is none.
NO_PEER_INTERVAL_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 10.0
# Processes that write a row, of all that are live.
REGISTERED_PROCESSES = 12
# Rows of processes that started this much earlier than this one are deleted,
# since a process that was killed leaves its row behind.
_STALE_MILLISECONDS = 600_000
# Rows are written again within this time after the store came back from a copy,
# so that the writes of all processes are spread.
REWRITE_SPREAD_SECONDS = 3.0
# Bounds of the random interval between tries to write the row.
_WRITE_RETRY_SECONDS = (0.3, 0.8)


@dataclass(frozen=True, kw_only=True)
class RegistrationInputs:
    """The process to register, and the store.

    ``configuration_version`` returns the version in force.
    ``count_peers`` returns the number of live peers; ``join`` contacts some of
    the seeds. ``is_assigned`` returns whether this process is one of those
    that write a row.
    """

    store: StoreClient
    node: Node
    configuration_version: Callable[[], int]
    count_peers: Callable[[], int]
    join: Callable[[], Awaitable[None]]
    is_assigned: Callable[[], bool]
    randomness: random.Random


class Registration:
    """The row of this process, and the peers' addresses from other rows."""

    def __init__(
        self,
        *,
        inputs: RegistrationInputs,
        seeds: tuple[Address, ...],
    ) -> None:
        self._inputs = inputs
        self._seeds = set(seeds)
        self._has_row = False
        # Whether the row was written, and may be lost.
        self._is_row_lost = False
        self._row_lost = trio.Event()

    def seeds(self) -> tuple[Address, ...]:
        """Return the peers' addresses from the settings and the rows."""
        return tuple(sorted(self._seeds))

    async def run(self) -> None:
        """Write the row, and look for peers until cancelled."""
        await self._inputs.join()
        while True:
            is_due = self._is_row_lost or (
                not self._has_row and self._inputs.is_assigned()
            )
            if is_due:
                await self._write_row()
            has_no_peer = self._inputs.count_peers() == 0
            if has_no_peer:
                # The seeds of the settings may all be outdated or down.
                await self._read_rows(is_deleting=True)
                await self._inputs.join()
            interval = (
                NO_PEER_INTERVAL_SECONDS
                if has_no_peer
                else CHECK_INTERVAL_SECONDS
            )
            if is_due and not self._has_row:
                interval = self._inputs.randomness.uniform(
                    *_WRITE_RETRY_SECONDS
                )
            await self._wait_until_due(interval)

    async def read(self) -> tuple[RegisteredNode, ...] | None:
        """Return the rows of all processes, or ``None`` if the read fails.

        The addresses in them are seeds from then on.
        """
        return await self._read_rows()

    def write_again(self) -> None:
        """Write the row again soon, since the store may have lost it."""
        if self._has_row:
            self._is_row_lost = True
            self._row_lost.set()

    async def leave(self) -> None:
        """Delete the row; if that fails, another process deletes it later."""
        if self._has_row or self._is_row_lost:
            self._has_row = False
            self._is_row_lost = False
            await self._inputs.store.delete(TABLE, self._inputs.node.name)

    async def _wait_until_due(self, seconds: float) -> None:
        """Wait, or until the row was lost and a random delay has passed."""
        with trio.move_on_after(seconds):
            await self._row_lost.wait()
            self._row_lost = trio.Event()
            await trio.sleep(
                self._inputs.randomness.uniform(0, REWRITE_SPREAD_SECONDS)
            )

    async def _write_row(self) -> None:
        node = self._inputs.node
        row = register_node(
            node,
            self._inputs.store.era.settled_era,
            self._inputs.configuration_version(),
        )
        written = await self._inputs.store.put(TABLE, node.name, encode(row))
        self._has_row = written.is_ok()
        self._is_row_lost = self._is_row_lost and written.is_error()
        if written.is_error():
            warn('registration failed', reason=written.error.reason)

    async def _read_rows(
        self, *, is_deleting: bool = False
    ) -> tuple[RegisteredNode, ...] | None:
        result = await self._inputs.store.read(TABLE)
        if result.is_error():
            return None
        page: RowPage = result.ok
        nodes: list[RegisteredNode] = []
        own = self._inputs.node
        for row in page.rows:
            found = decode(row.value or b'', RegisteredNode)
            if found.is_error():
                warn(
                    'registration row of a peer can not be decoded', key=row.key
                )
                continue
            nodes.append(found.ok)
            self._seeds.add(found.ok.peer_address)
            age = own.incarnation - found.ok.incarnation
            if is_deleting and age > _STALE_MILLISECONDS:
                await self._inputs.store.delete(TABLE, row.key)
        note('peers read from the store', rows=len(page.rows))
        return tuple(nodes)
