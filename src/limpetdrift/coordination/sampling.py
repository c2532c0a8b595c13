"""Which peers a node talks to in a round."""

from collections.abc import Callable
from random import Random

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.gossip import MemberRecord, MemberState
from limpetdrift.protocol.node import Node
from limpetdrift.state.contacts import Contacts
from limpetdrift.state.members import MemberTable
from limpetdrift.transport.messages import Address

BRIDGES = 2
_TAKING_PART = (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT)
_STRANGER_ROUND_SHARE = 0.25


class Sampler:
    """Samples peers of the region, strangers, and contacts of others."""

    def __init__(
        self,
        *,
        node: Node,
        members: MemberTable,
        contacts: Contacts,
        seeds: Callable[[], tuple[Address, ...]],
        random: Random,
    ) -> None:
        self._node = node
        self._members = members
        self._contacts = contacts
        self._seeds = seeds
        self._random = random

    def peers(self, count: int) -> list[MemberRecord]:
        """Return so many of the members that are not held dead."""
        peers = self._peers()
        return self._random.sample(peers, min(count, len(peers)))

    def strangers(self) -> list[Address]:
        """Return now and then an address at which no live member is known.

        These are the addresses of dead members and the seeds; they join parts
        that have lost each other.
        """
        peers = self._peers()
        if peers and self._random.random() >= _STRANGER_ROUND_SHARE:
            return []
        known = {record.node.peer_address for record in peers}
        known.add(self._node.peer_address)
        dead = self._members.in_state(MemberState.DEAD)
        wanted = {record.node.peer_address for record in dead}
        wanted.update(self._seeds())
        strangers = sorted(wanted - known)
        return self._random.sample(strangers, min(1, len(strangers)))

    def contacts(self, live: list[str]) -> list[Node]:
        """Return a contact of each other region that this node bridges to."""
        return [
            self._random.choice(self._contacts.of_region(region))
            for region in self._contacts.regions()
            if self._node.name
            in choose_by_hash(f'bridge/{region}', live, BRIDGES)
        ]

    def _peers(self) -> list[MemberRecord]:
        records = self._members.in_state(*_TAKING_PART)
        return [each for each in records if each.name != self._node.name]
