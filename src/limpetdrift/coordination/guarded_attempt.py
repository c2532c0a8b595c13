"""One attempt of a request, as what guards against crashes sees it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf

from expression import Result

from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.verdict import Failure
from limpetdrift.state.run import RunEnd, RunRequest

Narrow = Callable[[tuple[str, ...]], tuple[str, ...]]


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointProbe:
    """An endpoint's incarnation, and the streams that it runs now."""

    incarnation: int
    streams: int


ProbeEndpoint = Callable[[Endpoint], Awaitable[Result[EndpointProbe, Failure]]]


def _always() -> bool:
    return True


@dataclass(kw_only=True, slots=True)
class GuardedAttempt:
    """Where an attempt runs, and how.

    ``narrow`` adds to the excluded endpoints those that an isolated attempt
    leaves alone; ``place_by`` is when, in trio time, it stops waiting for a
    place. ``applies`` says whether it may still run as it was meant to; if
    not, it is ``outdated`` and was not sent.
    """

    isolated: bool = False
    extend_excluded: Narrow = tuple
    placement_deadline: float = inf
    probe_endpoint: ProbeEndpoint | None = None
    applies: Callable[[], bool] = _always
    outdated: bool = False
    endpoint: Endpoint | None = None
    seen: EndpointProbe | None = None

    async def begin(self, endpoint: Endpoint) -> bool:
        """Note the endpoint, and return whether to send the attempt now."""
        self.endpoint = endpoint
        if self.probe_endpoint is not None:
            seen = await self.probe_endpoint(endpoint)
            self.seen = seen.ok if seen.is_ok() else None
        self.outdated = not self.applies()
        return not self.outdated


RunTrial = Callable[[GuardedAttempt], Awaitable[Result[RunEnd, Failure]]]
Guard = Callable[[RunRequest, RunTrial], Awaitable[Result[RunEnd, Failure]]]


async def run_unguarded(
    request: RunRequest,
    run_trial: RunTrial,
) -> Result[RunEnd, Failure]:
    """Run an attempt beside others, whatever came before."""
    return await run_trial(GuardedAttempt())
