"""Runs a stand-in for the platform's object store.

It stores whole bodies by name, and limits the rates of reads and writes as the
platform does. Run it with ``python -m limpet_standins.objects``.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated

import cappa

from limpet_standins.controls import Controls
from limpet_standins.rates import RateLimit, refuse_over_rate
from limpet_standins.serving import StandIn, make_stand_in, run_stand_in
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

_PATTERN = '/objects/{name}'


class ObjectStore:
    """The handlers below ``/objects``, and the objects in memory."""

    def __init__(
        self,
        *,
        controls: Controls,
        writes: RateLimit,
        reads: RateLimit,
    ) -> None:
        self._controls = controls
        self._writes = writes
        self._reads = reads
        self._objects: dict[str, bytes] = {}

    async def put(self, exchange: Exchange, params: Parameters) -> None:
        """Store a body, or replace the stored one."""
        if await refuse_over_rate(exchange, self._writes):
            return
        self._objects[params['name']] = exchange.request.body
        self._controls.record('put', name=params['name'])
        await exchange.respond(Response(status=HTTPStatus.CREATED))

    async def show(self, exchange: Exchange, params: Parameters) -> None:
        """Respond with the body of an object."""
        if await refuse_over_rate(exchange, self._reads):
            return
        body = self._objects.get(params['name'])
        if body is None:
            await exchange.respond(Response(status=HTTPStatus.NOT_FOUND))
            return
        await exchange.respond(Response(status=HTTPStatus.OK, body=body))

    async def delete(self, exchange: Exchange, params: Parameters) -> None:
        """Remove a body; one that does not exist is no error."""
        if await refuse_over_rate(exchange, self._writes):
            return
        self._objects.pop(params['name'], None)
        self._controls.record('deleted', name=params['name'])
        await exchange.respond(Response(status=HTTPStatus.NO_CONTENT))


def _is_write(request: Request) -> bool:
    return request.method != 'GET'


def make_object_store(
    *,
    name: str = 'objects',
    writes_per_second: float = 400,
    reads_per_second: float = 2000,
) -> StandIn:
    """Return an empty object store."""
    controls = Controls(counts_as_lost=_is_write)
    store = ObjectStore(
        controls=controls,
        writes=RateLimit(per_second=writes_per_second),
        reads=RateLimit(per_second=reads_per_second),
    )
    stand_in = make_stand_in(name=name, controls=controls)
    stand_in.routes.add('PUT', _PATTERN, store.put)
    stand_in.routes.add('GET', _PATTERN, store.show)
    stand_in.routes.add('DELETE', _PATTERN, store.delete)
    return stand_in


@cappa.command(name='limpet-objects')
@dataclass
class ObjectsCommand:
    """Run a stand-in of the platform's object store."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'objects'

    def __call__(self) -> None:
        """Run until stopped."""
        run_stand_in(
            lambda _address: make_object_store(name=self.name),
            self.listen,
        )


if __name__ == '__main__':
    cappa.invoke(ObjectsCommand)
