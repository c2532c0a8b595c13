"""Repairs differences between two nodes' tables that gossip has left.

When the hashes of two nodes' tables differ, the caller requests the records of
the hash buckets that differ, as many as fit in a message, and repeats this
until nothing changes.
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
from limpetdrift.state.records import RecordTable
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

SYNC_PATH = 'gossip-sync'
SYNC_TIMEOUT_SECONDS = 0.8
# Shortest interval between two repairs that this node starts.
SYNC_INTERVAL_SECONDS = 3.0
# Size limit of the records of one kind in a reply; one bucket always fits.
MAX_SYNC_BYTES = 8192
_MAX_CALLS_PER_SYNC = 32


class MergeRecords(Protocol):
    """Merges records, and gossips the new ones.

    Endpoint records are gossiped only if ``disseminate`` is set.
    """

    def __call__(
        self,
        members: tuple[MemberRecord, ...],
        endpoints: tuple[EndpointRecord, ...],
        *,
        disseminate: bool = True,
    ) -> None:
        """Merge records of members and endpoints."""


class GossipSync:
    """Compares this node's tables with those of its peers."""

    def __init__(
        self,
        *,
        members: RecordTable[MemberRecord],
        endpoints: RecordTable[EndpointRecord],
        merge_records: MergeRecords,
        call: PeerCall,
    ) -> None:
        self._members = members
        self._endpoints = endpoints
        self._merge_records = merge_records
        self._call = call
        self._synced_at = -SYNC_INTERVAL_SECONDS

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler of peers' calls."""
        peer_routes.add(SYNC_PATH, SyncRequest, self._on_sync)

    async def sync_if_different(
        self,
        address: Address,
        message: GossipMessage,
    ) -> None:
        """Synchronize with the sender of a message if its hashes differ.

        Does nothing within ``SYNC_INTERVAL_SECONDS`` after the last one.
        """
        now = trio.current_time()
        if now - self._synced_at < SYNC_INTERVAL_SECONDS:
            return
        own_hashes = (self._members.digest, self._endpoints.digest)
        if own_hashes == (message.member_hash, message.endpoint_hash):
            return
        self._synced_at = now
        for _ in range(_MAX_CALLS_PER_SYNC):
            has_changed = await self._sync(address)
            if not has_changed:
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
        self._merge_reply(answer.ok)
        return (
            request.member_buckets != self._members.buckets
            or request.endpoint_buckets != self._endpoints.buckets
        )

    def _merge_reply(self, reply: SyncReply) -> None:
        # Only leaving endpoints are urgent enough to gossip. Other endpoint
        # records reach each node by synchronization.
        leaving_endpoints = tuple(
            each for each in reply.endpoints if each.leaving
        )
        self._merge_records(reply.members, leaving_endpoints)
        self._merge_records((), reply.endpoints, disseminate=False)
        _redisseminate_missing(
            self._members, reply.member_buckets, reply.members
        )

    async def _on_sync(
        self,
        message: SyncRequest,
    ) -> Result[SyncReply, Failure]:
        member_buckets, members = self._members.differing(
            message.member_buckets,
            MAX_SYNC_BYTES,
        )
        endpoint_buckets, endpoints = self._endpoints.differing(
            message.endpoint_buckets,
            MAX_SYNC_BYTES,
        )
        return Ok(
            SyncReply(
                members=members,
                member_buckets=member_buckets,
                endpoints=endpoints,
                endpoint_buckets=endpoint_buckets,
            ),
        )


def _redisseminate_missing(
    table: RecordTable,
    buckets: tuple[int, ...],
    received: tuple,
) -> None:
    """Gossip again the records that the peer lacks or holds differently."""
    peer_records = {record.name: record for record in received}
    for index in buckets:
        table.redisseminate(
            held.record.name
            for held in table.in_bucket(index)
            if peer_records.get(held.record.name) != held.record
        )
