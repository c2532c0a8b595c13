"""Serves ``/v1/orders`` and ``/v1/state`` of a stand-in engine.

An order changes the model, adapters, version or role of the engine. Accepted
orders are executed one at a time, in the order of their arrival.
"""

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

MAX_QUEUED_ORDERS = 1000
WEIGHTS_RETRY_INTERVAL_SECONDS = 1.0
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
    """Handlers of ``/v1/orders`` and ``/v1/state``, and the order queue."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._highest_fencing = 0
        self._current_order_id = ''
        channels = trio.open_memory_channel[Order](MAX_QUEUED_ORDERS)
        self._order_sender = channels[0]
        self._order_receiver = channels[1]

    async def accept(self, exchange: Exchange, _params: Parameters) -> None:
        """Queue an order and respond with 202.

        An order with an unknown action gets 400. One whose ``fencing`` is
        below the highest accepted gets 412, if the engine checks fencing.
        """
        order = await read_body(exchange, Order)
        if order is None:
            return
        if order.action not in _ACTIONS:
            await refuse(exchange, _BAD_INPUT, 'unknown-action')
            return
        checks_fencing = self._core.settings.checks_fencing
        if checks_fencing and order.fencing < self._highest_fencing:
            await refuse(
                exchange, _FENCED, 'fenced', highest=self._highest_fencing
            )
            return
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self._core.controls.record(
            'order',
            order_id=order.order_id,
            action=order.action,
            fencing=order.fencing,
        )
        self._order_sender.send_nowait(order)
        response = {'order_id': order.order_id}
        await exchange.respond(json_response(response, status=_ACCEPTED))

    async def show(self, exchange: Exchange, _params: Parameters) -> None:
        """Respond with what the engine serves and the order in execution."""
        await exchange.respond(json_response(self._describe()))

    async def execute_orders(self) -> None:
        """Execute the queued orders one at a time, until cancelled."""
        async for order in self._order_receiver:
            self._current_order_id = order.order_id
            if order.action in _NEEDS_WEIGHTS:
                await self._fetch_weights(order)
            seconds = self._core.settings.order_seconds
            await trio.sleep(seconds * self._core.controls.faults.slow)
            await self._core.controls.wait_while_frozen()
            _ACTIONS[order.action](self._core, order)
            self._current_order_id = ''

    def _describe(self) -> dict[str, Any]:
        core = self._core
        return {
            'model': core.model,
            'version': core.version,
            'role': core.role,
            'adapters': tuple(core.adapters),
            'loading': self._current_order_id,
            'highest_fencing': self._highest_fencing,
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
            response = await self._core.fetch(parse_address(store), request)
            if response.is_ok() and response.ok.status == _OK:
                return
            await trio.sleep(WEIGHTS_RETRY_INTERVAL_SECONDS)
