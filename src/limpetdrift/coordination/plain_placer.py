"""Chooses endpoints of plain services by load and recent failures."""

from collections.abc import Iterable
from itertools import count
from random import Random

from expression import Error, Ok, Result

from limpetdrift.coordination.endpoint_gate import (
    begin_placement,
    check_service,
    end_placement,
)
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

# Retry interval sent to callers while no endpoint is usable. A starting server
# is ready within about a second.
RETRY_AFTER_SECONDS = 0.3


class PlainPlacer:
    """Places calls of this entry on the endpoints of plain services."""

    def __init__(self, *, view: EndpointView, randomness: Random) -> None:
        self._view = view
        self._balancer = ServiceBalancer(randomness=randomness)
        self._numbers = count()

    async def place(
        self,
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        """Choose a usable endpoint and count a call in flight there.

        ``excluded`` holds names and lifetimes of endpoints not to use. Fails
        with ``NO_ENDPOINT`` if no other is usable, and with
        ``SERVICE_BACK_OFF`` if all that are usable asked for a back-off.
        """
        usable = self._view.usable(work.service)
        names = frozenset(name for name, _ in excluded)
        chosen = self._balancer.choose(
            self._view.back_offs.open_only(usable), names
        )
        if chosen is None:
            return Error(
                check_service(self._view, work.service)
                or not_run(
                    Reason.NO_ENDPOINT,
                    work.service,
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                ),
            )
        self._balancer.of(chosen).in_flight += 1
        self._balancer.forget_others(usable)
        placement = DispatchPlan(endpoint=chosen, number=next(self._numbers))
        begin_placement(self._view, work, placement)
        return Ok(placement)

    def release(
        self,
        work: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        """Count the end of a call, and a failure if ``failed`` names any."""
        usage = self._balancer.of(placement.endpoint)
        usage.in_flight -= 1
        end_placement(self._view, work, placement)
        if tuple(failed):
            usage.mark_failing()

    def apply_load(self, endpoint: ListedEndpoint, load: EndpointLoad) -> None:
        """Apply an endpoint's report of its load."""
        self._balancer.of(endpoint).apply_report(
            ServiceLoad(
                in_flight=load.running + load.waiting,
                capacity=load.slots,
                leaving=False,
            ),
        )
