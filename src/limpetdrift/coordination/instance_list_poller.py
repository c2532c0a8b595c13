"""Reads the instance list, where this node is among the few that do."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.membership import Membership
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.instances import InstanceList, ReadList
from limpetdrift.transport.messages import Address

POLL_SECONDS = 2.0
POLLERS = 3
DOUBTFUL_POLL_SECONDS = 0.5
LIST_FRESH_SECONDS = 1.0
_HOP_SECONDS = 0.1
_JITTER_SHARE = 0.1
_POLL_DUTY = 'instance-list'
_DIGEST = 'instance-list'


@dataclass(frozen=True, kw_only=True, slots=True)
class _ListAge:
    """How long ago somebody read the instance list."""

    seconds: float


class ListPoller:
    """When the list was read last, here or elsewhere, and whom it names.

    ``use`` gets each reading that names any endpoint, the time for which it is
    true, and whether it is this node's first, which each node has for itself.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        random: Random,
        read_list: ReadList,
        use: Callable[[InstanceList, float, bool], None],
    ) -> None:
        self.seeds: tuple[Address, ...] = ()
        self._membership = membership
        self._random = random
        self._read_list = read_list
        self._use = use
        self._has_read = False
        self._list_read_at = float('-inf')
        membership.register_digest(_DIGEST, self._make_digest, self._on_digest)

    def was_read_recently(self) -> bool:
        """Return whether the list was read just now."""
        return self._age() <= LIST_FRESH_SECONDS

    async def run(self) -> None:
        """Poll until cancelled.

        Each node reads once at its start. One to which more peers are silent
        than answer reads by itself, often, since it may be cut off.
        """
        while True:
            doubtful = self._is_doubtful()
            chosen = self._membership.is_assigned(_POLL_DUTY, POLLERS)
            if doubtful or chosen or not self._has_read:
                await self._poll()
            pause = DOUBTFUL_POLL_SECONDS if doubtful else POLL_SECONDS
            share = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            await trio.sleep(pause * share)

    async def _poll(self) -> None:
        answer = await self._read_list()
        if answer.is_error():
            reason = answer.error.reason
            telemetry.count('instance_list_failures', reason=reason)
            return
        is_first = not self._has_read
        self._has_read = True
        self._list_read_at = trio.current_time()
        # A list of nothing is the mark of a platform that lost it.
        if answer.ok.endpoints:
            self.seeds = answer.ok.entries
            taken_at = trio.current_time() - answer.ok.age_seconds
            self._use(answer.ok, taken_at, is_first)

    def _is_doubtful(self) -> bool:
        contacts = self._membership.recent_contact_counts()
        return contacts.silent > contacts.answering

    def _age(self) -> float:
        return trio.current_time() - self._list_read_at

    def _make_digest(self) -> bytes:
        age = self._age()
        if age > POLL_SECONDS:
            return b''
        return encode(_ListAge(seconds=round(age, 1)))

    def _on_digest(self, sender: str, digest: bytes) -> None:
        told = decode(digest, _ListAge)
        if told.is_ok():
            age = max(0, told.ok.seconds) + _HOP_SECONDS
            read_at = trio.current_time() - age
            self._list_read_at = max(self._list_read_at, read_at)
