"""Tests that large services are planned for in groups, and how they borrow."""

import random
from collections import Counter
from dataclasses import replace

import msgspec
import pytest
import trio
from expression import Error
from hypothesis import given
from hypothesis import strategies as st

from forward_harness import make_route
from limpetdrift.coordination.engines.planning_groups import (
    MAX_GROUP_ENGINES,
    MIN_GROUP_ENGINES,
    GroupLayout,
    PlanningGroups,
    home_group,
    make_layout,
    planner_candidates,
)
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.planning.plan_placer import PlanPlacer
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.coordination.planning.planner_client import PlannerClientInputs
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.plans import EngineGroup, Plan, PlanRequest
from limpetdrift.protocol.work import (
    CallerRequest,
    ListedEndpoint,
    PromptSize,
)
from limpetdrift.state.endpoint_back_offs import RECOVERY_REQUESTS
from limpetdrift.state.endpoint_view import ANSWER_SOURCE, EndpointView
from limpetdrift.state.engine_ledger import FULL_SECONDS
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Reason, may_have_run
from test_splitting import COST_MODEL
from virtual_time import in_virtual_time

DOMAINS = ('east', 'north', 'west')
# A failure domain is divided only above half as many engines again as a group
# should have; hashing makes the groups uneven.
MOST_GROUP_ENGINES = 1.5 * MAX_GROUP_ENGINES


def make_entry(number: int) -> Node:
    address = Address(host='10.0.0.1', port=1000 + number)
    return Node(
        name=f'entry-{number}',
        incarnation=number,
        role=Role.ENTRY,
        region='r',
        failure_domain=DOMAINS[number % len(DOMAINS)],
        caller_address=address,
        peer_address=address,
    )


def make_engine(number: int, domain: str) -> ListedEndpoint:
    return ListedEndpoint(
        name=f'engine-{domain}-{number}',
        lifetime=1,
        service='s',
        address=f'10.1.0.{number}:80',
        failure_domain=domain,
        slots=8,
    )


def make_engines(count: int) -> tuple[ListedEndpoint, ...]:
    return tuple(
        make_engine(number, domain)
        for domain in DOMAINS
        for number in range(count)
    )


ENTRIES = tuple(map(make_entry, range(9)))
ENGINES = make_engines(MIN_GROUP_ENGINES)
LAYOUT = make_layout(dict.fromkeys(DOMAINS, MIN_GROUP_ENGINES), GroupLayout())


class GroupHarness:
    """Entries with a planner each, connected without sockets.

    Calls to the entries in ``silent`` time out. ``calls`` holds the path and
    the receiver of each call.
    """

    def __init__(self, engines: tuple[ListedEndpoint, ...] = ENGINES) -> None:
        self.silent: set[Address] = set()
        self.calls: list[tuple[str, Address]] = []
        self.routes: dict[Address, PeerRoutes] = {}
        self.planners: dict[str, Planner] = {}
        self.placers = [self._make_placer(node, engines) for node in ENTRIES]

    def fill(self, entry: int, domain: str) -> None:
        """Make a planner see all engines of a failure domain as full."""
        planner = self.planners[ENTRIES[entry].name]
        ledger = planner.ledger('s')
        for engine in ENGINES:
            if engine.failure_domain == domain:
                for _ in range(6):
                    ledger.mark_failing(engine.identity)

    def _make_placer(self, node, engines):
        view = EndpointView(clock=trio.current_time)
        view.replace(engines)
        planner = Planner(
            inputs=PlannerInputs(
                name=node.name,
                view=view,
                find_cost_model=lambda service: COST_MODEL,
                clock=trio.current_time,
            ),
        )
        placer = PlanPlacer(
            inputs=PlannerClientInputs(
                node=node,
                planner=planner,
                call=self._call,
                live_entries=lambda: ENTRIES,
                record_connection_refused=lambda name: None,
                clock=trio.current_time,
            ),
            view=view,
            groups=PlanningGroups(node=node, view=view),
            randomness=random.Random(1),
        )
        routes = PeerRoutes()
        placer.register(routes)
        self.planners[node.name] = planner
        self.routes[node.peer_address] = routes
        return placer

    async def _call(self, address, path, message, reply, *, timeout_seconds):
        self.calls.append((path, address))
        await trio.sleep(0.001)
        if address in self.silent:
            await trio.sleep(timeout_seconds)
            return Error(may_have_run(Reason.IDLE_TIMEOUT, path))
        routes = self.routes[address]
        return await routes._registrations[path].handler(message)


def make_work(tokens: int = 5000) -> CallerRequest:
    return CallerRequest(
        request_id='1',
        method='POST',
        target='/',
        headers=(),
        body=b'',
        route=make_route(),
        service='s',
        version=1,
        arrived_at=trio.current_time(),
        deadline=trio.current_time() + 10,
        size=PromptSize(prompt_tokens=tokens, answer_tokens=1600),
    )


def make_plan_request() -> PlanRequest:
    return PlanRequest(
        service='s',
        entry='e',
        prompt_tokens=5000,
        answer_tokens=1600,
        pause_seconds=0.25,
        patience_seconds=2.0,
        target_seconds=0.3,
        seconds_left=10.0,
        hold_seconds=10.0,
        failure_domain='east',
    )


def group_of(domain: str) -> EngineGroup:
    return EngineGroup(failure_domain=domain)


def test_small_service_is_not_divided():
    counts = dict.fromkeys(DOMAINS, MIN_GROUP_ENGINES - 1)
    assert make_layout(counts, GroupLayout()) == GroupLayout()
    assert home_group(GroupLayout(), 'east', 'e') == EngineGroup()


def test_divided_service_stays_divided_while_some_engines_are_replaced():
    counts = dict.fromkeys(DOMAINS, int(MIN_GROUP_ENGINES * 0.8))
    assert make_layout(counts, LAYOUT) == LAYOUT
    counts = dict.fromkeys(DOMAINS, MIN_GROUP_ENGINES // 2)
    assert make_layout(counts, LAYOUT) == GroupLayout()


def test_entry_without_engines_in_its_domain_uses_another():
    assert home_group(LAYOUT, 'south', 'e').failure_domain in DOMAINS


@pytest.mark.parametrize('engines', [30, 110, 240, 700])
def test_groups_do_not_grow_with_the_fleet(engines):
    layout = make_layout({'east': engines}, GroupLayout())
    names = [f'engine-{number}' for number in range(engines)]
    sizes = [
        sum(group.contains('east', name) for name in names)
        for group in layout.groups
    ]
    assert sum(sizes) == engines
    assert max(sizes) <= MOST_GROUP_ENGINES


@given(
    counts=st.dictionaries(st.sampled_from(DOMAINS), st.integers(1, 400)),
    name=st.text(max_size=20),
    domain=st.sampled_from(DOMAINS),
)
def test_each_engine_is_in_exactly_one_group(counts, name, domain):
    layout = make_layout(counts | {domain: 200}, GroupLayout())
    assert sum(group.contains(domain, name) for group in layout.groups) == 1
    assert home_group(layout, domain, name).contains(domain, name)


def test_death_of_a_planner_changes_only_its_own_group():
    planners = {
        group: planner_candidates(group, ENTRIES)[0] for group in LAYOUT.groups
    }
    assert len(set(planners.values())) == len(DOMAINS)
    dead = planners[group_of('north')]
    survivors = [each for each in reversed(ENTRIES) if each != dead]
    for group, planner in planners.items():
        successor = planner_candidates(group, survivors)[0]
        assert (successor == planner) == (planner != dead)
        assert successor.failure_domain == group.failure_domain


@in_virtual_time
async def test_prompt_is_planned_in_its_own_failure_domain():
    harness = GroupHarness()
    placed = await harness.placers[5].place(make_work(), frozenset())
    assert placed.ok.endpoint.failure_domain == ENTRIES[5].failure_domain
    assert harness.calls == [('plan', ENTRIES[2].peer_address)]


@in_virtual_time
async def test_prompt_goes_elsewhere_if_its_own_group_is_failing():
    """Replays a failure domain whose engines are lost while others are idle."""
    harness = GroupHarness()
    domain = ENTRIES[5].failure_domain
    harness.fill(2, domain)
    placed = await harness.placers[5].place(make_work(), frozenset())
    assert placed.ok.endpoint.failure_domain != domain
    assert harness.planners['entry-5'].ledger('s').plan_count == 1
    await harness.placers[5].planner_client._send_ended_plans(
        's', group_of(domain)
    )
    assert harness.planners['entry-2'].ledger('s').plan_count == 0


@in_virtual_time
async def test_plan_with_an_unknown_engine_is_ended_at_its_planner():
    """Guards against an engine that stays booked until the time limit."""
    harness = GroupHarness()
    placer = harness.placers[5]
    work = make_work()
    placed = (await placer.place(work, frozenset())).ok
    placer.release(work, placed, ())
    group = group_of(ENTRIES[5].failure_domain)
    await placer.planner_client._send_ended_plans('s', group)
    placer._view.drop(placed.endpoint.name)
    placed_again = await placer.place(work, frozenset())
    assert placed_again.error.reason is Reason.ENDPOINT_LEAVING
    await placer.planner_client._send_ended_plans('s', group)
    assert harness.planners['entry-2'].ledger('s').plan_count == 0


@in_virtual_time
async def test_cancelled_placement_leaves_no_plan_booked():
    """Guards against an engine that stays booked until the time limit."""
    harness = GroupHarness()
    placer = harness.placers[5]
    domain = ENTRIES[5].failure_domain
    harness.fill(2, domain)
    harness.silent = {ENTRIES[0].peer_address, ENTRIES[1].peer_address}
    with trio.move_on_after(0.02):
        await placer.place(make_work(), frozenset())
    await placer.planner_client._send_ended_plans('s', group_of(domain))
    counts = [each.ledger('s').plan_count for each in harness.planners.values()]
    assert sum(counts) == 0


@in_virtual_time
async def test_ended_plans_are_reported_after_a_cancelled_placement():
    """Guards against an engine that stays booked until the time limit."""
    harness = GroupHarness()
    placer = harness.placers[5]
    work = make_work()
    placed = (await placer.place(work, frozenset())).ok
    placer.release(work, placed, ())
    harness.silent = {ENTRIES[2].peer_address}
    with trio.move_on_after(0.02):
        await placer.place(make_work(), frozenset())
    harness.silent = set()
    group = group_of(ENTRIES[5].failure_domain)
    await placer.planner_client._send_ended_plans('s', group)
    assert harness.planners['entry-2'].ledger('s').plan_count == 0


@in_virtual_time
async def test_first_plan_is_kept_if_the_other_planner_is_silent():
    """A plan from an empty ledger would look better than it is."""
    harness = GroupHarness()
    domain = ENTRIES[5].failure_domain
    harness.fill(2, domain)
    harness.silent = {ENTRIES[0].peer_address, ENTRIES[1].peer_address}
    placed = await harness.placers[5].place(make_work(), frozenset())
    assert placed.ok.endpoint.failure_domain == domain


@in_virtual_time
async def test_silent_planner_delays_only_prompts_of_its_group():
    harness = GroupHarness()
    harness.silent = {ENTRIES[2].peer_address}
    started = trio.current_time()
    placed = await harness.placers[3].place(make_work(), frozenset())
    assert placed.is_ok()
    assert trio.current_time() - started < 0.01
    placed = await harness.placers[8].place(make_work(), frozenset())
    assert placed.is_ok()
    assert 0.05 < trio.current_time() - started < 0.2
    placed = await harness.placers[8].place(make_work(), frozenset())
    assert placed.is_ok()
    assert harness.calls[-1] == ('plan', ENTRIES[5].peer_address)


@in_virtual_time
async def test_longest_prompt_finds_engines_in_one_group():
    harness = GroupHarness()
    placed = await harness.placers[5].place(make_work(700_000), frozenset())
    assert placed.is_ok()
    assert sum(tokens for _, tokens in placed.ok.reserved) > 300_000


@in_virtual_time
async def test_entry_reads_reports_only_of_engines_that_it_plans_for():
    harness = GroupHarness()
    domains = {
        each.failure_domain for each in harness.placers[1].planned_engines('s')
    }
    assert domains == {ENTRIES[1].failure_domain}
    assert not harness.placers[4].planned_engines('s')


@in_virtual_time
async def test_planner_names_no_engine_that_an_entry_knows_to_leave():
    """The list shows an engine as ready after its answers say it leaves."""
    harness = GroupHarness()
    placer, other = harness.placers[5], harness.placers[8]
    work = make_work()
    leaving = (await placer.place(work, frozenset())).ok
    placer.release(work, leaving, ())
    group = group_of(ENTRIES[5].failure_domain)
    await placer.planner_client._send_ended_plans('s', group)
    placer._view.mark_leaving(leaving.endpoint, ANSWER_SOURCE)
    placed = await placer.place(work, frozenset())
    assert placed.ok.endpoint != leaving.endpoint
    placer.release(work, placed.ok, ())
    await placer.planner_client._send_ended_plans('s', group)
    planned_elsewhere = await other.place(work, frozenset())
    assert planned_elsewhere.ok.endpoint != leaving.endpoint


@in_virtual_time
async def test_planner_is_told_that_an_engine_leaves_without_a_plan_request():
    harness = GroupHarness()
    placer = harness.placers[5]
    domain = ENTRIES[5].failure_domain
    engine = next(each for each in ENGINES if each.failure_domain == domain)
    planner_view = harness.planners['entry-2']._inputs.view
    assert placer.groups.home('s') == group_of(domain)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(placer.planner_client.run)
        placer._view.mark_leaving(engine, ANSWER_SOURCE)
        placer.announce(engine)
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert not planner_view.is_usable(engine)
    assert harness.planners['entry-0']._inputs.view.is_usable(engine)


@in_virtual_time
async def test_planner_avoids_an_engine_that_turned_a_request_away():
    """The planner doesn't know of requests whose entry is gone.

    It went on sending prompts to full engines until their next report, and
    both attempts of a long prompt were turned away within milliseconds.
    """
    harness = GroupHarness()
    placer, other = harness.placers[5], harness.placers[8]
    work = make_work()
    full = (await placer.place(work, frozenset())).ok
    async with trio.open_nursery() as nursery:
        nursery.start_soon(placer.planner_client.run)
        placer.announce(full.endpoint, is_full=True)
        placer.release(work, full, ())
        await trio.sleep(0.2)
        nursery.cancel_scope.cancel()
    assert other.groups.home('s') == placer.groups.home('s')
    placed = await other.place(work, frozenset())
    assert placed.ok.endpoint != full.endpoint
    planner = harness.planners['entry-2']
    assert planner.ledger('s').usages((full.endpoint,))[0].queued
    await trio.sleep(FULL_SECONDS)
    assert not planner.ledger('s').usages((full.endpoint,))[0].queued


@in_virtual_time
async def test_no_plan_names_an_engine_that_asked_its_entry_for_a_back_off():
    """Neither as writer nor as helper, while other entries may use it."""
    harness = GroupHarness()
    placer, other = harness.placers[5], harness.placers[8]
    work = make_work(400_000)
    domain = ENTRIES[5].failure_domain
    engines = [each for each in ENGINES if each.failure_domain == domain]
    closed = {each.identity for each in engines[::2]}
    for engine in engines[::2]:
        placer._view.back_offs.extend(engine, 5.0)
    placed = (await placer.place(work, frozenset())).ok
    assert len(placed.identities) > 2
    assert closed.isdisjoint(placed.identities)
    placer.release(work, placed, ())
    await placer.planner_client._send_ended_plans('s', group_of(domain))
    planned_elsewhere = (await other.place(work, frozenset())).ok
    assert not closed.isdisjoint(planned_elsewhere.identities)


@in_virtual_time
async def test_prompt_is_refused_at_once_if_all_engines_asked_for_a_back_off():
    harness = GroupHarness()
    placer = harness.placers[5]
    for number, engine in enumerate(ENGINES):
        placer._view.back_offs.extend(engine, 2.0 + number)
    started = trio.current_time()
    placed = await placer.place(make_work(), frozenset())
    assert placed.error.reason is Reason.SERVICE_BACK_OFF
    assert placed.error.retry_after_seconds == 2.0
    assert trio.current_time() == started
    assert not harness.calls


@in_virtual_time
async def test_few_prompts_go_to_an_engine_whose_back_off_has_ended():
    harness = GroupHarness()
    placer = harness.placers[5]
    for engine in ENGINES:
        placer._view.back_offs.extend(engine, 2.0)
    await trio.sleep(2.0)
    used = Counter()
    for _ in range(4 * len(ENGINES)):
        placed = await placer.place(make_work(1000), frozenset())
        if placed.is_ok():
            used.update(placed.ok.identities)
    assert used
    assert max(used.values()) <= RECOVERY_REQUESTS


@in_virtual_time
async def test_report_of_an_earlier_lifetime_marks_no_restarted_engine():
    harness = GroupHarness()
    placer = harness.placers[5]
    domain = ENTRIES[5].failure_domain
    engine = next(each for each in ENGINES if each.failure_domain == domain)
    restarted = replace(engine, lifetime=engine.lifetime + 1)
    planner_view = harness.planners['entry-2']._inputs.view
    planner_view.put(restarted)
    placer._view.mark_leaving(engine, ANSWER_SOURCE)
    await placer.place(make_work(), frozenset())
    assert planner_view.is_usable(restarted)
    placer._view.put(restarted)
    assert placer._view.is_usable(restarted)


def test_messages_of_builds_without_groups_are_understood():
    """Replays a roll in which entries of two builds ask each other."""
    request = make_plan_request()
    old = msgspec.to_builtins(request)
    for name in ('group', 'cost_limit', 'leaving'):
        old.pop(name)
    assert decode(encode(old), PlanRequest).ok == request
    new = {**old, 'group': {'failure_domain': 'east'}, 'later_field': 1}
    assert decode(encode(new), PlanRequest).ok.group == group_of('east')
    plan = {'grant': 'g', 'writer': {'name': 'e', 'lifetime': 1}}
    assert not decode(encode(plan), Plan).ok.cost
