"""A TCP relay on loopback that injects network faults.

Run it with ``python -m limpet_standins.relay --target 127.0.0.1:9001``. It
prints one line of JSON with the address for callers and the control address,
whose ``/control/faults`` sets the faults.
"""

import sys
from dataclasses import dataclass
from math import inf
from typing import Annotated

import cappa
import trio

from limpet_standins.controls import read_faults
from limpetdrift.protocol.codec import encode_line, json_response
from limpetdrift.transport.messages import (
    Address,
    parse_address,
    parse_listen_address,
)
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import (
    Exchange,
    Server,
    bound_address,
    listen,
)

RECEIVE_BYTES = 65_536
_BAD_INPUT = 400
_CLOSED = (trio.BrokenResourceError, trio.ClosedResourceError)


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayFaults:
    """Faults of the relayed connections.

    A cut direction holds its bytes back until the cut ends, which resembles
    retransmission in a network that drops packets. ``silent_connections``
    stops all connections that are open now for good, without closing them.
    ``delay_seconds`` is the latency in each direction. ``down`` breaks all
    open connections and closes new ones at once.
    """

    cut_to_target: bool = False
    cut_to_caller: bool = False
    silent_connections: bool = False
    delay_seconds: float = 0
    down: bool = False


@dataclass(kw_only=True, eq=False)
class _Connection:
    """A relayed connection; a silent one passes no more bytes on."""

    scope: trio.CancelScope
    silent: bool = False


class Relay:
    """Relays connections to a target, with the faults that are set."""

    def __init__(self, *, target: Address) -> None:
        self._target = target
        self._faults = RelayFaults()
        self._changed = trio.Event()
        self._connections: set[_Connection] = set()

    async def serve(self, caller: trio.abc.Stream) -> None:
        """Relay one connection until either end closes it."""
        if self._faults.down:
            await trio.aclose_forcefully(caller)
            return
        connection = _Connection(scope=trio.CancelScope())
        self._connections.add(connection)
        try:
            await self._relay_to_target(connection, caller)
        finally:
            self._connections.discard(connection)

    async def replace_faults(
        self,
        exchange: Exchange,
        _params: Parameters,
    ) -> None:
        """Serve ``POST /control/faults``, which replaces all faults."""
        faults = read_faults(exchange.request.body, RelayFaults)
        if faults.is_error():
            detail = {'error': faults.error}
            await exchange.respond(json_response(detail, status=_BAD_INPUT))
            return
        self.apply(faults.ok)
        await exchange.respond(json_response({}))

    def apply(self, faults: RelayFaults) -> None:
        """Replace all faults, also those of open connections."""
        self._faults = faults
        for connection in self._connections:
            connection.silent = connection.silent or faults.silent_connections
            if faults.down:
                connection.scope.cancel()
        self._changed.set()
        self._changed = trio.Event()

    async def _relay_to_target(
        self, connection: _Connection, caller: trio.abc.Stream
    ) -> None:
        try:
            target = await trio.open_tcp_stream(
                self._target.host,
                self._target.port,
            )
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        async with caller, target:
            with connection.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._forward, connection, caller, target, True
                    )
                    nursery.start_soon(
                        self._forward,
                        connection,
                        target,
                        caller,
                        False,
                    )

    async def _forward(
        self,
        connection: _Connection,
        source: trio.abc.Stream,
        sink: trio.abc.Stream,
        to_target: bool,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes]](inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, source, sender)
            async for due_at, chunk in receiver:
                await trio.sleep_until(due_at)
                await self._wait_until_open(connection, to_target)
                if not await _deliver(sink, chunk):
                    connection.scope.cancel()

    async def _receive(
        self,
        source: trio.abc.Stream,
        sender: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        chunk = b'-'
        while chunk:
            try:
                chunk = await source.receive_some(RECEIVE_BYTES)
            except _CLOSED:
                chunk = b''
            due_at = trio.current_time() + self._faults.delay_seconds
            await sender.send((due_at, chunk))

    async def _wait_until_open(
        self, connection: _Connection, to_target: bool
    ) -> None:
        while connection.silent or self._is_cut(to_target):
            await self._changed.wait()

    def _is_cut(self, to_target: bool) -> bool:
        if to_target:
            return self._faults.cut_to_target
        return self._faults.cut_to_caller


async def _deliver(sink: trio.abc.Stream, chunk: bytes) -> bool:
    """Send a chunk; return False at its end or on a broken connection."""
    if not chunk:
        return False
    try:
        await sink.send_all(chunk)
    except _CLOSED:
        return False
    return True


async def _run(command: 'RelayCommand') -> None:
    relay = Relay(target=parse_address(command.target))
    routes = Routes()
    routes.add('POST', '/control/faults', relay.replace_faults)
    data_side = await listen(parse_listen_address(command.listen))
    control_side = await listen(parse_listen_address(command.control))
    server = Server(handler=routes.handle)
    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, relay.serve, data_side)
        await nursery.start(server.serve, control_side)
        ready = {
            'name': command.name,
            'address': str(bound_address(data_side)),
            'control': str(bound_address(control_side)),
        }
        sys.stdout.write(encode_line(ready).decode())
        sys.stdout.flush()


@cappa.command(name='limpet-relay')
@dataclass
class RelayCommand:
    """Relay TCP connections to a target."""

    target: Annotated[str, cappa.Arg(long=True)]
    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    control: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'relay'

    def __call__(self) -> None:
        """Run until stopped."""
        trio.run(_run, self)


if __name__ == '__main__':
    cappa.invoke(RelayCommand)
