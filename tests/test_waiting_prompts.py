"""Tests which waiting prompts are passed over, and how plans are confirmed."""

import random
from dataclasses import replace

import pytest
import trio
from expression import Error, Ok

from forward_harness import FakeExchange, ForwardHarness, events, make_route
from limpetdrift.coordination.engines.planning_groups import PlanningGroups
from limpetdrift.coordination.peers import PeerRoutes
from limpetdrift.coordination.planning.plan_confirmation import START_PATH
from limpetdrift.coordination.planning.plan_placer import PlanPlacer
from limpetdrift.coordination.planning.planner import Planner, PlannerInputs
from limpetdrift.coordination.planning.planner_client import PlannerClientInputs
from limpetdrift.coordination.scheduling import waiting
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.plans import Plan, PlanRequest, PlanStart
from limpetdrift.protocol.work import EngineReport
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.verdict import Reason, may_have_run, not_run
from test_planning_groups import make_engine, make_entry, make_work
from test_splitting import COST_MODEL
from virtual_time import in_virtual_time, run_in_virtual_time

LONG_TOKENS = 300_000
SHORT_TOKENS = 5000
NODES = (make_entry(0), make_entry(1), make_entry(2))
ENGINES = tuple(make_engine(number, 'east') for number in range(6))


def make_prompt(grant: str, **changes) -> waiting.WaitingPrompt:
    return waiting.WaitingPrompt(
        **{
            'grant': grant,
            'service': 's',
            'priority': 0,
            'latest_start_at': 10.0,
            'account_share': 0.0,
            'arrived_at': 0.0,
            'starts_at': 5.0,
        }
        | changes
    )


@pytest.mark.parametrize(
    ('first', 'last'),
    [
        ({'priority': 0, 'latest_start_at': 99.0}, {'priority': 1}),
        ({'latest_start_at': 9.0}, {'latest_start_at': 10.0}),
        ({'account_share': 0.5}, {'account_share': 2.0}),
        ({'arrived_at': 1.0}, {'arrived_at': 2.0}),
        ({'passes': 3, 'priority': 2}, {'priority': 0}),
        ({'passes': 1, 'passed_since': 0.5, 'priority': 2}, {'priority': 0}),
    ],
)
def test_prompts_pass_only_those_after_them(first, last):
    """Guards against another order than that of the page, and starvation."""
    one, other = make_prompt('one', **first), make_prompt('other', **last)
    now = 2.6
    assert waiting.find_passable([other], one, now) == {'other'}
    assert waiting.find_passable([one], other, now) == frozenset()


def test_order_survives_a_message_between_clocks():
    """Guards against absolute times, which mean nothing to another entry."""
    prompt = make_prompt('g', passes=2, passed_since=3.0, arrived_at=1.0)
    order = waiting.describe_order(prompt, 4.0)
    engine = make_plan_message(order)
    sent = decode(encode(engine), Plan).ok
    read = waiting.read_order(sent, sent.waiting, 's', 104.0)
    assert read.latest_start_at == pytest.approx(110.0)
    assert (read.arrived_at, read.passed_since) == (101.0, 103.0)
    assert (read.passes, read.starts_at) == (2, 105.0)


def make_plan_message(order) -> Plan:
    site = PlanSite()
    plan = site.planners[0].plan(site.make_request(SHORT_TOKENS)).ok
    return replace(plan, grant='g', delay_seconds=1.0, waiting=order)


class PlanSite:
    """Three entries; ``live`` ones are reachable, the first of them plans.

    Entries in ``old`` are of a build that doesn't know ``plan-start``.
    """

    def __init__(self, engines=ENGINES) -> None:
        self.now = 0.0
        self.live = list(NODES)
        self.frozen = set()
        self.old = set()
        self.calls = []
        self.routes = {}
        self.views = []
        self.planners = []
        self.placers = [self._make_placer(node, engines) for node in NODES]

    def clock(self) -> float:
        try:
            return trio.current_time()
        except RuntimeError:
            return self.now

    def make_request(self, tokens, **changes) -> PlanRequest:
        values = {
            'service': 's',
            'entry': 'entry-2',
            'prompt_tokens': tokens,
            'answer_tokens': 100,
            'pause_seconds': 1.0,
            'patience_seconds': 14.0,
            'target_seconds': 0.3 if tokens == SHORT_TOKENS else 8.0,
            'seconds_left': 14.0,
            'hold_seconds': 15.0,
            'failure_domain': 'east',
            'confirms': True,
        }
        return PlanRequest(**values | changes)

    def fill(self, count=1) -> None:
        """Let the first planner book long prompts until one has to wait."""
        for _ in range(count):
            assert self.planners[0].plan(self.make_request(LONG_TOKENS)).is_ok()

    def _make_placer(self, node, engines) -> PlanPlacer:
        view = EndpointView(clock=self.clock)
        view.replace(engines)
        planner = Planner(
            inputs=PlannerInputs(
                name=node.name,
                view=view,
                find_cost_model=lambda service: COST_MODEL,
                clock=self.clock,
            )
        )
        placer = PlanPlacer(
            inputs=PlannerClientInputs(
                node=node,
                planner=planner,
                call=self._call,
                live_entries=lambda: tuple(self.live),
                record_connection_refused=lambda name: None,
                clock=self.clock,
            ),
            view=view,
            groups=PlanningGroups(node=node, view=view),
            randomness=random.Random(1),
        )
        routes = PeerRoutes()
        placer.register(routes)
        self.views.append(view)
        self.planners.append(planner)
        self.routes[node.peer_address] = routes
        return placer

    async def _call(self, address, path, message, reply, *, timeout_seconds):
        self.calls.append(path)
        await trio.sleep(0.001)
        if address in self.frozen:
            await trio.sleep(timeout_seconds)
            return Error(may_have_run(Reason.IDLE_TIMEOUT, path))
        if address in self.old and path == START_PATH:
            return Error(may_have_run(Reason.BAD_ANSWER, 'status 404'))
        return await self.routes[address].dispatch(path, encode(message))


def make_long_work():
    work = make_work(LONG_TOKENS)
    route = replace(work.route, target_seconds=8.0, patience_seconds=14.0)
    now = trio.current_time()
    return replace(work, route=route, arrived_at=now, deadline=now + 15)


async def place_waiting(site):
    """Place a long prompt of the last entry that waits for others."""
    site.fill()
    work = make_long_work()
    placed = await site.placers[2].place(work, frozenset())
    assert placed.ok.is_tentative
    return work, placed.ok


async def confirm_due(site, work, placement):
    await trio.sleep(placement.delay_seconds)
    return await site.placers[2].confirm(work, placement)


@in_virtual_time
async def test_urgent_prompt_ignores_those_that_only_wait():
    """Guards against short prompts that queue behind bookings of long ones."""
    site = PlanSite()
    _, placement = await place_waiting(site)
    await trio.sleep(placement.delay_seconds - 0.001)
    planner = site.planners[0]
    urgent = site.make_request(LONG_TOKENS, target_seconds=2.0)
    plan = planner.plan(urgent).ok
    assert plan.delay_seconds < placement.delay_seconds / 2
    found = planner.tentative.find(placement.grant)
    assert found.passes == 1


@in_virtual_time
async def test_prompt_waits_on_after_it_was_passed_over_but_not_for_ever():
    """Guards against two prompts at one engine, and against starvation."""
    site = PlanSite()
    work, placement = await place_waiting(site)
    await trio.sleep(placement.delay_seconds - 0.001)
    urgent = site.make_request(LONG_TOKENS, target_seconds=2.0)
    assert site.planners[0].plan(urgent).is_ok()
    await trio.sleep(0.001)
    confirmed = (await site.placers[2].confirm(work, placement)).ok
    assert confirmed.is_tentative
    for _ in range(4):
        site.planners[0].plan(replace(urgent, seconds_left=100.0))
    found = site.planners[0].tentative.find(placement.grant)
    assert found.passes <= waiting.MAX_PASSES


@in_virtual_time
async def test_prompt_is_moved_from_engines_that_died_or_became_slow():
    """Guards against sending to engines that are known to be of no use."""
    site = PlanSite()
    work, placement = await place_waiting(site)
    gone, slow = placement.endpoints[0], placement.endpoints[1]
    added = tuple(make_engine(number, 'east') for number in (7, 8))
    left = tuple(each for each in ENGINES if each != gone)
    for view in site.views:
        view.replace(left + added)
    report = EngineReport(active=0, queued=0, memory_tokens=0, pace=6.0)
    site.planners[0].ledger('s').note_report(slow, report)
    confirmed = (await confirm_due(site, work, placement)).ok
    assert not confirmed.is_tentative
    assert confirmed.grant == placement.grant
    assert not {gone, slow} & set(confirmed.endpoints)
    assert set(added) & set(confirmed.endpoints)
    in_force = site.placers[2].planner_client.in_force[placement.grant]
    assert in_force.plan.writer.name == confirmed.endpoint.name
    site.placers[2].release(work, confirmed, ())
    assert not site.placers[2].planner_client.in_force


@in_virtual_time
async def test_prompt_that_is_too_late_is_refused_with_a_retry_time():
    """Guards against a prompt that is prefilled without use."""
    site = PlanSite()
    work, placement = await place_waiting(site)
    await trio.sleep(placement.delay_seconds)
    site.placers[2].planner_client.in_force[placement.grant] = replace(
        site.placers[2].planner_client.in_force[placement.grant],
        begun_at=trio.current_time() - 13.9,
    )
    refused = await site.placers[2].confirm(work, placement)
    assert refused.error.reason is Reason.OVERLOADED
    assert refused.error.retry_after_seconds > 0
    assert site.planners[0].tentative.find(placement.grant) is None


@in_virtual_time
async def test_next_planner_has_the_same_order():
    """Guards against a queue that is lost when the planner dies."""
    site = PlanSite()
    work, placement = await place_waiting(site)
    before = site.planners[0].tentative.find(placement.grant)
    site.live.remove(NODES[0])
    client = site.placers[2].planner_client
    client.on_members_changed(())
    await trio.sleep(0.1)
    await client._send_active_plans(
        NODES[1], client.in_force[placement.grant].request.group
    )
    after = site.planners[1].tentative.find(placement.grant)
    assert after.latest_start_at == pytest.approx(
        before.latest_start_at, abs=0.01
    )
    assert after.starts_at == pytest.approx(before.starts_at, abs=0.01)
    urgent = site.make_request(LONG_TOKENS, target_seconds=2.0)
    assert site.planners[1].plan(urgent).ok.delay_seconds == 0
    await trio.sleep(placement.delay_seconds - 0.1)
    site.calls.clear()
    confirmed = await site.placers[2].confirm(work, placement)
    assert site.calls == [START_PATH]
    assert confirmed.is_ok()


@pytest.mark.parametrize('fault', ['old', 'frozen', 'unknown'])
def test_prompt_is_sent_as_planned_if_it_cannot_be_confirmed(fault):
    """Guards against prompts that wait for a party that doesn't answer."""

    async def run():
        site = PlanSite()
        work, placement = await place_waiting(site)
        if fault == 'unknown':
            site.planners[0].tentative.pop(placement.grant)
        else:
            getattr(site, fault).add(NODES[0].peer_address)
        due_at = trio.current_time() + placement.delay_seconds
        confirmed = await confirm_due(site, work, placement)
        assert confirmed.ok == placement.as_due()
        assert trio.current_time() - due_at < 0.1

    run_in_virtual_time(run)


@in_virtual_time
async def test_plans_of_earlier_entries_and_without_delay_are_not_tentative():
    """Guards against bookings that are ignored though nobody confirms them."""
    site = PlanSite()
    site.fill()
    earlier = site.make_request(LONG_TOKENS, confirms=False)
    plan = site.planners[0].plan(earlier).ok
    assert plan.delay_seconds > 0.1
    assert plan.waiting is None
    message = PlanStart(grant=plan.grant, request=earlier)
    unknown = site.planners[0].start(message)
    assert unknown.error.reason is Reason.NOT_FOUND
    assert PlanSite().planners[0].plan(earlier).ok.waiting is None


async def serve_waiting(*answers):
    """Serve a request whose placement is tentative; return its harness."""
    harness = ForwardHarness(events(1, 2))
    scripted = list(answers)

    async def place(work, excluded):
        placed = await harness._place(work, excluded)
        return placed.map(lambda plan: replace(plan, is_tentative=True))

    async def confirm(work, placement):
        answer = scripted.pop(0)
        if isinstance(answer, int):
            chosen = harness.endpoints[answer]
            return Ok(replace(placement.as_due(), endpoint=chosen))
        if isinstance(answer, float):
            return Ok(replace(placement, delay_seconds=answer))
        return Error(answer)

    harness.delay_seconds = 0.3
    harness.forwarder._inputs = replace(
        harness.forwarder._inputs, place=place, confirm=confirm
    )
    exchange = FakeExchange()
    await harness.serve(make_route(), exchange)
    return harness, exchange


@in_virtual_time
async def test_request_goes_to_the_confirmed_endpoint_and_ends_its_placement():
    """Guards against a release of the endpoint that was planned first."""
    started_at = trio.current_time()
    harness, _ = await serve_waiting(0.5, 2)
    assert [each.endpoint for each in harness.sent] == ['i-2']
    assert harness.sent[0].at - started_at == pytest.approx(0.8, abs=0.01)
    assert harness.released == [('i-2', ())]


@in_virtual_time
async def test_refusal_of_a_waiting_prompt_is_final_and_nothing_is_sent():
    """Guards against a refused request that runs all the same."""
    refusal = not_run(Reason.OVERLOADED, retry_after_seconds=0.7)
    harness, exchange = await serve_waiting(refusal)
    assert not harness.sent
    assert exchange.response is not None
    assert harness.released == [('i-0', ())]
