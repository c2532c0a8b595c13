"""What the rest of an entry provides to the forwarder of requests."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

import trio
from expression import Ok, Result

from limpetdrift.coordination.crashes.crash_guard import BrokenAttempt
from limpetdrift.coordination.forwarding.endpoint_response import SendRequest
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    EndpointIdentity,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.messages import Response
from limpetdrift.verdict import Failure

PlaceRequest = Callable[
    [CallerRequest, frozenset[EndpointIdentity]],
    Awaitable[Result[DispatchPlan, Failure]],
]
# Ends a placement; the last argument lists the endpoints that failed it.
ReleasePlacement = Callable[
    [CallerRequest, DispatchPlan, Iterable[ListedEndpoint]], None
]
# Returns what to use now in place of a tentative placement whose delay is over;
# it may have a further delay. The failure refuses the request.
ConfirmPlacement = Callable[
    [CallerRequest, DispatchPlan], Awaitable[Result[DispatchPlan, Failure]]
]
# Reserves a placement's memory while the context is open; raises
# ``FailureError`` if the memory is taken.
ReserveMemory = Callable[
    [DispatchPlan], AbstractAsyncContextManager[DispatchPlan]
]
# Holds other requests like one back, if that may crash endpoints, while the
# context is open. The arguments are the request and the endpoints that it has
# tried; the value adds those that it may not use. Raises ``FailureError``.
IsolateAttempt = Callable[
    [CallerRequest, frozenset[EndpointIdentity]],
    AbstractAsyncContextManager[frozenset[EndpointIdentity]],
]


@asynccontextmanager
async def run_at_once(
    request: CallerRequest, tried: frozenset[EndpointIdentity]
) -> AsyncIterator[frozenset[EndpointIdentity]]:
    """Run an attempt without isolation, at endpoints that it has not tried."""
    yield tried


async def keep_placement(
    request: CallerRequest, placement: DispatchPlan
) -> Result[DispatchPlan, Failure]:
    """Use a tentative placement as it is."""
    await trio.lowlevel.checkpoint()
    return Ok(placement.as_due())


@dataclass(frozen=True, kw_only=True)
class ForwardingInputs:
    """What the rest of the entry provides to the forwarder.

    ``check`` returns the failure for a request that must not be sent now, else
    ``None``.
    ``render`` turns a failure into the response to the caller.
    ``report_broken_connection`` is called when a connection breaks while an
    attempt runs, and ``report_harmless`` when an endpoint has answered a
    request, or has done so for a while. ``isolate`` waits until an attempt may
    be placed, and yields the endpoints that it may not use; ``is_suspected``
    returns whether a request may crash endpoints, and ``is_cut_off`` whether a
    peer has to pass it on since this entry does not reach its service.
    ``report_silence`` is called when an endpoint has not begun to answer in
    time. ``confirm`` is called for tentative placements only.
    """

    place: PlaceRequest
    release: ReleasePlacement
    reserve_memory: ReserveMemory
    send: SendRequest
    check: Callable[[CallerRequest], Failure | None]
    render: Callable[[Failure], Response]
    report_broken_connection: Callable[[BrokenAttempt], None]
    report_harmless: Callable[[CallerRequest], None]
    view: EndpointView
    budget: RetryBudget
    clock: Callable[[], float]
    randomness: random.Random
    isolate: IsolateAttempt = run_at_once
    is_suspected: Callable[[CallerRequest], bool] = lambda request: False
    is_cut_off: Callable[[CallerRequest], bool] = lambda request: False
    report_silence: Callable[[ListedEndpoint], None] = lambda endpoint: None
    confirm: ConfirmPlacement = keep_placement
