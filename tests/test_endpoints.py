"""A leaving endpoint gets no new work 3 s after the first sign."""

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from endpoint_harness import LIST_LAG_SECONDS, EndpointHarness, make_endpoint
from limpetdrift.coordination import (
    endpoint_directory as coordination_endpoints,
)
from limpetdrift.coordination.endpoint_directory import LeavingSource
from limpetdrift.coordination.gossip_rounds import ROUND_SECONDS, GossipRounds
from limpetdrift.coordination.home_assignment import endpoints_homed_at, home_of
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.instances import _read_response
from limpetdrift.protocol.lifecycle_reports import LifecycleReport
from limpetdrift.transport.messages import Address, Response
from member_cluster import make_node, wait_for
from virtual_time import in_virtual_time, run_in_virtual_time

ENTRIES = 6
HOMELESS = [make_endpoint(index) for index in range(60)]
ENGINES = 3
SETTLE_SECONDS = 30.0
INDICES = st.integers(0, ENTRIES - 1)
NAMES = st.sampled_from([make_endpoint(index).name for index in range(ENGINES)])
SOURCES = st.sampled_from(['list', 'report', 'refusal', 'operator'])


class LeavingEndpoints(RuleBasedStateMachine):
    """Gathers a script of signs and faults; its end runs it."""

    def __init__(self):
        super().__init__()
        self.steps = []
        self.dead = set()

    @initialize(seed=st.integers(0, 1000))
    def choose_seed(self, seed):
        self.seed = seed

    @rule(name=NAMES, source=SOURCES, index=INDICES)
    def leave(self, name, source, index):
        self.steps.append(('leave', name, source, index))

    @rule(name=NAMES, in_list=st.booleans())
    def restart_endpoint(self, name, in_list):
        self.steps.append(('restart', name, in_list))

    @rule(index=INDICES)
    def kill_or_start_entry(self, index):
        if index in self.dead or len(self.dead) < ENTRIES - 2:
            self.dead ^= {index}
            self.steps.append(('entry', index))

    @rule(index=INDICES, other=INDICES)
    def cut_one_way(self, index, other):
        self.steps.append(('cut', index, other))

    @rule(lost=st.sampled_from([0.0, 0.1, 0.2]), doubled=st.booleans())
    def disturb(self, lost, doubled):
        self.steps.append(('disturb', lost, 0.3 * doubled))

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, LIST_LAG_SECONDS]))
    def wait(self, seconds):
        self.steps.append(('wait', seconds))

    @rule()
    def heal(self):
        self.steps.append(('heal',))

    def teardown(self):
        if hasattr(self, 'seed'):
            run_in_virtual_time(self._run_script, seed=self.seed)

    async def _run_script(self):
        async with trio.open_nursery() as nursery:
            world = EndpointHarness(
                nursery=nursery, seed=self.seed, engines=ENGINES
            )
            world.cluster.start_all(ENTRIES)
            await wait_for(world.cluster.has_converged, SETTLE_SECONDS)
            nursery.start_soon(watch, world)
            for step in self.steps:
                await take_step(world, step)
            world.network.heal()
            world.network.loss_rate = 0.0
            await trio.sleep(SETTLE_SECONDS + LIST_LAG_SECONDS)
            check_settled(world)
            nursery.cancel_scope.cancel()


async def watch(world):
    while True:
        assert not world.overdue_endpoints()
        await trio.sleep(0.1)


async def take_step(world, step):
    name, *arguments = step
    await STEPS[name](world, *arguments)


async def leave(world, name, source, index):
    server = world.fake_endpoints[name]
    member = world.cluster.running.get(('kiambu', index))
    if source == 'list':
        server.listed = ListingState.LEAVING
        world.publish()
    elif source == 'report':
        server.leaving_since = trio.current_time()
    elif member is not None:
        world.signal_leaving(member, name, LeavingSource(source))


async def restart(world, name, in_list):
    server = world.fake_endpoints[name]
    listed = server.listed
    server.restart()
    if in_list:
        world.publish()
    else:
        server.listed = listed


async def entry(world, index):
    if ('kiambu', index) in world.cluster.running:
        world.kill(index)
    else:
        world.cluster.start(index)


async def cut(world, index, other):
    # One link at a time: an entry without links is cut off, not late.
    world.network.heal()
    world.network.cut(
        make_node(index).peer_address,
        make_node(other).peer_address,
    )


async def disturb(world, lost, doubled):
    world.network.loss_rate = lost
    world.network.duplication_rate = doubled


async def wait(world, seconds):
    await trio.sleep(seconds)


async def heal(world):
    world.network.heal()


STEPS = {
    'leave': leave,
    'restart': restart,
    'entry': entry,
    'cut': cut,
    'disturb': disturb,
    'wait': wait,
    'heal': heal,
}


def check_settled(world):
    """Every entry offers what runs and isn't said to leave, and no more."""
    wanted = {
        name
        for name, server in world.fake_endpoints.items()
        if (name, server.incarnation) not in world.leaving_signals
        and server.listed is ListingState.LIVE
        and server.leaving_since is None
    }
    for node in world.views:
        assert world.routable_endpoints(node) == wanted


TestLeavingEndpoints = LeavingEndpoints.TestCase
TestLeavingEndpoints.settings = settings(
    max_examples=30,
    stateful_step_count=12,
)


async def late_after_operator():
    """Give one entry a sign; return the offers that came too late."""
    late = []
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery, engines=ENGINES)
        members = world.cluster.start_all(ENTRIES)
        await wait_for(world.cluster.has_converged, SETTLE_SECONDS)
        await trio.sleep(10)
        world.signal_leaving(members[0], 'engine-1')
        for _ in range(int(2 * LIST_LAG_SECONDS)):
            late.extend(world.overdue_endpoints())
            await trio.sleep(1)
        nursery.cancel_scope.cancel()
    return late


@in_virtual_time
async def test_a_sign_holds_while_the_list_says_live():
    assert not await late_after_operator()


@in_virtual_time
async def test_a_sign_that_is_not_kept_beside_the_list_is_lost(monkeypatch):
    monkeypatch.setattr(
        coordination_endpoints,
        '_is_leaving',
        lambda record: record.listed is ListingState.LEAVING,
    )
    assert await late_after_operator()


async def seconds_to_reach_all(entries):
    """Time how long a sign takes from one entry to all others."""
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery, engines=ENGINES)
        members = world.cluster.start_all(entries)
        await wait_for(world.cluster.has_converged, 2 * SETTLE_SECONDS)
        await trio.sleep(10)
        world.signal_leaving(members[0], 'engine-1')
        took = await wait_for(
            lambda: (
                not any(
                    'engine-1' in world.routable_endpoints(node)
                    for node in world.views
                )
            ),
            SETTLE_SECONDS,
        )
        nursery.cancel_scope.cancel()
    return took


@in_virtual_time
async def test_a_sign_is_pushed_before_the_next_round():
    assert await seconds_to_reach_all(30) < ROUND_SECONDS / 2


@in_virtual_time
async def test_without_push_it_waits_for_rounds(monkeypatch):
    monkeypatch.setattr(GossipRounds, 'push', lambda rounds: None)
    assert await seconds_to_reach_all(30) > ROUND_SECONDS


def engine(incarnation, **fields):
    return LifecycleReport(incarnation=incarnation, **fields)


@in_virtual_time
async def test_signs_of_an_earlier_start_are_too_late():
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery, engines=1)
        node = world.cluster.start(0).node
        view = world.views[node]
        view.note_report('engine-0', engine(7))
        view.note_report('engine-0', engine(5, leaving=True))
        assert world.routable_endpoints(node) == {'engine-0'}
        view.note_report('engine-0', engine(7, leaving=True))
        view.note_report('engine-0', engine(7))
        assert not world.routable_endpoints(node)
        view.note_report('engine-0', engine(8))
        assert world.routable_endpoints(node) == {'engine-0'}
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_a_service_comes_back_when_the_list_shows_its_new_start():
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery, engines=0, services=1, lag=5.0)
        node = world.cluster.start(0).node
        await trio.sleep(20)
        assert world.views[node].mark_leaving(
            'service-0', LeavingSource.REFUSAL
        )
        await trio.sleep(20)
        assert not world.routable_endpoints(node)
        for listed in (
            ListingState.LEAVING,
            ListingState.ABSENT,
            ListingState.LIVE,
        ):
            world.fake_endpoints['service-0'].listed = listed
            world.publish()
            await trio.sleep(3)
        await trio.sleep(10)
        assert world.routable_endpoints(node) == {'service-0'}
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_a_list_of_nothing_takes_nothing_away():
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery, engines=2, lag=0.0)
        node = world.cluster.start(0).node
        await trio.sleep(5)
        for server in world.fake_endpoints.values():
            server.listed = ListingState.ABSENT
        world.publish()
        await trio.sleep(10)
        assert len(world.routable_endpoints(node)) == 2
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_an_entry_knows_whether_the_list_was_read():
    async with trio.open_nursery() as nursery:
        world = EndpointHarness(nursery=nursery)
        members = world.cluster.start_all(ENTRIES)
        await wait_for(world.cluster.has_converged, SETTLE_SECONDS)
        view = world.views[members[0].node]
        world.network.isolate(members[0].node.peer_address)
        await trio.sleep(20)
        for _ in range(20):
            assert view.list_reachable()
            await trio.sleep(0.3)
        world.list_down = True
        await trio.sleep(2)
        assert not view.list_reachable()
        nursery.cancel_scope.cancel()


def test_the_platform_list_is_read():
    body = b"""{"instances": [
        {"name": "e", "role": "engine", "address": "10.0.0.1:9000",
         "failure_domain": "a", "state": "leaving", "model": "m"},
        {"name": "s", "role": "service", "address": "10.0.0.2:9000",
         "service": "desk"},
        {"name": "n", "role": "entry", "address": "10.0.0.3:8101"}],
        "taken_seconds_ago": 5}"""
    read = _read_response(Response(status=200, body=body)).ok
    assert [each.listed for each in read.endpoints] == [
        ListingState.LEAVING,
        ListingState.LIVE,
    ]
    assert read.endpoints[1].endpoint.service == 'desk'
    assert read.entries == (Address(host='10.0.0.3', port=8101),)
    assert read.age_seconds == 5
    wrong = body.replace(b'leaving', b'asleep')
    assert _read_response(Response(status=200, body=wrong)).is_error()


def test_each_endpoint_has_the_home_that_every_entry_names():
    entries = [make_node(index) for index in (0, 1, 3, 4, 7)]
    homed = {
        (entry.name, each.name)
        for entry in entries
        for each in endpoints_homed_at(entry, HOMELESS, entries)
    }
    assert homed == {
        (home_of(each, entries).name, each.name) for each in HOMELESS
    }


def play_unseen_restart():
    machine = LeavingEndpoints()
    machine.seed = 0
    machine.steps = [
        ('leave', 'engine-0', 'list', 0),
        ('restart', 'engine-2', True),
        ('leave', 'engine-2', 'refusal', 4),
    ]
    machine.teardown()


def test_a_bare_sign_holds_for_a_start_that_nobody_has_seen():
    play_unseen_restart()


def test_without_asking_the_endpoint_the_new_start_lifts_it(monkeypatch):
    monkeypatch.setattr(
        coordination_endpoints.EndpointDirectory,
        '_ask_who_left',
        lambda endpoints, held, source: None,
    )
    with pytest.raises(ExceptionGroup) as raised:
        play_unseen_restart()
    assert raised.value.subgroup(AssertionError)
