"""What one owner knows of the claims that it holds.

The ledger is complete: it lists each token that may still be dispatched, and
each that was and whose outcome isn't in the table yet. So a token of this
incarnation that it doesn't list was never dispatched, or its row has changed
since; whoever takes over compares the row's version, which tells the two
apart.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

import trio

from limpetdrift.state.claims import ClaimRow, StoredResult


@unique
class LocalClaimState(StrEnum):
    """How far the owner has come with a claim."""

    PENDING = 'pending'
    GRANTED = 'granted'
    DISPATCHED = 'dispatched'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'


@dataclass(kw_only=True, slots=True)
class LocalClaim:
    """A claim that this process takes, holds, or has yet to write.

    ``deadline`` is in the time of ``trio.current_time()``. ``written`` says
    that the table may hold the token in a row.
    """

    key: str
    row: ClaimRow
    deadline: float
    version: int = 0
    written: bool = False
    state: LocalClaimState = LocalClaimState.PENDING
    kept: StoredResult | None = None


class ClaimLedger:
    """The holdings by token."""

    def __init__(self) -> None:
        self._holdings: dict[str, LocalClaim] = {}

    def __len__(self) -> int:
        """Return the number of holdings."""
        return len(self._holdings)

    def begin(self, holding: LocalClaim) -> None:
        """List a token before its insert is sent."""
        self._holdings[holding.row.token] = holding

    def find(self, token: str) -> LocalClaim | None:
        """Return the holding of a token."""
        return self._holdings.get(token)

    def grant(self, token: str, version: int) -> bool:
        """Note that the insert took effect, unless it was withdrawn."""
        holding = self._holdings.get(token)
        if holding is None:
            return False
        holding.version = version
        holding.state = LocalClaimState.GRANTED
        return True

    def dispatch(self, token: str, deadline: float) -> bool:
        """Allow one dispatch of a granted token within its deadline."""
        holding = self._holdings.get(token)
        if holding is None or holding.state is not LocalClaimState.GRANTED:
            return False
        if not in_time(min(deadline, holding.deadline)):
            return False
        holding.state = LocalClaimState.DISPATCHED
        return True

    def withdraw(self, token: str) -> LocalClaim | None:
        """Take a token off the list, so that it is never dispatched."""
        return self._holdings.pop(token, None)


def in_time(deadline: float) -> bool:
    """Whether a deadline lies ahead."""
    return trio.current_time() < deadline
