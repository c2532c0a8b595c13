"""Orders that change what an engine serves, one at a time."""

from types import MappingProxyType
from typing import Any

import trio

from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import Order
from limpet_standins.serving import read_body, refuse
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import Request, parse_address
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

ORDERS_KEPT = 1000
RETRY_SECONDS = 1.0
_ACCEPTED = 202
_BAD_INPUT = 400
_FENCED = 412
_OK = 200


def _load_model(core: EngineCore, order: Order) -> None:
    core.model = order.model
    core.version = order.version or core.version
    core.adapters = []


def _load_adapter(core: EngineCore, order: Order) -> None:
    if order.adapter not in core.adapters:
        core.adapters.append(order.adapter)


def _set_role(core: EngineCore, order: Order) -> None:
    core.role = order.role


def _set_version(core: EngineCore, order: Order) -> None:
    core.version = order.version


def _unload_model(core: EngineCore, _order: Order) -> None:
    core.model = ''
    core.adapters = []


_ACTIONS = MappingProxyType(
    {
        'load-model': _load_model,
        'load-adapter': _load_adapter,
        'set-role': _set_role,
        'set-version': _set_version,
        'unload-model': _unload_model,
    }
)
_NEEDS_WEIGHTS = frozenset(('load-model', 'load-adapter', 'set-version'))


class OrderHandlers:
    """The handlers of ``/v1/orders`` and ``/v1/state``."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._highest = 0
        self._loading = ''
        channel = trio.open_memory_channel[Order](ORDERS_KEPT)
        self._accept = channel[0]
        self._accepted = channel[1]

    async def accept(self, exchange: Exchange, _params: Parameters) -> None:
        """Accept an order, or refuse one that is fenced off."""
        order = await read_body(exchange, Order)
        if order is None:
            return
        if order.action not in _ACTIONS:
            await refuse(exchange, _BAD_INPUT, 'unknown-action')
            return
        checks = self._core.settings.checks_fencing
        if checks and order.fencing < self._highest:
            await refuse(exchange, _FENCED, 'fenced', highest=self._highest)
            return
        self._highest = max(self._highest, order.fencing)
        self._core.controls.record(
            'order',
            order_id=order.order_id,
            action=order.action,
            fencing=order.fencing,
        )
        self._accept.send_nowait(order)
        answer = {'order_id': order.order_id}
        await exchange.respond(json_response(answer, status=_ACCEPTED))

    async def show(self, exchange: Exchange, _params: Parameters) -> None:
        """Tell what the engine serves."""
        await exchange.respond(json_response(self._state()))

    async def execute_orders(self) -> None:
        """Carry out the orders in turn, for ever."""
        async for order in self._accepted:
            self._loading = order.order_id
            if order.action in _NEEDS_WEIGHTS:
                await self._fetch_weights(order)
            seconds = self._core.settings.order_seconds
            await trio.sleep(seconds * self._core.controls.faults.slow)
            await self._core.controls.wait_while_frozen()
            _ACTIONS[order.action](self._core, order)
            self._loading = ''

    def _state(self) -> dict[str, Any]:
        core = self._core
        return {
            'model': core.model,
            'version': core.version,
            'role': core.role,
            'adapters': tuple(core.adapters),
            'loading': self._loading,
            'highest_fencing': self._highest,
            'checks_fencing': core.settings.checks_fencing,
        }

    async def _fetch_weights(self, order: Order) -> None:
        store = self._core.settings.weight_store
        if not store:
            return
        model = order.adapter or order.model or self._core.model
        version = order.version or self._core.version
        request = Request(method='GET', path=f'/weights/{model}/{version}')
        while True:
            answer = await self._core.fetch(parse_address(store), request)
            if answer.is_ok() and answer.ok.status == _OK:
                return
            await trio.sleep(RETRY_SECONDS)
