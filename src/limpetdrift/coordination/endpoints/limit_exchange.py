"""Spreads the rate limits of endpoints among the entries.

An entry that hears a new limit tells the endpoint's decider, which passes it on
to all. The gossip of the membership makes up for lost messages. An entry that
starts asks its seeds before it serves; if they know nothing either, it reads
what the platform's store keeps. An entry also tells the decider of calls that
it had to send without a permit.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_permits import EndpointPermits
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.record_replication import (
    RecordReplicator,
    ReplicatedRecords,
)
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.limits import (
    PULL_PATH,
    PUSH_PATH,
    SPENT_PATH,
    UNNAMED_AGE_SECONDS,
    LimitRecord,
    LimitRecords,
    LimitsDigest,
    LimitsPull,
    SpentCalls,
)
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import EndpointId
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_limits import EndpointLimits
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.supervision import keep_running, run_contained
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure

DIGEST_NAME = 'limits'
# Batching interval of reports to deciders.
REPORT_BATCH_SECONDS = 0.02
# Batching interval of pushes to all entries, for an endpoint that names another
# limit in each answer.
PUSH_BATCH_SECONDS = 0.1
_REPORT_TIMEOUT_SECONDS = 0.3
# Longest time for which a starting entry waits for what its seeds know.
LEARN_TIMEOUT_SECONDS = 0.3
# Seeds that are asked at a start. Each knows all limits.
_LEARN_SEEDS = 3

# Returns the entry that decides for an endpoint, ``None`` if it is this one.
FindDecider = Callable[[ListedEndpoint], Node | None]


@dataclass(frozen=True, kw_only=True)
class KeptLimits:
    """Where limits are kept while no entry runs.

    ``read`` returns them, and ``keep`` takes each change.
    """

    read: Callable[[], Awaitable[tuple[LimitRecord, ...]]]
    keep: Callable[[LimitRecord], None]


@dataclass(frozen=True, kw_only=True)
class LimitExchangeInputs:
    """What an exchange needs of its entry."""

    node: Node
    view: EndpointView
    permits: EndpointPermits
    find_decider: FindDecider
    live_entries: Callable[[], tuple[Node, ...]]
    call: PeerCall
    kept: KeptLimits


class LimitExchange:
    """Reports what this entry hears of limits, and learns what others hear.

    ``run`` has to run in the background. ``wait_learned`` waits until ``learn``
    has ended.
    """

    def __init__(self, *, inputs: LimitExchangeInputs) -> None:
        self._inputs = inputs
        self._limits: EndpointLimits = inputs.view.limits
        self._learned = trio.Event()
        self._replicator = RecordReplicator(
            node=inputs.node,
            replicated=_describe_records(
                self._limits, self._merge, self._learned.is_set
            ),
            live_entries=inputs.live_entries,
            call=inputs.call,
        )
        self._changed: dict[EndpointIdentity, ListedEndpoint] = {}
        self._spent: list[ListedEndpoint] = []
        self._report_due = trio.Event()
        self.wait_learned = self._learned.wait
        self.on_digest = self._replicator.on_digest

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        self._replicator.register(peer_routes)
        peer_routes.add(SPENT_PATH, SpentCalls, self._answer_spent)

    def make_digest(self) -> bytes:
        """Return the digest for the membership's gossip, if there is any."""
        if not self._limits:
            return b''
        return encode(LimitsDigest(limits=self._limits.digest))

    def announce(self, endpoint: ListedEndpoint) -> None:
        """Tell the decider of a changed limit, or all if it is this entry."""
        if self._inputs.find_decider(endpoint) is None:
            self._tell_all(self._limits.record_of(endpoint.identity))
        else:
            self._changed[endpoint.identity] = endpoint
            self._report_due.set()

    def spend(self, endpoint: ListedEndpoint) -> None:
        """Count a call that was sent without a permit."""
        if not self._inputs.permits.take(endpoint):
            return
        if self._inputs.find_decider(endpoint) is not None:
            self._spent.append(endpoint)
            self._report_due.set()

    async def learn(self, seeds: tuple[Address, ...]) -> None:
        """Ask some seeds for all limits; return when one has told them.

        Without it, an entry that has just started would send calls that the
        endpoints have asked all others not to send. Seeds that have just
        started too know nothing: then the limits are read where they are kept.
        """
        try:
            if not await self._replicator.learn_from(
                seeds[:_LEARN_SEEDS], LEARN_TIMEOUT_SECONDS
            ):
                for record in await self._inputs.kept.read():
                    self._limits.merge(record)
        finally:
            # Calls wait for it, and go on without limits after an error.
            self._learned.set()

    async def run(self) -> None:
        """Spread limits and report calls until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'limit-replication', self._replicator.run
            )
            if self._changed or self._spent:
                self._report_due.set()
            while True:
                await self._report_due.wait()
                await trio.sleep(REPORT_BATCH_SECONDS)
                self._report_due = trio.Event()
                changed = tuple(self._changed.values())
                spent = tuple(self._spent)
                self._changed.clear()
                self._spent.clear()
                # A decider that doesn't answer must not delay later reports.
                for name, report, endpoints in (
                    ('changed-limits', self._report_changes, changed),
                    ('spent-calls', self._report_spent, spent),
                ):
                    nursery.start_soon(run_contained, name, report, endpoints)

    async def _report_changes(
        self, changed: tuple[ListedEndpoint, ...]
    ) -> None:
        by_decider = _group_by(self._inputs.find_decider, changed)
        for decider, endpoints in by_decider.items():
            records = tuple(
                record
                for each in endpoints
                if (record := self._limits.record_of(each.identity))
            )
            if decider is None:
                self._broadcast(records)
                continue
            answer = await self._inputs.call(
                decider.peer_address,
                PUSH_PATH,
                LimitRecords(records=records),
                LimitsPull,
                timeout_seconds=_REPORT_TIMEOUT_SECONDS,
            )
            if answer.is_error():
                telemetry.count('limits_untold', reason=answer.error.reason)
                self._broadcast(records)

    async def _report_spent(self, spent: tuple[ListedEndpoint, ...]) -> None:
        by_decider = _group_by(self._inputs.find_decider, spent)
        for decider, endpoints in by_decider.items():
            if decider is None:
                # This entry has counted the calls as it sent them.
                continue
            answer = await self._inputs.call(
                decider.peer_address,
                SPENT_PATH,
                SpentCalls(
                    endpoints=tuple(
                        EndpointId(name=each.name, lifetime=each.lifetime)
                        for each in endpoints
                    )
                ),
                LimitsPull,
                timeout_seconds=_REPORT_TIMEOUT_SECONDS,
            )
            if answer.is_error():
                telemetry.count('spent_untold', reason=answer.error.reason)

    def _broadcast(self, records: tuple[LimitRecord, ...]) -> None:
        for record in records:
            self._tell_all(record)

    def _tell_all(self, record: LimitRecord | None) -> None:
        if record is not None:
            self._replicator.add(record)
            if record.age_seconds < UNNAMED_AGE_SECONDS:
                self._inputs.kept.keep(record)

    async def _answer_spent(
        self, message: SpentCalls
    ) -> Result[LimitsPull, Failure]:
        for each in message.endpoints:
            endpoint = self._inputs.view.find(each.name, each.lifetime)
            if endpoint is not None:
                self._inputs.permits.take(endpoint)
        return Ok(LimitsPull())

    def _merge(self, message: LimitRecords) -> None:
        for record in message.records:
            if self._limits.merge(record):
                self._pass_on(record)

    def _pass_on(self, record: LimitRecord) -> None:
        """Tell all entries of a change that this one decides by."""
        endpoint = self._inputs.view.find(
            record.endpoint.name, record.endpoint.lifetime
        )
        if endpoint and self._inputs.find_decider(endpoint) is None:
            self._tell_all(record)


def _group_by(
    find_decider: FindDecider, endpoints: tuple[ListedEndpoint, ...]
) -> dict[Node | None, list[ListedEndpoint]]:
    grouped: dict[Node | None, list[ListedEndpoint]] = {}
    for endpoint in endpoints:
        grouped.setdefault(find_decider(endpoint), []).append(endpoint)
    return grouped


def _describe_records(
    limits: EndpointLimits,
    merge: Callable[[LimitRecords], None],
    has_learned: Callable[[], bool],
) -> ReplicatedRecords:
    def has_digest(digest: bytes) -> bool:
        decoded = decode(digest, LimitsDigest)
        return decoded.is_error() or decoded.ok.limits == limits.digest

    return ReplicatedRecords(
        push_path=PUSH_PATH,
        pull_path=PULL_PATH,
        message_type=LimitRecords,
        pull=LimitsPull(),
        compose=lambda records: LimitRecords(
            records=records, has_learned=has_learned()
        ),
        merge=merge,
        all_records=limits.records,
        has_digest=has_digest,
        batch_seconds=PUSH_BATCH_SECONDS,
    )
