"""Runs the gossip rounds that keep the membership up to date.

There is a round every ``ROUND_SECONDS``; urgent records are pushed between
rounds.
"""

from collections.abc import Callable
from random import Random

import trio

from limpetdrift.coordination.membership.failure_detector import FailureDetector
from limpetdrift.coordination.membership.gossip import Gossip
from limpetdrift.coordination.membership.sampling import Sampler
from limpetdrift.protocol.gossip import MemberRecord
from limpetdrift.supervision import keep_running, run_contained

ROUND_SECONDS = 1.0
# A round that starts later than planned by more than this means that this
# process was paused.
PAUSE_THRESHOLD_SECONDS = 1.0
# Shortest interval between pushes.
PUSH_INTERVAL_SECONDS = 0.1
PEERS_IN_ROUND = 2
PEERS_IN_PUSH = 4
_JITTER_SHARE = 0.1


class GossipRounds:
    """Checks a few random peers in each round and in each push."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        sampler: Sampler,
        detector: FailureDetector,
        live_names: Callable[[], list[str]],
        randomness: Random,
    ) -> None:
        self._gossip = gossip
        self._sampler = sampler
        self._detector = detector
        self._live_names = live_names
        self._randomness = randomness
        self._push_requested = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run rounds and pushes until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(keep_running, 'gossip-pushes', self._push_loop)
            await keep_running('gossip-rounds', self._round_loop)

    def push(self) -> None:
        """Request an immediate exchange with ``PEERS_IN_PUSH`` peers."""
        self._push_requested.set()

    def start_check(self, name: str) -> None:
        """Check a member outside the rounds."""
        record = self._gossip.members.table.find(name)
        if record and self._nursery:
            self._check_soon(self._nursery, record)

    async def _round_loop(self) -> None:
        while True:
            self._nursery.start_soon(run_contained, 'gossip-round', self._round)
            jitter = self._randomness.uniform(
                1 - _JITTER_SHARE, 1 + _JITTER_SHARE
            )
            due_at = trio.current_time() + ROUND_SECONDS * jitter
            await trio.sleep_until(due_at)
            if trio.current_time() - due_at > PAUSE_THRESHOLD_SECONDS:
                self._detector.reset_after_pause()

    async def _round(self) -> None:
        for suspect in self._detector.expire_suspects():
            self.start_check(suspect.name)
        self._gossip.members.forget_dead(trio.current_time())
        async with trio.open_nursery() as nursery:
            for record in self._sampler.peers(PEERS_IN_ROUND):
                self._check_soon(nursery, record)
            for address in self._sampler.unknown_addresses():
                nursery.start_soon(
                    run_contained,
                    'gossip-contact',
                    self._detector.contact_unknown_address,
                    address,
                )
            for contact in self._sampler.contacts(self._live_names()):
                nursery.start_soon(
                    run_contained,
                    'gossip-across-regions',
                    self._gossip.exchange_across,
                    contact,
                )

    async def _push_loop(self) -> None:
        while True:
            await self._push_requested.wait()
            self._push_requested = trio.Event()
            for record in self._sampler.peers(PEERS_IN_PUSH):
                self._check_soon(self._nursery, record)
            await trio.sleep(PUSH_INTERVAL_SECONDS)

    def _check_soon(self, nursery: trio.Nursery, record: MemberRecord) -> None:
        nursery.start_soon(
            run_contained, 'gossip-check', self._detector.check, record
        )
