"""Queries the owner of a claim for its state, and answers such queries.

Before an owner answers that a token was never dispatched it withdraws the
token, so that the answer stays true.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.protocol.node import Node
from limpetdrift.state.claim_ledger import (
    ClaimLedger,
    LocalClaim,
    LocalClaimState,
    in_time,
)
from limpetdrift.state.claims import ClaimRow, StoredResult
from limpetdrift.verdict import Failure, Reason

CLAIM_STATUS_PATH = 'claims/ask'
# Timeout of one query to the owner of a claim.
STATUS_TIMEOUT_SECONDS = 1.0


@unique
class ReportedClaimState(StrEnum):
    """The state of a token as its owner reports it.

    ``OTHER_PROCESS`` means that the state is unknown: the owner can't be
    reached, or another process has answered at its address.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'
    NEVER_DISPATCHED = 'never-dispatched'
    OTHER_PROCESS = 'other-process'


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimStatusRequest:
    """Asks the owner of a claim for its state.

    ``owner`` and ``incarnation`` name the process that made the token.
    """

    token: str
    owner: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimStatusReply:
    """The owner's answer, with the result if the request has finished."""

    state: ReportedClaimState
    kept: StoredResult | None = None


class ClaimStatusService:
    """Sends and answers the claim status queries of one process."""

    def __init__(
        self,
        *,
        node: Node,
        ledger: ClaimLedger,
        peer_call: PeerCall,
        withdraw_claim: Callable[[str], None],
    ) -> None:
        self._node = node
        self._ledger = ledger
        self._peer_call = peer_call
        self._withdraw_claim = withdraw_claim

    async def query_owner(self, row: ClaimRow) -> ClaimStatusReply:
        """Ask the owner of a row for the claim's state.

        The state is ``OTHER_PROCESS`` if the owner can't be reached.
        """
        request = ClaimStatusRequest(
            token=row.token,
            owner=row.owner,
            incarnation=row.incarnation,
        )
        if row.owner == self._node.name:
            return self.answer(request)
        reply = await self._peer_call(
            row.owner_address,
            CLAIM_STATUS_PATH,
            request,
            ClaimStatusReply,
            timeout_seconds=STATUS_TIMEOUT_SECONDS,
        )
        if reply.is_ok():
            return reply.ok
        telemetry.count('retries', reason=Reason.OWNER_UNREACHABLE)
        return ClaimStatusReply(state=ReportedClaimState.OTHER_PROCESS)

    async def handle(
        self, request: ClaimStatusRequest
    ) -> Result[ClaimStatusReply, Failure]:
        """Answer a peer's query."""
        return Ok(self.answer(request))

    def answer(self, request: ClaimStatusRequest) -> ClaimStatusReply:
        """Return the state of a claim of this process.

        A claim that was not dispatched is withdrawn first, unless it was
        granted and its deadline lies ahead: it then counts as running.
        """
        addressee = (request.owner, request.incarnation)
        if addressee != (self._node.name, self._node.incarnation):
            return ClaimStatusReply(state=ReportedClaimState.OTHER_PROCESS)
        local_claim = self._ledger.find(request.token)
        if local_claim is not None:
            state = _reported_state(local_claim)
            if state is not ReportedClaimState.NEVER_DISPATCHED:
                return ClaimStatusReply(state=state, kept=local_claim.result)
            self._withdraw_claim(request.token)
        return ClaimStatusReply(state=ReportedClaimState.NEVER_DISPATCHED)


def _reported_state(local_claim: LocalClaim) -> ReportedClaimState:
    if local_claim.state is LocalClaimState.FINISHED:
        return ReportedClaimState.FINISHED
    if local_claim.state is LocalClaimState.UNCERTAIN:
        return ReportedClaimState.UNCERTAIN
    if local_claim.state is LocalClaimState.DISPATCHED:
        return ReportedClaimState.RUNNING
    granted = local_claim.state is LocalClaimState.GRANTED
    if granted and in_time(local_claim.deadline):
        return ReportedClaimState.RUNNING
    return ReportedClaimState.NEVER_DISPATCHED
