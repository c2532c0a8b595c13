"""Non-repeatable requests run at most once, whatever fails."""

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
from limpetdrift.coordination.claim_status import (
    ClaimStatusReply,
    ClaimStatusService,
    ReportedClaimState,
)
from limpetdrift.coordination.claims import Claims
from limpetdrift.protocol.verdict import Verdict
from limpetdrift.state import claim_ledger
from limpetdrift.state.claims import VersionedClaim
from virtual_time import run_in_virtual_time

owners = st.integers(0, OWNERS - 1)
keys = st.sampled_from(('van-1', 'van-2'))
pauses = st.sampled_from((0.0, 0.001, 0.003, 0.008, 0.06, 0.7, 3.0))


class ClaimMachine(RuleBasedStateMachine):
    """Gathers a script of sends and faults, then plays it."""

    def __init__(self):
        super().__init__()
        self.script = []

    @initialize(key=keys)
    def begin(self, key):
        self._add(lambda world: world.send(0, key))

    @rule(owner=owners, key=keys, pause=pauses)
    def send(self, owner, key, pause):
        self._wait(pause)
        self._add(lambda world: world.send(owner, key))

    @rule(pause=pauses)
    def wait(self, pause):
        self._wait(pause)

    @rule(down=st.booleans())
    def break_store(self, down):
        self._add(lambda world: setattr(world.table, 'down', down))

    @rule(
        fault=st.sampled_from(
            ('lose_answers', 'lose_requests', 'late_requests'),
        ),
        times=st.integers(1, 2),
    )
    def lose(self, fault, times):
        self._add(lambda world: setattr(world.table, fault, times))

    @rule(
        fault=st.sampled_from(('refuse', 'silent', 'forget')),
        times=st.integers(1, 2),
    )
    def break_endpoint(self, fault, times):
        self._add(lambda world: setattr(world.endpoint, fault, times))

    @rule(owner=owners, pause=pauses)
    def kill(self, owner, pause):
        self._wait(pause)
        self._add(lambda world: world.kill(owner))

    @rule(owner=owners, pause=pauses)
    def freeze(self, owner, pause):
        self._wait(pause)
        self._add(lambda world: world.freeze(owner))

    @rule(owner=owners, key=keys, pause=pauses)
    def freeze_in_a_send(self, owner, key, pause):
        self.send(owner, key, 0.0)
        self.freeze(owner, pause)

    @rule(owner=owners)
    def thaw(self, owner):
        self._add(lambda world: world.thaw(owner))

    @rule(seconds=st.sampled_from((DEADLINE_SECONDS, 3 * EPOCH_SECONDS)))
    def wait_long(self, seconds):
        self._wait(seconds)

    @rule(one=owners, other=owners)
    def cut(self, one, other):
        def apply(world):
            world.network.cut(
                world.owners[one].address,
                world.owners[other].address,
            )

        self._add(apply)

    def teardown(self):
        world = ClaimHarness()
        run_in_virtual_time(lambda: world.run_script(self.script))
        check_runs(world)
        check_answers(world)

    def _add(self, action):
        async def step(world):
            action(world)

        self.script.append(step)

    def _wait(self, seconds):
        async def step(world):
            await trio.sleep(seconds)

        self.script.append(step)


def check_runs(world):
    """No key ran twice while its claim is kept, none past its deadline."""
    for place, run in enumerate(world.endpoint.journal):
        assert run.at <= run.deadline + 0.01
        for earlier in world.endpoint.journal[:place]:
            apart = run.at - earlier.at
            assert run.key != earlier.key or apart >= EPOCH_SECONDS


def check_answers(world):
    """Not-run is true, and resends after success get the first answer."""
    ran = {run.stream_id for run in world.endpoint.journal}
    first = {}
    for key, stream_id, answer, at in world.answers:
        # A claim is kept for an epoch at least, counted from its run.
        kept = first.get(key)
        if kept and at - world.endpoint.ran_at(kept) >= EPOCH_SECONDS:
            kept = None
        if answer.is_ok():
            assert kept in {None, answer.ok.body}
            first[key] = answer.ok.body
            continue
        if answer.error.verdict is Verdict.NOT_RUN:
            assert stream_id not in ran
        at_the_end = at >= world.answers[-1][3] - 1
        assert not (kept and at_the_end) or world.kills


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


def test_each_request_runs_at_most_once_and_answers_are_true():
    run_state_machine_as_test(ClaimMachine, settings=QUICK)


async def assume_written(claims, holding):
    return Ok(VersionedClaim(key=holding.key, version=1, row=holding.row))


def answer_without_withdrawing(asks, ask):
    holding = asks._ledger.find(ask.token)
    undispatched = (
        claim_ledger.LocalClaimState.PENDING,
        claim_ledger.LocalClaimState.GRANTED,
    )
    if holding is not None and holding.state in undispatched:
        return ClaimStatusReply(state=ReportedClaimState.NEVER_DISPATCHED)
    return honest_answer(asks, ask)


honest_answer = ClaimStatusService.answer


def always_in_time(deadline):
    return True


@pytest.mark.parametrize(
    ('place', 'name', 'broken'),
    [
        (Claims, '_read_back', assume_written),
        (ClaimStatusService, 'answer', answer_without_withdrawing),
        (claim_ledger, 'in_time', always_in_time),
    ],
    ids=('read-back', 'withdrawal', 'wake-check'),
)
def test_the_proof_fails_without(monkeypatch, place, name, broken):
    monkeypatch.setattr(place, name, broken)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(ClaimMachine, settings=SEARCH_ONLY)
