"""Keeps requests that crash endpoints from reaching more of them.

A request is described by keys: its fingerprint, and the parts of its prompt
that other requests share. When an endpoint crashes, the keys of the requests
that it cut off count as evidence, on all entries, and answers clear them again
(``state.culprits``). A request with a suspected key runs in isolation: one at a
time for each key, on an endpoint that other prompts avoid. One with a key that
crashed several endpoints is refused.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.crashes.crash_exchange import CrashExchange
from limpetdrift.coordination.crashes.isolation_leases import IsolationLeases
from limpetdrift.coordination.fingerprints import fingerprint_of
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.logs import note, warn
from limpetdrift.protocol.crashes import CutAttempt
from limpetdrift.protocol.work import (
    CallerRequest,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.state.crash_evidence import CRASH_SECONDS, CrashEvidence
from limpetdrift.state.culprits import Suspicion, fingerprint_key
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.supervision import keep_running, run_contained
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    not_run,
)

# Time for which an answer must go on after its first event to show that its
# request is harmless.
HARMLESS_ANSWER_SECONDS = 0.5
# Longest wait of a suspected request for its turn to run in isolation.
MAX_TURN_SECONDS = 2.0
# For how long after a crash other prompts avoid the endpoint on which requests
# with a suspected key are tried.
SET_ASIDE_SECONDS = 5.0
# One in this number of a service's endpoints may be set aside.
ISOLATION_DIVISOR = 4
# Parts of a prompt that are looked at, and length of the ids that are kept.
MAX_PARTS = 32
MAX_ID_CHARACTERS = 64
# Broken connections that may wait for their crash check; further ones are
# counted and not checked.
_MAX_QUEUED_CHECKS = 200

_OTHERS_TRIED = not_run(
    Reason.OVERLOADED,
    'similar requests are tried in isolation',
    retry_after_seconds=MAX_TURN_SECONDS,
)

# Returns whether nothing listens at an endpoint, which proves its crash.
IsDead = Callable[[ListedEndpoint], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke ``seconds`` after it was sent.

    ``events`` is the number of events of its answer that had arrived, the first
    of them ``answer_seconds`` before the connection broke.
    """

    request: CallerRequest
    endpoint: ListedEndpoint
    seconds: float
    events: int
    answer_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashGuardInputs:
    """What the guard needs from the rest of the entry.

    ``exchange`` shares the evidence with other entries, and ``leases`` let one
    request with a suspected key run at a time. ``clock`` and ``time_of_day``
    return seconds, the latter since 1970.
    """

    exchange: CrashExchange
    leases: IsolationLeases
    view: EndpointView
    is_dead: IsDead
    clock: Callable[[], float]
    time_of_day: Callable[[], float]


class CrashGuard:
    """Finds the requests that crash endpoints, and refuses them.

    ``run`` checks the endpoints of broken connections in the background.
    """

    def __init__(self, *, inputs: CrashGuardInputs) -> None:
        self._inputs = inputs
        self.learn = inputs.exchange.learn
        self.wait_learned = inputs.exchange.wait_learned
        self.exchange = inputs.exchange
        self._evidence: CrashEvidence = inputs.exchange.evidence
        channel = trio.open_memory_channel[BrokenAttempt](_MAX_QUEUED_CHECKS)
        self._check_sender = channel[0]
        self._check_receiver = channel[1]

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        self.exchange.register(peer_routes)
        self._inputs.leases.register(peer_routes)

    def refusal(self, request: CallerRequest) -> Failure | None:
        """Return the failure for a request that crashes endpoints."""
        if self._evidence.is_empty:
            return None
        culprit = self._evidence.assessment().find_culprit(
            request.account, keys_of(request)
        )
        if culprit is None:
            return None
        elapsed = self._inputs.clock() - culprit.last_at
        return not_run(
            Reason.QUARANTINED,
            'endpoints crashed on such requests',
            retry_after_seconds=max(1.0, CRASH_SECONDS - elapsed),
        )

    def is_suspected(self, request: CallerRequest) -> bool:
        """Return whether a request may run in isolation only."""
        return bool(self._suspected_keys(request))

    @asynccontextmanager
    async def isolate(
        self, request: CallerRequest, tried: frozenset[EndpointIdentity]
    ) -> AsyncIterator[frozenset[EndpointIdentity]]:
        """Wait until an attempt may run; yield endpoints that it may not use.

        These include the ``tried`` ones. Raises ``FailureError`` if the request
        is refused, also one whose answer has begun, or if other requests with
        the same keys are tried for too long.
        """
        held: list[str] = []
        try:
            if request.prompt_parts:
                await self.wait_learned()
            await self._take_turns(request, held)
            yield tried | self._excluded_endpoints(request, held, tried)
        finally:
            for key in held:
                self._inputs.leases.release_later(key)

    def report_broken_connection(self, broken: BrokenAttempt) -> None:
        """Queue a check whether the endpoint of a broken connection crashed."""
        try:
            self._check_sender.send_nowait(broken)
        except trio.WouldBlock:
            telemetry.count('crashes_not_looked_into')

    def report_harmless(self, request: CallerRequest) -> None:
        """Record that an endpoint answers a request and does not crash."""
        if request.prompt_parts or not self._evidence.is_empty:
            keys = (
                part_keys(request)
                if self._evidence.is_empty
                else keys_of(request)
            )
            self.exchange.add_harmless(keys)

    async def run(self) -> None:
        """Check the endpoints of broken connections until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                keep_running, 'crash-exchange', self.exchange.run
            )
            nursery.start_soon(
                keep_running, 'isolation-leases', self._inputs.leases.run
            )
            async for broken in self._check_receiver:
                nursery.start_soon(
                    run_contained, 'crash-check', self._check_for_crash, broken
                )

    def _suspected_keys(self, request: CallerRequest) -> tuple[str, ...]:
        if self._evidence.is_empty:
            return ()
        return self._evidence.assessment().suspected_keys(
            request.account, keys_of(request)
        )

    async def _take_turns(
        self, request: CallerRequest, held: list[str]
    ) -> None:
        """Acquire the leases of all suspected keys of a request.

        All entries acquire them in the same order, so that none waits for
        another in a circle.
        """
        until = trio.current_time() + MAX_TURN_SECONDS
        while True:
            refusal = self.refusal(request)
            if refusal is not None:
                raise FailureError(refusal)
            missing = [
                key for key in self._suspected_keys(request) if key not in held
            ]
            if not missing:
                return
            if trio.current_time() >= until:
                raise FailureError(_OTHERS_TRIED)
            seconds = max(0.0, request.deadline - self._inputs.clock())
            if await self._inputs.leases.try_acquire(missing[0], seconds):
                held.append(missing[0])

    def _excluded_endpoints(
        self,
        request: CallerRequest,
        held: list[str],
        tried: frozenset[EndpointIdentity],
    ) -> frozenset[EndpointIdentity]:
        """Return the endpoints that a prompt must not use."""
        suspicions = self._recent_suspicions()
        if not request.prompt_parts or not (held or suspicions):
            return frozenset()
        crashed = self._evidence.crashed_endpoints()
        identities = {
            each.name: each.identity
            for each in self._inputs.view.usable(request.service)
            if each.identity not in tried
            and _endpoint_key(each.identity) not in crashed
        }
        if held:
            telemetry.count('isolated_attempts')
            chosen = _isolation_endpoint(identities, held[0])
            note(
                'prompt runs in isolation',
                id=request.request_id,
                keys=held,
                endpoint=chosen,
            )
            return frozenset(
                identity
                for name, identity in identities.items()
                if name != chosen
            )
        set_aside = {
            _isolation_endpoint(identities, each.key) for each in suspicions
        }
        return frozenset(
            identity
            for name, identity in identities.items()
            if name in set_aside and len(set_aside) < len(identities)
        )

    def _recent_suspicions(self) -> tuple[Suspicion, ...]:
        if self._evidence.is_empty:
            return ()
        since = self._inputs.clock() - SET_ASIDE_SECONDS
        return tuple(
            each
            for each in self._evidence.assessment().suspicions
            if each.last_at > since
        )

    async def _check_for_crash(self, broken: BrokenAttempt) -> None:
        crashed = await self._inputs.is_dead(broken.endpoint)
        _log_check(broken, crashed=crashed)
        if not crashed or broken.answer_seconds >= HARMLESS_ANSWER_SECONDS:
            return
        refused_before = self.refusal(broken.request) is not None
        self.exchange.add_cut(
            CutAttempt(
                endpoint=_endpoint_key(broken.endpoint.identity),
                attempt=broken.request.request_id,
                account=broken.request.account,
                keys=keys_of(broken.request),
                age_seconds=0.0,
                time_of_day=self._inputs.time_of_day(),
            )
        )
        if not refused_before and self.refusal(broken.request) is not None:
            self._log_refused(broken.request)

    def _log_refused(self, request: CallerRequest) -> None:
        culprit = self._evidence.assessment().find_culprit(
            request.account, keys_of(request)
        )
        telemetry.count('requests_quarantined')
        warn(
            'requests quarantined: endpoints crashed on them',
            keys=sorted(culprit.keys),
            accounts=sorted(culprit.accounts),
            crashes=culprit.crashes,
        )


def keys_of(request: CallerRequest) -> tuple[str, ...]:
    """Return the keys by which evidence about a request is kept.

    The first is that of the whole request, the others those of its parts.
    """
    return (fingerprint_key(fingerprint_of(request)), *part_keys(request))


def part_keys(request: CallerRequest) -> tuple[str, ...]:
    """Return the keys of the prompt's parts that other requests share.

    The last part belongs to the request itself.
    """
    *shared, _ = request.prompt_parts or ('',)
    ids = (part[:MAX_ID_CHARACTERS] for part in shared[:MAX_PARTS])
    return tuple(f'part/{each}' for each in ids)


def _endpoint_key(identity: EndpointIdentity) -> str:
    return '@'.join(map(str, identity))


def _isolation_endpoint(names: Iterable[str], key: str) -> str:
    """Return the endpoint on which requests with a key are tried.

    Entries that know the same endpoints choose the same one, among a fixed
    share of the endpoints.
    """
    names = tuple(names)
    count = max(1, len(names) // ISOLATION_DIVISOR)
    candidates = choose_by_hash('isolation', names, count)
    return next(iter(choose_by_hash(key, candidates, 1)), '')


def _log_check(broken: BrokenAttempt, *, crashed: bool) -> None:
    """Log and count what the check of a broken connection found."""
    outcome = 'crashed' if crashed else 'accepts-connections'
    telemetry.count('crash_checks', outcome=outcome)
    note(
        'connection broken',
        id=broken.request.request_id,
        endpoint=broken.endpoint.name,
        crashed=crashed,
        prompt_parts=broken.request.prompt_parts,
        seconds=round(broken.seconds, 3),
        events=broken.events,
    )
