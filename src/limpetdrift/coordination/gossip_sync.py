"""Finds and mends what the exchanges of news have missed.

When two nodes' hashes differ, the one that called asks for the records of
the buckets that differ, as many as fit a message, until nothing new comes.
"""

from typing import Protocol

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.gossip import (
    EndpointRecord,
    GossipMessage,
    MemberRecord,
    SyncReply,
    SyncRequest,
)
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.records import RecordTable
from limpetdrift.transport.messages import Address

SYNC_PATH = 'gossip-sync'
SYNC_TIMEOUT_SECONDS = 0.8
SYNC_INTERVAL_SECONDS = 3.0
SYNC_BYTES = 8192
_SYNCS_IN_A_ROW = 32


class TakeIn(Protocol):
    """Merges records, and hands them out to others unless told not to."""

    def __call__(
        self,
        members: tuple[MemberRecord, ...],
        endpoints: tuple[EndpointRecord, ...],
        *,
        disseminate: bool = True,
    ) -> None:
        """Take in records."""


class GossipSync:
    """When this node compared its tables last, and the calls to do so."""

    def __init__(
        self,
        *,
        members: RecordTable[MemberRecord],
        endpoints: RecordTable[EndpointRecord],
        merge_records: TakeIn,
        call: PeerCall,
    ) -> None:
        self._members = members
        self._endpoints = endpoints
        self._merge_records = merge_records
        self._call = call
        self._synced_at = -SYNC_INTERVAL_SECONDS

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handler to peers."""
        peer_routes.add(SYNC_PATH, SyncRequest, self._on_sync)

    async def run_if_apart(
        self,
        address: Address,
        message: GossipMessage,
    ) -> None:
        """Compare with the sender of the message, if hashes differ."""
        now = trio.current_time()
        if now - self._synced_at < SYNC_INTERVAL_SECONDS:
            return
        mine = (self._members.digest, self._endpoints.digest)
        if mine == (message.member_hash, message.endpoint_hash):
            return
        self._synced_at = now
        for _ in range(_SYNCS_IN_A_ROW):
            more = await self._sync(address)
            if not more:
                return

    async def _sync(self, address: Address) -> bool:
        request = SyncRequest(
            member_buckets=self._members.buckets,
            endpoint_buckets=self._endpoints.buckets,
        )
        answer = await self._call(
            address,
            SYNC_PATH,
            request,
            SyncReply,
            timeout_seconds=SYNC_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            return False
        telemetry.count('gossip_syncs')
        self._use(answer.ok)
        return (
            request.member_buckets != self._members.buckets
            or request.endpoint_buckets != self._endpoints.buckets
        )

    def _use(self, reply: SyncReply) -> None:
        # Of endpoints only signs are urgent; each node finds the rest here.
        signs = tuple(each for each in reply.endpoints if each.leaving)
        self._merge_records(reply.members, signs)
        self._merge_records((), reply.endpoints, disseminate=False)
        _refresh_newer(self._members, reply.member_buckets, reply.members)

    async def _on_sync(
        self,
        message: SyncRequest,
    ) -> Result[SyncReply, Failure]:
        member_buckets, members = self._members.differing(
            message.member_buckets,
            SYNC_BYTES,
        )
        endpoint_buckets, endpoints = self._endpoints.differing(
            message.endpoint_buckets,
            SYNC_BYTES,
        )
        return Ok(
            SyncReply(
                members=members,
                member_buckets=member_buckets,
                endpoints=endpoints,
                endpoint_buckets=endpoint_buckets,
            ),
        )


def _refresh_newer(
    table: RecordTable,
    buckets: tuple[int, ...],
    given: tuple,
) -> None:
    """Hand out again what the peer lacks."""
    theirs = {record.name: record for record in given}
    for index in buckets:
        table.redisseminate(
            held.record.name
            for held in table.in_bucket(index)
            if theirs.get(held.record.name) != held.record
        )
