"""Chooses endpoints of plain services by load and recent failures."""

from collections.abc import Iterable
from itertools import count
from random import Random

from expression import Error, Ok, Result

from limpetdrift.coordination.endpoints.endpoint_gate import (
    begin_placement,
    check_service,
    end_placement,
)
from limpetdrift.coordination.planning.permit_client import PermitClient
from limpetdrift.protocol.service import ServiceLoad
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    EndpointLoad,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.service_balancer import ServiceBalancer
from limpetdrift.verdict import Failure, Reason, not_run

# Retry interval sent to callers while no endpoint is usable. A starting server
# is ready within about a second.
RETRY_AFTER_SECONDS = 0.3


class PlainPlacer:
    """Places calls of this entry on the endpoints of plain services."""

    def __init__(
        self,
        *,
        view: EndpointView,
        permit_client: PermitClient,
        randomness: Random,
    ) -> None:
        self._view = view
        self._permit_client = permit_client
        self._balancer = ServiceBalancer(
            randomness=randomness, identify=lambda endpoint: endpoint.identity
        )
        self._numbers = count()

    async def place(
        self,
        work: CallerRequest,
        excluded: frozenset[EndpointIdentity],
    ) -> Result[DispatchPlan, Failure]:
        """Choose a usable endpoint and count a call in flight there.

        ``excluded`` holds names and lifetimes of endpoints not to use. Fails
        with ``NO_ENDPOINT`` if no other is usable, with ``SERVICE_BACK_OFF`` if
        all that are usable asked for a back-off, and with ``OVERLOADED`` if the
        rate limits of all are used up.
        """
        usable = self._view.usable(work.service)
        is_open = self._view.back_offs.open_only(usable)
        chosen = await self._choose(is_open, excluded)
        if chosen.is_error():
            return Error(
                check_service(self._view, work.service) or chosen.error
            )
        endpoint = chosen.ok
        self._balancer.of(endpoint).in_flight += 1
        self._balancer.forget_others(usable)
        is_limited = self._view.limits.is_limited(endpoint.identity)
        placement = DispatchPlan(
            endpoint=endpoint,
            number=next(self._numbers),
            permitted=frozenset((endpoint.identity,) if is_limited else ()),
        )
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

    def blame(self, failed: Iterable[ListedEndpoint]) -> None:
        """Prefer other endpoints for a while to those that failed."""
        for endpoint in failed:
            self._balancer.of(endpoint).mark_failing()

    def apply_load(self, endpoint: ListedEndpoint, load: EndpointLoad) -> None:
        """Apply an endpoint's report of its load."""
        self._balancer.of(endpoint).apply_report(
            ServiceLoad(
                in_flight=load.running + load.waiting,
                capacity=load.slots,
                leaving=False,
            ),
        )

    async def _choose(
        self,
        endpoints: tuple[ListedEndpoint, ...],
        excluded: frozenset[EndpointIdentity],
    ) -> Result[ListedEndpoint, Failure]:
        """Choose an endpoint, with a permit for it if it limits its rate.

        Callers are refused for want of a permit only if no endpoint without
        a limit is left.
        """
        limited = self._limited_among(endpoints)
        unlimited = endpoints
        if limited:
            unlimited = tuple(each for each in endpoints if each not in limited)
        worth_asking = tuple(
            each for each in limited if not self._permit_client.is_refused(each)
        )
        chosen = self._balancer.choose((*unlimited, *worth_asking), excluded)
        if chosen in worth_asking:
            # An endpoint that failed this request is the last choice.
            has_other = any(each.identity not in excluded for each in unlimited)
            asked = (chosen,) if has_other else (chosen, *worth_asking)
            permitted = await self._permit_client.acquire(asked, is_final=False)
            if permitted.is_ok():
                return permitted
            chosen = self._balancer.choose(unlimited, excluded)
        if chosen is not None:
            return Ok(chosen)
        if limited:
            return await self._choose_limited(limited, excluded)
        return Error(
            not_run(
                Reason.NO_ENDPOINT,
                'no endpoint is usable',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        )

    def _limited_among(
        self, endpoints: tuple[ListedEndpoint, ...]
    ) -> tuple[ListedEndpoint, ...]:
        limits = self._view.limits
        if not limits:
            return ()
        return tuple(
            each for each in endpoints if limits.is_limited(each.identity)
        )

    async def _choose_limited(
        self,
        limited: tuple[ListedEndpoint, ...],
        excluded: frozenset[EndpointIdentity],
    ) -> Result[ListedEndpoint, Failure]:
        """Get a permit for any of the endpoints, or a time to retry."""
        ordered = sorted(
            limited,
            key=lambda each: (
                each.identity in excluded,
                self._balancer.of(each).pressure,
            ),
        )
        return await self._permit_client.acquire(tuple(ordered), is_final=True)
