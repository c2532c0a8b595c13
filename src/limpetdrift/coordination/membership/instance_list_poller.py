"""Polls the instance list, if this node is one of the few that poll.

The others learn the age of the latest read by gossip.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.instances import InstanceList, ReadList
from limpetdrift.transport.messages import Address

POLL_INTERVAL_SECONDS = 2.0
# Number of nodes that poll.
POLLERS = 3
# Poll interval of a node that may be isolated.
ISOLATED_POLL_INTERVAL_SECONDS = 0.5
# Age up to which a read of the list counts as recent.
RECENT_READ_SECONDS = 1.0
# Added to an age that came by gossip, for the time the message took.
_GOSSIP_DELAY_SECONDS = 0.1
_JITTER_SHARE = 0.1
_POLL_DUTY = 'instance-list'
_DIGEST = 'instance-list'


@dataclass(frozen=True, kw_only=True, slots=True)
class _ListAge:
    """Seconds since any node last read the instance list."""

    seconds: float


class ListPoller:
    """Polls the list; keeps the seeds and when any node last read the list.

    ``on_list`` is called with each list that names any endpoint, the time at
    which the list was taken, and whether this node had never read it before.
    Every node reads the list once by itself. ``seeds`` holds the addresses of
    the entries in the last list that named any endpoint.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        randomness: Random,
        read_list: ReadList,
        on_list: Callable[[InstanceList, float, bool], None],
    ) -> None:
        self.seeds: tuple[Address, ...] = ()
        self._membership = membership
        self._randomness = randomness
        self._read_list = read_list
        self._on_list = on_list
        self._has_read = False
        self._list_read_at = float('-inf')
        membership.register_digest(_DIGEST, self._make_digest, self._on_digest)

    def was_read_recently(self) -> bool:
        """Return whether any node has just read the list."""
        return self._age() <= RECENT_READ_SECONDS

    async def run(self) -> None:
        """Poll until cancelled.

        Each node reads once at its start. A node for which more peers time
        out than answer may be isolated, so it polls by itself, at a shorter
        interval.
        """
        while True:
            isolated = self._is_isolation_suspected()
            assigned = self._membership.is_assigned(_POLL_DUTY, POLLERS)
            if isolated or assigned or not self._has_read:
                await self._poll()
            interval = (
                ISOLATED_POLL_INTERVAL_SECONDS
                if isolated
                else POLL_INTERVAL_SECONDS
            )
            jitter = self._randomness.uniform(
                1 - _JITTER_SHARE, 1 + _JITTER_SHARE
            )
            await trio.sleep(interval * jitter)

    async def _poll(self) -> None:
        answer = await self._read_list()
        if answer.is_error():
            reason = answer.error.reason
            telemetry.count('instance_list_failures', reason=reason)
            return
        is_first = not self._has_read
        self._has_read = True
        self._list_read_at = trio.current_time()
        # An empty list means that the platform has lost its data.
        if answer.ok.endpoints:
            self.seeds = answer.ok.entries
            taken_at = trio.current_time() - answer.ok.age_seconds
            self._on_list(answer.ok, taken_at, is_first)

    def _is_isolation_suspected(self) -> bool:
        contacts = self._membership.recent_contact_counts()
        return contacts.silent > contacts.answering

    def _age(self) -> float:
        return trio.current_time() - self._list_read_at

    def _make_digest(self) -> bytes:
        age = self._age()
        if age > POLL_INTERVAL_SECONDS:
            return b''
        return encode(_ListAge(seconds=round(age, 1)))

    def _on_digest(self, sender: str, digest: bytes) -> None:
        received = decode(digest, _ListAge)
        if received.is_ok():
            age = max(0, received.ok.seconds) + _GOSSIP_DELAY_SECONDS
            read_at = trio.current_time() - age
            self._list_read_at = max(self._list_read_at, read_at)
