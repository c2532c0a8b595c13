"""Asks the owner of a claim how far it has come, and answers such asks.

An owner that answers that a token was never dispatched has withdrawn it
before, so that it stays true.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum, unique

from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.state.claim_ledger import (
    ClaimLedger,
    LocalClaim,
    LocalClaimState,
    in_time,
)
from limpetdrift.state.claims import ClaimRow, StoredResult

ASK_PATH = 'claims/ask'
ASK_TIMEOUT_SECONDS = 1.0


@unique
class ReportedClaimState(StrEnum):
    """What an owner says of a token."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'
    NEVER_DISPATCHED = 'never-dispatched'
    OTHER_PROCESS = 'other-process'


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimStatusRequest:
    """Asks the owner of a claim how far it has come."""

    token: str
    owner: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimStatusReply:
    """The owner's answer, with the result where there is one."""

    state: ReportedClaimState
    kept: StoredResult | None = None


class ClaimStatusService:
    """The asks of one process, both ways."""

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

    async def ask_owner(self, row: ClaimRow) -> ClaimStatusReply:
        """Ask the owner of a row; one out of reach says nothing."""
        ask = ClaimStatusRequest(
            token=row.token,
            owner=row.owner,
            incarnation=row.incarnation,
        )
        if row.owner == self._node.name:
            return self.answer(ask)
        reply = await self._peer_call(
            row.owner_address,
            ASK_PATH,
            ask,
            ClaimStatusReply,
            timeout_seconds=ASK_TIMEOUT_SECONDS,
        )
        if reply.is_ok():
            return reply.ok
        telemetry.count('retries', reason=Reason.OWNER_UNREACHABLE)
        return ClaimStatusReply(state=ReportedClaimState.OTHER_PROCESS)

    async def handle(
        self, ask: ClaimStatusRequest
    ) -> Result[ClaimStatusReply, Failure]:
        """Answer a peer."""
        return Ok(self.answer(ask))

    def answer(self, ask: ClaimStatusRequest) -> ClaimStatusReply:
        """Say how far a claim of this process is; may withdraw it."""
        asked = (ask.owner, ask.incarnation)
        if asked != (self._node.name, self._node.incarnation):
            return ClaimStatusReply(state=ReportedClaimState.OTHER_PROCESS)
        holding = self._ledger.find(ask.token)
        if holding is not None:
            state = _describe(holding)
            if state is not ReportedClaimState.NEVER_DISPATCHED:
                return ClaimStatusReply(state=state, kept=holding.kept)
            self._withdraw_claim(ask.token)
        return ClaimStatusReply(state=ReportedClaimState.NEVER_DISPATCHED)


def _describe(holding: LocalClaim) -> ReportedClaimState:
    if holding.state is LocalClaimState.FINISHED:
        return ReportedClaimState.FINISHED
    if holding.state is LocalClaimState.UNCERTAIN:
        return ReportedClaimState.UNCERTAIN
    if holding.state is LocalClaimState.DISPATCHED:
        return ReportedClaimState.RUNNING
    granted = holding.state is LocalClaimState.GRANTED
    if granted and in_time(holding.deadline):
        return ReportedClaimState.RUNNING
    return ReportedClaimState.NEVER_DISPATCHED
