"""Selects the peers that a node contacts in a gossip round."""

from collections.abc import Callable
from random import Random

from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.gossip import MemberRecord, MemberState
from limpetdrift.protocol.node import Node
from limpetdrift.state.contacts import Contacts
from limpetdrift.state.members import MemberTable
from limpetdrift.transport.messages import Address

# Up to this number of members a cluster is small: its records fit in a message.
MAX_SMALL_CLUSTER = 24
# Number of nodes of a region that gossip with a given other region.
BRIDGE_NODES = 2
_STATES_NOT_DEAD = (MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT)
# Share of the rounds that contact an unknown address.
_UNKNOWN_ADDRESS_ROUND_SHARE = 0.25


class Sampler:
    """Samples peers of the region, unknown addresses, and remote contacts.

    An address is unknown if no record of a member there exists, or only that
    of a dead one. Remote contacts are nodes of other regions.
    """

    def __init__(
        self,
        *,
        node: Node,
        members: MemberTable,
        contacts: Contacts,
        seeds: Callable[[], tuple[Address, ...]],
        randomness: Random,
    ) -> None:
        self._node = node
        self._members = members
        self._contacts = contacts
        self._seeds = seeds
        self._randomness = randomness

    def peers(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` random members that are not dead.

        In a large cluster half of them are of the own failure domain, since
        traffic between domains is slow and expensive. In a small one that
        would select the same few peers again and again.
        """
        peers = self._peers()
        local = []
        if len(peers) > MAX_SMALL_CLUSTER:
            local = [
                each
                for each in peers
                if each.node.failure_domain == self._node.failure_domain
            ]
        chosen = self._randomness.sample(local, min(count // 2, len(local)))
        rest = [each for each in peers if each not in chosen]
        missing = min(count - len(chosen), len(rest))
        return chosen + self._randomness.sample(rest, missing)

    def unknown_addresses(self) -> list[Address]:
        """Return one unknown address in a share of the rounds, else none.

        It is sampled from the addresses of dead members and the seeds.
        Contacting it reconnects groups of nodes that have declared each
        other dead. A node without peers gets one in every round.
        """
        peers = self._peers()
        if peers and self._randomness.random() >= _UNKNOWN_ADDRESS_ROUND_SHARE:
            return []
        known = {record.node.peer_address for record in peers}
        known.add(self._node.peer_address)
        dead = self._members.in_state(MemberState.DEAD)
        candidates = {record.node.peer_address for record in dead}
        candidates.update(self._seeds())
        unknown = sorted(candidates - known)
        return self._randomness.sample(unknown, min(1, len(unknown)))

    def contacts(self, live: list[str]) -> list[Node]:
        """Return a contact in each other region that is assigned to this node.

        Rendezvous hashing assigns ``BRIDGE_NODES`` of the ``live`` names to
        each region.
        """
        return [
            self._randomness.choice(self._contacts.of_region(region))
            for region in self._contacts.regions()
            if self._node.name
            in choose_by_hash(f'bridge/{region}', live, BRIDGE_NODES)
        ]

    def _peers(self) -> list[MemberRecord]:
        records = self._members.in_state(*_STATES_NOT_DEAD)
        return [each for each in records if each.name != self._node.name]
