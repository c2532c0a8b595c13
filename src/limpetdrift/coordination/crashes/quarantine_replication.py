"""Replicates the quarantine states of fingerprints across the region.

All changes are pushed; the digest and a pull cover refusals and releases.
"""

from collections.abc import Callable

from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.record_replication import (
    RecordReplicator,
    ReplicatedRecords,
)
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.quarantine import (
    PULL_PATH,
    PUSH_PATH,
    QuarantineDigest,
    QuarantinePull,
    QuarantineRecord,
    QuarantineRecords,
    QuarantineState,
)
from limpetdrift.state.suspects import CrashSuspects

DIGEST_NAME = 'quarantine'
_PULLED_STATES = frozenset((QuarantineState.REFUSED, QuarantineState.RELEASED))


class QuarantineReplicator(RecordReplicator):
    """Replicates the records of one entry's suspects."""

    def __init__(
        self,
        *,
        node: Node,
        suspects: CrashSuspects,
        live_entries: Callable[[], tuple[Node, ...]],
        call: PeerCall,
    ) -> None:
        super().__init__(
            node=node,
            replicated=_describe_records(suspects),
            live_entries=live_entries,
            call=call,
        )
        self._suspects = suspects

    def make_digest(self) -> bytes:
        """Return the digest of this entry for the membership's gossip."""
        return encode(QuarantineDigest(refused=self._suspects.digest))


def _describe_records(suspects: CrashSuspects) -> ReplicatedRecords:
    def merge(message: QuarantineRecords) -> None:
        for record in message.news:
            suspects.merge(record)

    def all_records() -> tuple[QuarantineRecord, ...]:
        return tuple(suspects.records_in(_PULLED_STATES))

    def has_digest(digest: bytes) -> bool:
        decoded = decode(digest, QuarantineDigest)
        return decoded.is_error() or decoded.ok.refused == suspects.digest

    return ReplicatedRecords(
        push_path=PUSH_PATH,
        pull_path=PULL_PATH,
        message_type=QuarantineRecords,
        pull=QuarantinePull(),
        compose=lambda records: QuarantineRecords(news=records),
        merge=merge,
        all_records=all_records,
        has_digest=has_digest,
    )
