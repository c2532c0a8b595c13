"""Refuses requests on which one endpoint after another has crashed.

Answers callers that send such a request again and again, beside callers who
all ask the same at an endpoint that dies. A request is held
to have crashed an endpoint if its connection broke while it ran and nobody
listens there right after. Others that ran beside it are suspects too, but
only one that meets several crashes in turn is refused, on all entries. One
that ends well in between is cleared, as a bad one never does.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio
from xxhash import xxh3_128_hexdigest

from limpetdrift import telemetry
from limpetdrift.coordination.quarantine_replication import QuarantineReplicator
from limpetdrift.logs import warn
from limpetdrift.protocol.quarantine import QuarantineState
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import CallerRequest, ListedEndpoint
from limpetdrift.state.suspects import CrashSuspects

# Endpoints that a request may crash before it is refused.
CRASH_LIMIT = 3
# Broken connections that wait to be looked into; more are not.
_QUEUED = 200

# Returns whether nobody listens at an endpoint, which proves its crash.
IsDead = Callable[[ListedEndpoint], Awaitable[bool]]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Broken:
    fingerprint: str
    account: str
    endpoint: ListedEndpoint


class CrashGuard:
    """What has crashed endpoints; ``run`` looks into broken connections."""

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
        channel = trio.open_memory_channel[_Broken](_QUEUED)
        self._put = channel[0]
        self._take = channel[1]

    def refusal(self, work: CallerRequest) -> Failure | None:
        """Return why a request isn't run, if it is refused."""
        found = self._suspects.find(fingerprint_of(work))
        if found is None or found.standing is not QuarantineState.REFUSED:
            return None
        return not_run(
            Reason.QUARANTINED,
            'endpoints crashed on this request',
            retry_after_seconds=found.seconds,
        )

    def report_broken_connection(
        self, work: CallerRequest, endpoint: ListedEndpoint
    ) -> None:
        """Look into a connection that broke while a request ran."""
        try:
            self._put.send_nowait(
                _Broken(
                    fingerprint=fingerprint_of(work),
                    account=work.account,
                    endpoint=endpoint,
                ),
            )
        except trio.WouldBlock:
            telemetry.count('crashes_not_looked_into')

    def report_success(self, work: CallerRequest) -> None:
        """Clear a request that ended well."""
        if self._suspects.is_empty:
            return
        fingerprint = fingerprint_of(work)
        if self._suspects.is_suspect(fingerprint):
            cleared = self._suspects.resolve_suspect(
                fingerprint, QuarantineState.CLEARED
            )
            self.replicator.add(cleared)

    async def run(self) -> None:
        """Look into broken connections until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.replicator.run)
            async for broken in self._take:
                nursery.start_soon(self._look_into, broken)

    async def _look_into(self, broken: _Broken) -> None:
        if not await self._is_dead(broken.endpoint):
            return
        # One crash counts once, however many requests were there.
        name = '@'.join(map(str, broken.endpoint.identity))
        found = self._suspects.find(broken.fingerprint)
        if found is not None and found.endpoint == name:
            return
        news = self._suspects.note_crash(
            broken.fingerprint,
            broken.account,
            name,
        )
        self.replicator.add(news)
        if news is None or news.crashes < CRASH_LIMIT:
            return
        refused = self._suspects.resolve_suspect(
            broken.fingerprint,
            QuarantineState.REFUSED,
        )
        self.replicator.add(refused)
        telemetry.count('requests_quarantined')
        warn(
            'request is refused: endpoints crashed on it',
            fingerprint=broken.fingerprint,
            account=broken.account,
            crashes=news.crashes,
            endpoint=broken.endpoint.name,
        )


def fingerprint_of(work: CallerRequest) -> str:
    """Return what a request is known by when it comes again.

    Its id differs each time, so caller, target and body are hashed.
    """
    hashed = '\0'.join((work.account, work.method, work.target)).encode()
    return xxh3_128_hexdigest(hashed + work.body)
