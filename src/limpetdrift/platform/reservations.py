"""Reserves memory of engines for prompts that do not fit in one engine."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from itertools import count

import trio
from absl import logging
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.endpoints.endpoint_gate import EndpointGate
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ReserveMemory,
)
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.logs import note
from limpetdrift.platform.endpoint_signals import decode_signals
from limpetdrift.platform.header_names import EXPECTED_INSTANCE_HEADER
from limpetdrift.protocol.codec import json_request
from limpetdrift.protocol.work import (
    DispatchPlan,
    Helper,
    ListedEndpoint,
    Reservation,
)
from limpetdrift.supervision import keep_running, run_contained
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import OK, Request, parse_address
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    not_run,
)

# Lifetime of a reservation that is not renewed. It is shorter than the time
# within which unused memory must be free again.
RESERVATION_TTL_SECONDS = 3.2
RENEWAL_INTERVAL_SECONDS = 1.0
# The same at an engine that limits its rate, since renewals count towards it.
LIMITED_TTL_SECONDS = 3.7
LIMITED_RENEWAL_INTERVAL_SECONDS = 2.0
# Timeout of an order, which is repeated until the engine answers. It is longer
# than a pause of an engine that goes on.
ORDER_TIMEOUT_SECONDS = 2.0
_ORDER_RETRY_SECONDS = 0.1
# How long a request waits for the release of its memory, which then goes on in
# the background. A retry would compete with memory that is not yet free.
RELEASE_WAIT_SECONDS = 0.25
# Failures after which the engine may still carry out an order.
_SILENCE_REASONS = frozenset((Reason.CONNECT_TIMEOUT, Reason.TIMEOUT))
_MILLISECONDS = 1000
_ORDER_PATH = '/-/order'


@dataclass(frozen=True, kw_only=True, slots=True)
class _Orders:
    """The client that sends orders, and the gate that decides on them.

    ``reserved_at`` maps the identifiers of unreleased reservations to the trio
    time at which each was last ordered or renewed.
    """

    client: HttpClient
    gate: EndpointGate
    links: LinkMonitor
    reserved_at: dict[str, float] = field(default_factory=dict)


def make_reserver(
    client: HttpClient, name: str, gate: EndpointGate, links: LinkMonitor
) -> ReserveMemory:
    """Return the function that reserves a placement's memory.

    ``name`` is unique to this process, and so are its reservations'
    identifiers, which begin with it. While ``gate`` is closed to an engine,
    no memory is reserved there; what is reserved is renewed and released, since
    a prompt that runs would be cut off without its memory.
    """
    counter = count()
    orders = _Orders(client=client, gate=gate, links=links)

    @asynccontextmanager
    async def reserve(placement: DispatchPlan) -> AsyncIterator[DispatchPlan]:
        if not placement.reserved:
            yield placement
            return
        reservations = tuple(
            Reservation(
                endpoint=endpoint,
                identifier=f'{name}-{next(counter)}',
                tokens=tokens,
            )
            for endpoint, tokens in placement.reserved
        )
        now = trio.current_time()
        orders.reserved_at.update(
            (each.identifier, now) for each in reservations
        )
        try:
            async with _reserved(orders, reservations):
                yield _with_reservations(placement, reservations)
        finally:
            await _release_all(orders, reservations)

    return reserve


@asynccontextmanager
async def _reserved(
    orders: _Orders,
    reservations: tuple[Reservation, ...],
) -> AsyncIterator[None]:
    """Reserve all memory, and renew it while the context is open.

    Raises ``FailureError`` if an engine refuses, is in its back-off, or does
    not answer in time.
    """
    await _reserve_all(orders, reservations)
    raised: Exception | None = None
    async with trio.open_nursery() as nursery:
        for reservation in reservations:
            nursery.start_soon(
                keep_running,
                'reservation-renewal',
                _renew,
                orders,
                reservation,
            )
        try:
            yield
        except Exception as error:
            # Raised after the nursery, which would wrap it in a group.
            raised = error
        nursery.cancel_scope.cancel()
    if raised is not None:
        raise raised


async def _reserve_all(
    orders: _Orders,
    reservations: tuple[Reservation, ...],
) -> None:
    failures: list[Failure] = []

    async def reserve(reservation: Reservation) -> None:
        result = await _reserve(orders, reservation, RESERVATION_TTL_SECONDS)
        if result.is_error():
            failures.append(result.error)

    async with trio.open_nursery() as nursery:
        for reservation in reservations:
            nursery.start_soon(reserve, reservation)
    if failures:
        telemetry.count('reservation_failures', reason=failures[0].reason)
        raise FailureError(failures[0])


async def _reserve(
    orders: _Orders,
    reservation: Reservation,
    ttl_seconds: float,
    *,
    passes_gate: bool = False,
) -> Result[None, Failure]:
    orders.reserved_at[reservation.identifier] = trio.current_time()
    return await _repeat_order(
        orders,
        reservation.endpoint,
        _reserve_order(reservation, ttl_seconds),
        passes_gate=passes_gate,
    )


async def _renew(orders: _Orders, reservation: Reservation) -> None:
    ttl_seconds = RESERVATION_TTL_SECONDS
    while True:
        await trio.sleep(RENEWAL_INTERVAL_SECONDS)
        if orders.gate.is_limited(reservation.endpoint):
            # The longer interval needs the longer lifetime before it.
            if ttl_seconds == LIMITED_TTL_SECONDS:
                await _wait_limited_interval(orders, reservation)
            ttl_seconds = LIMITED_TTL_SECONDS
        else:
            ttl_seconds = RESERVATION_TTL_SECONDS
        await _reserve(orders, reservation, ttl_seconds, passes_gate=True)


async def _wait_limited_interval(
    orders: _Orders, reservation: Reservation
) -> None:
    reserved_at = orders.reserved_at[reservation.identifier]
    await trio.sleep_until(reserved_at + LIMITED_RENEWAL_INTERVAL_SECONDS)


async def _release_all(
    orders: _Orders,
    reservations: tuple[Reservation, ...],
) -> None:
    """Release all memory, even if the request has been cancelled."""
    is_released = trio.Event()

    async def release() -> None:
        try:
            async with trio.open_nursery() as nursery:
                for reservation in reservations:
                    nursery.start_soon(
                        run_contained,
                        'reservation-release',
                        _release,
                        orders,
                        reservation,
                    )
        except Exception:
            # An error that leaves a system task would end the process.
            logging.exception('reserved memory could not be released')
        is_released.set()

    trio.lowlevel.spawn_system_task(release)
    with trio.move_on_after(RELEASE_WAIT_SECONDS, shield=True):
        await is_released.wait()


async def _release(orders: _Orders, reservation: Reservation) -> None:
    """Release memory; at an engine with a limit in place of a renewal."""
    if orders.gate.is_limited(reservation.endpoint):
        await _wait_limited_interval(orders, reservation)
    orders.reserved_at.pop(reservation.identifier)
    body = {'operation': 'release', 'id': reservation.identifier}
    result = await _repeat_order(
        orders, reservation.endpoint, body, passes_gate=True
    )
    if result.is_error():
        note(
            'reserved memory could not be released, it will expire',
            endpoint=reservation.endpoint.name,
            tokens=reservation.tokens,
            reason=result.error.reason,
        )


async def _repeat_order(
    orders: _Orders,
    endpoint: ListedEndpoint,
    body: dict[str, object],
    *,
    passes_gate: bool = False,
) -> Result[None, Failure]:
    """Send an order until the engine answers it or the timeout has passed.

    While the gate is closed to the engine, one that ``passes_gate`` is sent
    once, and others are not sent.
    """
    deadline = trio.current_time() + ORDER_TIMEOUT_SECONDS
    while True:
        refusal = orders.gate.check_call(endpoint)
        if refusal is not None and not passes_gate:
            return Error(not_run(Reason.NO_MEMORY, refusal.detail))
        # A pause of the process may outlast the timeout.
        seconds_left = max(0, deadline - trio.current_time())
        result = await _send_order(orders, endpoint, body, seconds_left)
        retry_at = trio.current_time() + _ORDER_RETRY_SECONDS
        is_silent = (
            result.is_error() and result.error.reason in _SILENCE_REASONS
        )
        is_closed = orders.gate.check_call(endpoint) is not None
        if is_closed or not is_silent or retry_at >= deadline:
            return result
        await trio.sleep_until(retry_at)


async def _send_order(
    orders: _Orders,
    endpoint: ListedEndpoint,
    body: dict[str, object],
    timeout_seconds: float,
) -> Result[None, Failure]:
    request = json_request('POST', _ORDER_PATH, body)
    orders.gate.record_order(endpoint)
    result = await orders.client.fetch(
        parse_address(endpoint.address),
        _with_expected_instance(request, endpoint),
        timeout_seconds=timeout_seconds,
        new_connection=True,
    )
    telemetry.count('orders', operation=str(body['operation']))
    if result.is_error():
        orders.links.record_failure(endpoint, result.error.reason)
        return Error(result.error)
    orders.links.record_reached(endpoint)
    response = result.ok
    orders.gate.apply_signals(
        endpoint,
        decode_signals(endpoint, response.status, response.headers),
    )
    if response.status == OK:
        return Ok(None)
    return Error(not_run(Reason.NO_MEMORY, f'status {response.status}'))


def _with_expected_instance(
    request: Request, endpoint: ListedEndpoint
) -> Request:
    expected = (EXPECTED_INSTANCE_HEADER, endpoint.name)
    return replace(request, headers=(*request.headers, expected))


def _reserve_order(
    reservation: Reservation, ttl_seconds: float
) -> dict[str, object]:
    return {
        'operation': 'reserve',
        'id': reservation.identifier,
        'tokens': reservation.tokens,
        'holdMs': int(ttl_seconds * _MILLISECONDS),
        'wait': False,
    }


def _with_reservations(
    placement: DispatchPlan,
    reservations: tuple[Reservation, ...],
) -> DispatchPlan:
    """Return the placement with the helpers that have a reservation first.

    Engines fill memory in the order of the helpers.
    """
    identifiers = {
        each.endpoint.identity: each.identifier for each in reservations
    }
    helpers = [
        Helper(
            endpoint=each.endpoint,
            reservation=identifiers.get(each.endpoint.identity, ''),
        )
        for each in placement.helpers
    ]
    helpers.sort(key=lambda helper: not helper.reservation)
    return replace(placement, helpers=tuple(helpers))
