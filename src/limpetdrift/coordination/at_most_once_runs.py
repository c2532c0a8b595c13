"""Runs a request that is not repeatable at most once, under a claim.

The claim is taken after placement and before dispatch. Only its holder
dispatches. Whoever meets another's claim follows that run: at its owner while
the owner answers, else at the endpoint, by resuming the very stream that the
claim names.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import singledispatchmethod

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.attempt import Attempt, resume_attempt
from limpetdrift.coordination.claim_outcomes import (
    ClaimedElsewhere,
    ClaimFinished,
    ClaimGranted,
    ClaimOutcome,
    ClaimRequest,
    ClaimUncertain,
)
from limpetdrift.coordination.claims import Claims
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.placement import Placement
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.state.claims import StoredResult, VersionedClaim
from limpetdrift.state.run import Run, RunEnd
from limpetdrift.transport.messages import OK, Address

Dispatch = Callable[[], Awaitable[Result[RunEnd, Failure]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """An answer as it is kept with its claim, token by token."""

    texts: tuple[str, ...]
    end: RunEnd


class AtMostOnceRuns:
    """Claims, dispatches and follows requests that are not repeatable.

    ``engine`` reads streams at engines, ``owners`` the same streams at the
    entries that own them.
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
        """Bring one attempt to its end without ever running it twice."""
        taken = await self._claims.acquire_claim(
            _claim_request(run, placement, attempt)
        )
        if taken.is_error():
            return Error(taken.error)
        return await self._settle(taken.ok, run, attempt, dispatch)

    @singledispatchmethod
    async def _settle(
        self,
        outcome: ClaimOutcome,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        raise TypeError(f'unknown claim outcome {outcome!r}')

    @_settle.register
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
            await self._claims.finish(token, _keep(run, outcome.ok))
        elif outcome.error.verdict is Verdict.NOT_RUN:
            self._claims.withdraw_claim(token)
        else:
            self._claims.mark_uncertain(token)
        return outcome

    @_settle.register
    async def _repeat(
        self,
        finished: ClaimFinished,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        telemetry.count('answers_repeated')
        kept = decode(finished.kept.body, KeptAnswer)
        if kept.is_error():
            failure = may_have_run(Reason.BAD_ANSWER, kept.error.detail)
            return Error(failure.with_verdict(Verdict.RAN))
        for offset, text in enumerate(kept.ok.texts):
            run.append(offset, text)
        return Ok(kept.ok.end)

    @_settle.register
    async def _follow(
        self,
        foreign: ClaimedElsewhere,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        if foreign.running:
            owner = foreign.seen.row.owner_address
            followed = await self._resume(
                self._owners,
                owner,
                foreign.seen,
                run,
            )
            if followed.is_ok():
                return followed
        return await self._resume_at_endpoint(foreign.seen, run)

    @_settle.register
    async def _look_again(
        self,
        uncertain: ClaimUncertain,
        run: Run,
        attempt: Attempt,
        dispatch: Dispatch,
    ) -> Result[RunEnd, Failure]:
        return await self._resume_at_endpoint(uncertain.seen, run)

    async def _resume_at_endpoint(
        self,
        seen: VersionedClaim,
        run: Run,
    ) -> Result[RunEnd, Failure]:
        address = seen.row.endpoint.address
        outcome = await self._resume(self._engine, address, seen, run)
        if outcome.is_ok():
            await self._claims.record_resumed_result(
                seen, _keep(run, outcome.ok)
            )
        return outcome

    async def _resume(
        self,
        calls: EngineCalls,
        address: Address,
        seen: VersionedClaim,
        run: Run,
    ) -> Result[RunEnd, Failure]:
        run.verdict = Verdict.MAY_HAVE_RUN
        telemetry.count('retries', reason=Reason.CLAIMED_ELSEWHERE)
        cause = may_have_run(Reason.CLAIMED_ELSEWHERE, seen.row.owner)
        return await resume_attempt(
            calls,
            address,
            seen.row.stream_id,
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


def _keep(run: Run, end: RunEnd) -> StoredResult:
    answer = KeptAnswer(texts=run.texts, end=end)
    return StoredResult(status=OK, body=encode(answer))
