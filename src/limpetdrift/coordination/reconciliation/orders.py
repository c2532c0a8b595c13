"""Reconciles the engines of one group with the site's configuration.

Orders are sent only under the group's lease. Its remaining time is checked
immediately before each order and must cover the order's timeout, so that no
order is in flight when the lease ends. A new holder first waits for
``TAKEOVER_WAIT_SECONDS``, since engines may ignore fencing numbers and orders
of the last holder may still arrive. Each round reads the engines' states, so
an order that was lost or undone is sent again.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from limpetdrift import telemetry
from limpetdrift.coordination.reconciliation.order_planning import (
    ObservedEngine,
    PlannedOrder,
    plan_orders,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.orders import (
    ORDER_TIMEOUT_SECONDS,
    Action,
    EngineOrder,
    EngineState,
    OrderCalls,
)
from limpetdrift.protocol.weights import WeightRateCall
from limpetdrift.state.leases import Lease
from limpetdrift.state.site import ModelConfig
from limpetdrift.verdict import Reason, Verdict

ROUND_SECONDS = 2.0
# Wait of a new holder before its first order: longer than an order of the
# last holder can be in flight.
TAKEOVER_WAIT_SECONDS = ORDER_TIMEOUT_SECONDS + 1.0
# Time without an effect after which an order counts as lost.
RESEND_SECONDS = 10.0
# Number of engines that may load at the same time.
MAX_LOADS_IN_FLIGHT = 2

Models = dict[str, ModelConfig]


@dataclass(frozen=True, kw_only=True)
class DesiredState:
    """Functions that return the configured models and the group's engines."""

    models: Callable[[], Models]
    engines: Callable[[], tuple[Endpoint, ...]]


class Reconciler:
    """Reads the engines and sends orders while it holds the group's lease.

    ``weight_rate`` reads the load of the weight store. At most
    ``loads_in_flight`` engines load at the same time.
    """

    def __init__(
        self,
        *,
        lease: Lease,
        desired: DesiredState,
        orders: OrderCalls,
        weight_rate: WeightRateCall,
        loads_in_flight: int = MAX_LOADS_IN_FLIGHT,
    ) -> None:
        self._lease = lease
        self._desired = desired
        self._orders = orders
        self._weight_rate = weight_rate
        self._loads_in_flight = loads_in_flight
        self._sent_orders: dict[str, _SentOrder] = {}

    async def run(self) -> None:
        """Run a round every ``ROUND_SECONDS`` until cancelled."""
        while True:
            await self.run_round()
            await trio.sleep(ROUND_SECONDS)

    async def run_round(self) -> None:
        """Read the engines and send the orders that are due and allowed."""
        if not self._can_send_orders():
            self._sent_orders.clear()
            return
        observed = await self._read_engines()
        planned = plan_orders(self._desired.models(), observed)
        allowed = await self._count_allowed_loads(observed) if planned else 0
        for order in planned:
            if order.action is not Action.SET_ROLE and not allowed:
                telemetry.count('refusals', reason=Reason.STORE_RATE)
                return
            if not self._can_send_orders():
                telemetry.count('refusals', reason=Reason.FENCED)
                return
            allowed -= 1
            await self._send(order)

    def _can_send_orders(self) -> bool:
        if self._lease.held_seconds < TAKEOVER_WAIT_SECONDS:
            return False
        return self._lease.remaining_seconds > ORDER_TIMEOUT_SECONDS

    async def _send(self, planned: PlannedOrder) -> None:
        fencing = self._lease.fencing
        order = EngineOrder(
            order_id=planned.make_id(fencing),
            fencing=fencing,
            action=planned.action,
            model=planned.model,
            version=planned.version,
            adapter=planned.adapter,
        )
        name = planned.endpoint.name
        self._sent_orders[name] = _SentOrder(
            sent_at=trio.current_time(),
            planned=planned,
        )
        sent = await self._orders.send(planned.endpoint.address, order)
        if sent.is_ok():
            telemetry.count('orders', action=order.action)
            logging.info('sent order %s to engine %s', order.order_id, name)
            return
        telemetry.count('retries', reason=sent.error.reason)
        if sent.error.verdict is Verdict.NOT_RUN:
            self._sent_orders.pop(name)

    async def _read_engines(self) -> tuple[ObservedEngine, ...]:
        """Return the engines that answer; others count as out of service."""
        observed: dict[str, ObservedEngine] = {}

        async def read(endpoint: Endpoint) -> None:
            state = await self._orders.state(endpoint.address)
            if state.is_ok():
                observed[endpoint.name] = self._observe(endpoint, state.ok)
            else:
                telemetry.count('retries', reason=state.error.reason)

        async with trio.open_nursery() as nursery:
            for endpoint in self._desired.engines():
                nursery.start_soon(read, endpoint)
        return tuple(observed[name] for name in sorted(observed))

    def _observe(
        self, endpoint: Endpoint, state: EngineState
    ) -> ObservedEngine:
        sent_order = self._sent_orders.get(endpoint.name)
        if sent_order is not None and sent_order.has_ended(state):
            self._sent_orders.pop(endpoint.name)
            sent_order = None
        return ObservedEngine(
            endpoint=endpoint,
            state=state,
            busy=bool(state.loading) or sent_order is not None,
        )

    async def _count_allowed_loads(
        self, observed: tuple[ObservedEngine, ...]
    ) -> int:
        """Return how many loads may start without overloading the store.

        None may start while the load of the weight store can't be read.
        """
        rate = await self._weight_rate()
        if rate.is_error():
            telemetry.count('retries', reason=rate.error.reason)
            return 0
        under_way = sum(engine.busy for engine in observed)
        busiest = max(under_way, rate.ok.in_flight)
        return max(0, self._loads_in_flight - busiest)


@dataclass(kw_only=True, slots=True)
class _SentOrder:
    """An order from this process whose effect has not been observed yet.

    ``started`` is set once the engine has reported that it is loading.
    """

    sent_at: float
    planned: PlannedOrder
    started: bool = False

    def has_ended(self, state: EngineState) -> bool:
        """Return whether the engine is done, or the order counts as lost."""
        if state.loading:
            self.started = True
            return False
        if self.started or self.planned.is_fulfilled_in(state):
            return True
        return trio.current_time() - self.sent_at >= RESEND_SECONDS
