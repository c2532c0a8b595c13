"""Gets permits for calls to plain endpoints that limit their rate.

Prompts need none: the planner that places them permits them at once.
"""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_permits import EndpointPermits
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.planning.plan_making import endpoint_id_of
from limpetdrift.protocol.limits import PERMIT_PATH, Permit, PermitRequest
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.work import EndpointIdentity, ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Failure, Reason, not_run

# Timeout of a request for a permit. A decider answers within a few
# milliseconds; one that doesn't delays a call by this time at most.
PERMIT_TIMEOUT_SECONDS = 0.08
# An endpoint with a lower limit, in calls a second, is asked for as often.
_MIN_RATE = 1.0
# Retry interval sent to callers while the decider is out of reach.
_RETRY_AFTER_SECONDS = 0.3


@dataclass(frozen=True, kw_only=True)
class PermitClientInputs:
    """What a client needs of its entry.

    ``find_decider`` returns the entry that decides for an endpoint, ``None`` if
    it is this one. ``record_unreachable`` is told of a decider that fails.
    ``clock`` returns seconds.
    """

    view: EndpointView
    permits: EndpointPermits
    find_decider: Callable[[ListedEndpoint], Node | None]
    record_unreachable: Callable[[Node, Failure], None]
    call: PeerCall
    clock: Callable[[], float]


class PermitClient:
    """Asks the deciders of endpoints for permits, and answers as one.

    ``permits`` are those that this entry grants.
    """

    def __init__(self, *, inputs: PermitClientInputs) -> None:
        self._inputs = inputs
        self._refused_until: dict[EndpointIdentity, float] = {}
        self.permits = inputs.permits

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler of peers' requests."""
        peer_routes.add(PERMIT_PATH, PermitRequest, self._answer)

    def is_refused(self, endpoint: ListedEndpoint) -> bool:
        """Return whether a permit for an endpoint was refused just now.

        Asking again for each call would delay all calls of the service.
        """
        until = self._refused_until.get(endpoint.identity)
        if until is None:
            return False
        if until <= self._inputs.clock():
            self._refused_until.pop(endpoint.identity)
            return False
        return True

    async def acquire_for_probe(self, endpoint: ListedEndpoint) -> bool:
        """Return whether an endpoint may get a probe of the link to it now."""
        if self.is_refused(endpoint):
            return False
        permitted = await self.acquire((endpoint,), is_final=False)
        return permitted.is_ok()

    async def acquire(
        self, endpoints: tuple[ListedEndpoint, ...], *, is_final: bool
    ) -> Result[ListedEndpoint, Failure]:
        """Get a permit for one of the endpoints, the first choice first.

        The decider of the first one is asked. If ``is_final`` is set, the call
        is refused if none is granted, and the failure has a time to retry.
        """
        limits = self._inputs.view.limits
        records = (limits.record_of(each.identity) for each in endpoints)
        request = PermitRequest(
            service=endpoints[0].service,
            endpoints=tuple(map(endpoint_id_of, endpoints)),
            records=tuple(filter(None, records)),
            is_final=is_final,
        )
        decider = self._inputs.find_decider(endpoints[0])
        if decider is None:
            answer = await self._answer(request)
        else:
            answer = await self._ask(decider, request)
        if answer.is_error():
            self._record_refusal(endpoints)
        return answer.bind(self._find_permitted)

    def _record_refusal(self, endpoints: tuple[ListedEndpoint, ...]) -> None:
        limits = self._inputs.view.limits
        now = self._inputs.clock()
        for endpoint in endpoints:
            rate = max(_MIN_RATE, limits.rate_of(endpoint.identity))
            self._refused_until[endpoint.identity] = now + 1 / rate

    async def _ask(
        self, decider: Node, request: PermitRequest
    ) -> Result[Permit, Failure]:
        answer = await self._inputs.call(
            decider.peer_address,
            PERMIT_PATH,
            request,
            Permit,
            timeout_seconds=PERMIT_TIMEOUT_SECONDS,
        )
        if answer.is_ok() or answer.error.reason is Reason.OVERLOADED:
            return answer
        self._inputs.record_unreachable(decider, answer.error)
        return Error(
            not_run(
                Reason.NO_ENDPOINT,
                'the decider on rate limits is out of reach',
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        )

    async def _answer(self, message: PermitRequest) -> Result[Permit, Failure]:
        """Permit a call to the first endpoint that has calls left."""
        view = self._inputs.view
        permits = self.permits
        for record in message.records:
            view.limits.merge(record)
        endpoints = tuple(
            endpoint
            for each in message.endpoints
            if (endpoint := view.find(each.name, each.lifetime))
        )
        for endpoint in endpoints:
            if permits.may_call(endpoint) or permits.may_try(endpoint):
                permits.take(endpoint)
                telemetry.count('permits', outcome='granted')
                return Ok(Permit(endpoint=endpoint_id_of(endpoint)))
        telemetry.count('permits', outcome='refused')
        if message.is_final:
            return Error(permits.refuse(message.service, endpoints))
        return Error(not_run(Reason.OVERLOADED, 'rate limit used up'))

    def _find_permitted(
        self, permit: Permit
    ) -> Result[ListedEndpoint, Failure]:
        found = self._inputs.view.find(
            permit.endpoint.name, permit.endpoint.lifetime
        )
        if found is None:
            return Error(not_run(Reason.NO_ENDPOINT, 'no longer listed'))
        return Ok(found)
