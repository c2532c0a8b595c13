"""Serves a stand-in on a loopback address and says where, in one line."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import trio

from limpet_standins.controls import Controls
from limpetdrift import logs
from limpetdrift.protocol.codec import decode, encode_line, json_response
from limpetdrift.transport.messages import parse_address
from limpetdrift.transport.routing import Routes
from limpetdrift.transport.server import (
    Exchange,
    Handler,
    Server,
    ServerLimits,
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
    """A stand-in's routes, its controls and its background tasks."""

    name: str
    controls: Controls
    routes: Routes
    tasks: tuple[Callable[[], Awaitable[None]], ...] = ()
    fallback: Handler | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Answer one exchange, hindered by the faults that are set."""
        handler = self._choose(exchange.request.path)
        await self.controls.guard(handler)(exchange)

    def _choose(self, path: str) -> Handler:
        common = path in _COMMON_PATHS or path.startswith(_CONTROL)
        if self.fallback is None or common:
            return self.routes.handle
        return self.fallback


# Makes a stand-in for its address; the call that it gets ends it.
StandInFactory = Callable[[str, Callable[[], None]], StandIn]


def make_stand_in(
    *,
    name: str,
    controls: Controls,
    tasks: tuple[Callable[[], Awaitable[None]], ...] = (),
    fallback: Handler | None = None,
) -> StandIn:
    """Return a stand-in with its control routes.

    ``fallback`` answers every path that no stand-in has in common.
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
    """Return the request's message; a bad one is answered with 400."""
    message = decode(exchange.request.body, kind)
    if message.is_ok():
        return message.ok
    await refuse(exchange, _BAD_INPUT, 'bad-request')
    return None


async def refuse(
    exchange: Exchange,
    status: int,
    code: str,
    **details: Any,
) -> None:
    """Answer with a refusal that carries a code."""
    answer = {'code': code, **details}
    await exchange.respond(json_response(answer, status=status))


def run_stand_in(make: Callable[[str], StandIn], listen_at: str) -> None:
    """Run what ``make`` returns for the bound address, until stopped."""
    trio.run(_run, make, listen_at)


def run_several(makes: dict[str, StandInFactory]) -> None:
    """Run stand-ins by name in one process, each on a port of its own."""
    trio.run(_run_several, makes)


async def _run(make: Callable[[str], StandIn], listen_at: str) -> None:
    async with trio.open_nursery() as nursery:
        listeners = await listen(parse_address(listen_at))
        address = str(bound_address(listeners))
        stand_in = make(address)
        logs.set_up(stand_in.name, 'warning')
        await nursery.start(_serve, stand_in, listeners)
        _announce({'name': stand_in.name, 'address': address})


async def _run_several(makes: dict[str, StandInFactory]) -> None:
    ready = {}
    async with trio.open_nursery() as nursery:
        for name, make in makes.items():
            ready[name] = await nursery.start(_run_ended, make)
        logs.set_up(next(iter(makes)), 'warning')
        _announce(ready)


async def _run_ended(
    make: StandInFactory,
    *,
    task_status: trio.TaskStatus,
) -> None:
    """Run one stand-in until its fault ends it; connections close then."""
    listeners = await listen(parse_address('127.0.0.1:0'))
    address = str(bound_address(listeners))
    with trio.CancelScope() as scope:
        stand_in = make(address, scope.cancel)
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


def _announce(ready: dict[str, str]) -> None:
    line = encode_line(ready).decode()
    sys.stdout.write(line)
    sys.stdout.flush()
