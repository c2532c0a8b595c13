"""Runs each non-idempotent service call at most once, under a claim.

The claim is acquired after an instance was chosen and before the call is
sent. A plain service can't resume a call, so an entry that finds the claim
of another owner waits until the owner's call has ended, and then tries to
acquire the claim again. If the owner is gone, it is unknown whether the call
has run.
"""

from functools import singledispatchmethod

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
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.services.service_caller import (
    CallOutcome,
    CallProgress,
    Dispatch,
)
from limpetdrift.coordination.services.service_messages import (
    FOLLOW_PATH,
    FollowReply,
    FollowRequest,
)
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.state.claims import StoredResult, VersionedClaim
from limpetdrift.transport.messages import Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

# Longest time that an owner holds back its answer to a follow request.
LONG_POLL_SECONDS = 2.0
# Timeout of a follow request, above ``LONG_POLL_SECONDS``.
LONG_POLL_TIMEOUT_SECONDS = 4.0
# Pause after a wait for another owner's call, before the claim is tried again.
CLAIM_RETRY_INTERVAL_SECONDS = 0.02


class AtMostOnceCalls:
    """Claims and dispatches non-idempotent calls.

    It also answers peers that wait for the end of a call of this process.
    """

    def __init__(
        self,
        *,
        node: Node,
        claims: Claims,
        peer_call: PeerCall,
    ) -> None:
        self._node = node
        self._claims = claims
        self._peer_call = peer_call
        self._ended_events: dict[str, trio.Event] = {}

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler for peers that wait for a call's end."""
        peer_routes.add(FOLLOW_PATH, FollowRequest, self.handle_follow)

    async def run(
        self,
        progress: CallProgress,
        endpoint: Endpoint,
        dispatch: Dispatch,
    ) -> CallOutcome:
        """Carry out one attempt, without ever running the call twice.

        ``dispatch`` sends the call; it is invoked only under a claim.
        """
        earlier_verdict = progress.verdict
        while True:
            acquired = await self._claims.acquire_claim(
                _claim_request(progress, endpoint)
            )
            if acquired.is_error():
                return Error(acquired.error)
            if isinstance(acquired.ok, ClaimGranted):
                # An earlier holder of the claim has proved that the call did
                # not run, so the uncertainty recorded while waiting ends.
                progress.verdict = earlier_verdict
                return await self._dispatch(acquired.ok, progress, dispatch)
            call_outcome = await self._handle_outcome(acquired.ok, progress)
            if call_outcome is not None:
                return call_outcome
            await trio.sleep(CLAIM_RETRY_INTERVAL_SECONDS)

    async def handle_follow(
        self,
        message: FollowRequest,
    ) -> Result[FollowReply, Failure]:
        """Answer when the call has ended, or after ``wait_seconds``.

        ``LONG_POLL_SECONDS`` bounds the wait.
        """
        ended = self._ended_events.get(message.stream_id)
        if ended is None:
            return Ok(FollowReply(ended=True))
        with trio.move_on_after(min(message.wait_seconds, LONG_POLL_SECONDS)):
            await ended.wait()
        return Ok(FollowReply(ended=ended.is_set()))

    async def _dispatch(
        self,
        granted: ClaimGranted,
        progress: CallProgress,
        dispatch: Dispatch,
    ) -> CallOutcome:
        if not self._claims.may_dispatch(
            granted.token,
            progress.request.deadline,
        ):
            self._claims.withdraw_claim(granted.token)
            return Error(not_run(Reason.DEADLINE, 'claimed too late'))
        stream_id = progress.stream_id
        ended = self._ended_events.setdefault(stream_id, trio.Event())
        try:
            return await self._dispatch_claimed(granted.token, dispatch)
        finally:
            self._ended_events.pop(stream_id)
            ended.set()

    async def _dispatch_claimed(
        self,
        token: str,
        dispatch: Dispatch,
    ) -> CallOutcome:
        try:
            outcome = await dispatch()
        except BaseException:
            self._claims.mark_uncertain(token)
            raise
        if outcome.is_ok():
            result = await self._claims.finish(
                token, _make_stored_result(outcome.ok)
            )
            return Ok(_make_response(result))
        if outcome.error.verdict is Verdict.NOT_RUN:
            self._claims.withdraw_claim(token)
        else:
            self._claims.mark_uncertain(token)
        return outcome

    @singledispatchmethod
    async def _handle_outcome(
        self,
        outcome: ClaimOutcome,
        progress: CallProgress,
    ) -> CallOutcome | None:
        raise TypeError(f'unknown claim outcome {outcome!r}')

    @_handle_outcome.register
    async def _return_stored(
        self,
        finished: ClaimFinished,
        progress: CallProgress,
    ) -> CallOutcome | None:
        telemetry.count('answers_repeated')
        return Ok(_make_response(finished.result))

    @_handle_outcome.register
    async def _follow_owner(
        self,
        elsewhere: ClaimedElsewhere,
        progress: CallProgress,
    ) -> CallOutcome | None:
        progress.verdict = Verdict.MAY_HAVE_RUN
        if not elsewhere.running:
            return _owner_unreachable(elsewhere.claim)
        telemetry.count('retries', reason=Reason.CLAIMED_ELSEWHERE)
        return await self._wait_for_owner(elsewhere.claim)

    @_handle_outcome.register
    async def _fail_uncertain(
        self,
        uncertain: ClaimUncertain,
        progress: CallProgress,
    ) -> CallOutcome | None:
        progress.verdict = Verdict.MAY_HAVE_RUN
        return _owner_unreachable(uncertain.claim)

    async def _wait_for_owner(
        self, claim: VersionedClaim
    ) -> CallOutcome | None:
        """Wait until the owner's call has ended or the long poll times out.

        Return ``None`` if the claim is to be tried again, or a failure if
        the owner could not be reached.
        """
        message = FollowRequest(
            stream_id=claim.row.stream_id,
            wait_seconds=LONG_POLL_SECONDS,
        )
        if claim.row.owner == self._node.name:
            await self.handle_follow(message)
            return None
        reply = await self._peer_call(
            claim.row.owner_address,
            FOLLOW_PATH,
            message,
            FollowReply,
            timeout_seconds=LONG_POLL_TIMEOUT_SECONDS,
        )
        return _owner_unreachable(claim) if reply.is_error() else None


def _owner_unreachable(claim: VersionedClaim) -> CallOutcome:
    return Error(may_have_run(Reason.OWNER_UNREACHABLE, claim.row.owner))


def _claim_request(progress: CallProgress, endpoint: Endpoint) -> ClaimRequest:
    request = progress.request
    return ClaimRequest(
        account=request.account,
        idempotency_key=request.scoped_key,
        fingerprint=request.fingerprint,
        endpoint=endpoint,
        stream_id=progress.stream_id,
        deadline=request.deadline,
    )


def _make_stored_result(answer: Response) -> StoredResult:
    return StoredResult(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _make_response(result: StoredResult) -> Response:
    return Response(
        status=result.status, headers=result.headers, body=result.body
    )
