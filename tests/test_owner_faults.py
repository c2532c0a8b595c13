"""Answers, verdicts and at-most-once runs under faults of all kinds.

The rules of a state machine write a script of requests, resends to any entry,
and faults of engines, entries and the table service. At the end the script
runs in virtual time against real run registries and claims, and the outcomes
are checked against the engines' journals.
"""

import random
from contextlib import asynccontextmanager

import pytest
import trio
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from claim_harness import FakeObjects
from fake_engine import FakeEngineCalls, whole_text
from fake_network import FakeNetwork
from fake_table import FakeTable
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.runs import attempt as attempt_module
from limpetdrift.coordination.runs import run_execution as run_execution_module
from limpetdrift.coordination.runs.at_most_once_runs import AtMostOnceRuns
from limpetdrift.coordination.runs.run_execution import RunInputs, execute_run
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.coordination.runs.run_streams import last_line
from limpetdrift.protocol.engine import StreamLine
from limpetdrift.protocol.node import Node, Role
from limpetdrift.state.claims import ClaimStore
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.run import Run, RunRequest
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import (
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from virtual_time import run_in_virtual_time

ENGINES = 3
DEADLINE_TOLERANCE_SECONDS = 0.001
START_FAULTS = ('refuse', 'lose-request', 'lose-answer')
ENTRIES = 3
TABLE_FAULTS = ('down', 'up', 'up', 'lose_answers', 'lose_requests')
LINE_FAULTS = ('cut', 'silent', 'crossed', 'doubled', 'dropped')

engine_numbers = st.integers(0, ENGINES - 1)
entry_numbers = st.integers(0, ENTRIES - 1)
wait_times = st.sampled_from([0.0, 0.011, 0.07, 0.3, 2.0])


def make_request(key, *, repeatable, tokens, deadline_seconds, handle):
    return RunRequest(
        handle=handle,
        key=f'key-{key}',
        account='kona',
        model='m',
        prompt=f'user: fault note {key}',
        prompt_tokens=8,
        max_tokens=tokens,
        urgency=0,
        deadline=trio.current_time() + deadline_seconds,
        fingerprint=str(key),
        repeatable=repeatable,
    )


class Entry:
    """One entry's run registry and claims, on shared engines and table."""

    def __init__(self, number, harness):
        self.alive = True
        self.scope = trio.CancelScope()
        self.node = Node(
            name=f'entry-{number}',
            incarnation=1,
            role=Role.ENTRY,
            region='r',
            failure_domain='a',
            caller_address=Address(host='127.0.0.1', port=2000 + number),
            peer_address=Address(host='127.0.0.1', port=3000 + number),
        )
        routes = PeerRoutes()
        self.claims = Claims(
            node=self.node,
            store=ClaimStore(
                table=harness.table.calls(),
                objects=FakeObjects(harness.table).calls(),
                epoch=lambda: 1,
            ),
            peer_call=harness.network.add_peer(self.node.peer_address, routes),
            randomness=random.Random(number),
        )
        self.claims.register(routes)
        self.at_most_once = AtMostOnceRuns(
            claims=self.claims,
            engine=harness.engines,
            owners=PeerStreamCalls(harness),
        )

    async def run(self, harness, *, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.registry = self.make_registry(harness, nursery)
                nursery.start_soon(self.claims.run)
                task_status.started()
                await trio.sleep_forever()

    def make_registry(self, harness, nursery):
        run_inputs = RunInputs(
            name=self.node.name,
            incarnation=1,
            engine=harness.engines,
            place=harness.engines.place,
            release=harness.engines.release,
            run_at_most_once=self.at_most_once.run,
            report_failure=lambda endpoint, failure: None,
            budget=RetryBudget(),
            nursery=nursery,
            randomness=random.Random(1),
        )
        return RunRegistry(
            name=self.node.name,
            incarnation=1,
            randomness=random.Random(2),
            execute=lambda run: execute_run(run_inputs, run),
            nursery=nursery,
        )


class PeerStreamCalls:
    """Reads the streams of other entries' runs, as their routes serve them."""

    def __init__(self, harness):
        self.harness = harness

    @asynccontextmanager
    async def resume(self, address, stream_id, offset):
        await trio.sleep(0.001)
        entry = self.harness.entries[address.port - 3000]
        run = entry.registry.find(stream_id.rpartition('.')[0])
        if not entry.alive or run is None:
            raise FailureError(not_run(Reason.CONNECT_FAILED))
        yield self.lines(entry, run, stream_id, offset)

    async def lines(self, entry, run, stream_id, offset):
        async for texts in run.read(offset):
            if not entry.alive:
                raise FailureError(may_have_run(Reason.CONNECTION_BROKEN))
            yield tuple(
                StreamLine(stream_id=stream_id, offset=index, text=text)
                for index, text in enumerate(texts, offset)
            )
            offset += len(texts)
        yield (last_line(run, stream_id),)


class FaultHarness:
    """The entries, engines and table service that a script runs against."""

    def __init__(self):
        self.network = FakeNetwork(seed=1)
        self.table = FakeTable()
        self.engines = FakeEngineCalls(count=ENGINES)
        self.entries = []
        self.runs = []

    async def start(self, nursery):
        for number in range(ENTRIES):
            entry = Entry(number, self)
            self.entries.append(entry)
            await nursery.start(entry.run, self)

    def send(self, key, number, options):
        entry = self.entries[number]
        if not entry.alive:
            return
        handle = entry.registry.make_handle()
        request = make_request(key, handle=handle, **options)
        submitted = entry.registry.submit(request)
        self.runs.append((entry, submitted.ok))

    def kill_entry(self, number):
        entry = self.entries[number]
        entry.alive = False
        self.network.kill(entry.node.peer_address)
        entry.scope.cancel()

    def break_table(self, fault):
        if fault in {'down', 'up'}:
            self.table.down = fault == 'down'
        else:
            setattr(self.table, fault, 1)


class FaultMachine(RuleBasedStateMachine):
    """Writes a script of requests and faults, and runs it at the end."""

    requests = Bundle('requests')

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(
        target=requests,
        number=entry_numbers,
        repeatable=st.booleans(),
        tokens=st.integers(1, 20),
        deadline_seconds=st.sampled_from([0.1, 1.0, 10.0]),
    )
    def request(self, number, **options):
        key = len(self.script)
        self.script.append(('request', (key, number, options)))
        return key, options

    @rule(request=requests, number=entry_numbers)
    def resend(self, request, number):
        key, options = request
        self.script.append(('request', (key, number, options)))

    @rule(number=engine_numbers, fault=st.sampled_from(START_FAULTS))
    def fail_start(self, number, fault):
        self.script.append(('start', (number, fault)))

    @rule(
        number=engine_numbers,
        faults=st.lists(
            st.sampled_from(('', *LINE_FAULTS)), min_size=1, max_size=4
        ),
    )
    def fail_lines(self, number, faults):
        self.script.append(('lines', (number, faults)))

    @rule(number=engine_numbers)
    def kill(self, number):
        self.script.append(('alive', (number, False)))

    @rule(number=engine_numbers)
    def restart(self, number):
        self.script.append(('alive', (number, True)))

    @rule(number=st.integers(1, ENTRIES - 1))
    def kill_entry(self, number):
        self.script.append(('kill-entry', number))

    @rule(fault=st.sampled_from(TABLE_FAULTS))
    def break_table(self, fault):
        self.script.append(('table', fault))

    @precondition(lambda machine: machine.script)
    @rule(seconds=wait_times)
    def wait(self, seconds):
        self.script.append(('wait', seconds))

    def teardown(self):
        run_in_virtual_time(self.run_script)

    async def run_script(self):
        harness = FaultHarness()
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                await harness.start(nursery)
                for action, argument in self.script:
                    await apply_step(harness, action, argument)
                await wait_all(harness)
                nursery.cancel_scope.cancel()
        for entry, run in harness.runs:
            if entry.alive:
                check_run(run, harness.engines.engines)


async def wait_all(harness):
    for entry, run in harness.runs:
        if entry.alive:
            await run.wait_ended()


async def apply_step(harness, action, argument):
    if action == 'request':
        harness.send(*argument)
    elif action == 'wait':
        await trio.sleep(argument)
    elif action == 'kill-entry':
        harness.kill_entry(argument)
    elif action == 'table':
        harness.break_table(argument)
    else:
        set_fault(harness.engines.engines[argument[0]], action, argument[1])


def set_fault(engine, action, fault):
    if action == 'start':
        engine.start_faults.append(fault)
    elif action == 'lines':
        engine.line_faults.extend(fault)
    elif fault:
        engine.restart()
    else:
        engine.kill()


def check_run(run, engines):
    request = run.request
    dispatched = sum(engine.journal.count(request.handle) for engine in engines)
    started = sum(
        engine.journal_keys.count(f'kona/{request.key}') for engine in engines
    )
    assert run.ended_at <= request.deadline + DEADLINE_TOLERANCE_SECONDS
    assert run.failure is None or run.failure.reason is not Reason.INTERNAL
    if run.failure is None:
        assert run.text == whole_text(request)
        assert started >= 1
    elif run.failure.verdict is Verdict.NOT_RUN:
        assert dispatched == 0
    if not request.repeatable:
        assert started <= 1


def test_answers_are_complete_and_verdicts_correct_under_faults():
    thorough = settings(max_examples=300)
    run_state_machine_as_test(FaultMachine, settings=thorough)


def append_anything(run, offset, text):
    run._texts.append(text)
    return True


async def run_unclaimed(self, run, placement, attempt, dispatch):
    return await dispatch()


@pytest.mark.parametrize(
    ('target', 'name', 'replacement'),
    [
        (Run, 'append', append_anything),
        (run_execution_module, '_never_ran', lambda failure: True),
        (attempt_module, '_is_for_other_stream', lambda line, stream_id: False),
        (AtMostOnceRuns, 'run', run_unclaimed),
    ],
)
def test_check_fails_when_a_safeguard_is_removed(
    monkeypatch, target, name, replacement
):
    monkeypatch.setattr(target, name, replacement)
    quick = settings(max_examples=2000, phases=[Phase.generate])
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(FaultMachine, settings=quick)
