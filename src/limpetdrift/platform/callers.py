"""Handles the requests of callers on the platform."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from limpetdrift import telemetry
from limpetdrift.coordination.forwarding.forwarding import (
    Forwarder,
)
from limpetdrift.coordination.membership.drain import Drain
from limpetdrift.logs import note
from limpetdrift.platform.admission import AdmissionInputs, admit
from limpetdrift.platform.carrying import ServeCarried, mark_carried
from limpetdrift.platform.failure_responses import RenderFailure
from limpetdrift.platform.header_names import REQUEST_ID_HEADER
from limpetdrift.protocol.route_table import RouteTable
from limpetdrift.protocol.work import CallerRequest
from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.server import Exchange, Handler, Server
from limpetdrift.verdict import Failure


@dataclass(frozen=True, kw_only=True)
class CallerHandlerInputs:
    """What the handler of callers' requests depends on.

    ``drain`` is a function, since the entry's drain is built after the handler.
    """

    admission: AdmissionInputs
    forwarder: Forwarder
    render: RenderFailure
    drain: Callable[[], Drain]


def make_caller_handler(inputs: CallerHandlerInputs) -> Handler:
    """Return the handler that admits and forwards callers' requests."""
    return partial(_serve, inputs, lambda request: request)


def make_carried_handler(inputs: CallerHandlerInputs) -> ServeCarried:
    """Return the handler of callers' requests that peers pass on."""

    async def serve(exchange: Exchange, attempts: int) -> None:
        await _serve(inputs, partial(mark_carried, attempts=attempts), exchange)

    return serve


async def _serve(
    inputs: CallerHandlerInputs,
    mark: Callable[[CallerRequest], CallerRequest],
    exchange: Exchange,
) -> None:
    drain = inputs.drain()
    if drain.is_leaving:
        exchange.close_afterwards()
    accepted = drain.admit()
    if accepted.is_error():
        await _refuse(inputs, exchange, accepted.error)
        return
    caller_request = admit(exchange.request, inputs.admission)
    if caller_request.is_error():
        await _refuse(inputs, exchange, caller_request.error)
        return
    await inputs.forwarder.serve(mark(caller_request.ok), exchange)


async def _refuse(
    inputs: CallerHandlerInputs, exchange: Exchange, failure: Failure
) -> None:
    routes = inputs.admission.routes
    telemetry.count('requests', outcome=failure.reason)
    note(
        'request refused',
        id=exchange.request.header(REQUEST_ID_HEADER),
        reason=failure.reason,
        detail=failure.detail,
        version=routes.version,
        age_seconds=round(routes.age_seconds(), 3),
    )
    await exchange.respond(inputs.render(failure))


def apply_limits(server: Server, table: RouteTable) -> None:
    """Make a server use the limits on callers of a route table."""
    limits = table.limits
    server.use_limits(
        ServerLimits(
            body_bytes=limits.body_bytes,
            header_bytes=limits.header_bytes,
            idle_seconds=limits.idle_seconds,
            # A wait of less than no time is an error of trio.
            head_seconds=max(0, limits.head_seconds),
        ),
    )
