"""Whole answers, true verdicts and single runs, over faults of all kinds.

The state machine's rules write a script of requests, resends to any entry,
and faults of engines, entries and the table service; at the end the script
runs in virtual time against real owners and claims, and the outcomes are
checked against the engines' journals.
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
from limpetdrift.coordination import attempt as attempt_module
from limpetdrift.coordination import run_execution as drive_module
from limpetdrift.coordination.at_most_once_runs import AtMostOnceRuns
from limpetdrift.coordination.claims import Claims
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.run_execution import RunInputs, execute_run
from limpetdrift.coordination.run_registry import RunRegistry
from limpetdrift.coordination.run_streams import last_line
from limpetdrift.protocol.engine import StreamLine
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.verdict import (
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.state.claims import ClaimStore
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.state.run import Run, RunRequest
from limpetdrift.transport.messages import Address
from virtual_time import run_in_virtual_time

ENGINES = 3
GRACE_SECONDS = 0.001
START_FAULTS = ('refuse', 'lose-request', 'lose-answer')
ENTRIES = 3
TABLE_FAULTS = ('down', 'up', 'up', 'lose_answers', 'lose_requests')
LINE_FAULTS = ('cut', 'silent', 'crossed', 'doubled', 'dropped')

engine_numbers = st.integers(0, ENGINES - 1)
entry_numbers = st.integers(0, ENTRIES - 1)
pauses = st.sampled_from([0.0, 0.011, 0.07, 0.3, 2.0])


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
    """One entry's owner with its claims, on shared engines and table."""

    def __init__(self, number, world):
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
                table=world.table.calls(),
                objects=FakeObjects(world.table).calls(),
                epoch=lambda: 1,
            ),
            peer_call=world.network.add_peer(self.node.peer_address, routes),
            randomness=random.Random(number),
        )
        self.claims.register(routes)
        self.single = AtMostOnceRuns(
            claims=self.claims,
            engine=world.engines,
            owners=OwnerCalls(world),
        )

    async def run(self, world, *, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.owner = self.make_owner(world, nursery)
                nursery.start_soon(self.claims.run)
                task_status.started()
                await trio.sleep_forever()

    def make_owner(self, world, nursery):
        parts = RunInputs(
            name=self.node.name,
            incarnation=1,
            engine=world.engines,
            place=world.engines.place,
            release=world.engines.release,
            run_at_most_once=self.single.run,
            report_failure=lambda endpoint, failure: None,
            budget=RetryBudget(),
            nursery=nursery,
            randomness=random.Random(1),
        )
        return RunRegistry(
            name=self.node.name,
            incarnation=1,
            randomness=random.Random(2),
            execute=lambda run: execute_run(parts, run),
            nursery=nursery,
        )


class OwnerCalls:
    """Reads the streams of other entries' runs, as over their listeners."""

    def __init__(self, world):
        self.world = world

    @asynccontextmanager
    async def resume(self, address, stream_id, offset):
        await trio.sleep(0.001)
        entry = self.world.entries[address.port - 3000]
        run = entry.owner.find(stream_id.rpartition('.')[0])
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


class World:
    """What a script is played in."""

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
        handle = entry.owner.make_handle()
        request = make_request(key, handle=handle, **options)
        submitted = entry.owner.submit(request)
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


class OwnerMachine(RuleBasedStateMachine):
    """Writes a script, and runs it when it is whole."""

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
    @rule(seconds=pauses)
    def wait(self, seconds):
        self.script.append(('wait', seconds))

    def teardown(self):
        run_in_virtual_time(self.play)

    async def play(self):
        world = World()
        with trio.fail_after(120):
            async with trio.open_nursery() as nursery:
                await world.start(nursery)
                for verb, subject in self.script:
                    await play_step(world, verb, subject)
                await wait_all(world)
                nursery.cancel_scope.cancel()
        for entry, run in world.runs:
            if entry.alive:
                check_run(run, world.engines.engines)


async def wait_all(world):
    for entry, run in world.runs:
        if entry.alive:
            await run.wait_ended()


async def play_step(world, verb, subject):
    if verb == 'request':
        world.send(*subject)
    elif verb == 'wait':
        await trio.sleep(subject)
    elif verb == 'kill-entry':
        world.kill_entry(subject)
    elif verb == 'table':
        world.break_table(subject)
    else:
        set_fault(world.engines.engines[subject[0]], verb, subject[1])


def set_fault(engine, verb, fault):
    if verb == 'start':
        engine.start_faults.append(fault)
    elif verb == 'lines':
        engine.line_faults.extend(fault)
    elif fault:
        engine.restart()
    else:
        engine.kill()


def check_run(run, engines):
    request = run.request
    own = sum(engine.journal.count(request.handle) for engine in engines)
    every = sum(engine.keys.count(f'kona/{request.key}') for engine in engines)
    assert run.ended_at <= request.deadline + GRACE_SECONDS
    assert run.failure is None or run.failure.reason is not Reason.INTERNAL
    if run.failure is None:
        assert run.text == whole_text(request)
        assert every >= 1
    elif run.failure.verdict is Verdict.NOT_RUN:
        assert own == 0
    if not request.repeatable:
        assert every <= 1


def test_answers_are_whole_and_verdicts_true():
    thorough = settings(max_examples=300)
    run_state_machine_as_test(OwnerMachine, settings=thorough)


def append_anything(run, offset, text):
    run._texts.append(text)
    return True


async def run_unclaimed(self, run, placement, attempt, dispatch):
    return await dispatch()


@pytest.mark.parametrize(
    ('target', 'name', 'without'),
    [
        (Run, 'append', append_anything),
        (drive_module, '_never_ran', lambda failure: True),
        (attempt_module, '_is_another', lambda line, stream_id: False),
        (AtMostOnceRuns, 'run', run_unclaimed),
    ],
)
def test_the_proof_fails_without_its_mechanism(
    monkeypatch, target, name, without
):
    monkeypatch.setattr(target, name, without)
    quick = settings(max_examples=2000, phases=[Phase.generate])
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(OwnerMachine, settings=quick)
