"""Tests that one client account's load doesn't take other accounts' share."""

import math
from dataclasses import replace

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from limpetdrift.coordination.planning.planner_client import (
    ACTIVE_PATH,
    PlannerClient,
    PlannerClientInputs,
)
from limpetdrift.coordination.scheduling.shares import (
    MAX_REPORTED_ACCOUNTS,
    AccountUse,
    DecayedUsage,
    OwnUsage,
    divide,
)
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.plans import ActivePlans, EngineGroup
from limpetdrift.verdict import Verdict
from planner_load import (
    ENGINES,
    LONG,
    POOL,
    SHORT,
    Arrival,
    PlannerLoad,
    arrivals_of,
)
from test_planning_groups import ENTRIES
from virtual_time import in_virtual_time

ACCOUNTS = tuple(f'account-{number}' for number in range(24))
LARGE, OTHERS = ACCOUNTS[0], ACCOUNTS[1:]
# Short prompts a second that occupy the slots of all engines.
FULL_RATE = ENGINES * 4.85
SECONDS = 16.0
BURST_SECONDS = 8.0
BURST_START = 4.0
# Share of what the other accounts get without the large one's burst.
KEPT_SHARE = 0.97
HAND_OVER_ERROR = 0.2
ENTRY_NAMES = tuple(f'entry-{number}' for number in range(6))

USES = st.dictionaries(
    st.sampled_from(ACCOUNTS),
    st.builds(
        AccountUse,
        used=st.floats(0, 1000),
        refused=st.floats(0, 1000),
    ),
    min_size=1,
)


def short_of(account: str) -> object:
    return replace(SHORT, account=account)


def usual_arrivals(
    load: float, accounts: tuple[str, ...] = ACCOUNTS
) -> list[Arrival]:
    rate = FULL_RATE * load / len(ACCOUNTS)
    return [
        arrival
        for account in accounts
        for arrival in arrivals_of(short_of(account), rate, SECONDS)
    ]


def burst_of(account: str, load: float) -> list[Arrival]:
    """Return what raises the load of an account to ten times the usual one."""
    rate = 9 * FULL_RATE * load / len(ACCOUNTS)
    return arrivals_of(short_of(account), rate, BURST_SECONDS, BURST_START)


def on_time_share(site: PlannerLoad, accounts: tuple[str, ...]) -> float:
    on_time = sum(site.on_time[account] for account in accounts)
    return on_time / sum(site.sent[account] for account in accounts)


@given(uses=USES, capacity=st.floats(0, 5000))
def test_shares_are_max_min_fair_and_add_up_to_the_capacity(uses, capacity):
    shares = divide(uses, capacity)
    asked = {name: use.used + use.refused for name, use in uses.items()}
    total = sum(share.due for share in shares.values())
    assert total == pytest.approx(min(capacity, sum(asked.values())))
    most = max(share.due for share in shares.values())
    for name, share in shares.items():
        # Who gets less than it asked for gets no less than any other.
        if share.due < asked[name] * 0.999:
            assert share.due == pytest.approx(most)
        assert share.excess == pytest.approx(
            max(0, uses[name].used - share.due)
        )


@given(uses=USES, account=st.sampled_from(ACCOUNTS), refused=st.floats(0, 1e6))
def test_account_at_its_equal_part_is_not_cut_by_anothers_demand(
    uses, account, refused
):
    """A caller that repeats refused requests must not reduce equal parts."""
    capacity = 100.0
    part = capacity / (len(uses) + 1)
    large = AccountUse(used=capacity, refused=refused)
    shares = divide(uses | {'repeating': large}, capacity)
    for name, use in uses.items():
        if use.used <= part:
            assert shares[name].excess == pytest.approx(0, abs=1e-9)


def test_charges_decay_and_idle_accounts_are_dropped():
    usage = DecayedUsage()
    usage.charge('a', 10.0, now=0.0)
    assert usage.by_account(5.0)['a'] == pytest.approx(10 / math.e)
    assert not usage.by_account(5.1)
    usage.charge('b', 1.0, now=500.0)
    assert usage.by_account(500.0, within_seconds=1000) == {'b': 1.0}


def test_report_names_the_accounts_with_the_highest_charges():
    own = OwnUsage()
    for number in range(100):
        own.charge(short_of(f'account-{number}'), 1.0 + number, now=5.0)
    report = own.report('entry', EngineGroup(), 5.0)
    assert len(report.accounts) == MAX_REPORTED_ACCOUNTS
    assert {each.account for each in report.accounts} == {
        f'account-{number}' for number in range(36, 100)
    }
    assert own.report('entry', EngineGroup(), 16.0) is None


def test_load_within_capacity_is_refused_nothing():
    site = PlannerLoad()
    site.play(usual_arrivals(0.7))
    assert not sum(site.refused.values())


@pytest.mark.parametrize('load', [0.7, 0.8])
def test_account_at_ten_times_its_load_takes_what_others_leave(load):
    """Without shares 0.81 and 0.37 of the others' prompts are on time."""
    usual = PlannerLoad()
    usual.play(usual_arrivals(load))
    site = PlannerLoad()
    site.play([*usual_arrivals(load), *burst_of(LARGE, load)])
    kept = on_time_share(site, OTHERS) / on_time_share(usual, OTHERS)
    assert kept >= KEPT_SHARE
    # The large account gets most of what the others leave.
    left = (1 - load) * ENGINES * BURST_SECONDS
    gained = site.engine_seconds[LARGE] - usual.engine_seconds[LARGE]
    assert gained >= 0.6 * left


def test_account_of_longest_prompts_is_charged_engine_time_and_is_served():
    """By number of requests, it would be far below every other account."""
    site = PlannerLoad()
    long_ones = arrivals_of(replace(LONG, account=LARGE), 1.5, SECONDS)
    site.play([*usual_arrivals(0.7, OTHERS), *long_ones])
    assert site.sent[LARGE] == min(site.sent.values())
    assert site.refused[LARGE]
    assert site.sent[LARGE] - site.refused[LARGE] >= 8
    refused = sum(site.refused[account] for account in OTHERS)
    refused_share = refused / sum(site.sent[account] for account in OTHERS)
    assert refused_share <= 0.25 * site.refused[LARGE] / site.sent[LARGE]


@pytest.mark.parametrize('load', [0.7, 0.8])
def test_callers_that_repeat_at_once_cost_the_others_little(load):
    def run(tries: int) -> float:
        site = PlannerLoad(tries=tries)
        site.play([*usual_arrivals(load), *burst_of(LARGE, load)])
        return on_time_share(site, OTHERS)

    assert run(4) >= run(1) - 0.02


def test_refused_prompt_has_not_run_and_names_a_retry_time():
    site = PlannerLoad(engines=1)
    refusals = [
        planned.error
        for _ in range(120)
        if (planned := site.send(short_of(LARGE))).is_error()
    ]
    assert refusals
    for refusal in refusals:
        assert refusal.verdict is Verdict.NOT_RUN
        assert 0.3 <= refusal.retry_after_seconds <= 10
        assert refusal.is_retry_scheduled


@in_virtual_time
async def test_next_planner_knows_charges_within_the_bound():
    """The planner dies; the entries report to one that knows none of them."""
    old, new = PlannerLoad(), PlannerLoad()
    clients = {name: make_client(name, old, new) for name in ENTRY_NAMES}
    arrivals = usual_arrivals(0.8)
    for number, arrival in enumerate(sorted(arrivals, key=lambda it: it.at)):
        old.go_to(1000.0 + arrival.at)
        entry = ENTRY_NAMES[number % len(ENTRY_NAMES)]
        request = replace(arrival.request, entry=entry)
        planned = old.send(request)
        if planned.is_ok():
            clients[entry].begin(planned.ok, request)
    new.go_to(old.now + 1.0)
    old.go_to(old.now + 1.0)
    for _ in range(2):
        # Reports that come again count once.
        for client in clients.values():
            await client._send_active_plans(ENTRIES[0], EngineGroup())
    expected = old.planner.admission.used_seconds(POOL)
    reported = new.planner.admission.used_seconds(POOL)
    assert expected.keys() == reported.keys() == set(ACCOUNTS)
    for account, seconds in expected.items():
        assert reported[account] == pytest.approx(seconds, rel=HAND_OVER_ERROR)


def make_client(name: str, old: PlannerLoad, new: PlannerLoad) -> PlannerClient:
    """Return an entry's client; its calls reach the new planner."""

    async def call(address, path, message, reply, *, timeout_seconds):
        assert path == ACTIVE_PATH
        await trio.lowlevel.checkpoint()
        sent = decode(encode(message), ActivePlans).ok
        return await new.planner.answer_active(sent)

    return PlannerClient(
        inputs=PlannerClientInputs(
            node=replace(ENTRIES[1], name=name),
            planner=old.planner,
            call=call,
            live_entries=lambda: ENTRIES,
            record_connection_refused=lambda name: None,
            clock=lambda: old.now,
        )
    )
