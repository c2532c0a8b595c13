"""Tracks the members of the cluster: live, suspect, leaving or dead nodes.

In each round a node exchanges records with a fixed number of sampled peers;
each exchange is also a heartbeat of both nodes. Changes of state spread with
the exchanges. A member that is wrongly suspected refutes this with a higher
version of its own record.

>>> members = Membership(node=node, call=call, ...)  # doctest: +SKIP
>>> members.register(peer_routes)  # doctest: +SKIP
>>> nursery.start_soon(members.run)  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from limpetdrift.coordination.membership.evidence import EvidenceCounts
from limpetdrift.coordination.membership.failure_detector import FailureDetector
from limpetdrift.coordination.membership.gossip import Gossip, GossipHooks
from limpetdrift.coordination.membership.gossip_rounds import GossipRounds
from limpetdrift.coordination.membership.own_record import OwnRecord
from limpetdrift.coordination.membership.sampling import (
    MAX_SMALL_CLUSTER,
    Sampler,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.gossip import (
    EndpointRecord,
    MemberRecord,
    MemberState,
    ProbeOutcome,
)
from limpetdrift.protocol.node import Node, Role
from limpetdrift.supervision import call_hooks, run_contained
from limpetdrift.transport.messages import Address

_URGENT_STATES = frozenset((MemberState.LEAVING, MemberState.DEAD))
# Each seed passes on all members that it has recorded, so a few seeds are
# enough for a cluster of any size.
MAX_JOIN_SEEDS = 10
# Retries while no seed has answered, and their interval. If all nodes
# start at once, the first finds no other yet.
JOIN_RETRIES = 8
JOIN_RETRY_SECONDS = 0.15


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A node and its state as this node has recorded it."""

    node: Node
    state: MemberState


ChangeHook = Callable[[tuple[Member, ...]], None]
EndpointHook = Callable[[tuple[EndpointRecord, ...]], None]


class Membership:
    """The members of the cluster, and the tasks that keep them up to date.

    ``seeds`` returns the peer addresses from settings and instance list.
    ``on_change`` hooks get the members whose record has changed, and
    ``on_endpoints`` hooks the changed endpoint records. ``run`` runs the tasks
    until cancelled, ``register_digest`` adds a digest of another component to
    each exchange, and ``push`` exchanges records with a few peers without
    waiting for the next round.
    """

    def __init__(
        self,
        *,
        node: Node,
        call: PeerCall,
        seeds: Callable[[], tuple[Address, ...]],
        randomness: Random,
    ) -> None:
        self.node = node
        self.on_change: list[ChangeHook] = []
        self.on_endpoints: list[EndpointHook] = []
        self._own_record = OwnRecord(node=node, publish=self._publish)
        self.gossip = Gossip(
            node=node,
            call=call,
            randomness=randomness,
            hooks=GossipHooks(
                on_members=self._on_members,
                on_endpoints=self._on_endpoints,
                on_held=self._own_record.refute,
                own_version=self._own_record.current_version,
            ),
        )
        self._seeds = seeds
        self._randomness = randomness
        sampler = Sampler(
            node=node,
            members=self.gossip.members,
            contacts=self.gossip.contacts,
            seeds=seeds,
            randomness=randomness,
        )
        self._detector = FailureDetector(
            gossip=self.gossip,
            sampler=sampler,
            call=call,
        )
        self._rounds = GossipRounds(
            gossip=self.gossip,
            sampler=sampler,
            detector=self._detector,
            live_names=lambda: _names_of(self.live_entries()),
            randomness=randomness,
        )
        self.register_digest = self.gossip.register_digest
        self.push = self._rounds.push
        self.run = self._rounds.run
        self._publish(self._own_record.record)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        self.gossip.register(peer_routes)
        self._detector.register(peer_routes)

    def members(self) -> tuple[Member, ...]:
        """Return the members of this region, this node included."""
        records = self.gossip.members.table.records()
        return tuple(
            Member(node=record.node, state=record.state) for record in records
        )

    def live_entries(self, region: str | None = None) -> tuple[Node, ...]:
        """Return the entries that accept new work, in no order.

        Of another region only the few known contacts are returned. A suspect
        counts as live until it is declared dead.
        """
        if region not in {None, self.node.region}:
            return self.gossip.contacts.of_region(region)
        records = self.gossip.members.in_state(
            MemberState.LIVE,
            MemberState.SUSPECT,
        )
        return tuple(
            record.node
            for record in records
            if record.node.role is Role.ENTRY and not record.leaving
        )

    def is_assigned(self, duty: str, count: int) -> bool:
        """Return whether a duty is assigned to this node.

        Rendezvous hashing assigns it to ``count`` of the live entries.
        """
        live = _names_of(self.live_entries())
        return self.node.name in choose_by_hash(duty, live, count)

    async def join_seeds(self) -> None:
        """Exchange records with up to ``MAX_JOIN_SEEDS`` seeds in parallel.

        Without it, many nodes that start together would find each other only
        over several rounds. Of two nodes that start together, the later one
        reaches the earlier, so both have recorded each other before they are
        ready. A node that reaches no seed tries again a few times.
        """
        for _ in range(1 + JOIN_RETRIES):
            seeds = [
                each for each in self._seeds() if each != self.node.peer_address
            ]
            async with trio.open_nursery() as nursery:
                for address in self._randomness.sample(
                    seeds, min(MAX_JOIN_SEEDS, len(seeds))
                ):
                    nursery.start_soon(
                        run_contained,
                        'gossip-join',
                        self._detector.contact_unknown_address,
                        address,
                    )
            if not seeds or len(self.gossip.members) > 1:
                return
            await trio.sleep(JOIN_RETRY_SECONDS)

    def recent_contact_counts(self) -> EvidenceCounts:
        """Return the numbers of peers that recently timed out or answered."""
        return self._detector.evidence.counts(trio.current_time())

    def leave(self) -> None:
        """Announce that this node accepts no new work."""
        self._own_record.leave()

    def record_connection_refused(self, name: str) -> None:
        """Check a node, since a refused connection may show its death."""
        self._rounds.start_check(name)

    def record_answer(self, name: str) -> None:
        """Record an answer of a node, and check it if suspect or dead."""
        now = trio.current_time()
        self._detector.evidence.record(name, ProbeOutcome.ANSWERED, now)
        record = self.gossip.members.table.find(name)
        if record and record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            self._rounds.start_check(name)

    def _publish(self, record: MemberRecord) -> None:
        self.gossip.merge_records(members=(record,))

    def _on_members(self, records: tuple[MemberRecord, ...]) -> None:
        # Nodes that all start at once agree soon on which started first. In a
        # large cluster the pushes of a common start would be too many.
        is_small = len(self.gossip.members) <= MAX_SMALL_CLUSTER
        if is_small or any(
            record.state in _URGENT_STATES for record in records
        ):
            self._rounds.push()
        changed = tuple(
            Member(node=record.node, state=record.state) for record in records
        )
        call_hooks('member-hooks', self.on_change, changed)
        for record in records:
            if record.name == self.node.name:
                self._own_record.refute_record(record)

    def _on_endpoints(self, records: tuple[EndpointRecord, ...]) -> None:
        call_hooks('endpoint-hooks', self.on_endpoints, records)


def _names_of(entries: Iterable[Node]) -> list[str]:
    return [entry.name for entry in entries]
