"""The front that callers on the platform connect to."""

from collections.abc import Callable
from dataclasses import dataclass

from limpetdrift import telemetry
from limpetdrift.coordination.drain import Drain
from limpetdrift.coordination.forwarding import Forwarder
from limpetdrift.logs import note
from limpetdrift.platform.admission import (
    REQUEST_ID_HEADER,
    AdmissionInputs,
    admit,
)
from limpetdrift.platform.failure_responses import RenderFailure
from limpetdrift.protocol.verdict import Failure
from limpetdrift.transport.server import Exchange, Handler


@dataclass(frozen=True, kw_only=True)
class CallerFront:
    """What the handler of callers' requests needs."""

    admission: AdmissionInputs
    forwarder: Forwarder
    render: RenderFailure
    drain: Callable[[], Drain]


def make_caller_handler(front: CallerFront) -> Handler:
    """Return the handler of callers' requests."""

    async def serve(exchange: Exchange) -> None:
        drain = front.drain()
        if drain.is_leaving:
            exchange.close_afterwards()
        admitted = drain.admit()
        if admitted.is_error():
            await refuse(exchange, admitted.error)
            return
        work = admit(exchange.request, front.admission)
        if work.is_error():
            await refuse(exchange, work.error)
            return
        await front.forwarder.serve(work.ok, exchange)

    async def refuse(exchange: Exchange, failure: Failure) -> None:
        routes = front.admission.routes
        telemetry.count('requests', outcome=failure.reason)
        note(
            'request refused',
            id=exchange.request.header(REQUEST_ID_HEADER),
            reason=failure.reason,
            detail=failure.detail,
            version=routes.version,
            age_seconds=round(routes.age_seconds(), 3),
        )
        await exchange.respond(front.render(failure))

    return serve
