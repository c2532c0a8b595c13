"""Exchanges of records and digests between two nodes.

``Gossip`` carries; it doesn't decide who is alive. Membership and the view of
endpoints put their records in its tables, other parts attach small digests:

>>> gossip.attach('quarantine', make_digest, on_digest)  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

import trio
from expression import Ok, Result
from msgspec import Raw

from limpetdrift import telemetry
from limpetdrift.coordination.gossip_sync import GossipSync
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.gossip import (
    EndpointRecord,
    GossipMessage,
    ListingState,
    MemberRecord,
    MemberState,
    MemberVersion,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.contacts import Contacts
from limpetdrift.state.endpoint_records import join_endpoints
from limpetdrift.state.members import MemberTable
from limpetdrift.state.records import RecordTable
from limpetdrift.transport.messages import Address

EXCHANGE_PATH = 'gossip'
EXCHANGE_TIMEOUT_SECONDS = 0.5
MEMBER_BYTES = 2048
ENDPOINT_BYTES = 2048
DIGEST_BYTES = 1024
_CONTACTS_SENT = 2

MakeDigest = Callable[[], bytes]
OnDigest = Callable[[str, bytes], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GossipHooks:
    """What membership is told of while messages are read."""

    on_members: Callable[[tuple[MemberRecord, ...]], None]
    on_endpoints: Callable[[tuple[EndpointRecord, ...]], None]
    on_held: Callable[[MemberVersion], None]
    standing: Callable[[], MemberVersion]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Attachment:
    make_digest: MakeDigest
    on_digest: OnDigest


class Gossip:
    """The tables of this node, its attachments, and the calls to peers."""

    def __init__(
        self,
        *,
        node: Node,
        call: PeerCall,
        random: Random,
        hooks: GossipHooks,
    ) -> None:
        self.members = MemberTable()
        self.endpoints: RecordTable[EndpointRecord] = RecordTable(
            join=join_endpoints,
            hashed=_is_hashed,
            receivers=self.members.__len__,
        )
        self.contacts = Contacts()
        self._node = node
        self._call = call
        self._random = random
        self._hooks = hooks
        self._attachments: dict[str, _Attachment] = {}
        self._sync = GossipSync(
            members=self.members.table,
            endpoints=self.endpoints,
            merge_records=self.merge_records,
            call=call,
        )

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        peer_routes.add(EXCHANGE_PATH, GossipMessage, self._on_exchange)
        self._sync.register(peer_routes)

    def register_digest(
        self,
        name: str,
        make_digest: MakeDigest,
        on_digest: OnDigest,
    ) -> None:
        """Add a digest to each exchange, in all regions.

        ``make_digest`` returns JSON of at most ``DIGEST_BYTES``, or nothing;
        ``on_digest`` gets the sender's name and its digest.
        """
        self._attachments[name] = _Attachment(
            make_digest=make_digest,
            on_digest=on_digest,
        )

    async def exchange(
        self,
        address: Address,
        *,
        name: str = '',
        region: str = '',
    ) -> Result[GossipMessage, Failure]:
        """Exchange news with the node at an address."""
        sent = self._compose(name, region or self._node.region)
        answer = await self._call(
            address,
            EXCHANGE_PATH,
            sent,
            GossipMessage,
            timeout_seconds=EXCHANGE_TIMEOUT_SECONDS,
        )
        if answer.is_ok() and answer.ok.sender.name != self._node.name:
            self._read(answer.ok)
            if answer.ok.region == self._node.region:
                await self._sync.run_if_apart(address, answer.ok)
        return answer

    async def exchange_across(self, contact: Node) -> None:
        """Exchange contacts and digests with a node of another region."""
        await self.exchange(contact.peer_address, region=contact.region)

    def merge_records(
        self,
        members: Iterable[MemberRecord] = (),
        endpoints: Iterable[EndpointRecord] = (),
        *,
        disseminate: bool = True,
    ) -> None:
        """Merge records and tell the hooks what was new.

        Endpoint records that all nodes come by themselves need no handing
        out.
        """
        now = trio.current_time()
        new_members = tuple(
            record
            for record in members
            if record.node.region == self._node.region
            and self.members.merge(record, now)
        )
        if new_members:
            self._hooks.on_members(new_members)
        new_endpoints = tuple(
            record
            for record in endpoints
            if self.endpoints.merge(record, disseminate=disseminate)
        )
        if new_endpoints:
            self._hooks.on_endpoints(new_endpoints)

    def _compose(self, receiver: str, region: str) -> GossipMessage:
        within = region == self._node.region
        return GossipMessage(
            sender=self._hooks.standing(),
            region=self._node.region,
            member_hash=self.members.table.digest if within else 0,
            endpoint_hash=self.endpoints.digest if within else 0,
            held=self.members.refutation_threshold_of(receiver),
            members=self.members.table.next_for_gossip(MEMBER_BYTES)
            if within
            else (),
            endpoints=self.endpoints.next_for_gossip(ENDPOINT_BYTES)
            if within
            else (),
            contacts=self._sample_contacts(within),
            digests=self._digests(),
        )

    def _sample_contacts(self, within: bool) -> tuple[Node, ...]:
        known = self.contacts.all()
        if not within:
            live = self.members.in_state(MemberState.LIVE)
            known = tuple(record.node for record in live)
        return tuple(
            self._random.sample(known, min(_CONTACTS_SENT, len(known))),
        )

    def _digests(self) -> dict[str, Raw]:
        digests: dict[str, Raw] = {}
        for name, attachment in self._attachments.items():
            made = attachment.make_digest()
            if len(made) > DIGEST_BYTES:
                telemetry.count('gossip_digests_too_large', digest=name)
            elif made:
                digests[name] = Raw(made)
        return digests

    def _read(self, message: GossipMessage) -> None:
        if message.held is not None:
            self._hooks.on_held(message.held)
        for contact in message.contacts:
            if contact.region != self._node.region:
                self.contacts.add(contact)
        self.merge_records(message.members, message.endpoints)
        for name, digest in message.digests.items():
            attachment = self._attachments.get(name)
            if attachment is not None:
                attachment.on_digest(message.sender.name, bytes(digest))

    async def _on_exchange(
        self,
        message: GossipMessage,
    ) -> Result[GossipMessage, Failure]:
        # Composed first, so that news isn't sent back to where it came from.
        reply = self._compose('', message.region)
        self._read(message)
        return Ok(
            replace(
                reply,
                member_hash=self.members.table.digest,
                endpoint_hash=self.endpoints.digest,
                held=self.members.refutation_threshold(message.sender),
            ),
        )


def _is_hashed(record: EndpointRecord) -> bool:
    return record.listed is not ListingState.ABSENT
