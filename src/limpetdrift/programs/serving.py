"""Start-up, health checks, metrics and signal handling of the programs."""

import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import trio
from absl import logging

from limpetdrift import telemetry
from limpetdrift.protocol.codec import encode_line
from limpetdrift.transport.messages import OK, UNAVAILABLE, Address, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import (
    Exchange,
    Server,
    bound_address,
    listen,
)

Task = Callable[[], Awaitable[None]]
# How long requests that are half read at the end of a drain may still take.
CLOSE_SECONDS = 0.3
_METRICS_HEADERS = (('content-type', 'text/plain; version=0.0.4'),)


def add_health_routes(routes: Routes, is_ready: Callable[[], bool]) -> None:
    """Serve ``/healthz``, ``/readyz`` and ``/metrics``.

    ``/readyz`` returns status 503 while ``is_ready`` returns false.
    """

    async def health(exchange: Exchange, parameters: Parameters) -> None:
        await exchange.respond(Response(status=OK, body=b'ok\n'))

    async def ready(exchange: Exchange, parameters: Parameters) -> None:
        status = OK if is_ready() else UNAVAILABLE
        await exchange.respond(Response(status=status))

    async def metrics(exchange: Exchange, parameters: Parameters) -> None:
        await exchange.respond(
            Response(
                status=OK,
                headers=_METRICS_HEADERS,
                body=telemetry.exposition(),
            ),
        )

    routes.add('GET', '/healthz', health)
    routes.add('GET', '/readyz', ready)
    routes.add('GET', '/metrics', metrics)


async def listen_and_serve(
    address: Address,
    server: Server,
    nursery: trio.Nursery,
    name: str = 'server',
) -> Address:
    """Start to accept connections, and return the bound address.

    It differs from ``address`` if that has port 0. ``name`` is that of the
    task that accepts them.
    """
    listeners = await listen(address)
    await nursery.start(partial(server.serve, listeners, name=name))
    return bound_address(listeners)


def announce(name: str, **addresses: Address) -> None:
    """Print a line of JSON with the name and addresses of the process.

    The keywords are the keys of the addresses.
    """
    line = {'name': name}
    for role, address in addresses.items():
        line[role] = str(address)
    sys.stdout.buffer.write(encode_line(line))
    sys.stdout.flush()


async def stop_on_signals(
    drain: Callable[[], Awaitable[None]],
    scope: trio.CancelScope,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Drain on the first SIGTERM or SIGINT, then cancel ``scope``.

    During the drain further SIGTERMs are logged only, since whoever sends
    them may repeat them; SIGINT cancels ``scope`` immediately. SIGTERM has no
    effect any more once the drain has ended.
    """
    early: list[int] = []
    # Catches a SIGTERM that arrives before the receiver is open. The receiver
    # restores this handler when it closes; the default one would then end the
    # process before its last lines are logged.
    signal.signal(signal.SIGTERM, lambda number, frame: early.append(number))
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async with trio.open_nursery() as nursery:
            if not early:
                await anext(received)
            logging.info('draining')
            nursery.start_soon(_drain_and_stop, drain, scope)
            await _wait_for_interrupt(received)
            logging.info('interrupted; stopping without finishing the drain')
            scope.cancel()


async def _wait_for_interrupt(received: AsyncIterator[int]) -> None:
    async for number in received:
        if number == signal.SIGINT:
            return
        logging.info('draining already; signal %d has no effect', number)


async def _drain_and_stop(
    drain: Callable[[], Awaitable[None]],
    scope: trio.CancelScope,
) -> None:
    await drain()
    scope.cancel()
