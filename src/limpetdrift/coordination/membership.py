"""Who takes part: which nodes live, are suspect, leaving or dead.

Each round a node exchanges news with a fixed few sampled peers, and each
exchange is also a heartbeat of both. What a node finds spreads with the
exchanges; a member that is wrongly suspected raises its own record.

>>> members = Membership(node=node, call=call, ...)  # doctest: +SKIP
>>> members.register(peer_routes)  # doctest: +SKIP
>>> nursery.start_soon(members.run)  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from limpetdrift.coordination.evidence import EvidenceCounts
from limpetdrift.coordination.failure_detector import FailureDetector
from limpetdrift.coordination.gossip import Gossip, GossipHooks
from limpetdrift.coordination.gossip_rounds import GossipRounds
from limpetdrift.coordination.own_record import OwnRecord
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.coordination.sampling import Sampler
from limpetdrift.protocol.gossip import (
    EndpointRecord,
    MemberRecord,
    MemberState,
    ProbeOutcome,
)
from limpetdrift.protocol.node import Node, Role
from limpetdrift.transport.messages import Address

_URGENT = frozenset((MemberState.LEAVING, MemberState.DEAD))
# Each of these tells of all that it knows; a few are enough at any size.
JOINED_SEEDS = 10


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A node and the state it is held in."""

    node: Node
    state: MemberState


ChangeHook = Callable[[tuple[Member, ...]], None]
EndpointHook = Callable[[tuple[EndpointRecord, ...]], None]


class Membership:
    """The view of the members, and the tasks that keep it.

    ``seeds`` returns the peer addresses from settings and instance list.
    ``on_change`` hooks get the members whose state has changed. ``run`` keeps
    the view until cancelled, ``attach`` adds a digest of another part to each
    exchange, and ``push`` exchanges news without waiting for the next round.
    """

    def __init__(
        self,
        *,
        node: Node,
        call: PeerCall,
        seeds: Callable[[], tuple[Address, ...]],
        random: Random,
    ) -> None:
        self.node = node
        self.on_change: list[ChangeHook] = []
        self.on_endpoints: list[EndpointHook] = []
        self._own = OwnRecord(node=node, publish=self._publish)
        self.gossip = Gossip(
            node=node,
            call=call,
            random=random,
            hooks=GossipHooks(
                on_members=self._on_members,
                on_endpoints=self._on_endpoints,
                on_held=self._own.refute,
                standing=self._own.standing,
            ),
        )
        self._seeds = seeds
        self._random = random
        sampler = Sampler(
            node=node,
            members=self.gossip.members,
            contacts=self.gossip.contacts,
            seeds=seeds,
            random=random,
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
            randomness=random,
        )
        self.register_digest = self.gossip.register_digest
        self.push = self._rounds.push
        self.run = self._rounds.run
        self._publish(self._own.record)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        self.gossip.register(peer_routes)
        self._detector.register(peer_routes)

    def members(self) -> tuple[Member, ...]:
        """Return the members of this region, this node included."""
        records = self.gossip.members.table.records()
        return tuple(
            Member(node=record.node, state=record.state) for record in records
        )

    def live_entries(self, region: str | None = None) -> tuple[Node, ...]:
        """Return the entries that take new work, in no order.

        Of another region only the few known contacts are returned. A suspect
        counts as live until it is held dead.
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
        """Return whether this node is among the few that have a duty."""
        live = _names_of(self.live_entries())
        return self.node.name in choose_by_hash(duty, live, count)

    async def join_seeds(self) -> None:
        """Exchange news with some of the seeds at once.

        Answers a start of many nodes together, which would find each other
        only round by round. Of two that start at a time the later one reaches
        the earlier, so both know each other before they are ready.
        """
        seeds = self._seeds()
        chosen = self._random.sample(seeds, min(JOINED_SEEDS, len(seeds)))
        async with trio.open_nursery() as nursery:
            for address in chosen:
                if address != self.node.peer_address:
                    nursery.start_soon(
                        self._detector.contact_unknown_address, address
                    )

    def recent_contact_counts(self) -> EvidenceCounts:
        """Return how many peers were silent and how many answered lately."""
        return self._detector.evidence.counts(trio.current_time())

    def leave(self) -> None:
        """Announce that this node takes no new work."""
        self._own.leave()

    def record_connection_refused(self, name: str) -> None:
        """Use a refused connection to the node as evidence of its death."""
        self._rounds.start_check(name)

    def note_answer(self, name: str) -> None:
        """Use a good answer of the node as evidence that it lives."""
        now = trio.current_time()
        self._detector.evidence.note(name, ProbeOutcome.ANSWERED, now)
        record = self.gossip.members.table.find(name)
        if record and record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            self._rounds.start_check(name)

    def _publish(self, record: MemberRecord) -> None:
        self.gossip.merge_records(members=(record,))

    def _on_members(self, records: tuple[MemberRecord, ...]) -> None:
        if any(record.state in _URGENT for record in records):
            self._rounds.push()
        changed = tuple(
            Member(node=record.node, state=record.state) for record in records
        )
        for hook in self.on_change:
            hook(changed)
        for record in records:
            if record.name == self.node.name:
                self._own.refute_record(record)

    def _on_endpoints(self, records: tuple[EndpointRecord, ...]) -> None:
        for hook in self.on_endpoints:
            hook(records)


def _names_of(entries: Iterable[Node]) -> list[str]:
    return [entry.name for entry in entries]
