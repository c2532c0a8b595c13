"""Runs a stand-in for a model engine.

It has continuous batching, limited KV memory, reservations (holds), groups
of engines that a prompt's memory is spread over, exports of KV cache, and
orders that change what it serves. Run it with
``python -m limpet_standins.engine --listen 127.0.0.1:9001 --name engine-1``.
``make_engine`` returns the same engine without sockets, for tests.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Annotated, Any

import cappa
import trio
from expression import Result

from limpet_standins.controls import Controls
from limpet_standins.engine_core import EngineCore, Fetch
from limpet_standins.engine_messages import EngineSettings
from limpet_standins.exports import ExportHandlers
from limpet_standins.groups import Groups
from limpet_standins.holds import HoldHandlers
from limpet_standins.orders import OrderHandlers
from limpet_standins.serving import (
    StandIn,
    StandInFactory,
    make_stand_in,
    refuse,
    run_several,
    run_stand_in,
)
from limpet_standins.stream_handlers import StreamHandlers
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange
from limpetdrift.verdict import Failure

# Timeouts of calls to the weight store and to other engines.
WEIGHTS_TIMEOUT_SECONDS = 600.0
ENGINE_TIMEOUT_SECONDS = 1.0
# Lower bound of the sampling interval: a lag of 0 would sample nonstop.
MIN_LOAD_INTERVAL_SECONDS = 0.01
_BAD_INPUT = 400


class ReportHandlers:
    """The handlers that report load, allocations and cache events."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._load: dict[str, Any] = {}
        self._sampled_at = 0.0

    async def load(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the last sample of the load and its age."""
        if not self._load:
            self._sample()
        age_seconds = trio.current_time() - self._sampled_at
        answer = {**self._load, 'taken_seconds_ago': age_seconds}
        await exchange.respond(json_response(answer))

    async def allocations(
        self,
        exchange: Exchange,
        _params: Parameters,
    ) -> None:
        """Respond with the current allocations of memory."""
        states = self._core.allocations.states()
        await exchange.respond(json_response(states))

    async def events(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with the cache events from the number ``after`` on."""
        after = exchange.request.query.get('after', '0')
        if not after.isdigit():
            await refuse(exchange, _BAD_INPUT, 'bad-request')
            return
        page = self._core.events.page(int(after))
        await exchange.respond(json_response(page))

    async def sample_load(self) -> None:
        """Sample the load once per ``load_lag_seconds``, for ever."""
        while True:
            self._sample()
            await trio.sleep(
                max(
                    self._core.settings.load_lag_seconds,
                    MIN_LOAD_INTERVAL_SECONDS,
                )
            )

    def _sample(self) -> None:
        self._load = self._core.load()
        self._sampled_at = trio.current_time()


def make_engine(
    settings: EngineSettings,
    *,
    fetch: Fetch | None = None,
    end: Callable[[], None] | None = None,
) -> StandIn:
    """Return an engine, whose tasks the caller has to run.

    ``fetch`` calls other stand-ins, by default over HTTP. ``end`` is called
    when a fault ends the engine, by default to end the process.
    """
    controls = Controls()
    if end is not None:
        controls.end = end
    core = EngineCore(
        settings=settings,
        controls=controls,
        fetch=fetch or _make_fetch(),
    )
    groups = Groups(core=core)
    streams = StreamHandlers(core=core, groups=groups)
    holds = HoldHandlers(core=core)
    orders = OrderHandlers(core=core)
    reports = ReportHandlers(core=core)
    tasks = (
        core.scheduler.run_steps,
        groups.check_members,
        streams.drop_finished,
        holds.expire,
        orders.execute_orders,
        reports.sample_load,
    )
    stand_in = make_stand_in(
        name=settings.name,
        controls=controls,
        tasks=tasks,
    )
    _add_stream_routes(stand_in.routes, streams)
    _add_memory_routes(stand_in.routes, holds, ExportHandlers(core=core))
    stand_in.routes.add('POST', '/v1/orders', orders.accept)
    stand_in.routes.add('GET', '/v1/state', orders.show)
    stand_in.routes.add('GET', '/v1/load', reports.load)
    stand_in.routes.add('GET', '/v1/allocations', reports.allocations)
    stand_in.routes.add('GET', '/v1/cache-events', reports.events)
    return stand_in


def _add_stream_routes(routes: Routes, streams: StreamHandlers) -> None:
    routes.add('POST', '/v1/streams', streams.begin)
    routes.add('GET', '/v1/streams/{stream}', streams.resume)
    routes.add('DELETE', '/v1/streams/{stream}', streams.cancel)


def _add_memory_routes(
    routes: Routes,
    holds: HoldHandlers,
    exports: ExportHandlers,
) -> None:
    routes.add('POST', '/v1/holds', holds.begin)
    routes.add('GET', '/v1/holds/{hold}', holds.show)
    routes.add('POST', '/v1/holds/{hold}/renew', holds.renew)
    routes.add('DELETE', '/v1/holds/{hold}', holds.free)
    routes.add('POST', '/v1/exports', exports.begin)
    routes.add('GET', '/v1/exports/{export}', exports.show)
    routes.add('DELETE', '/v1/exports/{export}', exports.free)
    routes.add('POST', '/v1/imports', exports.fetch)


def _make_fetch() -> Fetch:
    client = HttpClient()

    async def fetch(
        address: Address,
        request: Request,
    ) -> Result[Response, Failure]:
        is_weights = request.path.startswith('/weights/')
        return await client.fetch(
            address,
            request,
            timeout_seconds=WEIGHTS_TIMEOUT_SECONDS
            if is_weights
            else ENGINE_TIMEOUT_SECONDS,
        )

    return fetch


@cappa.command(name='limpet-engine')
@dataclass
class EngineCommand:
    """Run a stand-in of a model engine."""

    listen: Annotated[str, cappa.Arg(long=True)] = '127.0.0.1:0'
    name: Annotated[str, cappa.Arg(long=True)] = 'engine-1'
    model: Annotated[str, cappa.Arg(long=True)] = 'drift-small'
    model_version: Annotated[str, cappa.Arg(long=True)] = '1'
    role: Annotated[str, cappa.Arg(long=True)] = 'mixed'
    memory_tokens: Annotated[int, cappa.Arg(long=True)] = 131_072
    prefill_rate: Annotated[float, cappa.Arg(long=True)] = 8000
    chunk_tokens: Annotated[int, cappa.Arg(long=True)] = 2048
    step_seconds: Annotated[float, cappa.Arg(long=True)] = 0.02
    max_running: Annotated[int, cappa.Arg(long=True)] = 32
    max_waiting: Annotated[int, cappa.Arg(long=True)] = 64
    ignores_fencing: Annotated[bool, cappa.Arg(long=True)] = False
    load_lag: Annotated[float, cappa.Arg(long=True)] = 0.5
    events_lag: Annotated[float, cappa.Arg(long=True)] = 0.5
    order_seconds: Annotated[float, cappa.Arg(long=True)] = 1.0
    weight_store: Annotated[str, cappa.Arg(long=True)] = ''
    engines: Annotated[int, cappa.Arg(long=True)] = 0

    def __call__(self) -> None:
        """Run until stopped."""
        settings = EngineSettings(
            name=self.name,
            model=self.model,
            version=self.model_version,
            role=self.role,
            memory_tokens=self.memory_tokens,
            prefill_tokens_per_second=self.prefill_rate,
            chunk_tokens=self.chunk_tokens,
            step_seconds=self.step_seconds,
            max_running=self.max_running,
            max_waiting=self.max_waiting,
            checks_fencing=not self.ignores_fencing,
            load_lag_seconds=self.load_lag,
            events_lag_seconds=self.events_lag,
            order_seconds=self.order_seconds,
            weight_store=self.weight_store,
            incarnation=time.time_ns(),
        )
        if self.engines:
            run_several(_make_factories(settings, self.engines))
            return
        run_stand_in(
            lambda address: make_engine(replace(settings, address=address)),
            self.listen,
        )


def _make_factories(
    settings: EngineSettings,
    engine_count: int,
) -> dict[str, StandInFactory]:
    numbers = range(1, engine_count + 1)
    names = (f'{settings.name}-{number}' for number in numbers)
    return {name: _make_factory(replace(settings, name=name)) for name in names}


def _make_factory(settings: EngineSettings) -> StandInFactory:
    def make(address: str, end: Callable[[], None]) -> StandIn:
        return make_engine(replace(settings, address=address), end=end)

    return make


if __name__ == '__main__':
    cappa.invoke(EngineCommand)
