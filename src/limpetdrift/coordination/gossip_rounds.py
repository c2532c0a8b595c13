"""The tasks that keep the view of the members.

A round is once in ``ROUND_SECONDS``; urgent news is pushed between rounds.
"""

from collections.abc import Callable
from random import Random

import trio

from limpetdrift.coordination.failure_detector import FailureDetector
from limpetdrift.coordination.gossip import Gossip
from limpetdrift.coordination.sampling import Sampler

ROUND_SECONDS = 1.0
LATE_SECONDS = 1.0
PUSH_INTERVAL_SECONDS = 0.1
PEERS_IN_ROUND = 2
PEERS_IN_PUSH = 4
_JITTER_SHARE = 0.1


class GossipRounds:
    """The nursery of the checks under way, and whether a push is wanted."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        sampler: Sampler,
        detector: FailureDetector,
        live_names: Callable[[], list[str]],
        random: Random,
    ) -> None:
        self._gossip = gossip
        self._sampler = sampler
        self._detector = detector
        self._live_names = live_names
        self._random = random
        self._push_wanted = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run rounds and pushes until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._push_loop)
            await self._round_loop()

    def push(self) -> None:
        """Exchange news with a few peers at once."""
        self._push_wanted.set()

    def start_check(self, name: str) -> None:
        """Check a member beside the rounds."""
        record = self._gossip.members.table.find(name)
        if record and self._nursery:
            self._nursery.start_soon(self._detector.check, record)

    async def _round_loop(self) -> None:
        while True:
            self._nursery.start_soon(self._round)
            jitter = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            wanted = trio.current_time() + ROUND_SECONDS * jitter
            await trio.sleep_until(wanted)
            if trio.current_time() - wanted > LATE_SECONDS:
                self._detector.reset_after_pause()

    async def _round(self) -> None:
        for suspect in self._detector.expire_suspects():
            self.start_check(suspect.name)
        self._gossip.members.forget_dead(trio.current_time())
        async with trio.open_nursery() as nursery:
            for record in self._sampler.peers(PEERS_IN_ROUND):
                nursery.start_soon(self._detector.check, record)
            for address in self._sampler.strangers():
                nursery.start_soon(
                    self._detector.contact_unknown_address, address
                )
            for contact in self._sampler.contacts(self._live_names()):
                nursery.start_soon(self._gossip.exchange_across, contact)

    async def _push_loop(self) -> None:
        while True:
            await self._push_wanted.wait()
            self._push_wanted = trio.Event()
            for record in self._sampler.peers(PEERS_IN_PUSH):
                self._nursery.start_soon(self._detector.check, record)
            await trio.sleep(PUSH_INTERVAL_SECONDS)
