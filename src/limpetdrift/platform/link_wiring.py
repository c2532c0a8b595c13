"""Lets peers carry requests for services that this entry does not reach."""

from collections.abc import AsyncIterator, Iterable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, replace

from expression import Result

from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
    SendRequest,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
    IsolateAttempt,
    PlaceRequest,
    ReleasePlacement,
    run_at_once,
)
from limpetdrift.coordination.membership.carriers import DIGEST_NAME, Carriers
from limpetdrift.coordination.membership.link_monitor import (
    LinkMonitor,
    ProbeEndpoint,
)
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.platform.carrying import send_carried, send_for_peer
from limpetdrift.platform.endpoint_client import (
    PROBE_TIMEOUT_SECONDS,
    make_probe,
)
from limpetdrift.platform.planning_wiring import EntryContext
from limpetdrift.platform.reports import REPORT_PATH
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.transport.client import ClientLimits, HttpClient
from limpetdrift.verdict import Failure, Reason


@dataclass(frozen=True, kw_only=True, slots=True)
class CarrierLinks:
    """The links to endpoints, the peers, and the client for calls to these."""

    monitor: LinkMonitor
    carriers: Carriers
    client: HttpClient


def build_probe(routes: RouteTableCache) -> ProbeEndpoint:
    """Return the function that probes the link to an endpoint."""

    def find_path(name: str) -> str:
        service = routes.find_service(name)
        # Reports need no free slot.
        has_reports = service is None or service.engine is not None
        return '' if has_reports else service.health_path

    client = HttpClient(
        limits=ClientLimits(
            connect_seconds=PROBE_TIMEOUT_SECONDS, idle_connections=0
        )
    )
    return make_probe(client, lambda name: find_path(name) or REPORT_PATH)


def build_carriers(context: EntryContext, call: PeerCall) -> Carriers:
    """Return what peers tell of their links, joined to the membership."""
    membership = context.membership
    carriers = Carriers(
        node=context.node,
        live_entries=membership.live_entries,
        call=call,
        randomness=context.randomness,
    )
    context.links.on_change.append(carriers.tell)
    membership.register_digest(
        DIGEST_NAME, carriers.make_digest, carriers.replicator.on_digest
    )
    return carriers


def carry_if_cut(
    inputs: ForwardingInputs, links: CarrierLinks, blame: ReleasePlacement
) -> ForwardingInputs:
    """Return the inputs of a forwarder that uses peers while links are cut.

    ``blame`` records the endpoints that failed a placement that has ended.
    """
    return replace(
        inputs,
        place=_make_place(inputs.place, links),
        release=_make_release(inputs.release, blame, links.monitor),
        send=_make_send(inputs.send, links.client),
        isolate=_make_isolate(inputs, links.monitor),
        is_cut_off=lambda request: links.monitor.is_cut(request.service),
        report_silence=lambda endpoint: links.monitor.record_failure(
            endpoint, Reason.IDLE_TIMEOUT
        ),
    )


def _make_place(place: PlaceRequest, links: CarrierLinks) -> PlaceRequest:
    async def place_or_carry(
        request: CallerRequest, excluded: frozenset[EndpointIdentity]
    ) -> Result[DispatchPlan, Failure]:
        await links.monitor.settle(request.service)
        if links.monitor.is_cut(request.service):
            return links.carriers.place(request, excluded)
        return await place(request, excluded)

    return place_or_carry


def _make_release(
    release: ReleasePlacement, blame: ReleasePlacement, monitor: LinkMonitor
) -> ReleasePlacement:
    def release_and_blame(
        request: CallerRequest,
        placement: DispatchPlan,
        failed: Iterable[ListedEndpoint],
    ) -> None:
        if placement.is_carried:
            return
        blamed = tuple(failed)
        release(request, placement, ())
        if blamed:
            monitor.blame(
                request.service,
                lambda: blame(request, placement, blamed),
            )

    return release_and_blame


def _make_send(send: SendRequest, client: HttpClient) -> SendRequest:
    def send_or_carry(
        request: CallerRequest,
        placement: DispatchPlan,
        seconds_left: float,
        last_event_id: int | None,
    ) -> AbstractAsyncContextManager[EndpointResponse]:
        if placement.is_carried:
            return send_carried(
                client, request, placement, seconds_left, last_event_id
            )
        if request.is_carried:
            return send_for_peer(
                send, request, placement, seconds_left, last_event_id
            )
        return send(request, placement, seconds_left, last_event_id)

    return send_or_carry


def _make_isolate(
    inputs: ForwardingInputs, monitor: LinkMonitor
) -> IsolateAttempt:
    """Leave the isolation of carried requests to the peer."""

    @asynccontextmanager
    async def isolate(
        request: CallerRequest, tried: frozenset[EndpointIdentity]
    ) -> AsyncIterator[frozenset[EndpointIdentity]]:
        await monitor.settle(request.service)
        is_cut = monitor.is_cut(request.service)
        wait = run_at_once if is_cut else inputs.isolate
        async with wait(request, tried) as excluded:
            yield excluded

    return isolate
