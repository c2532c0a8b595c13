"""Quarantines requests that crash endpoints, so that they crash no others.

All requests that ran on an endpoint when it crashed become suspects, on
every entry. A suspect runs isolated: on an endpoint without other requests,
and one copy at a time across all entries. If it finishes, it is cleared at
once; if its endpoint crashes too, the request is refused for a limited time.
Suspicion expires by itself, so that after a crash that no request caused,
the suspects aren't delayed for long.

>>> quarantine = Quarantine(inputs=inputs)  # doctest: +SKIP
>>> outcome = await quarantine.guard(request, attempt)  # doctest: +SKIP
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.guarded_attempt import (
    GuardedAttempt,
    ProbeEndpoint,
    RunAttempt,
)
from limpetdrift.coordination.crashes.isolation_leases import IsolationLeases
from limpetdrift.coordination.crashes.quarantine_replication import (
    QuarantineReplicator,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.quarantine import QuarantineRecord, QuarantineState
from limpetdrift.state.run import RunEnd, RunRequest
from limpetdrift.state.suspects import CrashSuspects
from limpetdrift.verdict import (
    Failure,
    Reason,
    Verdict,
    not_run,
)

# One in this number of a model's endpoints may run isolated attempts.
ISOLATION_DIVISOR = 4
# Failures after which the endpoint may have crashed.
_CRASH_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.STREAM_UNKNOWN,
        Reason.CONNECTION_BROKEN,
    ),
)


@dataclass(frozen=True, kw_only=True)
class QuarantineInputs:
    """What the quarantine needs from the rest of the entry.

    ``probe_endpoint`` reads an endpoint's incarnation and number of streams;
    it fails with ``CONNECT_FAILED`` only if the endpoint refuses connections.
    """

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall
    probe_endpoint: ProbeEndpoint


class Quarantine:
    """Restricts attempts by the quarantine states of their fingerprints.

    ``run`` has to run in the background; it replicates state changes to the
    other entries and releases isolation leases.
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
        self._leases = IsolationLeases(
            node=inputs.node,
            live_entries=inputs.live_entries,
            call=inputs.call,
        )

    async def run(self) -> None:
        """Replicate state changes and release leases until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.replicator.run)
            nursery.start_soon(self._leases.run)

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of replication and leases."""
        self.replicator.register(peer_routes)
        self._leases.register(peer_routes)

    def refusal(self, fingerprint: str) -> Failure | None:
        """Return the failure for a refused fingerprint, else ``None``."""
        record = self.suspects.find(fingerprint)
        if record is None or record.standing is not QuarantineState.REFUSED:
            return None
        return not_run(
            Reason.QUARANTINED,
            'endpoints crashed on this request',
            retry_after_seconds=record.seconds,
        )

    def set_refusal(
        self, fingerprint: str, account: str, seconds: float
    ) -> None:
        """Refuse a fingerprint on all entries; zero seconds release it."""
        record = self.suspects.set_by_operator(fingerprint, account, seconds)
        self.replicator.add(record)

    async def guard(
        self,
        request: RunRequest,
        run_attempt: RunAttempt,
    ) -> Result[RunEnd, Failure]:
        """Run one attempt as the quarantine state of its request allows.

        A suspect first waits for an isolation lease, which lasts until the
        request's deadline; the caller has to end the wait at that time.
        """
        while self.suspects.is_suspect(request.fingerprint):
            remaining_seconds = request.deadline - trio.current_time()
            if await self._leases.try_acquire(
                request.fingerprint, remaining_seconds
            ):
                return await self._run_with_lease(request, run_attempt)
        refusal = self.refusal(request.fingerprint)
        if refusal is not None:
            return Error(refusal)
        # The state may change while the attempt waits for its placement.
        attempt = GuardedAttempt(
            may_start=lambda: self._is_unrestricted(request.fingerprint)
        )
        outcome = await run_attempt(attempt)
        if attempt.outdated:
            return await self.guard(request, run_attempt)
        if outcome.is_error() and _may_have_crashed(attempt, outcome.error):
            self._record_crash(request, attempt)
        return outcome

    async def _run_with_lease(
        self,
        request: RunRequest,
        run_attempt: RunAttempt,
    ) -> Result[RunEnd, Failure]:
        try:
            return await self._run_isolated(request, run_attempt)
        finally:
            self._leases.release_later(request.fingerprint)

    async def _run_isolated(
        self,
        request: RunRequest,
        run_attempt: RunAttempt,
    ) -> Result[RunEnd, Failure]:
        suspect = self.suspects.find(request.fingerprint)
        if suspect is None or suspect.standing is not QuarantineState.SUSPECT:
            return await self.guard(request, run_attempt)
        telemetry.count('isolated_attempts')
        attempt = GuardedAttempt(
            isolated=True,
            extend_excluded=partial(self._extend_excluded, request.model),
            placement_deadline=trio.current_time() + suspect.seconds,
            probe_endpoint=self._inputs.probe_endpoint,
            may_start=lambda: self.refusal(request.fingerprint) is None,
        )
        outcome = await run_attempt(attempt)
        if attempt.outdated:
            return await self.guard(request, run_attempt)
        if outcome.is_ok():
            self._resolve(request.fingerprint, QuarantineState.CLEARED)
            return outcome
        if not _may_have_crashed(attempt, outcome.error):
            return outcome
        if not await self._has_crashed(attempt):
            return outcome
        telemetry.count('requests_quarantined')
        self._resolve(request.fingerprint, QuarantineState.REFUSED)
        refusal = self.refusal(request.fingerprint)
        if refusal is None:
            return outcome
        return Error(refusal.with_verdict(Verdict.MAY_HAVE_RUN))

    def _is_unrestricted(self, fingerprint: str) -> bool:
        if self.suspects.is_suspect(fingerprint):
            return False
        return self.refusal(fingerprint) is None

    def _record_crash(
        self, request: RunRequest, attempt: GuardedAttempt
    ) -> None:
        telemetry.count('crash_suspects')
        name = attempt.endpoint.name if attempt.endpoint else ''
        self.replicator.add(
            self.suspects.note_crash(
                request.fingerprint,
                request.account,
                name,
            ),
        )

    def _resolve(self, fingerprint: str, state: QuarantineState) -> None:
        record: QuarantineRecord | None = self.suspects.resolve_suspect(
            fingerprint,
            state,
        )
        self.replicator.add(record)

    def _extend_excluded(
        self,
        model: str,
        excluded: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Also exclude the endpoints that isolated attempts may not use.

        An isolated attempt keeps other requests off its endpoint, so only
        one in ``ISOLATION_DIVISOR`` of a model's endpoints is used for that.
        They are chosen by hash, so that entries agree on them.
        """
        candidates = [
            endpoint.name
            for endpoint in self._inputs.endpoints()
            if endpoint.model == model
            and not endpoint.leaving
            and endpoint.name not in excluded
        ]
        count = max(1, len(candidates) // ISOLATION_DIVISOR)
        chosen = set(choose_by_hash(f'isolation/{model}', candidates, count))
        others = (name for name in candidates if name not in chosen)
        return (*excluded, *others)

    async def _has_crashed(self, attempt: GuardedAttempt) -> bool:
        """Return whether an endpoint crashed that ran only this attempt.

        Whether it ran anything else is read from the endpoint itself, not
        from its home: a stream that a dead entry left behind may still run
        there.
        """
        if (
            attempt.endpoint is None
            or attempt.initial_probe is None
            or attempt.initial_probe.streams
        ):
            return False
        probe = await self._inputs.probe_endpoint(attempt.endpoint)
        if probe.is_error():
            return probe.error.reason is Reason.CONNECT_FAILED
        return probe.ok.incarnation != attempt.initial_probe.incarnation


def _may_have_crashed(attempt: GuardedAttempt, failure: Failure) -> bool:
    if attempt.endpoint is None or failure.verdict is Verdict.NOT_RUN:
        return False
    return failure.reason in _CRASH_REASONS
