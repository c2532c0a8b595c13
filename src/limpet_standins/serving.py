"""Serves stand-ins over HTTP, and prints their addresses in a line of JSON."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import trio

from limpet_standins.controls import Controls
from limpetdrift import logs
from limpetdrift.protocol.codec import decode, encode_line, json_response
from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.messages import parse_listen_address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import (
    Exchange,
    Handler,
    Server,
    bound_address,
    listen,
)

Message = TypeVar('Message')
BODY_LIMIT_BYTES = 67_108_864
_BAD_INPUT = 400
_CONTROL = '/control/'
_COMMON_PATHS = frozenset(('/healthz', '/load'))


@dataclass(frozen=True, kw_only=True)
class StandIn:
    """A stand-in's routes, its controls and its background tasks.

    ``fallback`` handles the paths that are not common to all stand-ins.
    """

    name: str
    controls: Controls
    routes: Routes
    tasks: tuple[Callable[[], Awaitable[None]], ...] = ()
    fallback: Handler | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Handle one exchange under the faults that are set."""
        handler = self._choose_handler(exchange.request.path)
        await self.controls.guard(handler)(exchange)

    def _choose_handler(self, path: str) -> Handler:
        common = path in _COMMON_PATHS or path.startswith(_CONTROL)
        if self.fallback is None or common:
            return self.routes.handle
        return self.fallback


# Makes a stand-in from its address and a callback that ends it.
StandInFactory = Callable[[str, Callable[[], None]], StandIn]


def make_stand_in(
    *,
    name: str,
    controls: Controls,
    tasks: tuple[Callable[[], Awaitable[None]], ...] = (),
    fallback: Handler | None = None,
) -> StandIn:
    """Return a stand-in with its control routes.

    ``fallback`` handles all paths other than ``/healthz``, ``/load`` and those
    below ``/control/``; without one, the routes do.
    """
    routes = Routes()
    controls.add_routes(routes)
    return StandIn(
        name=name,
        controls=controls,
        routes=routes,
        tasks=tasks,
        fallback=fallback,
    )


async def read_body(
    exchange: Exchange,
    kind: type[Message],
) -> Message | None:
    """Return the decoded body; respond with 400 and return None if invalid."""
    decoded = decode(exchange.request.body, kind)
    if decoded.is_ok():
        return decoded.ok
    await refuse(exchange, _BAD_INPUT, 'bad-request')
    return None


async def refuse(
    exchange: Exchange,
    status: int,
    code: str,
    **details: Any,
) -> None:
    """Respond with a refusal: a status, a code and details in JSON."""
    body = {'code': code, **details}
    await exchange.respond(json_response(body, status=status))


def run_stand_in(
    factory: Callable[[str], StandIn], listen_address: str
) -> None:
    """Run the stand-in that ``factory`` makes for the bound address."""
    trio.run(_run, factory, listen_address)


def run_several(factories: dict[str, StandInFactory]) -> None:
    """Run named stand-ins in one process, each on its own port."""
    trio.run(_run_several, factories)


async def _run(factory: Callable[[str], StandIn], listen_address: str) -> None:
    async with trio.open_nursery() as nursery:
        listeners = await listen(parse_listen_address(listen_address))
        address = str(bound_address(listeners))
        stand_in = factory(address)
        logs.set_up(stand_in.name, 'warning')
        await nursery.start(_serve, stand_in, listeners)
        _announce({'name': stand_in.name, 'address': address})


async def _run_several(factories: dict[str, StandInFactory]) -> None:
    addresses = {}
    async with trio.open_nursery() as nursery:
        for name, factory in factories.items():
            addresses[name] = await nursery.start(_run_until_ended, factory)
        logs.set_up(next(iter(factories)), 'warning')
        _announce(addresses)


async def _run_until_ended(
    factory: StandInFactory,
    *,
    task_status: trio.TaskStatus,
) -> None:
    """Run one stand-in until a fault ends it and closes its connections."""
    listeners = await listen(parse_listen_address('127.0.0.1:0'))
    address = str(bound_address(listeners))
    with trio.CancelScope() as scope:
        stand_in = factory(address, scope.cancel)
        async with trio.open_nursery() as nursery:
            await nursery.start(_serve, stand_in, listeners)
            task_status.started(address)


async def _serve(
    stand_in: StandIn,
    listeners: list[trio.SocketListener],
    *,
    task_status: trio.TaskStatus,
) -> None:
    server = Server(
        handler=stand_in.handle,
        limits=ServerLimits(body_bytes=BODY_LIMIT_BYTES),
    )

    async def serve(stream: trio.abc.Stream) -> None:
        await stand_in.controls.serve_stream(stream, server.handle_stream)

    async with trio.open_nursery() as nursery:
        for task in stand_in.tasks:
            nursery.start_soon(task)
        await nursery.start(trio.serve_listeners, serve, listeners)
        task_status.started()


def _announce(addresses: dict[str, str]) -> None:
    line = encode_line(addresses).decode()
    sys.stdout.write(line)
    sys.stdout.flush()
