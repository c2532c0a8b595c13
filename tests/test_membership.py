"""Tests of membership under faults of nodes and of the network.

Nodes are killed, restarted and frozen; calls are cut, lost and duplicated.
"""

import random
from functools import partial

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from limpetdrift.coordination.membership import (
    evidence,
    failure_detector,
    gossip_rounds,
)
from limpetdrift.coordination.membership import membership as membership_module
from limpetdrift.coordination.membership.gossip import Gossip
from limpetdrift.coordination.membership.membership import Membership
from limpetdrift.coordination.membership.own_record import OwnRecord
from limpetdrift.protocol.gossip import MemberRecord, MemberState, ProbeOutcome
from limpetdrift.state.members import FORGET_SECONDS, MemberTable
from member_cluster import Cluster, held_live, make_node, wait_for
from virtual_time import in_virtual_time, run_in_virtual_time

NODES = 6
CONVERGENCE_SECONDS = 30.0
DISSEMINATION_SECONDS = 3.0
PUSH_SECONDS = 1.0
START_GAP_SECONDS = 0.05
LONG_ROUND_SECONDS = 20.0
PAUSE_SECONDS = 60.0
COUNT_WINDOW_SECONDS = evidence.COUNT_WINDOW_SECONDS
MAX_DISSEMINATION_SECONDS = 60.0
INDICES = st.integers(0, NODES - 1)


class MembershipFaults(RuleBasedStateMachine):
    """Collects a script of faults; the teardown runs it and checks views."""

    def __init__(self):
        super().__init__()
        self.steps = []
        self.dead = set()
        self.frozen = set()

    @initialize(seed=st.integers(0, 1000))
    def choose_seed(self, seed):
        self.seed = seed

    @rule(index=INDICES)
    def kill_or_restart(self, index):
        name = 'start' if index in self.dead else 'kill'
        self.dead ^= {index}
        self.steps.append((name, index))

    @rule(index=INDICES, other=INDICES, both=st.booleans())
    def cut(self, index, other, both):
        self.steps.append(('cut', index, other))
        if both:
            self.steps.append(('cut', other, index))

    @rule(index=INDICES)
    def isolate(self, index):
        self.steps.append(('isolate', index))

    @rule(index=INDICES)
    def freeze_or_thaw(self, index):
        name = 'thaw' if index in self.frozen else 'freeze'
        self.frozen ^= {index}
        self.steps.append((name, index))

    @rule(lost=st.sampled_from([0.0, 0.1, 0.3]), doubled=st.booleans())
    def disturb(self, lost, doubled):
        self.steps.append(('disturb', lost, 0.3 * doubled))

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0]))
    def wait(self, seconds):
        self.steps.append(('wait', seconds))

    @precondition(lambda machine: machine.steps)
    @rule()
    def heal(self):
        self.steps.append(('heal',))

    def teardown(self):
        if hasattr(self, 'seed'):
            run_in_virtual_time(self._run_script, seed=self.seed)

    async def _run_script(self):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, seed=self.seed)
            cluster.start_all(NODES)
            await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
            for step in self.steps:
                await run_step(cluster, step)
            end_faults(cluster, self.frozen)
            # A check that began before the faults ended may still suspect a
            # node.
            await trio.sleep(CONVERGENCE_SECONDS)
            await assert_stays_converged(cluster, seconds=10)
            nursery.cancel_scope.cancel()


async def run_step(cluster, step):
    name, *arguments = step
    network = cluster.network
    if name in {'kill', 'start'}:
        getattr(cluster, name)(*arguments)
    elif name == 'disturb':
        network.loss_rate = arguments[0]
        network.duplication_rate = arguments[1]
    elif name == 'wait':
        await trio.sleep(*arguments)
    else:
        addresses = [make_node(index).peer_address for index in arguments]
        getattr(network, name)(*addresses)


def end_faults(cluster, frozen):
    cluster.network.heal()
    cluster.network.loss_rate = 0.0
    cluster.network.duplication_rate = 0.0
    for index in frozen:
        cluster.network.thaw(make_node(index).peer_address)


async def assert_stays_converged(cluster, seconds):
    ends_at = trio.current_time() + seconds
    while trio.current_time() < ends_at:
        assert cluster.has_converged()
        await trio.sleep(0.1)


TestMembershipFaults = MembershipFaults.TestCase
TestMembershipFaults.settings = settings(
    max_examples=40,
    stateful_step_count=12,
)


async def seconds_to_heal_after_isolation():
    """Isolate a node until it is forgotten; return the seconds to converge."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        cluster.network.isolate(members[4].node.peer_address)
        await trio.sleep(FORGET_SECONDS + 20)
        assert len(members[0].members()) == NODES - 1
        cluster.network.heal()
        elapsed = await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        nursery.cancel_scope.cancel()
    return elapsed


@in_virtual_time
async def test_forgotten_node_rejoins_after_its_isolation():
    await seconds_to_heal_after_isolation()


@in_virtual_time
async def test_forgotten_node_never_rejoins_without_refutation(monkeypatch):
    monkeypatch.setattr(OwnRecord, 'refute', lambda own, held: None)
    with pytest.raises(BaseExceptionGroup) as raised:
        await seconds_to_heal_after_isolation()
    assert raised.group_contains(trio.TooSlowError)


def test_old_record_does_not_restore_a_forgotten_member():
    table = MemberTable()
    live = MemberRecord(node=make_node(1), version=3)
    dead = MemberRecord(node=make_node(1), version=3, state=MemberState.DEAD)
    table.merge(live, now=0.0)
    table.merge(dead, now=1.0)
    table.forget_dead(1.0 + FORGET_SECONDS)
    assert not table.table.records()
    assert not table.merge(live, now=300.0)
    assert table.merge(MemberRecord(node=make_node(1, 2)), now=300.0)


async def seconds_until_seen(change, *, share, rare_rounds):
    """Return the seconds until a change is seen by a share of 30 nodes.

    With ``rare_rounds`` the rounds are too rare to spread the change, so that
    only the pushes between rounds do.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(30)
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        await trio.sleep(20)
        with pytest.MonkeyPatch.context() as patch:
            if rare_rounds:
                patch.setattr(
                    gossip_rounds, 'ROUND_SECONDS', LONG_ROUND_SECONDS
                )
                await trio.sleep(2)
            has_seen = change(cluster, members)
            elapsed = await wait_for(
                lambda: sum(map(has_seen, members)) >= len(members) * share,
                MAX_DISSEMINATION_SECONDS,
            )
        nursery.cancel_scope.cancel()
    return elapsed


def leave(cluster, members):
    members[7].leave()
    name = members[7].node.name
    return lambda member: name not in live_names(member)


def kill(cluster, members):
    killed = cluster.kill(7)
    members.remove(killed)
    members[0].record_connection_refused(killed.node.name)
    return lambda member: killed.node.name not in live_names(member)


def live_names(member):
    return {entry.name for entry in member.live_entries()}


async def seconds_until_most_nodes_see(change):
    return await seconds_until_seen(change, share=0.9, rare_rounds=True)


async def seconds_until_all_nodes_see(change):
    return await seconds_until_seen(change, share=1, rare_rounds=False)


CHANGES = pytest.mark.parametrize('change', [leave, kill])


@in_virtual_time
async def test_leaving_is_seen_by_all_nodes_in_time():
    assert await seconds_until_all_nodes_see(leave) < DISSEMINATION_SECONDS


@in_virtual_time
async def test_death_shown_by_a_refused_connection_is_seen_by_all_in_time():
    assert await seconds_until_all_nodes_see(kill) < DISSEMINATION_SECONDS


@CHANGES
@in_virtual_time
async def test_change_is_pushed_between_rounds(change):
    assert await seconds_until_most_nodes_see(change) < PUSH_SECONDS


@CHANGES
@in_virtual_time
async def test_change_waits_for_rounds_without_push(monkeypatch, change):
    monkeypatch.setattr(gossip_rounds.GossipRounds, 'push', lambda _: None)
    assert await seconds_until_most_nodes_see(change) > DISSEMINATION_SECONDS


@in_virtual_time
async def test_death_waits_for_rounds_without_evidence_of_a_refused_connection(
    monkeypatch,
):
    monkeypatch.setattr(
        Membership, 'record_connection_refused', lambda _, name: None
    )
    assert await seconds_until_most_nodes_see(kill) > DISSEMINATION_SECONDS


async def skip_join_seeds(_):
    await trio.lowlevel.checkpoint()


async def do_nodes_find_each_other_at_start():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        earlier = cluster.start(0)
        # The first calls of the earlier node reach no other node.
        await trio.sleep(START_GAP_SECONDS)
        later = cluster.start(1)
        await later.join_seeds()
        live_sets = [held_live(each) for each in (earlier, later)]
        nursery.cancel_scope.cancel()
    return [len(each) for each in live_sets] == [2, 2]


@in_virtual_time
async def test_nodes_that_start_together_find_each_other_at_start():
    assert await do_nodes_find_each_other_at_start()


@in_virtual_time
async def test_nodes_that_start_together_wait_for_rounds_without_join_seeds(
    monkeypatch,
):
    monkeypatch.setattr(Membership, 'join_seeds', skip_join_seeds)
    assert not await do_nodes_find_each_other_at_start()


async def seconds_until_all_agree_at_start():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        # Only the last nodes to start are seeds.
        cluster._seeds = tuple(
            make_node(index).peer_address for index in range(3, NODES)
        )
        for index in range(NODES):
            member = cluster.start(index)
            nursery.start_soon(member.join_seeds)
            await trio.sleep(START_GAP_SECONDS)
        seconds = await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        nursery.cancel_scope.cancel()
    return seconds


@in_virtual_time
async def test_few_nodes_that_start_together_agree_before_the_next_round():
    """Guards against two planners in the second after all entries were lost.

    The first to start reaches no other node, and is unknown to those that
    start before it is contacted.
    """
    assert await seconds_until_all_agree_at_start() < 0.3


@in_virtual_time
async def test_few_nodes_that_start_together_agree_later_without_pushes(
    monkeypatch,
):
    monkeypatch.setattr(membership_module, 'MAX_SMALL_CLUSTER', 0)
    assert await seconds_until_all_agree_at_start() > 0.3


@in_virtual_time
async def test_node_introduces_itself_after_its_record_has_spread():
    """Guards against a node that knows a peer to which it is unknown.

    Its record was sent as often as due, but to nodes that were not running.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        first = cluster.start(0)
        await trio.sleep(20)
        second = cluster.start(5)
        await first._detector.contact_unknown_address(second.node.peer_address)
        assert held_live(first) == held_live(second)
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_few_nodes_that_start_together_agree_later_without_retries(
    monkeypatch,
):
    monkeypatch.setattr(membership_module, 'JOIN_RETRIES', 0)
    assert await seconds_until_all_agree_at_start() > 0.3


async def states_around_a_pause():
    """Return the states reported around a pause of all processes.

    A node is isolated until it is suspect; the network heals before the pause.
    """
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.isolate(members[4].node.peer_address)
        await wait_for(lambda: seen, CONVERGENCE_SECONDS)
        cluster.network.heal()
        trio.lowlevel.current_clock().jump(PAUSE_SECONDS)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    return {each.state for each in seen}


@in_virtual_time
async def test_pause_of_all_processes_declares_no_node_dead():
    states = await states_around_a_pause()
    assert MemberState.SUSPECT in states
    assert MemberState.DEAD not in states


@in_virtual_time
async def test_pause_declares_a_node_dead_without_reset_after_pause(
    monkeypatch,
):
    monkeypatch.setattr(
        failure_detector.FailureDetector, 'reset_after_pause', lambda _: None
    )
    assert MemberState.DEAD in await states_around_a_pause()


async def states_after_one_way_cut():
    """Return the states other than live after a cut in one direction."""
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.cut(
            members[0].node.peer_address, members[1].node.peer_address
        )
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    return [each for each in seen if each.state is not MemberState.LIVE]


@in_virtual_time
async def test_node_that_other_peers_reach_is_not_suspected():
    assert not await states_after_one_way_cut()


@in_virtual_time
async def test_node_cut_in_one_direction_is_suspected_without_indirect_probes(
    monkeypatch,
):
    async def is_unreachable(detector, record):
        return False

    monkeypatch.setattr(
        failure_detector.FailureDetector,
        '_is_reachable_indirectly',
        is_unreachable,
    )
    assert await states_after_one_way_cut()


async def counts_after_deaths():
    """Return the contact counts of a node after four of nine have died."""
    counts = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(9)
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        await trio.sleep(5)
        for index in range(5, 9):
            cluster.kill(index)
        for _ in range(150):
            counts.append(members[0].recent_contact_counts())
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return counts


@in_virtual_time
async def test_dead_peers_do_not_count_as_silent():
    counts = await counts_after_deaths()
    assert max(each.silent for each in counts) == 0
    assert min(each.answering for each in counts) >= 2


async def seconds_until_isolation_shows(entries, seed):
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery, seed=seed)
        member = cluster.start_all(entries)[0]
        await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
        await trio.sleep(20)
        assert member.recent_contact_counts().silent == 0
        cluster.network.isolate(member.node.peer_address)
        elapsed = await wait_for(
            lambda: are_more_peers_silent(member), CONVERGENCE_SECONDS
        )
        await trio.sleep(15)
        assert member.recent_contact_counts().answering == 0
        assert member.recent_contact_counts().silent > 0
        nursery.cancel_scope.cancel()
    return elapsed


def are_more_peers_silent(member):
    counts = member.recent_contact_counts()
    return counts.silent > counts.answering


def max_seconds_until_isolation_shows():
    return max(
        run_in_virtual_time(
            partial(seconds_until_isolation_shows, entries, seed)
        )
        for entries in (6, 9, 30)
        for seed in range(4)
    )


def test_isolated_node_detects_it_within_the_count_window():
    assert max_seconds_until_isolation_shows() <= COUNT_WINDOW_SECONDS


def test_isolated_node_detects_it_late_with_a_longer_count_window(monkeypatch):
    monkeypatch.setattr(evidence, 'COUNT_WINDOW_SECONDS', 10.0)
    assert max_seconds_until_isolation_shows() > COUNT_WINDOW_SECONDS + 1


@in_virtual_time
async def test_dead_peers_count_as_silent_if_refusals_count_as_timeouts(
    monkeypatch,
):
    def classify(answer, record=None):
        return (
            ProbeOutcome.TIMED_OUT
            if answer.is_error()
            else ProbeOutcome.ANSWERED
        )

    monkeypatch.setattr(failure_detector, '_classify_contact', classify)
    counts = await counts_after_deaths()
    assert max(each.silent for each in counts) > 0


def register_origin_digest(member, received):
    region = member.node.region
    member.register_digest(
        'origin',
        lambda: b'"%s"' % region.encode(),
        lambda sender, digest: received.add((region, digest)),
    )


async def count_members_and_contacts():
    """Return how many members and contacts a node of two regions holds.

    Members are the nodes of its own region, of which there are nine in each;
    contacts are live entries of the other region.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery, regions=('kiambu', 'sur-uruguay'))
        here = cluster.start_all(9)
        there = cluster.start_all(9, 'sur-uruguay')
        received = set()
        for member in (*here, *there):
            register_origin_digest(member, received)
        await wait_for(lambda: len(received) == 4, CONVERGENCE_SECONDS)
        await trio.sleep(CONVERGENCE_SECONDS)
        member_count = len(here[5].members())
        contact_count = len(here[5].live_entries('sur-uruguay'))
        if member_count == 9:
            assert cluster.has_converged()
            assert cluster.has_converged('sur-uruguay')
        nursery.cancel_scope.cancel()
    return member_count, contact_count


@in_virtual_time
async def test_regions_exchange_digests_and_few_contacts():
    member_count, contact_count = await count_members_and_contacts()
    assert member_count == 9
    assert 0 < contact_count < 9


@in_virtual_time
async def test_node_holds_members_of_all_regions_without_the_limit_to_its_own(
    monkeypatch,
):
    compose = Gossip._compose

    def compose_whole(gossip, receiver, region):
        return compose(gossip, receiver, gossip._node.region)

    def merge_all(gossip, members=(), endpoints=(), *, disseminate=True):
        now = trio.current_time()
        gossip._hooks.on_members(
            tuple(each for each in members if gossip.members.merge(each, now)),
        )

    monkeypatch.setattr(Gossip, '_compose', compose_whole)
    monkeypatch.setattr(Gossip, 'merge_records', merge_all)
    member_count, _ = await count_members_and_contacts()
    assert member_count > 9


@pytest.mark.parametrize('seed', range(3))
def test_lost_messages_leave_all_but_one_member_live(seed):
    async def body():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, seed=seed)
            members = cluster.start_all(9)
            await wait_for(cluster.has_converged, CONVERGENCE_SECONDS)
            cluster.network.loss_rate = 0.05
            live_counts = set()
            for _ in range(600):
                await trio.sleep(0.1)
                live_counts.add(
                    min(len(held_live(member)) for member in members)
                )
            assert min(live_counts) >= 8
            nursery.cancel_scope.cancel()

    random.seed(seed)
    run_in_virtual_time(body, seed=seed)
