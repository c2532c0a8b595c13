"""Tests how loaded groups of engines get help from those with less load."""

import random
from collections import Counter
from dataclasses import replace

import pytest
import trio
from expression import Ok

from limpetdrift.coordination.engines.planning_groups import (
    cost_limit_elsewhere,
)
from limpetdrift.coordination.planning.group_load_exchange import (
    GROUP_LOADS_PATH,
)
from limpetdrift.coordination.planning.planner_calls import PLAN_PATH
from limpetdrift.coordination.scheduling.group_loads import (
    GroupLoads,
    KnownLoad,
    Preference,
    SentLoad,
    choose_group,
    due_groups,
    expected_loads,
    is_pressed,
    load_of,
    make_digest,
    next_preference,
)
from limpetdrift.coordination.scheduling.named_groups import NAME_SECONDS
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.plans import GroupLoad, Plan
from limpetdrift.state.engine_ledger import MAX_FAILURE_BACKOFF_SECONDS
from limpetdrift.state.engine_usage import EngineUsage, StreamUse
from limpetdrift.transport.messages import Address
from test_planning_groups import (
    DOMAINS,
    ENTRIES,
    GroupHarness,
    group_of,
    make_engine,
    make_engines,
    make_plan_request,
    make_work,
)
from test_splitting import COST_MODEL
from virtual_time import background_tasks, in_virtual_time

EAST, NORTH, WEST = map(group_of, DOMAINS)
ENGINE_COUNT = 24
NOW = 100.0


def make_load(group=EAST, backlog=0.0, taken=0.0, **fields) -> GroupLoad:
    """Return the digest of a group with a share of its slots taken."""
    slots = ENGINE_COUNT * COST_MODEL.slots
    fields = {
        'engines': ENGINE_COUNT,
        'slots': slots,
        'free_slots': int(slots * (1 - taken)),
        **fields,
    }
    return GroupLoad(
        service='s', group=group, backlog_seconds=backlog, **fields
    )


def know(load: GroupLoad, age: float = 0.0, added: float = 0.0) -> KnownLoad:
    return KnownLoad(digest=load, received_at=NOW - age, added=added)


def make_lost(group=EAST) -> GroupLoad:
    return make_load(group, failing=ENGINE_COUNT - 5)


def test_digest_counts_failing_engines_apart():
    """Idle engines of a silent failure domain must not count as free ones."""
    working, failing, queued = (make_engine(number, 'east') for number in '123')
    streams = (StreamUse(pause_seconds=0.3),) * (COST_MODEL.slots + 2)
    usages = (
        EngineUsage(endpoint=working, backlog_seconds=2.0),
        EngineUsage(endpoint=failing, failing=True),
        EngineUsage(endpoint=queued, written=streams),
    )
    header = GroupLoad(service='s', group=EAST, waiting=(1,))
    digest = make_digest(usages, COST_MODEL, header)
    assert (digest.engines, digest.failing) == (3, 1)
    assert digest.backlog_seconds == 1.0
    assert digest.slots == 2 * COST_MODEL.slots
    assert digest.free_slots == COST_MODEL.slots - 2
    assert digest.waiting == (1,)
    assert load_of(digest) == pytest.approx(1.0 + 10 / 16)


def test_group_without_a_working_engine_is_never_named():
    none = make_digest((), COST_MODEL, GroupLoad(service='s', group=EAST))
    assert load_of(none) == float('inf')
    known = (know(none), know(make_lost(NORTH)))
    assert not expected_loads(known, NOW)
    assert choose_group({}, random.Random(1)) is None


def test_load_counts_less_the_older_its_digest_is():
    known = [know(make_load(EAST, 3.0), 1.5), know(make_load(NORTH, 1.0), 1.5)]
    loads = expected_loads(known, NOW)
    assert loads == {EAST: pytest.approx(2.5), NORTH: pytest.approx(1.5)}
    assert not expected_loads([know(make_load(), 3.1)], NOW)


def test_prompts_sent_to_a_group_count_until_its_next_digest():
    loads = GroupLoads()
    loads.put(make_load(NORTH), NOW)
    request = replace(make_plan_request(), prompt_tokens=154_000)
    loads.add_work(request, NORTH, COST_MODEL)
    loads.add_work(request, WEST, COST_MODEL)
    added = loads.others('s', EAST, NOW)[0].added
    assert added == pytest.approx((3.05 + 1 / 8) / ENGINE_COUNT, rel=0.01)
    loads.put(make_load(NORTH), NOW)
    assert not loads.others('s', EAST, NOW)[0].added
    assert not loads.others('s', NORTH, NOW)


def test_digest_that_was_overtaken_is_ignored():
    loads = GroupLoads()
    loads.put(make_load(NORTH, planner='e', made_at=2.0), NOW)
    loads.put(make_load(NORTH, 5.0, planner='e', made_at=1.0), NOW)
    assert not load_of(loads.others('s', EAST, NOW)[0].digest)
    loads.put(make_load(NORTH, 5.0, planner='other', made_at=1.0), NOW)
    assert load_of(loads.others('s', EAST, NOW)[0].digest) == 5.0


@pytest.mark.parametrize('others', [2, 5, 11])
def test_digests_of_a_second_ago_cause_no_oscillation(others):
    """Groups that were idle must not get all prompts until the next digest.

    Each group is overloaded by a burst at first; all prompts of each 20 ms go
    to a group by digests that are up to a second old.
    """
    randomness = random.Random(1)
    groups = [group_of(str(number)) for number in range(others)]
    backlogs = dict.fromkeys(groups, 0.0)
    backlogs[groups[0]] = 1.0
    loads = GroupLoads()
    request = replace(make_plan_request(), prompt_tokens=45_000)
    seconds = 0.33 / ENGINE_COUNT
    highest = []
    for step in range(500):
        now = step * 0.02
        if step % 50 == 0:
            for group in groups:
                loads.put(make_load(group, backlogs[group]), now)
        for _ in range(2 * others):
            known = loads.others('s', EAST, now)
            chosen = choose_group(expected_loads(known, now), randomness)
            loads.add_work(request, chosen, COST_MODEL)
            backlogs[chosen] += seconds
        for group in groups:
            backlogs[group] = max(0, backlogs[group] - 0.02)
        highest.append(max(backlogs.values()) - min(backlogs.values()))
    assert max(highest[200:]) < 0.5


def test_preference_has_hysteresis():
    """Callers must not change between groups with each digest."""
    others = {NORTH: 0.5, WEST: 1.0}

    def follow(preference, backlog, now=NOW):
        return next_preference(
            preference, make_load(EAST, backlog), others, now
        )

    off = Preference()
    assert not follow(off, 1.9).is_on
    on = follow(off, 2.1)
    assert on.is_on
    assert follow(on, 1.1).is_on
    assert not follow(on, 0.9).is_on
    assert not next_preference(on, make_load(EAST, 9.0), {}, NOW).is_on


def test_preference_outlasts_the_failing_flags_of_engines():
    """Guards against prompts for silent engines that are still listed.

    An engine counts as failing for 1.5 s, but is listed for 3.6 s.
    """
    others = {NORTH: 0.5}
    lost = next_preference(Preference(), make_lost(), others, NOW)
    assert lost.is_on
    later = next_preference(lost, make_load(), others, NOW + 2.4)
    assert later.is_on
    assert not next_preference(later, make_load(), others, NOW + 2.6).is_on
    half = make_load(failing=ENGINE_COUNT // 2)
    assert not next_preference(Preference(), half, others, NOW).is_on


def test_digest_is_due_after_a_change_or_some_time():
    sent = {NORTH: SentLoad(load=1.0, sent_at=NOW)}
    assert due_groups(1.0, sent, [NORTH, WEST], NOW + 0.4) == (WEST,)
    assert not due_groups(9.0, sent, [NORTH], NOW + 0.4)
    assert not due_groups(1.09, sent, [NORTH], NOW + 1.9)
    assert due_groups(1.2, sent, [NORTH], NOW + 0.5) == (NORTH,)
    assert due_groups(1.0, sent, [NORTH], NOW + 2.0) == (NORTH,)


def test_planner_sends_to_a_bounded_number_of_groups_in_turn():
    groups = [group_of(str(number)) for number in range(11)]
    sent, counts = {}, Counter()
    for step in range(6):
        now = NOW + step * 0.5
        due = due_groups(float(step), sent, groups, now)
        assert len(due) <= 4
        counts.update(due)
        sent.update((each, SentLoad(load=step, sent_at=now)) for each in due)
    assert min(counts[group] for group in groups) == 2


def test_single_late_prompt_is_no_pressure():
    """A very long prompt is late also under normal load."""
    assert not is_pressed(make_load(waiting=(1,)))
    assert is_pressed(make_load(waiting=(1, 0, 1), refused=1))
    assert is_pressed(make_lost())


def test_preferred_group_may_have_a_plan_of_higher_cost():
    plan = decode(b'{"grant":"g","writer":{"name":"e","lifetime":1}}', Plan).ok
    cheap = Ok(replace(plan, cost=0.1, prefers_alternative=True))
    assert cost_limit_elsewhere(Ok(plan)) is None
    assert cost_limit_elsewhere(cheap) == 0.5
    assert cost_limit_elsewhere(cheap, is_home=False) is None


def test_messages_of_other_builds_are_understood():
    """Replays a roll in which entries of two builds ask each other."""
    plan = decode(b'{"grant":"g","writer":{"name":"e","lifetime":1}}', Plan).ok
    assert plan.alternative is None
    named = replace(plan, alternative=EAST, prefers_alternative=True)
    assert decode(encode(named), Plan).ok == named
    old = b'{"service":"s","group":{"failure_domain":"east"},"later_field":1}'
    load = decode(old, GroupLoad).ok
    assert load == GroupLoad(service='s', group=EAST)
    assert not expected_loads([know(load)], NOW)


class LoadHarness(GroupHarness):
    """Planners of groups that exchange their loads."""

    def start(self, nursery: trio.Nursery) -> None:
        for placer in self.placers:
            nursery.start_soon(placer.group_loads.run)

    @property
    def digests(self) -> list[tuple[str, Address]]:
        """The calls that carried a digest."""
        return [call for call in self.calls if call[0] == GROUP_LOADS_PATH]

    async def place(self, entry: int, times: int = 1, tokens: int = 5000):
        """Place prompts of an entry; return the failure domains used."""
        placed = [
            await self.placers[entry].place(make_work(tokens), frozenset())
            for _ in range(times)
        ]
        return Counter(
            each.ok.endpoint.failure_domain for each in placed if each.is_ok()
        )


@in_virtual_time
async def test_nothing_is_sent_under_normal_load():
    harness = LoadHarness()
    async with background_tasks(harness):
        for entry, _ in enumerate(ENTRIES):
            await harness.place(entry, times=5)
        await trio.sleep(5.0)
    assert not harness.digests


@in_virtual_time
async def test_undivided_service_exchanges_nothing_under_overload():
    harness = LoadHarness(make_engines(2))
    async with background_tasks(harness):
        await harness.place(5, times=300)
        await trio.sleep(3.0)
    assert not harness.digests
    for placer in harness.placers:
        assert not placer.group_loads._planned


@in_virtual_time
async def test_silent_failure_domain_is_asked_last_until_it_is_back():
    """All engines of a failure domain crash while they are still listed."""
    harness = LoadHarness()
    entry, domain = 5, ENTRIES[5].failure_domain
    async with background_tasks(harness):
        harness.fill(2, domain)
        await harness.place(entry, times=3)
        await trio.sleep(0.05)
        await harness.place(entry)
        harness.calls.clear()
        assert not (await harness.place(entry, times=5))[domain]
        assert (PLAN_PATH, ENTRIES[2].peer_address) not in harness.calls
        await trio.sleep(NAME_SECONDS + 0.1)
        assert not (await harness.place(entry, times=5))[domain]
        await trio.sleep(MAX_FAILURE_BACKOFF_SECONDS + 3.0)
        await harness.place(entry)
        assert (await harness.place(entry, times=4))[domain] == 4
        await trio.sleep(5.0)
        harness.calls.clear()
        await trio.sleep(5.0)
    assert not harness.calls


@in_virtual_time
async def test_named_group_is_asked_instead_of_a_random_one():
    harness = LoadHarness()
    entry, domain = 5, ENTRIES[5].failure_domain
    busy, idle = (each for each in DOMAINS if each != domain)
    async with background_tasks(harness):
        await harness.place(DOMAINS.index(busy), times=40, tokens=100_000)
        harness.fill(2, domain)
        await harness.place(entry, times=3)
        await trio.sleep(0.05)
        used = await harness.place(entry, times=20)
    assert used[idle] > 2 * used[busy]


@in_virtual_time
async def test_without_digests_the_other_group_is_random():
    harness = LoadHarness()
    domain = ENTRIES[5].failure_domain
    harness.fill(2, domain)
    used = await harness.place(5, times=40)
    assert min(used[each] for each in DOMAINS if each != domain) > 10


@in_virtual_time
async def test_home_group_plans_if_the_preferred_one_is_unreachable():
    """A failure domain is cut off just after it was named."""
    harness = LoadHarness()
    domain = ENTRIES[5].failure_domain
    async with background_tasks(harness):
        harness.fill(2, domain)
        await harness.place(5, times=3)
        await trio.sleep(0.05)
        await harness.place(5)
        harness.silent = {
            each.peer_address
            for each in ENTRIES
            if each.failure_domain != domain
        }
        used = await harness.place(5)
    assert used == {domain: 1}
