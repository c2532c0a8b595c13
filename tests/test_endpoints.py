"""Tests that a leaving endpoint gets no new work 3 s after a signal."""

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from endpoint_harness import LIST_LAG_SECONDS, EndpointHarness, make_endpoint
from limpetdrift.coordination.homes import (
    endpoint_directory as directory_module,
)
from limpetdrift.coordination.homes.endpoint_directory import LeavingSource
from limpetdrift.coordination.homes.home_assignment import (
    endpoints_homed_at,
    home_of,
)
from limpetdrift.coordination.membership.gossip_rounds import (
    ROUND_SECONDS,
    GossipRounds,
)
from limpetdrift.protocol.gossip import ListingState
from limpetdrift.protocol.instances import _read_response
from limpetdrift.protocol.lifecycle_reports import LifecycleReport
from limpetdrift.transport.messages import Address, Response
from member_cluster import make_node, wait_for
from virtual_time import in_virtual_time, run_in_virtual_time

ENTRIES = 6
HOMED_ENDPOINTS = [make_endpoint(index) for index in range(60)]
ENGINES = 3
SETTLE_SECONDS = 30.0
RESTART_SECONDS = 0.0005
INDICES = st.integers(0, ENTRIES - 1)
NAMES = st.sampled_from([make_endpoint(index).name for index in range(ENGINES)])
SOURCES = st.sampled_from(['list', 'report', 'refusal', 'operator'])


class LeavingEndpoints(RuleBasedStateMachine):
    """Collects a script of signals and faults, and runs it at the end."""

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
            harness = EndpointHarness(
                nursery=nursery, seed=self.seed, engines=ENGINES
            )
            harness.cluster.start_all(ENTRIES)
            await wait_for(harness.cluster.has_converged, SETTLE_SECONDS)
            nursery.start_soon(watch, harness)
            for step in self.steps:
                await take_step(harness, step)
            harness.network.heal()
            harness.network.loss_rate = 0.0
            await trio.sleep(SETTLE_SECONDS + LIST_LAG_SECONDS)
            check_settled(harness)
            nursery.cancel_scope.cancel()


async def watch(harness):
    while True:
        assert not harness.overdue_endpoints()
        await trio.sleep(0.1)


async def take_step(harness, step):
    name, *arguments = step
    await STEPS[name](harness, *arguments)


async def leave(harness, name, source, index):
    fake = harness.fake_endpoints[name]
    member = harness.cluster.running.get(('kiambu', index))
    if source == 'list':
        fake.listed = ListingState.LEAVING
        harness.publish()
    elif source == 'report':
        fake.leaving_since = trio.current_time()
    elif member is not None:
        harness.signal_leaving(member, name, LeavingSource(source))


async def restart(harness, name, in_list):
    # The start lies strictly between the steps before and after it, so that
    # a signal is of the incarnation that was running when it was sent.
    fake = harness.fake_endpoints[name]
    listed = fake.listed
    await trio.sleep(RESTART_SECONDS)
    fake.restart()
    await trio.sleep(RESTART_SECONDS)
    if in_list:
        harness.publish()
    else:
        fake.listed = listed


async def entry(harness, index):
    if ('kiambu', index) in harness.cluster.running:
        harness.kill(index)
    else:
        harness.cluster.start(index)


async def cut(harness, index, other):
    # Cuts one link at a time, since the deadline of 3 s doesn't apply to an
    # isolated entry.
    harness.network.heal()
    harness.network.cut(
        make_node(index).peer_address,
        make_node(other).peer_address,
    )


async def disturb(harness, lost, doubled):
    harness.network.loss_rate = lost
    harness.network.duplication_rate = doubled


async def wait(harness, seconds):
    await trio.sleep(seconds)


async def heal(harness):
    harness.network.heal()


STEPS = {
    'leave': leave,
    'restart': restart,
    'entry': entry,
    'cut': cut,
    'disturb': disturb,
    'wait': wait,
    'heal': heal,
}


def check_settled(harness):
    """Check that entries route to exactly those endpoints that don't leave."""
    expected = {
        name
        for name, fake in harness.fake_endpoints.items()
        if (name, fake.incarnation) not in harness.leaving_signals
        and fake.listed is ListingState.LIVE
        and fake.leaving_since is None
    }
    for node in harness.directories:
        assert harness.routable_endpoints(node) == expected


TestLeavingEndpoints = LeavingEndpoints.TestCase
TestLeavingEndpoints.settings = settings(
    max_examples=30,
    stateful_step_count=12,
)


async def find_overdue_after_operator_signal():
    """Send one entry a signal; return the routable endpoints that are overdue.

    The list shows the endpoint as live throughout.
    """
    late = []
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(nursery=nursery, engines=ENGINES)
        members = harness.cluster.start_all(ENTRIES)
        await wait_for(harness.cluster.has_converged, SETTLE_SECONDS)
        await trio.sleep(10)
        harness.signal_leaving(members[0], 'engine-1')
        for _ in range(int(2 * LIST_LAG_SECONDS)):
            late.extend(harness.overdue_endpoints())
            await trio.sleep(1)
        nursery.cancel_scope.cancel()
    return late


@in_virtual_time
async def test_signal_holds_while_the_list_still_names_the_endpoint_live():
    assert not await find_overdue_after_operator_signal()


@in_virtual_time
async def test_endpoint_is_overdue_if_only_the_list_is_used(monkeypatch):
    monkeypatch.setattr(
        directory_module,
        '_is_leaving',
        lambda record: record.listed is ListingState.LEAVING,
    )
    assert await find_overdue_after_operator_signal()


async def seconds_to_reach_all(entries):
    """Return the seconds that a signal takes from one entry to all others."""
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(nursery=nursery, engines=ENGINES)
        members = harness.cluster.start_all(entries)
        await wait_for(harness.cluster.has_converged, 2 * SETTLE_SECONDS)
        await trio.sleep(10)
        harness.signal_leaving(members[0], 'engine-1')
        seconds = await wait_for(
            lambda: (
                not any(
                    'engine-1' in harness.routable_endpoints(node)
                    for node in harness.directories
                )
            ),
            SETTLE_SECONDS,
        )
        nursery.cancel_scope.cancel()
    return seconds


@in_virtual_time
async def test_signal_reaches_all_entries_before_the_next_round():
    assert await seconds_to_reach_all(30) < ROUND_SECONDS / 2


@in_virtual_time
async def test_signal_without_push_takes_longer_than_a_round(monkeypatch):
    monkeypatch.setattr(GossipRounds, 'push', lambda rounds: None)
    assert await seconds_to_reach_all(30) > ROUND_SECONDS


def make_report(incarnation, **fields):
    return LifecycleReport(incarnation=incarnation, **fields)


@in_virtual_time
async def test_signal_of_an_earlier_incarnation_is_ignored():
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(nursery=nursery, engines=1)
        node = harness.cluster.start(0).node
        directory = harness.directories[node]
        directory.apply_report('engine-0', make_report(7))
        directory.apply_report('engine-0', make_report(5, leaving=True))
        assert harness.routable_endpoints(node) == {'engine-0'}
        directory.apply_report('engine-0', make_report(7, leaving=True))
        directory.apply_report('engine-0', make_report(7))
        assert not harness.routable_endpoints(node)
        directory.apply_report('engine-0', make_report(8))
        assert harness.routable_endpoints(node) == {'engine-0'}
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_service_is_routable_again_after_the_list_shows_its_restart():
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(
            nursery=nursery, engines=0, services=1, lag=5.0
        )
        node = harness.cluster.start(0).node
        await trio.sleep(20)
        assert harness.directories[node].mark_leaving(
            'service-0', LeavingSource.REFUSAL
        )
        await trio.sleep(20)
        assert not harness.routable_endpoints(node)
        for listed in (
            ListingState.LEAVING,
            ListingState.ABSENT,
            ListingState.LIVE,
        ):
            harness.fake_endpoints['service-0'].listed = listed
            harness.publish()
            await trio.sleep(3)
        await trio.sleep(10)
        assert harness.routable_endpoints(node) == {'service-0'}
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_empty_list_removes_no_endpoints():
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(nursery=nursery, engines=2, lag=0.0)
        node = harness.cluster.start(0).node
        await trio.sleep(5)
        for fake in harness.fake_endpoints.values():
            fake.listed = ListingState.ABSENT
        harness.publish()
        await trio.sleep(10)
        assert len(harness.routable_endpoints(node)) == 2
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_isolated_entry_polls_the_list_and_reports_it_unreachable():
    async with trio.open_nursery() as nursery:
        harness = EndpointHarness(nursery=nursery)
        members = harness.cluster.start_all(ENTRIES)
        await wait_for(harness.cluster.has_converged, SETTLE_SECONDS)
        directory = harness.directories[members[0].node]
        harness.network.isolate(members[0].node.peer_address)
        await trio.sleep(20)
        for _ in range(20):
            assert directory.list_reachable()
            await trio.sleep(0.3)
        harness.list_down = True
        await trio.sleep(2)
        assert not directory.list_reachable()
        nursery.cancel_scope.cancel()


def test_platform_list_is_decoded_and_unknown_state_fails():
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


def test_all_entries_agree_on_the_home_of_each_endpoint():
    entries = [make_node(index) for index in (0, 1, 3, 4, 7)]
    homed = {
        (entry.name, each.name)
        for entry in entries
        for each in endpoints_homed_at(entry, HOMED_ENDPOINTS, entries)
    }
    assert homed == {
        (home_of(each, entries).name, each.name) for each in HOMED_ENDPOINTS
    }


def run_script(seed, steps):
    machine = LeavingEndpoints()
    machine.seed = seed
    machine.steps = steps
    machine.teardown()


def run_unnoticed_restart():
    """Restart an endpoint, and send a leaving signal before entries notice."""
    run_script(
        0,
        [
            ('leave', 'engine-0', 'list', 0),
            ('restart', 'engine-2', True),
            ('leave', 'engine-2', 'refusal', 4),
        ],
    )


@pytest.mark.parametrize('seed', [0, 1, 2])
def test_signal_does_not_mark_an_incarnation_that_starts_after_it(seed):
    run_script(
        seed,
        [
            ('leave', 'engine-2', 'operator', 4),
            ('restart', 'engine-2', False),
        ],
    )


def test_signal_without_incarnation_holds_after_unnoticed_restart():
    run_unnoticed_restart()


def test_signal_is_cleared_by_restart_if_its_incarnation_is_not_read(
    monkeypatch,
):
    monkeypatch.setattr(
        directory_module.EndpointDirectory,
        '_queue_unresolved',
        lambda directory, record, source: None,
    )
    with pytest.raises(ExceptionGroup) as raised:
        run_unnoticed_restart()
    assert raised.value.subgroup(AssertionError)
