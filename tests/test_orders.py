"""Tests orders of two stewards, with expired leases and lax engines.

Every second engine ignores fencing numbers.
"""

from dataclasses import replace

import pytest
import trio
from expression import Result
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from fake_table import FakeTable
from limpetdrift.coordination.reconciliation import order_planning
from limpetdrift.coordination.reconciliation.orders import (
    DesiredState,
    Reconciler,
)
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.orders import Action, EngineState, OrderCalls
from limpetdrift.protocol.weights import WeightRate
from limpetdrift.state.leases import LEASE_TABLE, Lease
from limpetdrift.state.site import ModelConfig
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, may_have_run, not_run
from virtual_time import run_in_virtual_time

ENGINES = 5
STEWARDS = 2
LOAD_SECONDS = 4.0
LOADS_ALLOWED = 2
GROUP = 'orders-0'
SETTLED_SECONDS = 240.0


class Engine:
    """Carries out orders one by one; every second engine ignores fencing."""

    def __init__(self, number, harness):
        self.state = EngineState(
            model='small' if number < 3 else 'large',
            version='v1',
            role='all',
            checks_fencing=bool(number % 2),
        )
        self.harness = harness
        channel = trio.open_memory_channel(100)
        self._orders = channel[0]
        self._accepted = channel[1]

    async def accept(self, order):
        if self.state.checks_fencing:
            if order.fencing < self.state.highest_fencing:
                return Result.Error(not_run(Reason.FENCED))
        highest = max(order.fencing, self.state.highest_fencing)
        self.state = replace(self.state, highest_fencing=highest)
        self._orders.send_nowait(order)
        return Result.Ok(None)

    async def carry_out(self):
        async for order in self._accepted:
            self.state = replace(self.state, loading=order.order_id)
            self.harness.check_engines()
            await trio.sleep(LOAD_SECONDS)
            if order.action is Action.LOAD_ADAPTER:
                adapters = (*self.state.adapters, order.adapter)
                self.state = replace(self.state, adapters=adapters)
            else:
                self.state = replace(
                    self.state,
                    model=order.model,
                    version=order.version,
                    adapters=(),
                )
            self.state = replace(self.state, loading='')
            self.harness.check_engines()

    def serves(self, model):
        loading = self.state.loading
        out_of_service = loading and not loading.startswith(Action.LOAD_ADAPTER)
        return self.state.model == model and not out_of_service


class Steward:
    """A lease and a reconciler that stand still while frozen.

    A frozen steward still finishes a send that is in progress.
    """

    def __init__(self, number, harness):
        self.harness = harness
        self.holder = f'steward-{number}'
        self.pause = None
        self.lease = Lease(
            group=GROUP,
            holder=self.holder,
            table=harness.table.calls(),
        )
        self.reconciler = Reconciler(
            lease=self.lease,
            desired=DesiredState(
                models=lambda: harness.models,
                engines=lambda: harness.endpoints,
            ),
            orders=OrderCalls(send=self.send, state=self.read_state),
            weight_rate=harness.read_weight_rate,
            loads_in_flight=LOADS_ALLOWED,
        )

    async def run(self):
        while True:
            await self.wait_while_frozen()
            await self.lease.step()
            for _ in range(3):
                await self.wait_while_frozen()
                await self.reconciler.run_round()
                await trio.sleep(2)

    async def wait_while_frozen(self):
        while self.pause is not None:
            await self.pause.wait()

    async def read_state(self, address):
        await trio.sleep(0.002)
        await self.wait_while_frozen()
        return Result.Ok(self.harness.engines[address.port].state)

    async def send(self, address, order):
        self.harness.check_lease(self)
        await trio.sleep(0.002)
        if self.harness.lose_orders:
            self.harness.lose_orders -= 1
            return Result.Error(may_have_run(Reason.TIMEOUT))
        sent = await self.harness.engines[address.port].accept(order)
        if self.harness.lose_answers:
            self.harness.lose_answers -= 1
            return Result.Error(may_have_run(Reason.TIMEOUT))
        return sent


class OrderHarness:
    """Engines, stewards, and the violations found so far in ``faults``."""

    def __init__(self):
        self.table = FakeTable()
        self.models = {
            'small': ModelConfig(version='v1', copies=2),
            'large': ModelConfig(version='v1', copies=1),
        }
        self.engines = [Engine(number, self) for number in range(ENGINES)]
        self.endpoints = tuple(
            Endpoint(
                name=f'engine-{number}',
                role=Role.ENGINE,
                address=Address(host='127.0.0.1', port=number),
                failure_domain='thika-hall',
            )
            for number in range(ENGINES)
        )
        self.lose_orders = 0
        self.lose_answers = 0
        self.faults = []
        self.stewards = [Steward(number, self) for number in range(STEWARDS)]

    async def run_script(self, script):
        async with trio.open_nursery() as nursery:
            for each in (*self.engines, *self.stewards):
                run = each.carry_out if each in self.engines else each.run
                nursery.start_soon(run)
            for step in script:
                await step(self)
            self.table.down = False
            self.table.lose_answers = 0
            self.lose_orders = 0
            self.lose_answers = 0
            for number in range(STEWARDS):
                self.thaw(number)
            await trio.sleep(SETTLED_SECONDS)
            self.check_settled()
            settled = [engine.state for engine in self.engines]
            await trio.sleep(60)
            assert settled == [engine.state for engine in self.engines]
            nursery.cancel_scope.cancel()

    def check_settled(self):
        for name, configured in self.models.items():
            serving = [each for each in self.engines if each.serves(name)]
            assert len(serving) >= configured.copies
            for engine in serving:
                assert engine.state.version == configured.version
                # No order unloads an adapter, so there may be more.
                assert set(configured.adapters) <= set(engine.state.adapters)

    def check_engines(self):
        for name, configured in self.models.items():
            serving = sum(each.serves(name) for each in self.engines)
            if serving < configured.copies:
                self.faults.append(f'{name} has {serving} copies')
        if self.count_loads() > LOADS_ALLOWED:
            self.faults.append('too many loads')

    def check_lease(self, steward):
        row = self.table.rows[LEASE_TABLE, GROUP][1]
        if row['holder'] != steward.holder:
            self.faults.append(f'{steward.holder} ordered without its lease')

    def count_loads(self):
        return sum(bool(engine.state.loading) for engine in self.engines)

    async def read_weight_rate(self):
        return Result.Ok(
            WeightRate(bytes_per_second=1e9, in_flight=self.count_loads()),
        )

    def change(self, name, version, adapters):
        configured = self.models[name]
        changed = replace(configured, version=version, adapters=adapters)
        self.models = {**self.models, name: changed}

    def freeze(self, number):
        steward = self.stewards[number]
        if steward.pause is None:
            steward.pause = trio.Event()

    def thaw(self, number):
        steward = self.stewards[number]
        if steward.pause is not None:
            steward.pause.set()
            steward.pause = None


stewards = st.integers(0, STEWARDS - 1)
models = st.sampled_from(('small', 'large'))
versions = st.sampled_from(('v1', 'v2', 'v3'))
adapter_sets = st.sampled_from(((), ('notes',), ('notes', 'bids')))
seconds = st.sampled_from((0.001, 1.0, 2.0, 5.0, 12.0, 30.0, 50.0))


class OrderMachine(RuleBasedStateMachine):
    """Collects a script of changes and faults, and runs it at the end."""

    def __init__(self):
        super().__init__()
        self.script = []

    @initialize(pause=seconds)
    def begin(self, pause):
        self._wait(pause)

    @rule(model=models, version=versions, adapters=adapter_sets, pause=seconds)
    def change(self, model, version, adapters, pause):
        self._add(lambda harness: harness.change(model, version, adapters))
        self._wait(pause)

    @rule(number=stewards, pause=seconds)
    def freeze(self, number, pause):
        self._add(lambda harness: harness.freeze(number))
        self._wait(pause)

    @rule(number=stewards, pause=seconds)
    def thaw(self, number, pause):
        self._add(lambda harness: harness.thaw(number))
        self._wait(pause)

    @rule(down=st.booleans(), pause=seconds)
    def break_store(self, down, pause):
        self._add(lambda harness: setattr(harness.table, 'down', down))
        self._wait(pause)

    @rule(
        place=st.sampled_from(('table', 'lose_orders', 'lose_answers')),
        times=st.integers(1, 3),
    )
    def lose(self, place, times):
        def apply(harness):
            if place == 'table':
                harness.table.lose_answers = times
            else:
                setattr(harness, place, times)

        self._add(apply)

    def teardown(self):
        async def run_script():
            harness = OrderHarness()
            await harness.run_script(self.script)
            assert not harness.faults

        run_in_virtual_time(run_script)

    def _add(self, action):
        async def step(harness):
            action(harness)

        self.script.append(step)

    def _wait(self, pause):
        async def step(harness):
            await trio.sleep(pause)

        self.script.append(step)


SETTINGS = settings(
    max_examples=100,
    stateful_step_count=12,
    suppress_health_check=list(HealthCheck),
)
SEARCH_SETTINGS = settings(
    SETTINGS,
    max_examples=1000,
    phases=(Phase.generate,),
    print_blob=False,
)


def test_configured_state_is_reached_and_kept_under_faults():
    run_state_machine_as_test(OrderMachine, settings=SETTINGS)


def never_expiring_seconds(lease):
    return 0.0 if lease._valid_until < 0 else 1000.0


def update_all_at_once(plan, name):
    for engine in list(plan._serving[name]):
        if engine.state.version != plan._models[name].version:
            plan._add(engine, Action.SET_VERSION, name)


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (Lease, 'remaining_seconds', property(never_expiring_seconds)),
        (
            order_planning._Plan,
            'update_version',
            update_all_at_once,
        ),
    ],
    ids=('remaining-time', 'copies'),
)
def test_check_fails_without_safeguard(monkeypatch, target, name, replacement):
    monkeypatch.setattr(target, name, replacement)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(OrderMachine, settings=SEARCH_SETTINGS)
