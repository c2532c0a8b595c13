"""Writes the outcomes of claims, and tries again until they are kept.

An outcome that can't be written at once, as in an outage, is written in the
background. Until then its holding stays listed, so that the owner can answer
who asks for it.
"""

import random
from dataclasses import replace

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.protocol.table import Outcome
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.state.claim_ledger import (
    ClaimLedger,
    LocalClaim,
    LocalClaimState,
)
from limpetdrift.state.claims import (
    ClaimRow,
    ClaimState,
    ClaimStore,
    VersionedClaim,
    read_claim,
)

RETRY_SECONDS = (0.5, 1.5)
PARALLEL_WRITES = 64
WITHDRAWN_LIMIT = 10_000


class ClaimWriter:
    """The outcomes of one process that aren't in the table yet."""

    def __init__(
        self,
        *,
        store: ClaimStore,
        ledger: ClaimLedger,
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._random = randomness
        self._withdrawn: dict[str, LocalClaim] = {}
        self._unsaved: dict[str, LocalClaim] = {}
        self._added = trio.Event()

    def add_withdrawn(self, holding: LocalClaim) -> None:
        """Seal the row of a withdrawn token when the table can be reached.

        Past ``WITHDRAWN_LIMIT`` the row is left as it is; its owner still
        answers for it.
        """
        if len(self._withdrawn) < WITHDRAWN_LIMIT:
            self._withdrawn[holding.row.token] = holding
            self._added.set()

    def add_outcome(self, holding: LocalClaim) -> None:
        """Write the outcome of a dispatched token in the background."""
        self._unsaved[holding.row.token] = holding
        self._added.set()

    async def save(self, holding: LocalClaim) -> None:
        """Write an outcome now, or in the background where that fails."""
        saved = False
        try:
            saved = await self._save(holding)
        finally:
            if not saved:
                self.add_outcome(holding)

    async def run(self) -> None:
        """Write what is left until cancelled."""
        while True:
            await self._added.wait()
            await self._write_all()
            if self._withdrawn or self._unsaved:
                await trio.sleep(self._random.uniform(*RETRY_SECONDS))
            else:
                self._added = trio.Event()

    async def _save(self, holding: LocalClaim) -> bool:
        """Write an outcome; return whether the table has one now."""
        row = await self._make_row(holding)
        if row.is_error():
            return False
        written = await self._store.write(
            holding.key,
            holding.version,
            row.ok,
        )
        if written.is_error():
            telemetry.count('retries', reason=written.error.reason)
            return False
        if not written.ok.committed:
            await self._adopt_first(holding, written.ok)
        self._unsaved.pop(holding.row.token, None)
        self._ledger.withdraw(holding.row.token)
        return True

    async def _write_all(self) -> None:
        limiter = trio.CapacityLimiter(PARALLEL_WRITES)

        async def limited(write, holding: LocalClaim) -> None:
            async with limiter:
                await write(holding)

        async with trio.open_nursery() as nursery:
            for outcome in list(self._unsaved.values()):
                nursery.start_soon(limited, self._save, outcome)
            for withdrawn in list(self._withdrawn.values()):
                nursery.start_soon(limited, self._seal, withdrawn)

    async def _make_row(self, holding: LocalClaim) -> Result[ClaimRow, Failure]:
        if holding.state is LocalClaimState.FINISHED and holding.kept:
            return await self._store.store_result(holding.row, holding.kept)
        row = replace(
            self._store.stamp(holding.row),
            state=ClaimState.UNCERTAIN,
        )
        return Result.Ok(row)

    async def _adopt_first(self, holding: LocalClaim, outcome: Outcome) -> None:
        """Take the result that is kept already as this claim's own."""
        first = read_claim(outcome.conflicts[0])
        if first is None or first.row.state is not ClaimState.FINISHED:
            return
        loaded = await self._store.load(first.row)
        if loaded.is_ok():
            holding.kept = loaded.ok

    async def _seal(self, holding: LocalClaim) -> None:
        token = holding.row.token
        seen = await self._store.read(holding.key)
        if seen.is_error():
            telemetry.count('retries', reason=Reason.STORE_UNAVAILABLE)
            return
        if not _is_open(seen.ok, token):
            self._withdrawn.pop(token, None)
            return
        sealed = replace(
            self._store.stamp(seen.ok.row),
            state=ClaimState.NOT_DISPATCHED,
        )
        written = await self._store.write(
            holding.key,
            seen.ok.version,
            sealed,
        )
        if written.is_ok():
            self._withdrawn.pop(token, None)


def _is_open(seen: VersionedClaim | None, token: str) -> bool:
    if seen is None or seen.row.token != token:
        return False
    return seen.row.state is ClaimState.INTENT
