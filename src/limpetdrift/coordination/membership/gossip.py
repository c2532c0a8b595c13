"""Exchanges records and digests with other nodes.

``Gossip`` transports data; it does not decide which nodes are alive. Membership
and the endpoint directory keep their records in its tables; other components
register small digests:

>>> gossip.register_digest(
...     'quarantine', make_digest, on_digest
... )  # doctest: +SKIP
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from random import Random

import trio
from expression import Ok, Result
from msgspec import Raw

from limpetdrift import telemetry
from limpetdrift.coordination.membership.gossip_sync import GossipSync
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
from limpetdrift.state.contacts import Contacts
from limpetdrift.state.endpoint_records import join_endpoints
from limpetdrift.state.members import MemberTable
from limpetdrift.state.records import RecordTable
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

EXCHANGE_PATH = 'gossip'
EXCHANGE_TIMEOUT_SECONDS = 0.5
# Limits of the encoded records of one message, and of one digest.
MAX_MEMBER_BYTES = 2048
MAX_ENDPOINT_BYTES = 2048
MAX_DIGEST_BYTES = 1024
_CONTACTS_PER_MESSAGE = 2

MakeDigest = Callable[[], bytes]
OnDigest = Callable[[str, bytes], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GossipHooks:
    """Callbacks to membership.

    ``on_members`` and ``on_endpoints`` get the records that changed the
    tables. ``on_held`` gets the version at which a peer holds this node
    suspect or dead. ``own_version`` returns the version of this node's record.
    """

    on_members: Callable[[tuple[MemberRecord, ...]], None]
    on_endpoints: Callable[[tuple[EndpointRecord, ...]], None]
    on_held: Callable[[MemberVersion], None]
    own_version: Callable[[], MemberVersion]


@dataclass(frozen=True, kw_only=True, slots=True)
class _DigestHandlers:
    make_digest: MakeDigest
    on_digest: OnDigest


class Gossip:
    """The tables of this node, its digests, and the calls to peers."""

    def __init__(
        self,
        *,
        node: Node,
        call: PeerCall,
        randomness: Random,
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
        self._randomness = randomness
        self._hooks = hooks
        self._digest_handlers: dict[str, _DigestHandlers] = {}
        self._sync = GossipSync(
            members=self.members.table,
            endpoints=self.endpoints,
            merge_records=self.merge_records,
            call=call,
        )

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        peer_routes.add(EXCHANGE_PATH, GossipMessage, self._on_exchange)
        self._sync.register(peer_routes)

    def register_digest(
        self,
        name: str,
        make_digest: MakeDigest,
        on_digest: OnDigest,
    ) -> None:
        """Add a digest to each exchange, in all regions.

        ``make_digest`` returns JSON of at most ``MAX_DIGEST_BYTES``, or
        ``b''`` to send none. A longer one is counted and not sent.
        ``on_digest`` gets the sender's name and its digest.
        """
        self._digest_handlers[name] = _DigestHandlers(
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
        """Exchange records and digests with the node at an address.

        ``name`` is the node's name, where it is known. Without ``region`` the
        node is taken to be in this node's region.
        """
        request = self._compose(name, region or self._node.region)
        reply = await self._call(
            address,
            EXCHANGE_PATH,
            request,
            GossipMessage,
            timeout_seconds=EXCHANGE_TIMEOUT_SECONDS,
        )
        if reply.is_ok() and reply.ok.sender.name != self._node.name:
            self._merge_message(reply.ok)
            if reply.ok.region == self._node.region:
                await self._sync.sync_if_different(address, reply.ok)
        return reply

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
        """Merge records, and report to the hooks those that were new.

        ``disseminate=False`` keeps new endpoint records out of gossip; it is
        meant for records that all other nodes find by themselves.
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
        is_same_region = region == self._node.region
        return GossipMessage(
            sender=self._hooks.own_version(),
            region=self._node.region,
            member_hash=self.members.table.digest if is_same_region else 0,
            endpoint_hash=self.endpoints.digest if is_same_region else 0,
            held=self.members.refutation_threshold_of(receiver),
            members=self._next_members(receiver) if is_same_region else (),
            endpoints=self.endpoints.next_for_gossip(MAX_ENDPOINT_BYTES)
            if is_same_region
            else (),
            contacts=self._sample_contacts(is_same_region),
            digests=self._digests(),
        )

    def _next_members(self, receiver: str) -> tuple[MemberRecord, ...]:
        """Return the member records to send next.

        A node that is not known yet gets this node's own record in any case:
        all transmissions due may have gone to nodes that had not started.
        """
        records = self.members.table.next_for_gossip(MAX_MEMBER_BYTES)
        own = self.members.table.find(self._node.name)
        is_introduction = self.members.table.find(receiver) is None
        if is_introduction and own is not None and own not in records:
            records = (*records, own)
        return records

    def _sample_contacts(self, is_same_region: bool) -> tuple[Node, ...]:
        candidates = self.contacts.all()
        if not is_same_region:
            live = self.members.in_state(MemberState.LIVE)
            candidates = tuple(record.node for record in live)
        return tuple(
            self._randomness.sample(
                candidates, min(_CONTACTS_PER_MESSAGE, len(candidates))
            ),
        )

    def _digests(self) -> dict[str, Raw]:
        digests: dict[str, Raw] = {}
        for name, handlers in self._digest_handlers.items():
            digest = handlers.make_digest()
            if len(digest) > MAX_DIGEST_BYTES:
                telemetry.count('gossip_digests_too_large', digest=name)
            elif digest:
                digests[name] = Raw(digest)
        return digests

    def _merge_message(self, message: GossipMessage) -> None:
        if message.held is not None:
            self._hooks.on_held(message.held)
        for contact in message.contacts:
            if contact.region != self._node.region:
                self.contacts.add(contact)
        self.merge_records(message.members, message.endpoints)
        for name, digest in message.digests.items():
            handlers = self._digest_handlers.get(name)
            if handlers is not None:
                handlers.on_digest(message.sender.name, bytes(digest))

    async def _on_exchange(
        self,
        message: GossipMessage,
    ) -> Result[GossipMessage, Failure]:
        # Composed before the merge, so as not to return the sender's records.
        reply = self._compose(message.sender.name, message.region)
        self._merge_message(message)
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
