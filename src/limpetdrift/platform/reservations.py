"""Sets memory of engines aside for prompts that one engine can't hold."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import count

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.forwarding import ReserveMemory
from limpetdrift.logs import note
from limpetdrift.platform.admission import EXPECTED_INSTANCE_HEADER
from limpetdrift.protocol.codec import json_request
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    not_run,
)
from limpetdrift.protocol.work import (
    DispatchPlan,
    Helper,
    ListedEndpoint,
    Reservation,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import OK, Request, parse_address

# Memory comes back by itself this long after its holder stopped renewing it,
# under the time in which unused memory must be free again.
HOLD_SECONDS = 3.2
RENEW_SECONDS = 1.0
ORDER_SECONDS = 0.8
_RELEASE_TRIES = 3
_MILLISECONDS = 1000
_ORDER_PATH = '/-/order'


def make_reserver(client: HttpClient, name: str) -> ReserveMemory:
    """Return the function that holds a placement's memory.

    ``name`` makes this process's identifiers differ from all others'.
    """
    numbers = count()

    @asynccontextmanager
    async def hold(placement: DispatchPlan) -> AsyncIterator[DispatchPlan]:
        if not placement.reserved:
            yield placement
            return
        reservations = tuple(
            Reservation(
                endpoint=endpoint,
                identifier=f'{name}-{next(numbers)}',
                tokens=tokens,
            )
            for endpoint, tokens in placement.reserved
        )
        try:
            async with _kept(client, reservations):
                yield _with_reservations(placement, reservations)
        finally:
            await _free_all(client, reservations)

    return hold


@asynccontextmanager
async def _kept(
    client: HttpClient,
    reservations: tuple[Reservation, ...],
) -> AsyncIterator[None]:
    """Take all memory, and renew it while the body runs."""
    await _take_all(client, reservations)
    raised: Exception | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_renew, client, reservations)
        try:
            yield
        except Exception as error:
            # Raised below, since a nursery would wrap it in a group.
            raised = error
        nursery.cancel_scope.cancel()
    if raised is not None:
        raise raised


async def _take_all(
    client: HttpClient,
    reservations: tuple[Reservation, ...],
) -> None:
    failures: list[Failure] = []

    async def take(reservation: Reservation) -> None:
        answer = await _order(client, reservation.endpoint, _body(reservation))
        if answer.is_error():
            failures.append(answer.error)

    async with trio.open_nursery() as nursery:
        for reservation in reservations:
            nursery.start_soon(take, reservation)
    if failures:
        telemetry.count('reservation_failures', reason=failures[0].reason)
        raise FailureError(failures[0])


async def _renew(
    client: HttpClient,
    reservations: tuple[Reservation, ...],
) -> None:
    while True:
        await trio.sleep(RENEW_SECONDS)
        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(
                    _order,
                    client,
                    reservation.endpoint,
                    _body(reservation),
                )


async def _free_all(
    client: HttpClient,
    reservations: tuple[Reservation, ...],
) -> None:
    """Release all memory, also while the request is being cancelled."""
    with trio.CancelScope(shield=True):
        async with trio.open_nursery() as nursery:
            for reservation in reservations:
                nursery.start_soon(_free, client, reservation)


async def _free(client: HttpClient, reservation: Reservation) -> None:
    body = {'operation': 'release', 'id': reservation.identifier}
    for _ in range(_RELEASE_TRIES):
        answer = await _order(client, reservation.endpoint, body)
        if answer.is_ok():
            return
    note(
        'memory could not be released, it expires by itself',
        endpoint=reservation.endpoint.name,
        tokens=reservation.tokens,
        reason=answer.error.reason,
    )


async def _order(
    client: HttpClient,
    endpoint: ListedEndpoint,
    body: dict[str, object],
) -> Result[None, Failure]:
    request = json_request('POST', _ORDER_PATH, body)
    answer = await client.fetch(
        parse_address(endpoint.address),
        _expecting(request, endpoint),
        timeout_seconds=ORDER_SECONDS,
        new_connection=True,
    )
    telemetry.count('orders', operation=str(body['operation']))
    return answer.bind(
        lambda response: (
            Ok(None)
            if response.status == OK
            else Error(not_run(Reason.NO_MEMORY, f'status {response.status}'))
        ),
    )


def _expecting(request: Request, endpoint: ListedEndpoint) -> Request:
    expected = (EXPECTED_INSTANCE_HEADER, endpoint.name)
    return replace(request, headers=(*request.headers, expected))


def _body(reservation: Reservation) -> dict[str, object]:
    return {
        'operation': 'reserve',
        'id': reservation.identifier,
        'tokens': reservation.tokens,
        'holdMs': int(HOLD_SECONDS * _MILLISECONDS),
        'wait': False,
    }


def _with_reservations(
    placement: DispatchPlan,
    reservations: tuple[Reservation, ...],
) -> DispatchPlan:
    """Name the reservations, those that hold memory first.

    Memory is filled in the order of the helpers.
    """
    held = {each.endpoint.identity: each.identifier for each in reservations}
    helpers = [
        Helper(
            endpoint=each.endpoint,
            reservation=held.get(each.endpoint.identity, ''),
        )
        for each in placement.helpers
    ]
    helpers.sort(key=lambda helper: not helper.reservation)
    return replace(placement, helpers=tuple(helpers))
