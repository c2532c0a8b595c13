"""Writes the outcomes of claims to the table service, with retries.

An outcome that can't be written at once, as during an outage of the table
service, is written in the background. Until then its claim stays in the
ledger, so that the owner can answer status queries about it.
"""

import random
from dataclasses import replace

import trio
from expression import Result

from limpetdrift import telemetry
from limpetdrift.protocol.table import Outcome
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
from limpetdrift.verdict import Failure, Reason

# Range of the retry interval, drawn anew for each pass of background writes.
RETRY_INTERVAL_SECONDS = (0.5, 1.5)
MAX_PARALLEL_WRITES = 64
MAX_WITHDRAWN_CLAIMS = 10_000


class ClaimWriter:
    """Writes the claim outcomes of one process that aren't in the table yet.

    ``run`` has to run in the background for the retries.
    """

    def __init__(
        self,
        *,
        store: ClaimStore,
        ledger: ClaimLedger,
        randomness: random.Random,
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._randomness = randomness
        self._withdrawn: dict[str, LocalClaim] = {}
        self._unsaved: dict[str, LocalClaim] = {}
        self._work_added = trio.Event()

    def add_withdrawn(self, local_claim: LocalClaim) -> None:
        """Mark a withdrawn claim's row as not dispatched, in the background.

        Beyond ``MAX_WITHDRAWN_CLAIMS`` the row stays as it is; its owner
        still answers status queries that the token was never dispatched.
        """
        if len(self._withdrawn) < MAX_WITHDRAWN_CLAIMS:
            self._withdrawn[local_claim.row.token] = local_claim
            self._work_added.set()

    def add_outcome(self, local_claim: LocalClaim) -> None:
        """Write the outcome of a dispatched claim in the background."""
        self._unsaved[local_claim.row.token] = local_claim
        self._work_added.set()

    async def save(self, local_claim: LocalClaim) -> None:
        """Write an outcome now, or in the background if that fails."""
        saved = False
        try:
            saved = await self._save(local_claim)
        finally:
            if not saved:
                self.add_outcome(local_claim)

    async def run(self) -> None:
        """Write queued outcomes and withdrawals until cancelled.

        A withdrawal marks a claim's row as not dispatched, because the request
        was never dispatched or is proved not to have run. Failed writes are
        retried.
        """
        while True:
            await self._work_added.wait()
            await self._write_all()
            if self._withdrawn or self._unsaved:
                await trio.sleep(
                    self._randomness.uniform(*RETRY_INTERVAL_SECONDS)
                )
            else:
                self._work_added = trio.Event()

    async def _save(self, local_claim: LocalClaim) -> bool:
        """Write an outcome; return whether the table now holds one."""
        row = await self._make_row(local_claim)
        if row.is_error():
            return False
        written = await self._store.write(
            local_claim.key,
            local_claim.version,
            row.ok,
        )
        if written.is_error():
            telemetry.count('retries', reason=written.error.reason)
            return False
        if not written.ok.committed:
            await self._adopt_stored_result(local_claim, written.ok)
        self._unsaved.pop(local_claim.row.token, None)
        self._ledger.withdraw(local_claim.row.token)
        return True

    async def _write_all(self) -> None:
        limiter = trio.CapacityLimiter(MAX_PARALLEL_WRITES)

        async def limited(write, local_claim: LocalClaim) -> None:
            async with limiter:
                await write(local_claim)

        async with trio.open_nursery() as nursery:
            for outcome in list(self._unsaved.values()):
                nursery.start_soon(limited, self._save, outcome)
            for withdrawn in list(self._withdrawn.values()):
                nursery.start_soon(
                    limited, self._mark_not_dispatched, withdrawn
                )

    async def _make_row(
        self, local_claim: LocalClaim
    ) -> Result[ClaimRow, Failure]:
        if local_claim.state is LocalClaimState.FINISHED and local_claim.result:
            return await self._store.store_result(
                local_claim.row, local_claim.result
            )
        row = replace(
            self._store.with_current_epoch(local_claim.row),
            state=ClaimState.UNCERTAIN,
        )
        return Result.Ok(row)

    async def _adopt_stored_result(
        self, local_claim: LocalClaim, outcome: Outcome
    ) -> None:
        """Replace the claim's result by the one that the table holds already.

        That is the request's first answer, which every resend gets.
        """
        stored = read_claim(outcome.conflicts[0])
        if stored is None or stored.row.state is not ClaimState.FINISHED:
            return
        loaded = await self._store.load(stored.row)
        if loaded.is_ok():
            local_claim.result = loaded.ok

    async def _mark_not_dispatched(self, local_claim: LocalClaim) -> None:
        token = local_claim.row.token
        found = await self._store.read(local_claim.key)
        if found.is_error():
            telemetry.count('retries', reason=Reason.STORE_UNAVAILABLE)
            return
        if not _has_open_intent(found.ok, token):
            self._withdrawn.pop(token, None)
            return
        not_dispatched = replace(
            self._store.with_current_epoch(found.ok.row),
            state=ClaimState.NOT_DISPATCHED,
        )
        written = await self._store.write(
            local_claim.key,
            found.ok.version,
            not_dispatched,
        )
        if written.is_ok():
            self._withdrawn.pop(token, None)


def _has_open_intent(found: VersionedClaim | None, token: str) -> bool:
    if found is None or found.row.token != token:
        return False
    return found.row.state is ClaimState.INTENT
