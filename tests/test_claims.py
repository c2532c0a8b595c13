"""Non-idempotent requests run at most once, whatever fails.

A state machine writes a script of sends and faults, which is then run in
virtual time against real claims and fake services.
"""

import pytest
import trio
from expression import Ok
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from claim_harness import DEADLINE_SECONDS, EPOCH_SECONDS, OWNERS, ClaimHarness
from limpetdrift.coordination.claims.claim_status import (
    ClaimStatusReply,
    ClaimStatusService,
    ReportedClaimState,
)
from limpetdrift.coordination.claims.claims import Claims
from limpetdrift.state import claim_ledger
from limpetdrift.state.claims import VersionedClaim
from limpetdrift.verdict import Verdict
from virtual_time import run_in_virtual_time

owners = st.integers(0, OWNERS - 1)
keys = st.sampled_from(('van-1', 'van-2'))
pauses = st.sampled_from((0.0, 0.001, 0.003, 0.008, 0.06, 0.7, 3.0))


class ClaimMachine(RuleBasedStateMachine):
    """Collects a script of sends and faults, then runs and checks it."""

    def __init__(self):
        super().__init__()
        self.script = []

    @initialize(key=keys)
    def begin(self, key):
        self._add(lambda harness: harness.send(0, key))

    @rule(owner=owners, key=keys, pause=pauses)
    def send(self, owner, key, pause):
        self._wait(pause)
        self._add(lambda harness: harness.send(owner, key))

    @rule(pause=pauses)
    def wait(self, pause):
        self._wait(pause)

    @rule(down=st.booleans())
    def break_store(self, down):
        self._add(lambda harness: setattr(harness.table, 'down', down))

    @rule(
        fault=st.sampled_from(
            ('lose_answers', 'lose_requests', 'late_requests'),
        ),
        times=st.integers(1, 2),
    )
    def lose(self, fault, times):
        self._add(lambda harness: setattr(harness.table, fault, times))

    @rule(
        fault=st.sampled_from(('refuse', 'silent', 'forget')),
        times=st.integers(1, 2),
    )
    def break_endpoint(self, fault, times):
        self._add(lambda harness: setattr(harness.endpoint, fault, times))

    @rule(owner=owners, pause=pauses)
    def kill(self, owner, pause):
        self._wait(pause)
        self._add(lambda harness: harness.kill(owner))

    @rule(owner=owners, pause=pauses)
    def freeze(self, owner, pause):
        self._wait(pause)
        self._add(lambda harness: harness.freeze(owner))

    @rule(owner=owners, key=keys, pause=pauses)
    def freeze_in_a_send(self, owner, key, pause):
        self.send(owner, key, 0.0)
        self.freeze(owner, pause)

    @rule(owner=owners)
    def thaw(self, owner):
        self._add(lambda harness: harness.thaw(owner))

    @rule(seconds=st.sampled_from((DEADLINE_SECONDS, 3 * EPOCH_SECONDS)))
    def wait_long(self, seconds):
        self._wait(seconds)

    @rule(one=owners, other=owners)
    def cut(self, one, other):
        def apply(harness):
            harness.network.cut(
                harness.owners[one].address,
                harness.owners[other].address,
            )

        self._add(apply)

    def teardown(self):
        harness = ClaimHarness()
        run_in_virtual_time(lambda: harness.run_script(self.script))
        check_runs(harness)
        check_answers(harness)

    def _add(self, action):
        async def step(harness):
            action(harness)

        self.script.append(step)

    def _wait(self, seconds):
        async def step(harness):
            await trio.sleep(seconds)

        self.script.append(step)


def check_runs(harness):
    """Check that no key ran twice within an epoch or after its deadline."""
    for index, run in enumerate(harness.endpoint.journal):
        assert run.at <= run.deadline + 0.01
        for earlier in harness.endpoint.journal[:index]:
            seconds_apart = run.at - earlier.at
            assert run.key != earlier.key or seconds_apart >= EPOCH_SECONDS


def check_answers(harness):
    """Check that verdicts are true and resends get the first answer."""
    ran = {run.stream_id for run in harness.endpoint.journal}
    first_bodies = {}
    for key, stream_id, answer, at in harness.answers:
        # A claim is kept for at least one epoch after its run.
        stored = first_bodies.get(key)
        if stored and at - harness.endpoint.ran_at(stored) >= EPOCH_SECONDS:
            stored = None
        if answer.is_ok():
            assert stored in {None, answer.ok.body}
            first_bodies[key] = answer.ok.body
            continue
        if answer.error.verdict is Verdict.NOT_RUN:
            assert stream_id not in ran
        at_the_end = at >= harness.answers[-1][3] - 1
        assert not (stored and at_the_end) or harness.kills


QUICK = settings(
    max_examples=400,
    stateful_step_count=14,
    suppress_health_check=list(HealthCheck),
)
SEARCH_ONLY = settings(
    QUICK,
    max_examples=3000,
    phases=(Phase.generate,),
    print_blob=False,
)


def test_each_request_runs_at_most_once_and_verdicts_are_true():
    run_state_machine_as_test(ClaimMachine, settings=QUICK)


async def assume_written(claims, local_claim):
    return Ok(
        VersionedClaim(key=local_claim.key, version=1, row=local_claim.row)
    )


def answer_without_withdrawing(service, request):
    local_claim = service._ledger.find(request.token)
    undispatched = (
        claim_ledger.LocalClaimState.PENDING,
        claim_ledger.LocalClaimState.GRANTED,
    )
    if local_claim is not None and local_claim.state in undispatched:
        return ClaimStatusReply(state=ReportedClaimState.NEVER_DISPATCHED)
    return honest_answer(service, request)


honest_answer = ClaimStatusService.answer


def always_in_time(deadline):
    return True


@pytest.mark.parametrize(
    ('target', 'name', 'broken'),
    [
        (Claims, '_read_back', assume_written),
        (ClaimStatusService, 'answer', answer_without_withdrawing),
        (claim_ledger, 'in_time', always_in_time),
    ],
    ids=('read-back', 'withdrawal', 'wake-check'),
)
def test_state_machine_fails_without_safeguard(
    monkeypatch, target, name, broken
):
    monkeypatch.setattr(target, name, broken)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ClaimMachine, settings=SEARCH_ONLY)
