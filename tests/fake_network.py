"""Connects peers without sockets, with latency and faults.

Messages can be cut off, lost, duplicated and delayed.

>>> network = FakeNetwork(seed=1)
>>> call = network.add_peer(address, peer_routes)
>>> network.cut(address, other)  # nothing from address reaches other
"""

import random

import trio
from expression import Result

from limpetdrift.protocol.codec import decode, encode
from limpetdrift.verdict import Reason, may_have_run, not_run

LATENCY_SECONDS = 0.0015


class FakeNetwork:
    """Delivers messages between the ``PeerRoutes`` of many addresses."""

    def __init__(self, *, seed=0, latency_seconds=LATENCY_SECONDS):
        self.randomness = random.Random(seed)
        self.latency_seconds = latency_seconds
        self.loss_rate = 0.0
        self.duplication_rate = 0.0
        self.messages = 0
        self.bytes = 0
        self.paths = set()
        self._routes = {}
        # Seconds by which messages from an address are late.
        self.delays = {}
        self._cuts = set()
        self._frozen = {}

    def add_peer(self, address, peer_routes):
        """Add a peer and return its ``PeerCall``."""
        self._routes[address] = peer_routes

        async def call(target, path, message, reply, *, timeout_seconds):
            with trio.move_on_after(timeout_seconds):
                return await self._deliver(
                    address, target, path, message, reply
                )
            return Result.Error(may_have_run(Reason.TIMEOUT, str(target)))

        return call

    def kill(self, address):
        """Remove a peer: connections to it are refused."""
        self._routes.pop(address, None)

    def cut(self, source, target):
        """Drop all messages from source to target without an error."""
        self._cuts.add((source, target))

    def isolate(self, address):
        """Cut all messages between an address and all others."""
        for other in list(self._routes):
            if other != address:
                self.cut(address, other)
                self.cut(other, address)

    def heal(self):
        """Undo every cut."""
        self._cuts.clear()

    def freeze(self, address):
        """Delay messages to and from the address until ``thaw``."""
        self._frozen[address] = trio.Event()

    def thaw(self, address):
        """Deliver the messages that ``freeze`` has delayed."""
        self._frozen.pop(address).set()

    async def _deliver(self, source, target, path, message, reply):
        body = encode(message)
        self.paths.add(path)
        await self._transmit(source, target, len(body))
        routes = self._routes.get(target)
        if routes is None:
            return Result.Error(not_run(Reason.CONNECT_FAILED, str(target)))
        outcome = await routes.dispatch(path, body)
        if self.randomness.random() < self.duplication_rate:
            outcome = await routes.dispatch(path, body)
        answer = encode(outcome.ok if outcome.is_ok() else outcome.error)
        await self._transmit(target, source, len(answer))
        if outcome.is_error():
            return outcome
        return decode(answer, reply)

    async def _transmit(self, source, target, size):
        self.messages += 1
        self.bytes += size
        for address in (source, target):
            frozen = self._frozen.get(address)
            if frozen is not None:
                await frozen.wait()
        jitter = self.randomness.uniform(0.5, 1.5)
        delay = self.delays.get(source, 0)
        await trio.sleep(self.latency_seconds * jitter + delay)
        lost = self.randomness.random() < self.loss_rate
        if lost or (source, target) in self._cuts:
            await trio.sleep_forever()
