"""Keeps requests that crash endpoints from crashing more of them.

All that ran on an endpoint that died are suspects, on every entry. A suspect
runs alone, one copy at a time over all entries. If it finishes it is cleared
at once; if its endpoint dies again, the request is refused for a while.
Suspicion ends by itself, so that a crash that was nobody's fault doesn't
keep its requests waiting for long.

>>> quarantine = Quarantine(inputs=inputs)  # doctest: +SKIP
>>> outcome = await quarantine.guard(request, attempt)  # doctest: +SKIP
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.guarded_attempt import (
    GuardedAttempt,
    ProbeEndpoint,
    RunTrial,
)
from limpetdrift.coordination.isolation_leases import IsolationLeases
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.quarantine_replication import QuarantineReplicator
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.quarantine import QuarantineRecord, QuarantineState
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    Verdict,
    not_run,
)
from limpetdrift.state.run import RunEnd, RunRequest
from limpetdrift.state.suspects import CrashSuspects

ISOLATION_SHARE = 4
_CRASHES = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.STREAM_UNKNOWN,
        Reason.CONNECTION_BROKEN,
    ),
)


@dataclass(frozen=True, kw_only=True)
class QuarantineInputs:
    """What the quarantine is given by the rest of the entry.

    ``look_at`` asks an endpoint what it is and runs; it fails with
    ``CONNECT_FAILED`` only where the endpoint refuses connections.
    """

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall
    probe_endpoint: ProbeEndpoint


class Quarantine:
    """Guards attempts, and keeps the standing of fingerprints.

    ``run`` spreads news to the other entries until cancelled.
    """

    def __init__(self, *, inputs: QuarantineInputs) -> None:
        self._inputs = inputs
        self.suspects = CrashSuspects()
        self.replicator = QuarantineReplicator(
            node=inputs.node,
            suspects=self.suspects,
            live_entries=inputs.live_entries,
            call=inputs.call,
        )
        self._turns = IsolationLeases(
            node=inputs.node,
            live_entries=inputs.live_entries,
            call=inputs.call,
        )

    async def run(self) -> None:
        """Spread news and end turns until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.replicator.run)
            nursery.start_soon(self._turns.run)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        self.replicator.register(peer_routes)
        self._turns.register(peer_routes)

    def refusal(self, fingerprint: str) -> Failure | None:
        """Return why a request isn't run, where it is refused."""
        found = self.suspects.find(fingerprint)
        if found is None or found.standing is not QuarantineState.REFUSED:
            return None
        return not_run(
            Reason.QUARANTINED,
            'endpoints crashed on this request',
            retry_after_seconds=found.seconds,
        )

    def set_refusal(
        self, fingerprint: str, account: str, seconds: float
    ) -> None:
        """Refuse a fingerprint on all entries; zero seconds release it."""
        news = self.suspects.set_by_operator(fingerprint, account, seconds)
        self.replicator.add(news)

    async def guard(
        self,
        request: RunRequest,
        run_trial: RunTrial,
    ) -> Result[RunEnd, Failure]:
        """Run one attempt as the standing of its request allows."""
        while self.suspects.is_suspect(request.fingerprint):
            left = request.deadline - trio.current_time()
            if await self._turns.try_acquire(request.fingerprint, left):
                return await self._run_alone(request, run_trial)
        refusal = self.refusal(request.fingerprint)
        if refusal is not None:
            return Error(refusal)
        # Its standing may change while it waits for a place.
        trial = GuardedAttempt(
            applies=lambda: self._runs_freely(request.fingerprint)
        )
        outcome = await run_trial(trial)
        if trial.outdated:
            return await self.guard(request, run_trial)
        if outcome.is_error() and _looks_crashed(trial, outcome.error):
            self._note_crash(request, trial)
        return outcome

    async def _run_alone(
        self,
        request: RunRequest,
        run_trial: RunTrial,
    ) -> Result[RunEnd, Failure]:
        try:
            return await self._try_alone(request, run_trial)
        finally:
            self._turns.end_later(request.fingerprint)

    async def _try_alone(
        self,
        request: RunRequest,
        run_trial: RunTrial,
    ) -> Result[RunEnd, Failure]:
        held = self.suspects.find(request.fingerprint)
        if held is None or held.standing is not QuarantineState.SUSPECT:
            return await self.guard(request, run_trial)
        telemetry.count('isolated_attempts')
        trial = GuardedAttempt(
            isolated=True,
            extend_excluded=partial(self._narrow, request.model),
            placement_deadline=trio.current_time() + held.seconds,
            probe_endpoint=self._inputs.probe_endpoint,
            applies=lambda: self.refusal(request.fingerprint) is None,
        )
        outcome = await run_trial(trial)
        if trial.outdated:
            return await self.guard(request, run_trial)
        if outcome.is_ok():
            self._conclude(request.fingerprint, QuarantineState.CLEARED)
            return outcome
        if not _looks_crashed(trial, outcome.error):
            return outcome
        if not await self._has_died(trial):
            return outcome
        telemetry.count('requests_quarantined')
        self._conclude(request.fingerprint, QuarantineState.REFUSED)
        refusal = self.refusal(request.fingerprint)
        if refusal is None:
            return outcome
        return Error(refusal.with_verdict(Verdict.MAY_HAVE_RUN))

    def _runs_freely(self, fingerprint: str) -> bool:
        if self.suspects.is_suspect(fingerprint):
            return False
        return self.refusal(fingerprint) is None

    def _note_crash(self, request: RunRequest, trial: GuardedAttempt) -> None:
        telemetry.count('crash_suspects')
        name = trial.endpoint.name if trial.endpoint else ''
        self.replicator.add(
            self.suspects.note_crash(
                request.fingerprint,
                request.account,
                name,
            ),
        )

    def _conclude(self, fingerprint: str, standing: QuarantineState) -> None:
        news: QuarantineRecord | None = self.suspects.resolve_suspect(
            fingerprint,
            standing,
        )
        self.replicator.add(news)

    def _narrow(
        self,
        model: str,
        excluded: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Also exclude the endpoints that no suspect empties for itself."""
        names = [
            endpoint.name
            for endpoint in self._inputs.endpoints()
            if endpoint.model == model
            and not endpoint.leaving
            and endpoint.name not in excluded
        ]
        few = max(1, len(names) // ISOLATION_SHARE)
        chosen = set(choose_by_hash(f'isolation/{model}', names, few))
        others = (name for name in names if name not in chosen)
        return (*excluded, *others)

    async def _has_died(self, trial: GuardedAttempt) -> bool:
        """Whether the endpoint is gone that ran this and nothing else.

        A stream that a dead entry left behind may be there still, so the
        endpoint's own word counts, not that of its home.
        """
        if trial.endpoint is None or trial.seen is None or trial.seen.streams:
            return False
        read = await self._inputs.probe_endpoint(trial.endpoint)
        if read.is_error():
            return read.error.reason is Reason.CONNECT_FAILED
        return read.ok.incarnation != trial.seen.incarnation


def _looks_crashed(trial: GuardedAttempt, failure: Failure) -> bool:
    if trial.endpoint is None or failure.verdict is Verdict.NOT_RUN:
        return False
    return failure.reason in _CRASHES
