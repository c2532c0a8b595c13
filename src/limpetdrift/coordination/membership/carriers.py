"""Chooses the peers that carry requests for an entry that is cut off.

Each entry tells all others which services it does not reach. A request is
carried once: the peer that gets it sends it to an endpoint or refuses it.
"""

from collections.abc import Callable
from functools import partial
from random import Random

from expression import Error, Ok, Result
from xxhash import xxh64_intdigest

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.record_replication import (
    RecordReplicator,
    ReplicatedRecords,
)
from limpetdrift.logs import warn
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.links import (
    PULL_PATH,
    PUSH_PATH,
    LinkDigest,
    LinkNews,
    LinkPull,
    LinkRecord,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.verdict import Failure, Reason, not_run

DIGEST_NAME = 'links'
# Retry interval of callers while no entry reaches the service.
RETRY_AFTER_SECONDS = 1.0


class Carriers:
    """The links of all entries, as they tell them."""

    def __init__(
        self,
        *,
        node: Node,
        live_entries: Callable[[], tuple[Node, ...]],
        call: PeerCall,
        randomness: Random,
    ) -> None:
        self._node = node
        self._live_entries = live_entries
        self._randomness = randomness
        self._records: dict[str, LinkRecord] = {}
        self.replicator = RecordReplicator(
            node=node,
            replicated=ReplicatedRecords(
                push_path=PUSH_PATH,
                pull_path=PULL_PATH,
                message_type=LinkNews,
                pull=LinkPull(),
                compose=lambda records: LinkNews(records=records),
                merge=self._merge,
                all_records=self._all_records,
                has_digest=partial(_has_digest, self),
            ),
            live_entries=live_entries,
            call=call,
        )

    @property
    def digest(self) -> int:
        """A hash over the known records, whatever their order."""
        total = 0
        for each in self._all_records():
            total ^= xxh64_intdigest(f'{each.entry}/{each.version}'.encode())
        return total

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of pushes and pulls."""
        self.replicator.register(peer_routes)

    def make_digest(self) -> bytes:
        """Return the digest for the membership's gossip, if there is any."""
        if not self._records:
            return b''
        return encode(LinkDigest(records=self.digest))

    def tell(self, cut_services: frozenset[str]) -> None:
        """Tell all entries which services this one does not reach."""
        known = self._records.get(self._node.name)
        record = LinkRecord(
            entry=self._node.name,
            version=known.version + 1 if known else 1,
            cut_services=tuple(sorted(cut_services)),
        )
        self._records[record.entry] = record
        self.replicator.add(record)

    def is_cut_off(self, entry: str) -> bool:
        """Return whether an entry is cut off from any service."""
        record = self._records.get(entry)
        return record is not None and bool(record.cut_services)

    def prefer_reaching(self, entries: tuple[Node, ...]) -> tuple[Node, ...]:
        """Return the entries that reach all services, or all if none does."""
        if not self._records:
            return entries
        reaching = tuple(
            each for each in entries if not self.is_cut_off(each.name)
        )
        return reaching or entries

    def place(
        self, request: CallerRequest, excluded: frozenset[EndpointIdentity]
    ) -> Result[DispatchPlan, Failure]:
        """Choose a peer that reaches a request's service.

        One that is not in ``excluded`` is preferred, and one in this entry's
        failure domain; the same peer may find another endpoint. Fails with
        ``NO_ENDPOINT`` if there is none, or the request was carried here.
        """
        peers = [
            each
            for each in self._live_entries()
            if each.name != self._node.name
            and request.service not in self._cut_services(each.name)
        ]
        if request.is_carried or not peers:
            telemetry.count('refusals', reason='cut-off')
            return Error(
                not_run(
                    Reason.NO_ENDPOINT,
                    'cut off from the service, as are all other entries',
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                )
            )
        others = [
            each
            for each in peers
            if (each.name, each.incarnation) not in excluded
        ]
        domain = self._node.failure_domain
        near = [each for each in others if each.failure_domain == domain]
        chosen = self._randomness.choice(near or others or peers)
        telemetry.count('requests_carried')
        return Ok(
            DispatchPlan(
                endpoint=_as_endpoint(chosen, request.service),
                read_seconds=request.route.target_seconds,
                is_carried=True,
            )
        )

    def _cut_services(self, entry: str) -> tuple[str, ...]:
        record = self._records.get(entry)
        return record.cut_services if record else ()

    def _all_records(self) -> tuple[LinkRecord, ...]:
        """Return the records of live entries; drop those of others."""
        live = {each.name for each in self._live_entries()}
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in live or name == self._node.name
        }
        return tuple(self._records.values())

    def _merge(self, message: LinkNews) -> None:
        for record in message.records:
            known = self._records.get(record.entry)
            if known is None or record.version > known.version:
                self._records[record.entry] = record


def _has_digest(carriers: Carriers, digest: bytes) -> bool:
    decoded = decode(digest, LinkDigest)
    if decoded.is_error():
        warn('digest of links can not be decoded')
        return True
    return decoded.ok.records == carriers.digest


def _as_endpoint(node: Node, service: str) -> ListedEndpoint:
    return ListedEndpoint(
        name=node.name,
        lifetime=node.incarnation,
        service=service,
        address=str(node.peer_address),
        failure_domain=node.failure_domain,
        slots=0,
    )
