"""One attempt of a request, with the restrictions of the quarantine."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf

from expression import Result

from limpetdrift.protocol.node import Endpoint
from limpetdrift.state.run import RunEnd, RunRequest
from limpetdrift.verdict import Failure

ExtendExcluded = Callable[[tuple[str, ...]], tuple[str, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointProbe:
    """An endpoint's incarnation, and the number of streams that it runs."""

    incarnation: int
    streams: int


ProbeEndpoint = Callable[[Endpoint], Awaitable[Result[EndpointProbe, Failure]]]


def _always() -> bool:
    return True


@dataclass(kw_only=True, slots=True)
class GuardedAttempt:
    """The restrictions on an attempt, and where it runs.

    ``isolated`` asks for an endpoint on which nothing else runs.
    ``extend_excluded`` adds to the excluded endpoints those on which an
    isolated attempt may not run. ``placement_deadline`` is the trio time at
    which the attempt stops waiting for a placement. ``may_start`` returns
    whether the attempt may still run under these restrictions; if not, it
    is ``outdated`` and was not sent. ``initial_probe`` is the endpoint's
    state just before the attempt.
    """

    isolated: bool = False
    extend_excluded: ExtendExcluded = tuple
    placement_deadline: float = inf
    probe_endpoint: ProbeEndpoint | None = None
    may_start: Callable[[], bool] = _always
    outdated: bool = False
    endpoint: Endpoint | None = None
    initial_probe: EndpointProbe | None = None

    async def begin(self, endpoint: Endpoint) -> bool:
        """Record and probe the endpoint; return whether to send the attempt."""
        self.endpoint = endpoint
        if self.probe_endpoint is not None:
            probe = await self.probe_endpoint(endpoint)
            self.initial_probe = probe.ok if probe.is_ok() else None
        self.outdated = not self.may_start()
        return not self.outdated


RunAttempt = Callable[[GuardedAttempt], Awaitable[Result[RunEnd, Failure]]]
Guard = Callable[[RunRequest, RunAttempt], Awaitable[Result[RunEnd, Failure]]]


async def run_unguarded(
    request: RunRequest,
    run_attempt: RunAttempt,
) -> Result[RunEnd, Failure]:
    """Run an attempt without restrictions, whether suspected or not."""
    return await run_attempt(GuardedAttempt())
