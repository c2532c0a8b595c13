"""A TCP relay to put between two parties on loopback, with faults.

Run it with ``python -m limpet_standins.relay --target 127.0.0.1:9001``. Its
first line tells the address that callers use and the control address.
"""

import sys
from dataclasses import dataclass
from math import inf
from typing import Annotated

import cappa
import trio

from limpet_standins.controls import read_faults
from limpetdrift.protocol.codec import encode_line, json_response
from limpetdrift.transport.messages import Address, parse_address
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
    """What the relay does to the bytes that pass.

    A cut direction keeps its bytes until it heals, as a network that drops
    packets does. ``silent_connections`` holds all that is open now for good.
    ``down`` breaks what is open and what comes.
    """

    cut_to_target: bool = False
    cut_to_caller: bool = False
    silent_connections: bool = False
    delay_seconds: float = 0
    down: bool = False


@dataclass(kw_only=True, eq=False)
class _Pair:
    """The two ends of a relayed connection."""

    scope: trio.CancelScope
    silent: bool = False


class Relay:
    """The relayed connections and the faults on them."""

    def __init__(self, *, target: Address) -> None:
        self._target = target
        self._faults = RelayFaults()
        self._changed = trio.Event()
        self._pairs: set[_Pair] = set()

    async def serve(self, caller: trio.abc.Stream) -> None:
        """Relay one connection until an end closes it."""
        if self._faults.down:
            await trio.aclose_forcefully(caller)
            return
        pair = _Pair(scope=trio.CancelScope())
        self._pairs.add(pair)
        try:
            await self._join(pair, caller)
        finally:
            self._pairs.discard(pair)

    async def take_faults(
        self,
        exchange: Exchange,
        _params: Parameters,
    ) -> None:
        """Replace all faults."""
        faults = read_faults(exchange.request.body, RelayFaults)
        if faults.is_error():
            detail = {'error': faults.error}
            await exchange.respond(json_response(detail, status=_BAD_INPUT))
            return
        self.apply(faults.ok)
        await exchange.respond(json_response({}))

    def apply(self, faults: RelayFaults) -> None:
        """Replace all faults; what is open feels them too."""
        self._faults = faults
        for pair in self._pairs:
            pair.silent = pair.silent or faults.silent_connections
            if faults.down:
                pair.scope.cancel()
        self._changed.set()
        self._changed = trio.Event()

    async def _join(self, pair: _Pair, caller: trio.abc.Stream) -> None:
        try:
            target = await trio.open_tcp_stream(
                self._target.host,
                self._target.port,
            )
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        async with caller, target:
            with pair.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._carry, pair, caller, target, True)
                    nursery.start_soon(
                        self._carry,
                        pair,
                        target,
                        caller,
                        False,
                    )

    async def _carry(
        self,
        pair: _Pair,
        source: trio.abc.Stream,
        sink: trio.abc.Stream,
        to_target: bool,
    ) -> None:
        put, take = trio.open_memory_channel[tuple[float, bytes]](inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, source, put)
            async for due, chunk in take:
                await trio.sleep_until(due)
                await self._wait_open(pair, to_target)
                if not await _deliver(sink, chunk):
                    pair.scope.cancel()

    async def _receive(
        self,
        source: trio.abc.Stream,
        put: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        chunk = b'-'
        while chunk:
            try:
                chunk = await source.receive_some(RECEIVE_BYTES)
            except _CLOSED:
                chunk = b''
            due = trio.current_time() + self._faults.delay_seconds
            await put.send((due, chunk))

    async def _wait_open(self, pair: _Pair, to_target: bool) -> None:
        while pair.silent or self._is_cut(to_target):
            await self._changed.wait()

    def _is_cut(self, to_target: bool) -> bool:
        if to_target:
            return self._faults.cut_to_target
        return self._faults.cut_to_caller


async def _deliver(sink: trio.abc.Stream, chunk: bytes) -> bool:
    """Pass bytes on; False when the connection is over."""
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
    routes.add('POST', '/control/faults', relay.take_faults)
    data_side = await listen(parse_address(command.listen))
    control_side = await listen(parse_address(command.control))
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
