"""Runs each non-idempotent request at most once, under a claim.

The claim is acquired after placement and before dispatch, and only its
holder dispatches. An entry that finds the claim of another owner follows
that run instead: through the owner while the owner answers, else at the
endpoint, by resuming the stream that the claim names.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatchmethod

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
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.runs.attempt import Attempt, resume_attempt
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.placement import Placement
from limpetdrift.state.claims import StoredResult, VersionedClaim
from limpetdrift.state.run import Run, RunEnd
from limpetdrift.transport.messages import OK, Address
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

Dispatch = Callable[[], Awaitable[Result[RunEnd, Failure]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredAnswer:
    """An answer as stored with its claim; ``texts`` has a text per token."""

    texts: tuple[str, ...]
    end: RunEnd


class AtMostOnceRuns:
    """Claims, dispatches and follows non-idempotent requests.

    ``engine`` reads streams from engines; ``owners`` reads the same streams
    from the entries that own them.
    """

    def __init__(
        self,
        *,
        claims: Claims,
        engine: EngineCalls,
        owners: EngineCalls,
    ) -> None:
        self._claims = claims
        self._engine = engine
        self._owners = owners

    async def run(
        self,
        run: Run,
        placement: Placement,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        """Carry out one attempt, without ever running the request twice.

        ``dispatch`` sends the request; it is invoked only under a claim.
        """
        acquired = await self._claims.acquire_claim(
            _claim_request(run, placement, attempt)
        )
        if acquired.is_error():
            return Error(acquired.error)
        return await self._handle_outcome(acquired.ok, run, attempt, dispatch)

    @singledispatchmethod
    async def _handle_outcome(
        self,
        outcome: ClaimOutcome,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        raise TypeError(f'unknown claim outcome {outcome!r}')

    @_handle_outcome.register
    async def _dispatch(
        self,
        granted: ClaimGranted,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        token = granted.token
        if not self._claims.may_dispatch(token, run.request.deadline):
            self._claims.withdraw_claim(token)
            return Error(not_run(Reason.DEADLINE, 'claimed too late'))
        try:
            outcome = await dispatch()
        except BaseException:
            self._claims.mark_uncertain(token)
            raise
        if outcome.is_ok():
            await self._claims.finish(
                token, _make_stored_result(run, outcome.ok)
            )
        elif outcome.error.verdict is Verdict.NOT_RUN:
            self._claims.withdraw_claim(token)
        else:
            self._claims.mark_uncertain(token)
        return outcome

    @_handle_outcome.register
    async def _replay_stored(
        self,
        finished: ClaimFinished,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        telemetry.count('answers_repeated')
        stored = decode(finished.result.body, StoredAnswer)
        if stored.is_error():
            failure = may_have_run(Reason.BAD_ANSWER, stored.error.detail)
            return Error(failure.with_verdict(Verdict.RAN))
        for offset, text in enumerate(stored.ok.texts):
            run.append(offset, text)
        return Ok(stored.ok.end)

    @_handle_outcome.register
    async def _follow(
        self,
        elsewhere: ClaimedElsewhere,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        if elsewhere.running:
            owner = elsewhere.claim.row.owner_address
            resumed = await self._resume(
                self._owners,
                owner,
                elsewhere.claim,
                run,
            )
            if resumed.is_ok():
                return resumed
        return await self._resume_at_endpoint(elsewhere.claim, run)

    @_handle_outcome.register
    async def _resume_uncertain(
        self,
        uncertain: ClaimUncertain,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        return await self._resume_at_endpoint(uncertain.claim, run)

    async def _resume_at_endpoint(
        self,
        claim: VersionedClaim,
        run: Run,
    ) -> Result[RunEnd, Failure]:
        address = claim.row.endpoint.address
        outcome = await self._resume(self._engine, address, claim, run)
        if outcome.is_ok():
            await self._claims.record_resumed_result(
                claim, _make_stored_result(run, outcome.ok)
            )
        return outcome

    async def _resume(
        self,
        calls: EngineCalls,
        address: Address,
        claim: VersionedClaim,
        run: Run,
    ) -> Result[RunEnd, Failure]:
        run.verdict = Verdict.MAY_HAVE_RUN
        telemetry.count('retries', reason=Reason.CLAIMED_ELSEWHERE)
        cause = may_have_run(Reason.CLAIMED_ELSEWHERE, claim.row.owner)
        return await resume_attempt(
            calls,
            address,
            claim.row.stream_id,
            run,
            cause,
        )


def _claim_request(
    run: Run,
    placement: Placement,
    attempt: Attempt,
) -> ClaimRequest:
    request = run.request
    return ClaimRequest(
        account=request.account,
        idempotency_key=request.key,
        fingerprint=request.fingerprint,
        endpoint=placement.endpoint,
        stream_id=attempt.start.stream_id,
        deadline=request.deadline,
    )


def _make_stored_result(run: Run, end: RunEnd) -> StoredResult:
    answer = StoredAnswer(texts=run.texts, end=end)
    return StoredResult(status=OK, body=encode(answer))
