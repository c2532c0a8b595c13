"""Whole answers, true verdicts and single runs, over faults of engines.

The state machine's rules write a script of requests and faults; at the end
the script runs in virtual time against the real owner, and the outcomes are
checked against the engines' journals.
"""

import random

import pytest
import trio
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fake_engine import FakeEngineCalls, whole_text
from limpetdrift.coordination import attempt as attempt_module
from limpetdrift.coordination import drive as drive_module
from limpetdrift.coordination.drive import DriveParts, drive_run
from limpetdrift.coordination.owner import Owner
from limpetdrift.protocol.verdict import Verdict
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.state.run import Run, RunRequest
from virtual import run_virtual

ENGINES = 3
GRACE_SECONDS = 0.001
START_FAULTS = ('refuse', 'lose-request', 'lose-answer')
LINE_FAULTS = ('cut', 'silent', 'crossed', 'doubled', 'dropped')

engine_numbers = st.integers(0, ENGINES - 1)
pauses = st.sampled_from([0.0, 0.011, 0.07, 0.3])


def make_request(number, *, repeatable, tokens, deadline_seconds):
    return RunRequest(
        handle=f'entry-1~1~{number}',
        key=f'key-{number}',
        account='kona',
        model='m',
        prompt=f'user: fault note {number}',
        prompt_tokens=8,
        max_tokens=tokens,
        urgency=0,
        deadline=trio.current_time() + deadline_seconds,
        fingerprint=str(number),
        repeatable=repeatable,
    )


class OwnerMachine(RuleBasedStateMachine):
    """Writes a script, and runs it when it is whole."""

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(
        repeatable=st.booleans(),
        tokens=st.integers(1, 20),
        deadline_seconds=st.sampled_from([0.1, 1.0, 10.0]),
    )
    def request(self, **options):
        self.script.append(('request', options))

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

    @precondition(lambda machine: machine.script)
    @rule(seconds=pauses)
    def wait(self, seconds):
        self.script.append(('wait', seconds))

    def teardown(self):
        run_virtual(self.play)

    async def play(self):
        calls = FakeEngineCalls(count=ENGINES)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                runs = await play_script(self.script, calls, nursery)
                for run in runs:
                    await run.wait_ended()
        for run in runs:
            check_run(run, calls.engines)


async def play_script(script, calls, nursery):
    parts = DriveParts(
        name='entry-1',
        incarnation=1,
        engine=calls,
        place=calls.place,
        release=calls.release,
        budget=RetryBudget(),
        nursery=nursery,
        random=random.Random(1),
    )
    owner = Owner(
        name='entry-1',
        incarnation=1,
        random_source=random.Random(2),
        drive=lambda run: drive_run(parts, run),
        nursery=nursery,
    )
    runs = []
    for verb, subject in script:
        if verb == 'request':
            request = make_request(len(runs), **subject)
            runs.append(owner.submit(request).ok)
        elif verb == 'wait':
            await trio.sleep(subject)
        else:
            set_fault(calls.engines[subject[0]], verb, subject[1])
    return runs


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
    times_run = sum(engine.journal.count(request.handle) for engine in engines)
    assert run.ended_at <= request.deadline + GRACE_SECONDS
    if run.failure is None:
        assert run.text == whole_text(request)
        assert times_run >= 1
    elif run.failure.verdict is Verdict.NOT_RUN:
        assert times_run == 0
    if not request.repeatable:
        assert times_run <= 1


def test_answers_are_whole_and_verdicts_true():
    run_state_machine_as_test(OwnerMachine)


def append_anything(run, offset, text):
    run._texts.append(text)
    return True


@pytest.mark.parametrize(
    ('target', 'name', 'without'),
    [
        (Run, 'append', append_anything),
        (drive_module, '_never_ran', lambda failure: True),
        (attempt_module, '_is_another', lambda line, stream_id: False),
        (drive_module, '_may_not_repeat', lambda run: False),
    ],
)
def test_the_proof_fails_without_its_mechanism(
    monkeypatch, target, name, without
):
    monkeypatch.setattr(target, name, without)
    quick = settings(max_examples=300, phases=[Phase.generate])
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_state_machine_as_test(OwnerMachine, settings=quick)
