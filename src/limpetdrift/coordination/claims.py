"""Claims for non-idempotent requests: each runs at most once.

An owner inserts a claim before it dispatches, and nobody but the holder of
the claim's token ever dispatches it. An insert whose answer was lost is
settled by reading the token back; where that fails the owner withdraws the
token for good and the request was not run. A resend that meets the claim of
another owner asks that owner; one that answers that the token was never
dispatched has withdrawn it, and the claim is taken over.

>>> taken = await claims.take(request)
>>> if claims.may_dispatch(taken.ok.token, request.deadline):
...     await claims.finish(taken.ok.token, await send())  # doctest: +SKIP
"""

import random

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.claim_outcomes import (
    ClaimedElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimOutcome,
    ClaimRequest,
    ClaimUncertain,
)
from limpetdrift.coordination.claim_status import (
    ASK_PATH,
    ClaimStatusReply,
    ClaimStatusRequest,
    ClaimStatusService,
    ReportedClaimState,
)
from limpetdrift.coordination.claim_writer import ClaimWriter
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.table import ABSENT
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    Verdict,
    not_run,
)
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

TAKE_SECONDS = 5.0
SETTLE_PAUSE_SECONDS = 0.05
RETRY_AFTER_SECONDS = 2.0
_TOKEN_BITS = 64
_JITTER = (1.0, 3.0)


class Claims:
    """Takes claims for one process and answers for those that it took."""

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
        self._random = randomness
        self._ledger = ClaimLedger()
        self._writer = ClaimWriter(
            store=store,
            ledger=self._ledger,
            randomness=randomness,
        )
        self._asks = ClaimStatusService(
            node=node,
            ledger=self._ledger,
            peer_call=peer_call,
            withdraw_claim=self.withdraw_claim,
        )

    def register(self, peer_routes: PeerRoutes) -> None:
        """Answer peers that ask for claims of this process."""
        peer_routes.add(ASK_PATH, ClaimStatusRequest, self._asks.handle)

    async def run(self) -> None:
        """Write outcomes in the background until cancelled."""
        await self._writer.run()

    async def acquire_claim(
        self,
        request: ClaimRequest,
    ) -> Result[ClaimOutcome, Failure]:
        """Claim a request, or find out who did.

        Every failure means that this call's stream was not and will not be
        dispatched.
        """
        epoch = self._store.current_epoch()
        if epoch is None:
            return _refuse(Reason.STORE_UNAVAILABLE, 'epoch unknown')
        unique_part = self._random.getrandbits(_TOKEN_BITS)
        holding = _make_holding(self._node, request, epoch, unique_part)
        token = holding.row.token
        self._ledger.begin(holding)
        taken: Result[ClaimOutcome, Failure] = Error(
            not_run(Reason.STORE_UNAVAILABLE, 'claim not settled in time'),
        )
        try:
            with trio.move_on_at(_last_moment(request)):
                taken = await self._take(holding)
        finally:
            if taken.is_error() or not isinstance(taken.ok, ClaimGranted):
                self.withdraw_claim(token)
        if taken.is_error():
            return _refuse_with(taken.error)
        return taken

    def may_dispatch(self, token: str, deadline: float) -> bool:
        """Whether the holder may send now; true at most once for a token.

        It has to be asked immediately before the send, also after a pause.
        """
        return self._ledger.dispatch(token, deadline)

    async def finish(self, token: str, kept: StoredResult) -> StoredResult:
        """Keep a dispatched request's result; return the first one kept."""
        holding = self._ledger.find(token)
        if holding is None:
            return kept
        holding.kept = kept
        holding.state = LocalClaimState.FINISHED
        await self._writer.save(holding)
        return holding.kept

    async def record_resumed_result(
        self, foreign: VersionedClaim, kept: StoredResult
    ) -> StoredResult:
        """Keep the result of a stream resumed for an owner that is gone.

        Return the first result kept, which may be the owner's own.
        """
        holding = LocalClaim(
            key=foreign.key,
            row=foreign.row,
            deadline=trio.current_time(),
            version=foreign.version,
            state=LocalClaimState.FINISHED,
            kept=kept,
        )
        await self._writer.save(holding)
        return holding.kept or kept

    def withdraw_claim(self, token: str) -> None:
        """Give back a claim that did not run, with proof.

        That is before dispatch, or after one that certainly had no effect.
        """
        holding = self._ledger.withdraw(token)
        if holding is not None and holding.written:
            self._writer.add_withdrawn(holding)

    def mark_uncertain(self, token: str) -> None:
        """Note that a dispatched request may have run without a result."""
        holding = self._ledger.find(token)
        if holding is not None:
            holding.state = LocalClaimState.UNCERTAIN
            self._writer.add_outcome(holding)

    async def _take(self, holding: LocalClaim) -> Result[ClaimOutcome, Failure]:
        version = ABSENT
        while True:
            found = await self._insert(holding, version)
            if found.is_error():
                return Error(found.error)
            seen = found.ok
            if seen is None:
                version = ABSENT
                continue
            if seen.row.token == holding.row.token:
                return self._grant(seen)
            holding.written = False
            met = await self._meet(holding, seen)
            if met is not None:
                return met
            telemetry.count('claims_taken_over')
            version = seen.version

    async def _insert(
        self,
        holding: LocalClaim,
        version: int,
    ) -> Result[VersionedClaim | None, Failure]:
        """Try to write the claim; return the claim that is there now."""
        holding.written = True
        written = await self._store.write(holding.key, version, holding.row)
        if written.is_error():
            if written.error.verdict is Verdict.NOT_RUN:
                return Error(written.error)
            return await self._read_back(holding)
        if not written.ok.committed:
            return Ok(read_claim(written.ok.conflicts[0]))
        return Ok(
            VersionedClaim(
                key=holding.key,
                version=written.ok.versions[0],
                row=holding.row,
            ),
        )

    async def _read_back(
        self,
        holding: LocalClaim,
    ) -> Result[VersionedClaim | None, Failure]:
        """Settle a lost answer, for as long as the take may last."""
        while True:
            telemetry.count('retries', reason=Reason.STORE_UNAVAILABLE)
            seen = await self._store.read(holding.key)
            if seen.is_ok():
                return seen
            jitter = self._random.uniform(*_JITTER)
            await trio.sleep(SETTLE_PAUSE_SECONDS * jitter)

    def _grant(self, seen: VersionedClaim) -> Result[ClaimOutcome, Failure]:
        token = seen.row.token
        if self._ledger.grant(token, seen.version):
            return Ok(ClaimGranted(token=token))
        return Error(
            not_run(Reason.CLAIMED_ELSEWHERE, 'withdrawn for a resend'),
        )

    async def _meet(
        self,
        holding: LocalClaim,
        seen: VersionedClaim,
    ) -> Result[ClaimOutcome, Failure] | None:
        """Deal with another's claim; nothing means that it is free."""
        if seen.row.fingerprint != holding.row.fingerprint:
            return Error(not_run(Reason.CONFLICT, 'key used for another body'))
        if seen.row.state is ClaimState.NOT_DISPATCHED:
            return None
        if seen.row.state is ClaimState.UNCERTAIN:
            return Ok(ClaimUncertain(seen=seen))
        if seen.row.state is ClaimState.FINISHED:
            loaded = await self._store.load(seen.row)
            return loaded.map(_make_finished).map_error(_mark_ran)
        reply = await self._asks.ask_owner(seen.row)
        if reply.state is ReportedClaimState.NEVER_DISPATCHED:
            return None
        return Ok(_read_reply(seen, reply))


def _make_holding(
    node: Node,
    request: ClaimRequest,
    epoch: int,
    unique_part: int,
) -> LocalClaim:
    row = ClaimRow(
        token='-'.join(
            (node.name, str(node.incarnation), str(unique_part)),
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


def _read_reply(seen: VersionedClaim, reply: ClaimStatusReply) -> ClaimOutcome:
    if reply.state is ReportedClaimState.FINISHED and reply.kept is not None:
        return ClaimFinished(kept=reply.kept)
    if reply.state is ReportedClaimState.UNCERTAIN:
        return ClaimUncertain(seen=seen)
    return ClaimedElsewhere(
        seen=seen, running=reply.state is ReportedClaimState.RUNNING
    )


def _last_moment(request: ClaimRequest) -> float:
    return min(request.deadline, trio.current_time() + TAKE_SECONDS)


def _make_finished(kept: StoredResult) -> ClaimOutcome:
    return ClaimFinished(kept=kept)


def _mark_ran(failure: Failure) -> Failure:
    return failure.with_verdict(Verdict.RAN)


def _refuse(reason: Reason, detail: str) -> Result[ClaimOutcome, Failure]:
    return _refuse_with(
        not_run(reason, detail, retry_after_seconds=RETRY_AFTER_SECONDS),
    )


def _refuse_with(failure: Failure) -> Result[ClaimOutcome, Failure]:
    telemetry.count('refusals', reason=failure.reason)
    return Error(failure)
