"""Refuses requests on which one endpoint after another has crashed.

Protects endpoints from callers that keep resending a request that crashes
them. It must not refuse harmless requests, as when many callers send the
same request to an endpoint that dies.

A request is taken to have crashed an endpoint if its connection broke while
it ran and nothing listens at the endpoint right after. Requests that ran
beside it become suspects too, but only a request that meets several crashes
in a row is refused, on all entries. A request that succeeds in between is
cleared, since one that crashes endpoints never succeeds.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from xxhash import xxh3_128_hexdigest

from limpetdrift import telemetry
from limpetdrift.coordination.quarantine_replication import QuarantineReplicator
from limpetdrift.logs import note, warn
from limpetdrift.protocol.quarantine import QuarantineState
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import CallerRequest, ListedEndpoint
from limpetdrift.state.suspects import CrashSuspects

# Quarantine threshold: crashes in a row after which a request is refused.
CRASH_LIMIT = 3
# Broken connections that may wait for their crash check; further ones are
# counted and not checked.
_MAX_QUEUED_CHECKS = 200

# Returns whether nothing listens at an endpoint, which proves its crash.
IsDead = Callable[[ListedEndpoint], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True, slots=True)
class BrokenAttempt:
    """An attempt whose connection broke ``seconds`` after it was sent.

    ``events`` is the number of events of its answer that had arrived.
    """

    request: CallerRequest
    endpoint: ListedEndpoint
    seconds: float
    events: int


class CrashGuard:
    """Finds the requests that crash endpoints, and refuses them.

    ``run`` checks the endpoints of broken connections in the background.
    """

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        replicator: QuarantineReplicator,
        is_dead: IsDead,
    ) -> None:
        self.replicator = replicator
        self._suspects = suspects
        self._is_dead = is_dead
        channel = trio.open_memory_channel[BrokenAttempt](_MAX_QUEUED_CHECKS)
        self._check_sender = channel[0]
        self._check_receiver = channel[1]

    def refusal(self, request: CallerRequest) -> Failure | None:
        """Return the failure for a quarantined request, else ``None``."""
        record = self._suspects.find(fingerprint_of(request))
        if record is None or record.standing is not QuarantineState.REFUSED:
            return None
        return not_run(
            Reason.QUARANTINED,
            'endpoints crashed on this request',
            retry_after_seconds=record.seconds,
        )

    def report_broken_connection(self, broken: BrokenAttempt) -> None:
        """Queue a check whether the endpoint of a broken connection crashed."""
        try:
            self._check_sender.send_nowait(broken)
        except trio.WouldBlock:
            telemetry.count('crashes_not_looked_into')

    def report_success(self, request: CallerRequest) -> None:
        """Clear a suspect that succeeded."""
        if self._suspects.is_empty:
            return
        fingerprint = fingerprint_of(request)
        if self._suspects.is_suspect(fingerprint):
            cleared = self._suspects.resolve_suspect(
                fingerprint, QuarantineState.CLEARED
            )
            self.replicator.add(cleared)

    async def run(self) -> None:
        """Check the endpoints of broken connections until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.replicator.run)
            async for broken in self._check_receiver:
                nursery.start_soon(self._check_for_crash, broken)

    async def _check_for_crash(self, broken: BrokenAttempt) -> None:
        crashed = await self._is_dead(broken.endpoint)
        _log_check(broken, crashed=crashed)
        if crashed:
            self._count_crash(broken)

    def _count_crash(self, broken: BrokenAttempt) -> None:
        # One crash counts once, however many equal requests ran there.
        endpoint_key = '@'.join(map(str, broken.endpoint.identity))
        fingerprint = fingerprint_of(broken.request)
        record = self._suspects.find(fingerprint)
        if record is not None and record.endpoint == endpoint_key:
            return
        suspect = self._suspects.note_crash(
            fingerprint,
            broken.request.account,
            endpoint_key,
        )
        self.replicator.add(suspect)
        if suspect is None or suspect.crashes < CRASH_LIMIT:
            return
        refused = self._suspects.resolve_suspect(
            fingerprint,
            QuarantineState.REFUSED,
        )
        self.replicator.add(refused)
        telemetry.count('requests_quarantined')
        warn(
            'request quarantined: endpoints crashed on it',
            fingerprint=fingerprint,
            account=broken.request.account,
            crashes=suspect.crashes,
            endpoint=broken.endpoint.name,
        )


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


def fingerprint_of(request: CallerRequest) -> str:
    """Return a hash by which a resent request is recognized.

    It covers the client account, method, target and body; the request id
    differs in each resend.
    """
    identity = '\0'.join(
        (request.account, request.method, request.target)
    ).encode()
    return xxh3_128_hexdigest(identity + request.body)
