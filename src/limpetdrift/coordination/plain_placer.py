"""Chooses endpoints of plain services by their load and their failures."""

from collections.abc import Iterable
from random import Random

from expression import Error, Ok, Result

from limpetdrift.protocol.service import ServiceLoad
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointLoad,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.service_balancer import ServiceBalancer

# Servers that come up are back within a second or so.
RETRY_AFTER_SECONDS = 0.3


class PlainPlacer:
    """The use of all plain endpoints by this entry."""

    def __init__(self, *, view: EndpointView, randomness: Random) -> None:
        self._view = view
        self._use = ServiceBalancer(randomness=randomness)

    async def place(
        self,
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        """Choose one of the endpoints that stay, and count a call there."""
        usable = self._view.usable(work.service)
        names = frozenset(name for name, _ in excluded)
        chosen = self._use.choose(usable, names)
        if chosen is None:
            return Error(
                not_run(
                    Reason.NO_ENDPOINT,
                    work.service,
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                ),
            )
        self._use.of(chosen).in_flight += 1
        self._use.forget_others(usable)
        return Ok(DispatchPlan(endpoint=chosen))

    def release(
        self,
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """Count the end of a call, and a failure where there was one."""
        use = self._use.of(placement.endpoint)
        use.in_flight -= 1
        if tuple(failed):
            use.note_failing()

    def note_load(self, endpoint: ListedEndpoint, load: EndpointLoad) -> None:
        """Take in what an endpoint said of its load."""
        self._use.of(endpoint).take_report(
            ServiceLoad(
                in_flight=load.running + load.waiting,
                capacity=load.slots,
                leaving=False,
            ),
        )
