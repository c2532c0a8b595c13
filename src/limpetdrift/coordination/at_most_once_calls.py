"""Runs a service call that is not repeatable at most once, under a claim.

The claim is taken after an instance was chosen and before the call is sent.
A plain service can't resume a call, so whoever meets another's claim waits
for its owner to end, and then looks at the claim again. With an owner that
is gone nobody can tell whether the call has run.
"""

from functools import singledispatchmethod

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
from limpetdrift.coordination.claims import Claims
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.service_caller import (
    CallOutcome,
    CallProgress,
    Dispatch,
)
from limpetdrift.coordination.service_messages import (
    FOLLOW_PATH,
    FollowReply,
    FollowRequest,
)
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.state.claims import StoredResult, VersionedClaim
from limpetdrift.transport.messages import Response

FOLLOW_SECONDS = 2.0
FOLLOW_TIMEOUT_SECONDS = 4.0
LOOK_AGAIN_SECONDS = 0.02


class AtMostOnceCalls:
    """Claims and dispatches calls that are not repeatable."""

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
        self._running: dict[str, trio.Event] = {}

    def register(self, peer_routes: PeerRoutes) -> None:
        """Answer peers that wait for a call of this process."""
        peer_routes.add(FOLLOW_PATH, FollowRequest, self.handle_follow)

    async def run(
        self,
        progress: CallProgress,
        endpoint: Endpoint,
        dispatch: Dispatch,
    ) -> CallOutcome:
        """Bring one attempt to its end without ever running it twice."""
        earlier = progress.verdict
        while True:
            taken = await self._claims.acquire_claim(
                _claim_request(progress, endpoint)
            )
            if taken.is_error():
                return Error(taken.error)
            if isinstance(taken.ok, ClaimGranted):
                # Whoever held the claim before has proved that it didn't run.
                progress.verdict = earlier
                return await self._dispatch(taken.ok, progress, dispatch)
            settled = await self._settle(taken.ok, progress)
            if settled is not None:
                return settled
            await trio.sleep(LOOK_AGAIN_SECONDS)

    async def handle_follow(
        self,
        message: FollowRequest,
    ) -> Result[FollowReply, Failure]:
        """Answer when the call has ended, or the wait is over."""
        running = self._running.get(message.stream_id)
        if running is None:
            return Ok(FollowReply(ended=True))
        with trio.move_on_after(min(message.wait_seconds, FOLLOW_SECONDS)):
            await running.wait()
        return Ok(FollowReply(ended=running.is_set()))

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
        ended = self._running.setdefault(stream_id, trio.Event())
        try:
            return await self._dispatch_claimed(granted.token, dispatch)
        finally:
            self._running.pop(stream_id)
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
            kept = await self._claims.finish(token, _keep(outcome.ok))
            return Ok(_give(kept))
        if outcome.error.verdict is Verdict.NOT_RUN:
            self._claims.withdraw_claim(token)
        else:
            self._claims.mark_uncertain(token)
        return outcome

    @singledispatchmethod
    async def _settle(
        self,
        outcome: ClaimOutcome,
        progress: CallProgress,
    ) -> CallOutcome | None:
        raise TypeError(f'unknown claim outcome {outcome!r}')

    @_settle.register
    async def _repeat(
        self,
        finished: ClaimFinished,
        progress: CallProgress,
    ) -> CallOutcome | None:
        telemetry.count('answers_repeated')
        return Ok(_give(finished.kept))

    @_settle.register
    async def _follow(
        self,
        foreign: ClaimedElsewhere,
        progress: CallProgress,
    ) -> CallOutcome | None:
        progress.verdict = Verdict.MAY_HAVE_RUN
        if not foreign.running:
            return _lost(foreign.seen)
        telemetry.count('retries', reason=Reason.CLAIMED_ELSEWHERE)
        return await self._wait_for_owner(foreign.seen)

    @_settle.register
    async def _leave(
        self,
        uncertain: ClaimUncertain,
        progress: CallProgress,
    ) -> CallOutcome | None:
        progress.verdict = Verdict.MAY_HAVE_RUN
        return _lost(uncertain.seen)

    async def _wait_for_owner(self, seen: VersionedClaim) -> CallOutcome | None:
        """Wait for the owner's end; nothing says to look again."""
        message = FollowRequest(
            stream_id=seen.row.stream_id,
            wait_seconds=FOLLOW_SECONDS,
        )
        if seen.row.owner == self._node.name:
            await self.handle_follow(message)
            return None
        reply = await self._peer_call(
            seen.row.owner_address,
            FOLLOW_PATH,
            message,
            FollowReply,
            timeout_seconds=FOLLOW_TIMEOUT_SECONDS,
        )
        return _lost(seen) if reply.is_error() else None


def _lost(seen: VersionedClaim) -> CallOutcome:
    return Error(may_have_run(Reason.OWNER_UNREACHABLE, seen.row.owner))


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


def _keep(answer: Response) -> StoredResult:
    return StoredResult(
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _give(kept: StoredResult) -> Response:
    return Response(status=kept.status, headers=kept.headers, body=kept.body)
