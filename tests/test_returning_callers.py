"""Tests of the retry times of refused callers, and of their return."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.coordination.forwarding.retry_policy import (
    jittered_retry_after_seconds,
)
from limpetdrift.coordination.scheduling.returns import (
    MAX_REMEMBERED,
    PoolLoad,
    RefusedPrompt,
    ReturnSchedule,
    Standing,
    standing_at,
)
from limpetdrift.coordination.scheduling.time_limits import latest_first_token
from limpetdrift.verdict import Reason, not_run
from planner_load import COST_MODEL, POOL, SHORT, PlannerLoad

NOW = 100.0
ENGINES = 20
LOAD = PoolLoad(engines=ENGINES, backlog_seconds=2.0)
IDLE = PoolLoad(engines=ENGINES, backlog_seconds=0.0)
FREE_SECONDS = 2.0


def make_schedule() -> ReturnSchedule:
    return ReturnSchedule(randomness=random.Random(1))


def make_prompt(number: int = 0, **changes: object) -> RefusedPrompt:
    values: dict[str, object] = {
        'pool': POOL,
        'fingerprint': f'prompt-{number}',
        'engine_seconds': 0.25,
        'seconds_left': 30.0,
    }
    return RefusedPrompt(**(values | changes))


def test_refused_callers_return_spread_while_engines_become_free():
    """If they returned together, most would be refused a second time."""
    schedule = make_schedule()
    times = [
        schedule.assign(make_prompt(number), LOAD, NOW) for number in range(200)
    ]
    assert min(times) == LOAD.backlog_seconds
    # 200 prompts of 0.25 s take half of the time of 20 engines for 5 s.
    assert max(times) == pytest.approx(LOAD.backlog_seconds + 5.0, abs=0.1)
    for second in range(2, 7):
        assert sum(second <= each < second + 1 for each in times) <= 41


@given(
    sizes=st.lists(st.floats(0.01, 50), min_size=1, max_size=60),
    seconds_left=st.floats(0.5, 100),
    backlog=st.floats(0, 40),
)
def test_retry_times_stay_within_their_bounds(sizes, seconds_left, backlog):
    schedule = make_schedule()
    load = PoolLoad(engines=ENGINES, backlog_seconds=backlog)
    for number, size in enumerate(sizes):
        prompt = make_prompt(
            number, engine_seconds=size, seconds_left=seconds_left
        )
        longest = max(0.3, min(10, seconds_left / 3))
        assert 0.3 <= schedule.assign(prompt, load, NOW) <= longest + 1e-6


def test_retry_times_beyond_the_longest_are_spread_over_its_second_half():
    schedule = make_schedule()
    load = PoolLoad(engines=ENGINES, backlog_seconds=60.0)
    times = [
        schedule.assign(make_prompt(number), load, NOW) for number in range(200)
    ]
    assert 5 <= min(times) < 5.5
    assert 9.5 < max(times) <= 10


def test_early_return_is_a_new_prompt_and_keeps_its_retry_time():
    """A caller that gets a new time with each try could gain a better one."""
    schedule = make_schedule()
    first = schedule.assign(make_prompt(), LOAD, NOW)
    for number in range(1, 10):
        schedule.assign(make_prompt(number), LOAD, NOW)
    assert schedule.standing(make_prompt(), NOW + 1) is Standing.EARLY
    assert not schedule.may_go_first(make_prompt(), IDLE, NOW + 1)
    again = schedule.assign(make_prompt(), IDLE, NOW + 1)
    assert again == pytest.approx(first - 1)


@pytest.mark.parametrize(
    ('offset', 'standing'),
    [
        (-0.2, Standing.EARLY),
        (-0.05, Standing.KEPT),
        (2.9, Standing.KEPT),
        (3.1, Standing.NEW),
    ],
)
def test_return_within_the_window_has_kept_its_time(offset, standing):
    assert standing_at(NOW, NOW + offset) is standing


def test_returning_callers_get_at_most_half_of_the_engine_time():
    """New prompts would starve while hundreds of callers return."""
    schedule = make_schedule()
    prompts = [make_prompt(number) for number in range(400)]
    for prompt in prompts:
        schedule.assign(prompt, IDLE, NOW)
    admitted = 0.0
    for step in range(40):
        now = NOW + 3 + step / 20
        for prompt in prompts:
            if schedule.may_go_first(prompt, IDLE, now):
                schedule.record_admitted(prompt, IDLE, now)
                admitted += prompt.engine_seconds
    # Half of 2 s, after the bound of 1 s that may come at once.
    assert admitted <= ENGINES / 2 * 3
    assert admitted >= ENGINES / 2 * 2


def test_prompt_larger_than_the_bound_is_within_it_alone():
    schedule = make_schedule()
    prompts = [make_prompt(each, engine_seconds=40.0) for each in range(2)]
    retry_at = [NOW + schedule.assign(each, IDLE, NOW) for each in prompts]
    assert schedule.may_go_first(prompts[0], IDLE, retry_at[0])
    schedule.record_admitted(prompts[0], IDLE, retry_at[0])
    assert not schedule.may_go_first(prompts[1], IDLE, retry_at[0] + 3.9)


def test_fingerprints_are_bounded_and_the_oldest_is_dropped_first():
    schedule = make_schedule()
    for number in range(MAX_REMEMBERED + 10):
        schedule.assign(make_prompt(number), LOAD, NOW)
    assert schedule.remembered == MAX_REMEMBERED
    assert schedule.standing(make_prompt(9), NOW + 1) is Standing.NEW
    assert schedule.standing(make_prompt(10), NOW + 1) is Standing.EARLY
    schedule.assign(make_prompt(-1), LOAD, NOW + 60)
    assert schedule.remembered == 1
    assert schedule.due_seconds(POOL, LOAD, NOW + 12) == 0


def test_unknown_fingerprint_is_not_remembered():
    schedule = make_schedule()
    schedule.assign(make_prompt(fingerprint=''), LOAD, NOW)
    assert schedule.remembered == 0


def test_new_prompt_leaves_room_for_callers_that_are_due():
    """Otherwise new prompts take the time for which callers waited."""
    assert latest_first_token(SHORT, 0.5, COST_MODEL) == pytest.approx(8.5)
    urgent = replace(SHORT, target_seconds=8.8)
    assert latest_first_token(urgent, 0.5, COST_MODEL) == pytest.approx(8.8)


def test_answer_that_can_not_be_whole_in_time_is_too_late():
    """Guards against retries shortly before a deadline that run in vain.

    On the bench a prompt was sent with 0.8 s left, and its answer was cut off.
    """
    retried = replace(
        SHORT,
        prompt_tokens=102_000,
        answer_tokens=1600,
        target_seconds=3.0,
        seconds_left=0.6,
        hold_seconds=0.6,
    )
    assert latest_first_token(retried, 0, COST_MODEL) < 0.1
    resumed = replace(retried, yields=True)
    assert latest_first_token(resumed, 0, COST_MODEL) == pytest.approx(0.54)


def test_scheduled_retry_time_gets_no_random_factor():
    """With one, a caller that keeps to the header would come early."""
    refusal = not_run(
        Reason.OVERLOADED, retry_after_seconds=4.0, is_retry_scheduled=True
    )
    seconds = {
        jittered_retry_after_seconds(refusal, random.Random(seed))
        for seed in range(5)
    }
    assert seconds == {4.0}


def test_refused_callers_are_admitted_when_they_return_as_told():
    """200 callers are refused; nobody else comes after them."""
    site = PlannerLoad(engines=4)
    returns = []
    number = 0
    while len(returns) < 200:
        number += 1
        request = replace(SHORT, fingerprint=str(number))
        planned = site.send(request)
        if planned.is_error():
            at = site.now + planned.error.retry_after_seconds
            returns.append((at, request))
    start = site.now
    for at, request in sorted(returns, key=lambda each: each[0]):
        site.go_to(at)
        planned = site.send(replace(request, seconds_left=10 - (at - start)))
        assert at - start <= 10 / 3
    admitted = site.sent[''] - site.refused['']
    assert admitted - (number - 200) >= 0.1 * 200
