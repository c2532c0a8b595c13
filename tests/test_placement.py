"""Tests placement end to end over the fake network and engine models."""

import dataclasses

import trio

from limpetdrift.coordination.homes import home_reports
from limpetdrift.coordination.homes.home_assignment import HomeTable, home_of
from limpetdrift.coordination.homes.policies import POLICIES
from limpetdrift.protocol.grants import GrantRequest
from limpetdrift.protocol.placement import AttemptOutcome
from limpetdrift.verdict import Reason, Verdict
from placement_site import Site, make_node, make_request
from virtual_time import in_virtual_time


def test_home_moves_only_if_its_own_entry_leaves():
    site = Site(entries=9, engines=30)
    before = {each.name: home_of(each, site.nodes) for each in site.endpoints}
    removed = site.nodes[0]
    after = {
        each.name: home_of(each, site.nodes[1:]) for each in site.endpoints
    }
    moved = [name for name in before if before[name] != after[name]]
    assert moved
    assert all(before[name] == removed for name in moved)
    domains = {each.name: each.failure_domain for each in site.endpoints}
    assert all(
        home.failure_domain == domains[name] for name, home in before.items()
    )
    assert home_of(site.endpoints[0], [make_node(1)]) == make_node(1)


@in_virtual_time
async def test_request_is_placed_and_its_grant_released():
    site = Site(entries=3, engines=4)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        placed = (await site.placers[0].place(make_request(1))).ok
        home = home_of(placed.endpoint, site.nodes)
        queue = site.homes[site.nodes.index(home)].queue_of(placed.endpoint)
        assert list(queue.granted) == [placed.grant_id]
        site.placers[0].release(placed, AttemptOutcome.FINISHED)
        await trio.sleep(0.1)
        assert queue.empty
        assert not queue.ledger.granted_tokens
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_unused_grant_expires():
    site = Site(entries=3, engines=1, memory_tokens=1500)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        assert (await site.placers[0].place(make_request(1))).is_ok()
        started_at = trio.current_time()
        assert (await site.placers[1].place(make_request(2))).is_ok()
        waited = trio.current_time() - started_at
        assert 1 < waited < 8
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_short_prompt_overtakes_long_prompts_at_home():
    site = Site(entries=2, engines=1)
    order = []

    async def place(key, tokens):
        request = make_request(key, prompt_tokens=tokens)
        placed = (await site.placers[0].place(request)).ok
        engine = site.engines[placed.endpoint.address]
        run = (await engine.start(request, placed, 'entry-0')).ok
        await run.first_token.wait()
        order.append(key)
        engine.remove(run.id)
        site.placers[0].release(placed, AttemptOutcome.FINISHED)

    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        async with trio.open_nursery() as requests:
            requests.start_soon(place, 'long-1', 200_000)
            await trio.sleep(0.1)
            requests.start_soon(place, 'long-2', 200_000)
            await trio.sleep(0.1)
            requests.start_soon(place, 'short', 1000)
        nursery.cancel_scope.cancel()
    assert order == ['short', 'long-1', 'long-2']


@in_virtual_time
async def test_placement_succeeds_with_unreachable_homes():
    site = Site(entries=3, engines=3)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        for node in site.nodes[1:]:
            site.network.kill(node.peer_address)
        for key in range(20):
            placed = await site.placers[0].place(make_request(key))
            assert placed.is_ok()
        site.network.isolate(site.nodes[0].peer_address)
        started_at = trio.current_time()
        assert (await site.placers[0].place(make_request('cut'))).is_ok()
        assert trio.current_time() - started_at < 2
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_request_that_cannot_start_by_its_deadline_is_refused_at_once():
    site = Site(entries=2, engines=1)
    refused = []
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)

        async def place(key):
            request = make_request(
                key, prompt_tokens=100_000, deadline_in_seconds=12.0
            )
            started_at = trio.current_time()
            outcome = await site.placers[0].place(request)
            if outcome.is_error():
                refused.append((outcome.error, trio.current_time()))
                assert trio.current_time() - started_at < 1

        for key in range(5):
            nursery.start_soon(place, key)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    assert refused
    for failure, _ in refused:
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.reason is Reason.OVERLOADED
        assert failure.retry_after_seconds > 0


@in_virtual_time
async def test_placement_fails_without_homes_and_endpoints():
    site = Site(entries=3, engines=3)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        site.nodes.pop(0)
        site.network.isolate(site.placers[0]._inputs.node.peer_address)
        nursery.start_soon(_clear_soon, site.endpoints)
        refused = await site.placers[0].place(make_request(1))
        assert refused.error.verdict is Verdict.NOT_RUN
        nursery.cancel_scope.cancel()


async def _clear_soon(endpoints):
    await trio.sleep(0.1)
    endpoints.clear()


async def place_beside_busy_engines(policy):
    """Place five short prompts while one engine of eight is idle.

    Return for each whether it went to the idle engine.
    """
    site = Site(entries=1, engines=8)
    site.homes[0].policy = policy
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        home = site.homes[0]
        for endpoint in site.endpoints[1:]:
            request = make_request(endpoint.name, prompt_tokens=200_000)
            message = GrantRequest(
                endpoint=endpoint,
                request=request,
                owner='entry-0',
                incarnation=1,
                poll_seconds=1.0,
            )
            assert (await home.grant(message)).ok.granted
        chosen = []
        for key in range(5):
            placed = (await site.placers[0].place(make_request(key))).ok
            chosen.append(placed.endpoint)
            site.placers[0].release(placed, AttemptOutcome.FINISHED)
            await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    return [each == site.endpoints[0] for each in chosen]


@in_virtual_time
async def test_home_bids_for_idle_engine_outside_candidates():
    policy = POLICIES['slack']
    assert all(await place_beside_busy_engines(policy))
    candidates_only = dataclasses.replace(policy, bids_for_all_homed=False)
    assert not all(await place_beside_busy_engines(candidates_only))


def test_home_table_matches_homes_after_changes():
    site = Site(entries=9, engines=30)
    table = HomeTable()
    for entries in (site.live(), site.live()[3:], site.live()):
        table.refresh(entries, site.listed())
        for each in site.endpoints:
            home = home_of(each, entries)
            assert table.find(each) == home
            assert each in table.endpoints_of(home)


@in_virtual_time
async def test_waiting_ticket_is_recreated_if_home_lost_it():
    site = Site(entries=2, engines=1, memory_tokens=100_000)
    home_node = home_of(site.endpoints[0], site.nodes)
    home = site.homes[site.nodes.index(home_node)]
    remote_placer = site.placers[1 - site.nodes.index(home_node)]
    blocks = tuple(range(10**18, 10**18 + 250))
    outcomes = []

    async def place_second():
        request = make_request(
            'waiting', prompt_tokens=64_000, prefix_blocks=blocks
        )
        outcomes.append(await remote_placer.place(request))

    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        first = make_request('first', prompt_tokens=90_000)
        placed = (await remote_placer.place(first)).ok
        engine = site.engines[site.endpoints[0].address]
        run = (await engine.start(first, placed, 'entry-0')).ok
        nursery.start_soon(place_second)
        await trio.sleep(1)
        bytes_before = site.network.bytes
        await trio.sleep(8)
        assert site.network.bytes - bytes_before < 5000
        assert not outcomes
        home._homed.clear()
        # The long poll in flight still waits for the ticket that was lost.
        await trio.sleep(2.5)
        engine.remove(run.id)
        await trio.sleep(3)
        assert [each.is_ok() for each in outcomes] == [True]
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_request_is_not_placed_at_leaving_endpoint():
    site = Site(entries=2, engines=2)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        placer = site.placers[0]
        first = (await placer.place(make_request('first'))).ok.endpoint
        place_once = placer._place_once

        async def place_then_leave(*arguments):
            outcome = await place_once(*arguments)
            if outcome.is_ok() and outcome.ok.endpoint.name == first.name:
                site.endpoints = [
                    dataclasses.replace(each, leaving=each.name == first.name)
                    for each in site.endpoints
                ]
            return outcome

        placer._place_once = place_then_leave
        for number in range(6):
            placed = (await placer.place(make_request(number))).ok
            assert placed.endpoint.name != first.name or not any(
                each.leaving for each in site.endpoints
            )
        assert any(each.leaving for each in site.endpoints)
        nursery.cancel_scope.cancel()


async def measure_wait_behind_dead_engine():
    """Return how many seconds a request waits behind a dead engine's grants."""
    site = Site(entries=1, engines=1, memory_tokens=10_000)
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        placer = site.placers[0]
        assert (await placer.place(make_request(1, prompt_tokens=9000))).is_ok()
        nursery.start_soon(kill_soon, site)
        started_at = trio.current_time()
        outcome = await placer.place(make_request(2, prompt_tokens=9000))
        assert outcome.is_error()
        waited = trio.current_time() - started_at
        nursery.cancel_scope.cancel()
    return waited


async def kill_soon(site):
    await trio.sleep(1)
    for engine in site.engines.values():
        engine.refuses = True


@in_virtual_time
async def test_dead_engine_does_not_block_waiting_requests():
    assert await measure_wait_behind_dead_engine() < 10


@in_virtual_time
async def test_request_waits_if_dead_engine_keeps_grants(monkeypatch):
    monkeypatch.setattr(home_reports, 'drop_all_grants', lambda queue: None)
    assert await measure_wait_behind_dead_engine() > 30
