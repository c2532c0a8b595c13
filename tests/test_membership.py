"""Membership under kills, restarts, cuts, freezes, lost and doubled calls."""

import random

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

from limpetdrift.coordination import detector, rounds
from limpetdrift.coordination.gossip import Gossip
from limpetdrift.coordination.membership import Membership
from limpetdrift.coordination.own_record import OwnRecord
from limpetdrift.protocol.gossip import Contact, MemberRecord, MemberState
from limpetdrift.state.members import FORGET_SECONDS, MemberTable
from member_cluster import Cluster, held_live, make_node, until
from virtual import run_virtual, virtual

NODES = 6
AGREE_SECONDS = 30.0
SPREAD_SECONDS = 3.0
AT_ONCE_SECONDS = 1.0
RARE_ROUND_SECONDS = 20.0
PAUSE_SECONDS = 60.0
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
            run_virtual(self._run_script, seed=self.seed)

    async def _run_script(self):
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, seed=self.seed)
            cluster.start_all(NODES)
            await until(cluster.agreed, AGREE_SECONDS)
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
        network.lost_share = arguments[0]
        network.doubled_share = arguments[1]
    elif name == 'wait':
        await trio.sleep(*arguments)
    else:
        addresses = [make_node(index).peer_address for index in arguments]
        getattr(network, name)(*addresses)


def end_faults(cluster, frozen):
    cluster.network.heal()
    cluster.network.lost_share = 0.0
    cluster.network.doubled_share = 0.0
    for index in frozen:
        cluster.network.thaw(make_node(index).peer_address)


async def stay_agreed(cluster, seconds):
    ending = trio.current_time() + seconds
    while trio.current_time() < ending:
        assert cluster.agreed()
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
        await until(cluster.agreed, AGREE_SECONDS)
        cluster.network.isolate(members[4].node.peer_address)
        await trio.sleep(FORGET_SECONDS + 20)
        assert len(members[0].members()) == NODES - 1
        cluster.network.heal()
        took = await until(cluster.agreed, AGREE_SECONDS)
        nursery.cancel_scope.cancel()
    return took


@virtual
async def test_a_forgotten_node_that_lived_on_comes_back():
    await healed_after_isolation()


@virtual
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


async def seconds_until_most_know(change, seconds=60):
    """Start 30 nodes, make a change, and time how it reaches nine in ten.

    Rounds are made rare beforehand, so that what is sent between them shows.
    """
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(30)
        await until(cluster.agreed, AGREE_SECONDS)
        await trio.sleep(20)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(rounds, 'ROUND_SECONDS', RARE_ROUND_SECONDS)
            await trio.sleep(2)
            knows = change(cluster, members)
            took = await until(
                lambda: sum(map(knows, members)) >= len(members) * 0.9,
                seconds,
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
    members[0].note_refused(killed.node.name)
    return lambda member: killed.node.name not in live_names(member)


def live_names(member):
    return {entry.name for entry in member.live_entries()}


CHANGES = pytest.mark.parametrize('change', [leave, kill])


@CHANGES
@virtual
async def test_a_change_does_not_wait_for_rounds(change):
    assert await seconds_until_most_know(change) < AT_ONCE_SECONDS


@CHANGES
@virtual
async def test_without_push_it_does(monkeypatch, change):
    monkeypatch.setattr(rounds.Rounds, 'push', lambda _: None)
    assert await seconds_until_most_know(change) > SPREAD_SECONDS


@virtual
async def test_without_a_real_calls_evidence_a_death_waits(monkeypatch):
    monkeypatch.setattr(Membership, 'note_refused', lambda _, name: None)
    assert await seconds_until_most_know(kill) > SPREAD_SECONDS


async def states_after_a_pause():
    """Suspect a node, heal, and let all stand still; return its states."""
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await until(cluster.agreed, AGREE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.isolate(members[4].node.peer_address)
        await until(lambda: seen, AGREE_SECONDS)
        cluster.network.heal()
        trio.lowlevel.current_clock().jump(PAUSE_SECONDS)
        await trio.sleep(10)
        nursery.cancel_scope.cancel()
    return {each.state for each in seen}


@virtual
async def test_a_pause_proves_no_death():
    states = await states_after_a_pause()
    assert MemberState.SUSPECT in states
    assert MemberState.DEAD not in states


@virtual
async def test_without_the_rule_of_the_late_loop_it_does(monkeypatch):
    monkeypatch.setattr(detector.Detector, 'forget_silence', lambda _: None)
    assert MemberState.DEAD in await states_after_a_pause()


async def suspicions_of_one_way_cut():
    """Cut one node from another one way; count states other than live."""
    seen = []
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(NODES)
        await until(cluster.agreed, AGREE_SECONDS)
        for member in members:
            member.on_change.append(seen.extend)
        cluster.network.cut(
            members[0].node.peer_address, members[1].node.peer_address
        )
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    return [each for each in seen if each.state is not MemberState.LIVE]


@virtual
async def test_a_node_that_others_reach_is_not_suspected():
    assert not await suspicions_of_one_way_cut()


@virtual
async def test_without_probes_through_others_it_is(monkeypatch):
    async def reached(detector, record):
        return False

    monkeypatch.setattr(detector.Detector, '_is_reached_by_others', reached)
    assert await suspicions_of_one_way_cut()


async def counts_of_the_dead_and_cut_off():
    """Count contacts after four of nine died, and when cut off as well."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery=nursery)
        members = cluster.start_all(9)
        await until(cluster.agreed, AGREE_SECONDS)
        await trio.sleep(5)
        assert members[0].silent_and_answering().silent == 0
        for index in range(5, 9):
            cluster.kill(index)
        await trio.sleep(15)
        died = members[0].silent_and_answering()
        cluster.network.isolate(members[0].node.peer_address)
        await trio.sleep(15)
        cut_off = members[0].silent_and_answering()
        nursery.cancel_scope.cancel()
    return died, cut_off


@virtual
async def test_a_cut_off_node_counts_the_silent_and_not_the_dead():
    died, cut_off = await counts_of_the_dead_and_cut_off()
    assert (died.silent, died.answering) == (0, 4)
    assert cut_off.answering == 0
    assert cut_off.silent > 0


@virtual
async def test_without_telling_refusals_apart_the_dead_count(monkeypatch):
    def read(answer, record=None):
        return Contact.SILENT if answer.is_error() else Contact.ANSWERED

    monkeypatch.setattr(detector, '_read_contact', read)
    died, _ = await counts_of_the_dead_and_cut_off()
    assert died.silent > 0


def attach_origin(member, heard):
    region = member.node.region
    member.attach(
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
        await until(lambda: len(heard) == 4, AGREE_SECONDS)
        await trio.sleep(AGREE_SECONDS)
        held = len(here[5].members())
        contacts = len(here[5].live_entries('sur-uruguay'))
        if held == 9:
            assert cluster.agreed()
            assert cluster.agreed('sur-uruguay')
        nursery.cancel_scope.cancel()
    return held, contacts


@virtual
async def test_regions_exchange_digests_and_few_contacts():
    held, contacts = await members_held_with_two_regions()
    assert held == 9
    assert 0 < contacts < 9


@virtual
async def test_without_the_limit_of_a_region_all_are_held(monkeypatch):
    compose = Gossip._compose

    def compose_whole(gossip, receiver, region):
        return compose(gossip, receiver, gossip._node.region)

    def take_in_all(gossip, members=(), endpoints=(), *, hand_out=True):
        now = trio.current_time()
        gossip._hooks.on_members(
            tuple(each for each in members if gossip.members.merge(each, now)),
        )

    monkeypatch.setattr(Gossip, '_compose', compose_whole)
    monkeypatch.setattr(Gossip, 'take_in', take_in_all)
    held, _ = await members_held_with_two_regions()
    assert held > 9


@pytest.mark.parametrize('seed', range(3))
def test_loss_alone_kills_nobody_for_long(seed):
    async def body():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery=nursery, seed=seed)
            members = cluster.start_all(9)
            await until(cluster.agreed, AGREE_SECONDS)
            cluster.network.lost_share = 0.05
            held = set()
            for _ in range(600):
                await trio.sleep(0.1)
                held.add(min(len(held_live(member)) for member in members))
            assert min(held) >= 8
            nursery.cancel_scope.cancel()

    random.seed(seed)
    run_virtual(body, seed=seed)
