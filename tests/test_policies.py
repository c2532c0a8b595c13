"""Tests ordering, aging and the memory reserved for short prompts."""

import dataclasses

import pytest
import trio

from limpetdrift.coordination.homes.policies import POLICIES
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import in_virtual_time

SHORT_TOKENS = 4000
SHORT_EVERY_SECONDS = 0.18
LONG_TOKENS = 60_000


async def serve_request(site, request, timings):
    started_at = trio.current_time()
    outcome = await site.placers[0].place(request)
    if outcome.is_error():
        return
    engine = site.engines[outcome.ok.endpoint.address]
    run = (await engine.start_or_queue(request, outcome.ok, 'entry-0')).ok
    await run.first_token.wait()
    timings[request.request_key] = trio.current_time() - started_at
    await run.ended.wait()
    engine.remove(run.id)
    site.placers[0].release(outcome.ok, AttemptOutcome.FINISHED)


async def measure_long_prompt(site):
    """Return the long prompt's seconds to first token under overload.

    Short prompts arrive faster than the engine can serve them. The result is
    ``None`` if the long prompt got no first token.
    """
    timings = {}
    with trio.move_on_after(90):
        async with trio.open_nursery() as nursery:
            site.start(nursery)
            await trio.sleep(2)
            long = make_request(
                'long', prompt_tokens=LONG_TOKENS, deadline_in_seconds=80.0
            )
            for number in range(10**6):
                short = make_request(
                    number, prompt_tokens=SHORT_TOKENS, max_tokens=8
                )
                nursery.start_soon(serve_request, site, short, timings)
                await trio.sleep(SHORT_EVERY_SECONDS)
                if number == 50:
                    nursery.start_soon(serve_request, site, long, timings)
    return timings.get('long')


@in_virtual_time
async def test_long_prompt_does_not_starve_with_aging():
    waited = await measure_long_prompt(Site(entries=1, engines=1))
    assert waited < 45


@in_virtual_time
async def test_long_prompt_starves_without_aging():
    site = Site(entries=1, engines=1)
    site.homes[0].policy = dataclasses.replace(
        POLICIES['slack'],
        age=lambda ticket: ticket.priority,
        queue_key=lambda ticket: (ticket.priority, ticket.arrived_at),
    )
    assert await measure_long_prompt(site) is None


@in_virtual_time
async def test_short_prompts_run_beside_waiting_long_ones():
    site = Site(entries=1, engines=1, memory_tokens=100_000)
    timings = {}
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1)
        for number in range(4):
            long = make_request(
                f'long-{number}', prompt_tokens=40_000, max_tokens=500
            )
            nursery.start_soon(serve_request, site, long, timings)
        await trio.sleep(3)
        for number in range(20):
            short = make_request(number, prompt_tokens=1000)
            nursery.start_soon(serve_request, site, short, timings)
            await trio.sleep(0.3)
        await trio.sleep(30)
        nursery.cancel_scope.cancel()
    assert len(timings) == 24
    assert max(timings[str(number)] for number in range(20)) < 1


@in_virtual_time
async def test_shared_prefix_does_not_overload_one_engine():
    site = Site(entries=2, engines=3)
    timings = {}
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(1)
        async with trio.open_nursery() as requests:
            for number in range(75):
                request = make_request(
                    number,
                    prompt_tokens=SHORT_TOKENS,
                    max_tokens=256,
                    prefix_blocks=(*range(12), number),
                )
                requests.start_soon(serve_request, site, request, timings)
                await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert len(timings) == 75
    # A stream sent beyond the engine's limit would wait 5.6 s for the end of
    # another one.
    assert max(timings.values()) < 3


@pytest.mark.parametrize('name', sorted(POLICIES))
@in_virtual_time
async def test_each_policy_places_and_releases_requests(name):
    site = Site(entries=2, engines=3, policy=name)
    timings = {}
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        async with trio.open_nursery() as requests:
            for number in range(12):
                request = make_request(number, prefix_blocks=(1, number))
                requests.start_soon(serve_request, site, request, timings)
        await trio.sleep(1)
        queues = [
            queue for home in site.homes for queue in home.queues().values()
        ]
        assert all(queue.empty for queue in queues)
        nursery.cancel_scope.cancel()
    assert len(timings) == 12
