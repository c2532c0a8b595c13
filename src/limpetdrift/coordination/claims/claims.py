"""Claims for non-idempotent requests: each runs at most once.

An owner inserts a claim into the table service before it dispatches a
request, and only the holder of the claim's token ever dispatches it. If the
answer to an insert is lost, the owner reads the row back to see whether it
holds its token; if that fails too, the owner withdraws the token for good
and the request was not run. For a resend that finds the claim of another
owner, that owner is queried. If it answers that the token was never
dispatched, it has withdrawn the token, and the claim is taken over.

>>> outcome = await claims.acquire_claim(request)
>>> if claims.may_dispatch(outcome.ok.token, request.deadline):
...     await claims.finish(outcome.ok.token, await send())  # doctest: +SKIP
"""

import random

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.claims.claim_outcomes import (
    ClaimedElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimOutcome,
    ClaimRequest,
    ClaimUncertain,
)
from limpetdrift.coordination.claims.claim_status import (
    CLAIM_STATUS_PATH,
    ClaimStatusReply,
    ClaimStatusRequest,
    ClaimStatusService,
    ReportedClaimState,
)
from limpetdrift.coordination.claims.claim_writer import ClaimWriter
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.table import ABSENT
from limpetdrift.state.claim_ledger import (
    ClaimLedger,
    LocalClaim,
    LocalClaimState,
)
from limpetdrift.state.claims import (
    ClaimRow,
    ClaimState,
    ClaimStore,
    StoredResult,
    VersionedClaim,
    claim_key,
    read_claim,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    not_run,
)

# Timeout for acquiring a claim; the request's deadline may end it earlier.
ACQUIRE_TIMEOUT_SECONDS = 5.0
# Retry interval for reading a claim back, before jitter.
READ_BACK_RETRY_SECONDS = 0.05
# Sent to callers as ``retry-after`` while the retention epoch is unknown.
RETRY_AFTER_SECONDS = 2.0
# Random bits in a token, which tell apart the claims of one process.
_TOKEN_BITS = 64
# Range of the random factor of the retry interval.
_JITTER = (1.0, 3.0)


class Claims:
    """Acquires claims for one process, and answers status queries on them.

    ``run`` has to run in the background to write outcomes that could not be
    written at once.
    """

    def __init__(
        self,
        *,
        node: Node,
        store: ClaimStore,
        peer_call: PeerCall,
        randomness: random.Random,
    ) -> None:
        self._node = node
        self._store = store
        self._randomness = randomness
        self._ledger = ClaimLedger()
        self._writer = ClaimWriter(
            store=store,
            ledger=self._ledger,
            randomness=randomness,
        )
        self._status_service = ClaimStatusService(
            node=node,
            ledger=self._ledger,
            peer_call=peer_call,
            withdraw_claim=self.withdraw_claim,
        )

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler for peers' queries on claims of this process."""
        peer_routes.add(
            CLAIM_STATUS_PATH, ClaimStatusRequest, self._status_service.handle
        )

    async def run(self) -> None:
        """Write outcomes in the background until cancelled."""
        await self._writer.run()

    async def acquire_claim(
        self,
        request: ClaimRequest,
    ) -> Result[ClaimOutcome, Failure]:
        """Claim a request, or return who holds the claim or its result.

        Every failure means that the stream named in ``request`` was not and
        will not be dispatched.
        """
        epoch = self._store.current_epoch()
        if epoch is None:
            return _refuse(Reason.STORE_UNAVAILABLE, 'epoch unknown')
        nonce = self._randomness.getrandbits(_TOKEN_BITS)
        local_claim = _make_local_claim(self._node, request, epoch, nonce)
        token = local_claim.row.token
        self._ledger.begin(local_claim)
        outcome: Result[ClaimOutcome, Failure] = Error(
            not_run(Reason.STORE_UNAVAILABLE, 'claim not settled in time'),
        )
        try:
            with trio.move_on_at(_acquire_deadline(request)):
                outcome = await self._acquire(local_claim)
        finally:
            if outcome.is_error() or not isinstance(outcome.ok, ClaimGranted):
                self.withdraw_claim(token)
        if outcome.is_error():
            return _refuse_with(outcome.error)
        return outcome

    def may_dispatch(self, token: str, deadline: float) -> bool:
        """Return whether to dispatch now; true at most once for a token.

        Has to be called immediately before the dispatch, so that a process
        that was suspended before doesn't dispatch after the deadline.
        """
        return self._ledger.dispatch(token, deadline)

    async def finish(self, token: str, result: StoredResult) -> StoredResult:
        """Store a dispatched request's result; return the first one stored.

        That may be the result that another entry stored for this claim.
        """
        local_claim = self._ledger.find(token)
        if local_claim is None:
            return result
        local_claim.result = result
        local_claim.state = LocalClaimState.FINISHED
        await self._writer.save(local_claim)
        return local_claim.result

    async def record_resumed_result(
        self, claim: VersionedClaim, result: StoredResult
    ) -> StoredResult:
        """Store the result of a stream whose owner is gone or has given up.

        Return the first result stored, which may be the owner's own.
        """
        local_claim = LocalClaim(
            key=claim.key,
            row=claim.row,
            deadline=trio.current_time(),
            version=claim.version,
            state=LocalClaimState.FINISHED,
            result=result,
        )
        await self._writer.save(local_claim)
        return local_claim.result or result

    def withdraw_claim(self, token: str) -> None:
        """Release a claim whose request is proved not to have run.

        That is one that was not dispatched, or whose dispatch is known to
        have had no effect.
        """
        local_claim = self._ledger.withdraw(token)
        if local_claim is not None and local_claim.written:
            self._writer.add_withdrawn(local_claim)

    def mark_uncertain(self, token: str) -> None:
        """Record that a dispatched request may have run, without a result."""
        local_claim = self._ledger.find(token)
        if local_claim is not None:
            local_claim.state = LocalClaimState.UNCERTAIN
            self._writer.add_outcome(local_claim)

    async def _acquire(
        self, local_claim: LocalClaim
    ) -> Result[ClaimOutcome, Failure]:
        version = ABSENT
        while True:
            inserted = await self._insert(local_claim, version)
            if inserted.is_error():
                return Error(inserted.error)
            stored_claim = inserted.ok
            if stored_claim is None:
                version = ABSENT
                continue
            if stored_claim.row.token == local_claim.row.token:
                return self._grant(stored_claim)
            local_claim.written = False
            resolved = await self._resolve_existing(local_claim, stored_claim)
            if resolved is not None:
                return resolved
            telemetry.count('claims_taken_over')
            version = stored_claim.version

    async def _insert(
        self,
        local_claim: LocalClaim,
        version: int,
    ) -> Result[VersionedClaim | None, Failure]:
        """Try to write the claim; return the one that the table then holds."""
        local_claim.written = True
        written = await self._store.write(
            local_claim.key, version, local_claim.row
        )
        if written.is_error():
            if written.error.verdict is Verdict.NOT_RUN:
                return Error(written.error)
            return await self._read_back(local_claim)
        if not written.ok.committed:
            return Ok(read_claim(written.ok.conflicts[0]))
        return Ok(
            VersionedClaim(
                key=local_claim.key,
                version=written.ok.versions[0],
                row=local_claim.row,
            ),
        )

    async def _read_back(
        self,
        local_claim: LocalClaim,
    ) -> Result[VersionedClaim | None, Failure]:
        """Read the claim after its insert's answer was lost.

        Retry until the table service answers; ``acquire_claim`` bounds the
        time.
        """
        while True:
            telemetry.count('retries', reason=Reason.STORE_UNAVAILABLE)
            stored_claim = await self._store.read(local_claim.key)
            if stored_claim.is_ok():
                return stored_claim
            jitter = self._randomness.uniform(*_JITTER)
            await trio.sleep(READ_BACK_RETRY_SECONDS * jitter)

    def _grant(
        self, stored_claim: VersionedClaim
    ) -> Result[ClaimOutcome, Failure]:
        token = stored_claim.row.token
        if self._ledger.grant(token, stored_claim.version):
            return Ok(ClaimGranted(token=token))
        return Error(
            not_run(Reason.CLAIMED_ELSEWHERE, 'withdrawn for a resend'),
        )

    async def _resolve_existing(
        self,
        local_claim: LocalClaim,
        stored_claim: VersionedClaim,
    ) -> Result[ClaimOutcome, Failure] | None:
        """Return the outcome for a request that has a claim already.

        ``None`` means that the claim may be taken over.
        """
        if stored_claim.row.fingerprint != local_claim.row.fingerprint:
            return Error(not_run(Reason.CONFLICT, 'key used for another body'))
        if stored_claim.row.state is ClaimState.NOT_DISPATCHED:
            return None
        if stored_claim.row.state is ClaimState.UNCERTAIN:
            return Ok(ClaimUncertain(claim=stored_claim))
        if stored_claim.row.state is ClaimState.FINISHED:
            loaded = await self._store.load(stored_claim.row)
            return loaded.map(_make_finished).map_error(_mark_ran)
        reply = await self._status_service.query_owner(stored_claim.row)
        if reply.state is ReportedClaimState.NEVER_DISPATCHED:
            return None
        return Ok(_outcome_from_reply(stored_claim, reply))


def _make_local_claim(
    node: Node,
    request: ClaimRequest,
    epoch: int,
    nonce: int,
) -> LocalClaim:
    row = ClaimRow(
        token='-'.join(
            (node.name, str(node.incarnation), str(nonce)),
        ),
        fingerprint=request.fingerprint,
        state=ClaimState.INTENT,
        owner=node.name,
        incarnation=node.incarnation,
        owner_address=node.peer_address,
        endpoint=request.endpoint,
        stream_id=request.stream_id,
        epoch=epoch,
    )
    return LocalClaim(
        key=claim_key(request.account, request.idempotency_key),
        row=row,
        deadline=request.deadline,
    )


def _outcome_from_reply(
    stored_claim: VersionedClaim, reply: ClaimStatusReply
) -> ClaimOutcome:
    if reply.state is ReportedClaimState.FINISHED and reply.kept is not None:
        return ClaimFinished(result=reply.kept)
    if reply.state is ReportedClaimState.UNCERTAIN:
        return ClaimUncertain(claim=stored_claim)
    return ClaimedElsewhere(
        claim=stored_claim, running=reply.state is ReportedClaimState.RUNNING
    )


def _acquire_deadline(request: ClaimRequest) -> float:
    return min(request.deadline, trio.current_time() + ACQUIRE_TIMEOUT_SECONDS)


def _make_finished(result: StoredResult) -> ClaimOutcome:
    return ClaimFinished(result=result)


def _mark_ran(failure: Failure) -> Failure:
    return failure.with_verdict(Verdict.RAN)


def _refuse(reason: Reason, detail: str) -> Result[ClaimOutcome, Failure]:
    return _refuse_with(
        not_run(reason, detail, retry_after_seconds=RETRY_AFTER_SECONDS),
    )


def _refuse_with(failure: Failure) -> Result[ClaimOutcome, Failure]:
    telemetry.count('refusals', reason=failure.reason)
    return Error(failure)
