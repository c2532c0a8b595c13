"""Keeps the engines of one group as the site's configuration wants them.

Orders go out only under the group's lease. Its remaining time is checked
immediately before each order and has to cover the order's own timeout, so
that no order is on its way when the lease ends. A new holder first waits for
``QUIET_SECONDS``, since engines may ignore fencing numbers. Each round reads
the engines' states back, so a lost or undone order is sent again.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from absl import logging

from limpetdrift import telemetry
from limpetdrift.coordination.order_planning import (
    PlannedOrder,
    SeenEngine,
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
from limpetdrift.protocol.verdict import Reason, Verdict
from limpetdrift.protocol.weights import WeightRateCall
from limpetdrift.state.leases import Lease
from limpetdrift.state.site import ModelConfig

ROUND_SECONDS = 2.0
QUIET_SECONDS = ORDER_TIMEOUT_SECONDS + 1.0
REPEAT_SECONDS = 10.0
LOADS_IN_FLIGHT = 2

Models = dict[str, ModelConfig]


@dataclass(frozen=True, kw_only=True)
class DesiredState:
    """Where a reconciler reads what it has to bring about."""

    models: Callable[[], Models]
    engines: Callable[[], tuple[Endpoint, ...]]


class Reconciler:
    """Reads engines and sends orders while it holds the group's lease."""

    def __init__(
        self,
        *,
        lease: Lease,
        desired: DesiredState,
        orders: OrderCalls,
        weight_rate: WeightRateCall,
        loads_in_flight: int = LOADS_IN_FLIGHT,
    ) -> None:
        self._lease = lease
        self._desired = desired
        self._orders = orders
        self._weight_rate = weight_rate
        self._loads_in_flight = loads_in_flight
        self._ordered: dict[str, _Ordered] = {}

    async def run(self) -> None:
        """Run a round every ``ROUND_SECONDS`` until cancelled."""
        while True:
            await self.run_round()
            await trio.sleep(ROUND_SECONDS)

    async def run_round(self) -> None:
        """Read the engines and send the orders that are due."""
        if not self._may_order():
            self._ordered.clear()
            return
        seen = await self._read_engines()
        planned = plan_orders(self._desired.models(), seen)
        allowed = await self._count_allowed_loads(seen) if planned else 0
        for order in planned:
            if order.action is not Action.SET_ROLE and not allowed:
                telemetry.count('refusals', reason=Reason.STORE_RATE)
                return
            if not self._may_order():
                telemetry.count('refusals', reason=Reason.FENCED)
                return
            allowed -= 1
            await self._send(order)

    def _may_order(self) -> bool:
        if self._lease.held_seconds < QUIET_SECONDS:
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
        self._ordered[name] = _Ordered(
            at=trio.current_time(),
            planned=planned,
        )
        sent = await self._orders.send(planned.endpoint.address, order)
        if sent.is_ok():
            telemetry.count('orders', action=order.action)
            logging.info('ordered %s of %s', order.order_id, name)
            return
        telemetry.count('retries', reason=sent.error.reason)
        if sent.error.verdict is Verdict.NOT_RUN:
            self._ordered.pop(name)

    async def _read_engines(self) -> tuple[SeenEngine, ...]:
        """Return the engines that answer; others count as out of service."""
        seen: dict[str, SeenEngine] = {}

        async def read(endpoint: Endpoint) -> None:
            state = await self._orders.state(endpoint.address)
            if state.is_ok():
                seen[endpoint.name] = self._see(endpoint, state.ok)
            else:
                telemetry.count('retries', reason=state.error.reason)

        async with trio.open_nursery() as nursery:
            for endpoint in self._desired.engines():
                nursery.start_soon(read, endpoint)
        return tuple(seen[name] for name in sorted(seen))

    def _see(self, endpoint: Endpoint, state: EngineState) -> SeenEngine:
        ordered = self._ordered.get(endpoint.name)
        if ordered is not None and ordered.has_ended(state):
            self._ordered.pop(endpoint.name)
            ordered = None
        return SeenEngine(
            endpoint=endpoint,
            state=state,
            busy=bool(state.loading) or ordered is not None,
        )

    async def _count_allowed_loads(self, seen: tuple[SeenEngine, ...]) -> int:
        """Return how many loads may start, so as not to crowd the store."""
        rate = await self._weight_rate()
        if rate.is_error():
            telemetry.count('retries', reason=rate.error.reason)
            return 0
        under_way = sum(engine.busy for engine in seen)
        busiest = max(under_way, rate.ok.in_flight)
        return max(0, self._loads_in_flight - busiest)


@dataclass(kw_only=True, slots=True)
class _Ordered:
    """An order that this process sent, until its effect was seen."""

    at: float
    planned: PlannedOrder
    started: bool = False

    def has_ended(self, state: EngineState) -> bool:
        """Whether the engine is through, or the order was lost."""
        if state.loading:
            self.started = True
            return False
        if self.started or self.planned.is_shown(state):
            return True
        return trio.current_time() - self.at >= REPEAT_SECONDS
