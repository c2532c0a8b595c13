"""Records the claims that this process owns, and the state of each.

The ledger is complete: it lists each token that may still be dispatched, and
each that was dispatched and whose outcome isn't in the table yet. A token of
this incarnation that isn't listed was therefore never dispatched, or its row
has changed since. Whoever takes the claim over writes only if the row's
version is unchanged, which tells the two cases apart.
"""

from dataclasses import dataclass
from enum import StrEnum, unique

import trio

from limpetdrift.state.claims import ClaimRow, StoredResult


@unique
class LocalClaimState(StrEnum):
    """The owner's progress with a claim."""

    PENDING = 'pending'
    GRANTED = 'granted'
    DISPATCHED = 'dispatched'
    FINISHED = 'finished'
    UNCERTAIN = 'uncertain'


@dataclass(kw_only=True, slots=True)
class LocalClaim:
    """A claim that this process acquires, holds or has yet to write.

    ``deadline`` is in the time of ``trio.current_time()``. ``written`` means
    that the table may hold a row with the token. ``result`` is set once the
    state is ``FINISHED``.
    """

    key: str
    row: ClaimRow
    deadline: float
    version: int = 0
    written: bool = False
    state: LocalClaimState = LocalClaimState.PENDING
    result: StoredResult | None = None


class ClaimLedger:
    """The claims of one process, by token."""

    def __init__(self) -> None:
        self._claims: dict[str, LocalClaim] = {}

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def begin(self, claim: LocalClaim) -> None:
        """Add a claim before its insert is sent."""
        self._claims[claim.row.token] = claim

    def find(self, token: str) -> LocalClaim | None:
        """Return the claim with a token, or ``None``."""
        return self._claims.get(token)

    def grant(self, token: str, version: int) -> bool:
        """Record that the insert took effect; return false if withdrawn."""
        claim = self._claims.get(token)
        if claim is None:
            return False
        claim.version = version
        claim.state = LocalClaimState.GRANTED
        return True

    def dispatch(self, token: str, deadline: float) -> bool:
        """Allow one dispatch of a granted token, before both deadlines."""
        claim = self._claims.get(token)
        if claim is None or claim.state is not LocalClaimState.GRANTED:
            return False
        if not in_time(min(deadline, claim.deadline)):
            return False
        claim.state = LocalClaimState.DISPATCHED
        return True

    def withdraw(self, token: str) -> LocalClaim | None:
        """Remove a token, so that it isn't dispatched from now on."""
        return self._claims.pop(token, None)


def in_time(deadline: float) -> bool:
    """Return whether a deadline, in trio time, lies in the future."""
    return trio.current_time() < deadline
