"""A stand-in for a plain service, whose responses depend on the call alone.

Run it with ``python -m limpet_standins.service --name kiosk-desk-1``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from itertools import count
from typing import Annotated

import cappa
import trio

from limpet_standins.controls import Controls
from limpet_standins.serving import (
    StandIn,
    make_stand_in,
    run_stand_in,
)
from limpetdrift.protocol.codec import JSON_HEADERS, encode, json_response
from limpetdrift.transport.messages import Headers, Request, Response
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

REQUEST_KEY_HEADER = 'x-request-key'
ATTEMPT_HEADER = 'x-attempt'


def expected_body(method: str, path: str, body: bytes) -> bytes:
    """Return the body of the response to a call.

    >>> expected_body('POST', '/vans', b'a')
    b'{"method":"POST","path":"/vans","received":"a"}'
    """
    received = body.decode('utf-8', 'replace')
    return encode({'method': method, 'path': path, 'received': received})


def _echoed_headers(request: Request) -> Headers:
    return tuple(
        (name, request.header(name))
        for name in (REQUEST_KEY_HEADER, ATTEMPT_HEADER)
    )


class PlainService:
    """Runs up to ``capacity`` calls at a time, each for ``work_seconds``."""

    def __init__(
        self,
        *,
        name: str,
        controls: Controls,
        capacity: int,
        work_seconds: float,
    ) -> None:
        self._name = name
        self._controls = controls
        self._capacity = capacity
        self._work_seconds = work_seconds
        self._in_flight = 0
        self._run_numbers = count(1)

    async def load(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the load."""
        load = {
            'in_flight': self._in_flight,
            'capacity': self._capacity,
            'leaving': self._controls.faults.leaving,
        }
        await exchange.respond(json_response(load))

    async def call(self, exchange: Exchange) -> None:
        """Run one call, or refuse it with 503 when leaving or overloaded."""
        refusal = self._find_refusal()
        if refusal:
            await exchange.respond(
                json_response(
                    {'code': refusal},
                    status=HTTPStatus.SERVICE_UNAVAILABLE,
                    headers=_echoed_headers(exchange.request),
                ),
            )
            return
        self._in_flight += 1
        try:
            await self._run(exchange)
        finally:
            self._in_flight -= 1

    def _find_refusal(self) -> str:
        faults = self._controls.faults
        if faults.leaving:
            return 'leaving'
        full = self._in_flight >= self._capacity
        return 'overloaded' if full or faults.overloaded else ''

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        number = next(self._run_numbers)
        faults = self._controls.faults
        self._controls.record(
            'ran',
            request_key=request.header(REQUEST_KEY_HEADER),
            attempt=request.header(ATTEMPT_HEADER),
            method=request.method,
            path=request.path,
        )
        kill_text = faults.kill_on_text.encode()
        if kill_text and kill_text in request.body:
            self._controls.end()
        await trio.sleep(self._work_seconds * faults.slow)
        headers = (
            *JSON_HEADERS,
            *_echoed_headers(request),
            ('x-instance', self._name),
            ('x-run', str(number)),
        )
        body = expected_body(request.method, request.path, request.body)
        await exchange.respond(
            Response(status=HTTPStatus.OK, headers=headers, body=body),
        )


def make_service(
    *,
    name: str = 'service-1',
    capacity: int = 64,
    work_seconds: float = 0.01,
    end: Callable[[], None] | None = None,
) -> StandIn:
    """Return a plain service; ``end`` replaces ending the process."""
    controls = Controls()
    if end is not None:
        controls.end = end
    service = PlainService(
        name=name,
        controls=controls,
        capacity=capacity,
        work_seconds=work_seconds,
    )
    stand_in = make_stand_in(
        name=name,
        controls=controls,
        fallback=service.call,
    )
    stand_in.routes.add('GET', '/load', service.load)
    return stand_in


@cappa.command(name='limpet-service')
@dataclass
class ServiceCommand:
    """Run a stand-in of a plain service."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'service-1'
    capacity: Annotated[int, cappa.Arg(long=True)] = 64
    work_seconds: Annotated[float, cappa.Arg(long=True)] = 0.01

    def __call__(self) -> None:
        """Run until stopped."""
        run_stand_in(self._make, self.listen)

    def _make(self, _address: str) -> StandIn:
        return make_service(
            name=self.name,
            capacity=self.capacity,
            work_seconds=self.work_seconds,
        )


if __name__ == '__main__':
    cappa.invoke(ServiceCommand)
