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
from limpetdrift.state.claimledger import (
    ClaimLedger,
    Holding,
    HoldingState,
    in_time,
)
from limpetdrift.state.claims import ClaimRow, KeptResult

ASK_PATH = 'claims/ask'
ASK_TIMEOUT_SECONDS = 1.0


@unique
class OwnerState(StrEnum):
    """What an owner says of a token."""

    RUNNING = 'running'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'
    NEVER_DISPATCHED = 'never-dispatched'
    OTHER_PROCESS = 'other-process'


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimAsk:
    """Asks the owner of a claim how far it has come."""

    token: str
    owner: str
    incarnation: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """The owner's answer, with the result where there is one."""

    state: OwnerState
    kept: KeptResult | None = None


class ClaimAsks:
    """The asks of one process, both ways."""

    def __init__(
        self,
        *,
        node: Node,
        ledger: ClaimLedger,
        peer_call: PeerCall,
        seal: Callable[[str], None],
    ) -> None:
        self._node = node
        self._ledger = ledger
        self._peer_call = peer_call
        self._seal = seal

    async def ask_owner(self, row: ClaimRow) -> ClaimReply:
        """Ask the owner of a row; one out of reach says nothing."""
        ask = ClaimAsk(
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
            ClaimReply,
            timeout_seconds=ASK_TIMEOUT_SECONDS,
        )
        if reply.is_ok():
            return reply.ok
        telemetry.count('retries', reason=Reason.OWNER_UNREACHABLE)
        return ClaimReply(state=OwnerState.OTHER_PROCESS)

    async def handle(self, ask: ClaimAsk) -> Result[ClaimReply, Failure]:
        """Answer a peer."""
        return Ok(self.answer(ask))

    def answer(self, ask: ClaimAsk) -> ClaimReply:
        """Say how far a claim of this process is; may withdraw it."""
        asked = (ask.owner, ask.incarnation)
        if asked != (self._node.name, self._node.incarnation):
            return ClaimReply(state=OwnerState.OTHER_PROCESS)
        holding = self._ledger.find(ask.token)
        if holding is not None:
            state = _describe(holding)
            if state is not OwnerState.NEVER_DISPATCHED:
                return ClaimReply(state=state, kept=holding.kept)
            self._seal(ask.token)
        return ClaimReply(state=OwnerState.NEVER_DISPATCHED)


def _describe(holding: Holding) -> OwnerState:
    if holding.state is HoldingState.FINISHED:
        return OwnerState.FINISHED
    if holding.state is HoldingState.UNCERTAIN:
        return OwnerState.UNCERTAIN
    if holding.state is HoldingState.DISPATCHED:
        return OwnerState.RUNNING
    granted = holding.state is HoldingState.GRANTED
    if granted and in_time(holding.deadline):
        return OwnerState.RUNNING
    return OwnerState.NEVER_DISPATCHED
