"""Membership under kills, restarts, cuts, freezes, lost and doubled calls."""

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

from limpetdrift.coordination import evidence, failure_detector, gossip_rounds
from limpetdrift.coordination.gossip import Gossip
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.own_record import OwnRecord
from limpetdrift.protocol.gossip import MemberRecord, MemberState, ProbeOutcome
from limpetdrift.state.members import FORGET_SECONDS, MemberTable
from member_cluster import Cluster, held_live, make_node, wait_for
from virtual_time import in_virtual_time, run_in_virtual_time

NODES = 6
AGREE_SECONDS = 30.0
SPREAD_SECONDS = 3.0
AT_ONCE_SECONDS = 1.0
GAP_SECONDS = 0.05
RARE_ROUND_SECONDS = 20.0
PAUSE_SECONDS = 60.0
COUNTED_SECONDS = evidence.COUNTED_SECONDS
LONGEST_SPREAD_SECONDS = 60.0
INDICES = st.integers(0, NODES - 1)


class MembershipFaults(RuleBasedStateMachine):
    """Gathers a script of faults; its end runs it and checks the view."""

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
            await wait_for(cluster.has_converged, AGREE_SECONDS)
            for step in self.steps:
                await take_step(cluster, step)
            end_faults(cluster, self.frozen)
            # A check that began before the faults' end may still suspect.
            await trio.sleep(AGREE_SECONDS)
            await stay_agreed(cluster, seconds=10)
            nursery.cancel_scope.cancel()


async def take_step(cluster, step):
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


async def stay_agreed(cluster, seconds):
    ending = trio.current_time() + seconds
    while trio.current_time() < ending:
        assert cluster.has_converged()
        await trio.sleep(0.1)


TestMembershipFaults = MembershipFaults.TestCase
TestMembershipFaults.settings = settings(
    max_examples=40,
    stateful_step_count=12,
)


async def healed_after_isolation():
    """Isolate a node until it is forgotten; return how long healing took."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        cluster.network.isolate(members[4].node.peer_address)
        await trio.sleep(FORGET_SECONDS + 20)
        assert len(members[0].members()) == NODES - 1
        cluster.network.heal()
        took = await wait_for(cluster.has_converged, AGREE_SECONDS)
        nursery.cancel_scope.cancel()
    return took


@in_virtual_time
async def test_a_forgotten_node_that_lived_on_comes_back():
    await healed_after_isolation()


@in_virtual_time
async def test_without_refutation_it_never_comes_back(monkeypatch):
    monkeypatch.setattr(OwnRecord, 'refute', lambda own, held: None)
    with pytest.raises(BaseExceptionGroup) as raised:
        await healed_after_isolation()
    assert raised.group_contains(trio.TooSlowError)


def test_old_gossip_does_not_bring_back_the_forgotten():
    table = MemberTable()
    live = MemberRecord(node=make_node(1), version=3)
    dead = MemberRecord(node=make_node(1), version=3, state=MemberState.DEAD)
    table.merge(live, now=0.0)
    table.merge(dead, now=1.0)
    table.forget_dead(1.0 + FORGET_SECONDS)
    assert not table.table.records()
    assert not table.merge(live, now=300.0)
    assert table.merge(MemberRecord(node=make_node(1, 2)), now=300.0)


async def seconds_until_known(change, *, share, rare_rounds):
    """Start 30 nodes, make a change, and time how it reaches a share of them.

    Where rounds are made rare beforehand, what is sent between them shows.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(30)
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        await trio.sleep(20)
        with pytest.MonkeyPatch.context() as patch:
            if rare_rounds:
                patch.setattr(
                    gossip_rounds, 'ROUND_SECONDS', RARE_ROUND_SECONDS
                )
                await trio.sleep(2)
            knows = change(cluster, members)
            took = await wait_for(
                lambda: sum(map(knows, members)) >= len(members) * share,
                LONGEST_SPREAD_SECONDS,
            )
        nursery.cancel_scope.cancel()
    return took


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


async def seconds_until_most_know(change):
    return await seconds_until_known(change, share=0.9, rare_rounds=True)


async def seconds_until_all_know(change):
    return await seconds_until_known(change, share=1, rare_rounds=False)


CHANGES = pytest.mark.parametrize('change', [leave, kill])


@in_virtual_time
async def test_leaving_reaches_all_at_once():
    assert await seconds_until_all_know(leave) < SPREAD_SECONDS


@in_virtual_time
async def test_a_refused_real_call_proves_a_death():
    assert await seconds_until_all_know(kill) < SPREAD_SECONDS


@CHANGES
@in_virtual_time
async def test_a_change_does_not_wait_for_rounds(change):
    assert await seconds_until_most_know(change) < AT_ONCE_SECONDS


@CHANGES
@in_virtual_time
async def test_without_push_it_does(monkeypatch, change):
    monkeypatch.setattr(gossip_rounds.GossipRounds, 'push', lambda _: None)
    assert await seconds_until_most_know(change) > SPREAD_SECONDS


@in_virtual_time
async def test_without_a_real_calls_evidence_a_death_waits(monkeypatch):
    monkeypatch.setattr(
        Membership, 'record_connection_refused', lambda _, name: None
    )
    assert await seconds_until_most_know(kill) > SPREAD_SECONDS


async def no_join(_):
    await trio.lowlevel.checkpoint()


async def are_known_at_once():
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        earlier = cluster.start(0)
        # The earlier one's first calls find nobody.
        await trio.sleep(GAP_SECONDS)
        later = cluster.start(1)
        await later.join_seeds()
        known = [held_live(each) for each in (earlier, later)]
        nursery.cancel_scope.cancel()
    return [len(each) for each in known] == [2, 2]


@in_virtual_time
async def test_nodes_that_start_together_know_each_other_when_ready():
    assert await are_known_at_once()


@in_virtual_time
async def test_without_joining_seeds_they_wait_for_rounds(monkeypatch):
    monkeypatch.setattr(Membership, 'join_seeds', no_join)
    assert not await are_known_at_once()


async def states_after_a_pause():
    """Suspect a node, heal, and let all stand still; return its states."""
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.isolate(members[4].node.peer_address)
        await wait_for(lambda: seen, AGREE_SECONDS)
        cluster.network.heal()
        trio.lowlevel.current_clock().jump(PAUSE_SECONDS)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    return {each.state for each in seen}


@in_virtual_time
async def test_a_pause_proves_no_death():
    states = await states_after_a_pause()
    assert MemberState.SUSPECT in states
    assert MemberState.DEAD not in states


@in_virtual_time
async def test_without_the_rule_of_the_late_loop_it_does(monkeypatch):
    monkeypatch.setattr(
        failure_detector.FailureDetector, 'reset_after_pause', lambda _: None
    )
    assert MemberState.DEAD in await states_after_a_pause()


async def suspicions_of_one_way_cut():
    """Cut one node from another one way; count states other than live."""
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.cut(
            members[0].node.peer_address, members[1].node.peer_address
        )
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    return [each for each in seen if each.state is not MemberState.LIVE]


@in_virtual_time
async def test_a_node_that_others_reach_is_not_suspected():
    assert not await suspicions_of_one_way_cut()


@in_virtual_time
async def test_without_probes_through_others_it_is(monkeypatch):
    async def reached(detector, record):
        return False

    monkeypatch.setattr(
        failure_detector.FailureDetector, '_is_reached_by_others', reached
    )
    assert await suspicions_of_one_way_cut()


async def counts_after_deaths():
    """Count contacts for a while after four of nine have died."""
    counts = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(9)
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        await trio.sleep(5)
        for index in range(5, 9):
            cluster.kill(index)
        for _ in range(150):
            counts.append(members[0].recent_contact_counts())
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    return counts


@in_virtual_time
async def test_the_dead_do_not_count_as_silent():
    counts = await counts_after_deaths()
    assert max(each.silent for each in counts) == 0
    assert min(each.answering for each in counts) >= 2


async def seconds_until_cut_off_shows(entries, seed):
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery, seed=seed)
        member = cluster.start_all(entries)[0]
        await wait_for(cluster.has_converged, AGREE_SECONDS)
        await trio.sleep(20)
        assert member.recent_contact_counts().silent == 0
        cluster.network.isolate(member.node.peer_address)
        took = await wait_for(lambda: more_are_silent(member), AGREE_SECONDS)
        await trio.sleep(15)
        assert member.recent_contact_counts().answering == 0
        assert member.recent_contact_counts().silent > 0
        nursery.cancel_scope.cancel()
    return took


def more_are_silent(member):
    counts = member.recent_contact_counts()
    return counts.silent > counts.answering


def longest_until_cut_off_shows():
    return max(
        run_in_virtual_time(partial(seconds_until_cut_off_shows, entries, seed))
        for entries in (6, 9, 30)
        for seed in range(4)
    )


def test_a_cut_off_node_notices_within_two_rounds():
    assert longest_until_cut_off_shows() <= COUNTED_SECONDS


def test_with_a_longer_memory_it_notices_late(monkeypatch):
    monkeypatch.setattr(evidence, 'COUNTED_SECONDS', 10.0)
    assert longest_until_cut_off_shows() > COUNTED_SECONDS + 1


@in_virtual_time
async def test_without_telling_refusals_apart_the_dead_count(monkeypatch):
    def read(answer, record=None):
        return (
            ProbeOutcome.TIMED_OUT
            if answer.is_error()
            else ProbeOutcome.ANSWERED
        )

    monkeypatch.setattr(failure_detector, '_read_contact', read)
    counts = await counts_after_deaths()
    assert max(each.silent for each in counts) > 0


def attach_origin(member, heard):
    region = member.node.region
    member.register_digest(
        'origin',
        lambda: b'"%s"' % region.encode(),
        lambda sender, digest: heard.add((region, digest)),
    )


async def members_held_with_two_regions():
    """Run two regions; return how many members and contacts a node holds."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery, regions=('kiambu', 'sur-uruguay'))
        here = cluster.start_all(9)
        there = cluster.start_all(9, 'sur-uruguay')
        heard = set()
        for member in (*here, *there):
            attach_origin(member, heard)
        await wait_for(lambda: len(heard) == 4, AGREE_SECONDS)
        await trio.sleep(AGREE_SECONDS)
        held = len(here[5].members())
        contacts = len(here[5].live_entries('sur-uruguay'))
        if held == 9:
            assert cluster.has_converged()
            assert cluster.has_converged('sur-uruguay')
        nursery.cancel_scope.cancel()
    return held, contacts


@in_virtual_time
async def test_regions_exchange_digests_and_few_contacts():
    held, contacts = await members_held_with_two_regions()
    assert held == 9
    assert 0 < contacts < 9


@in_virtual_time
async def test_without_the_limit_of_a_region_all_are_held(monkeypatch):
    compose = Gossip._compose

    def compose_whole(gossip, receiver, region):
        return compose(gossip, receiver, gossip._node.region)

    def take_in_all(gossip, members=(), endpoints=(), *, disseminate=True):
        now = trio.current_time()
        gossip._hooks.on_members(
            tuple(each for each in members if gossip.members.merge(each, now)),
        )

    monkeypatch.setattr(Gossip, '_compose', compose_whole)
    monkeypatch.setattr(Gossip, 'merge_records', take_in_all)
    held, _ = await members_held_with_two_regions()
    assert held > 9


@pytest.mark.parametrize('seed', range(3))
def test_loss_alone_kills_nobody_for_long(seed):
    async def body():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, seed=seed)
            members = cluster.start_all(9)
            await wait_for(cluster.has_converged, AGREE_SECONDS)
            cluster.network.loss_rate = 0.05
            held = set()
            for _ in range(600):
                await trio.sleep(0.1)
                held.add(min(len(held_live(member)) for member in members))
            assert min(held) >= 8
            nursery.cancel_scope.cancel()

    random.seed(seed)
    run_in_virtual_time(body, seed=seed)
