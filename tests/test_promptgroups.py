"""Tests groups of engines for deadlock, starvation and lost memory."""

import functools
import random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetdrift.coordination.homes import engine_groups
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import in_virtual_time, run_in_virtual_time

MEMORY_TOKENS = 100_000
ENGINES = 4
HUGE_TOKENS = 250_000
STREAM_SECONDS = 6.0
DEADLINE_SECONDS = 200.0


class Load:
    """Runs huge and short requests against one site."""

    def __init__(self, *, seed=1):
        self.site = Site(
            entries=3, engines=ENGINES, memory_tokens=MEMORY_TOKENS, seed=seed
        )
        self.randomness = random.Random(seed)
        self.finished = []
        self.short_waits = []
        self.lost = []

    async def run_huge(self, key, entry):
        """Run a stream on a group, checking each second that memory is held."""
        request = make_request(
            key, prompt_tokens=HUGE_TOKENS, deadline_in_seconds=DEADLINE_SECONDS
        )
        placed = (await self.site.placers[entry].place(request)).ok
        engine = self.site.engines[placed.endpoint.address]
        reserved_tokens = sum(
            self.count_reserved_tokens(member) for member in placed.group
        )
        tokens = HUGE_TOKENS + request.max_tokens - reserved_tokens
        part = make_request(key, prompt_tokens=tokens - 100)
        run = (await engine.start(part, placed, f'entry-{entry}')).ok
        for _ in range(int(STREAM_SECONDS)):
            await trio.sleep(1)
            if not all(map(self.count_reserved_tokens, placed.group)):
                self.lost.append(key)
                break
        engine.remove(run.id)
        self.site.placers[entry].release(placed, AttemptOutcome.FINISHED)
        self.finished.append(key)

    def count_reserved_tokens(self, member):
        engine = self.site.engines[member.endpoint.address]
        engine.expire()
        run = engine.runs.get(member.hold_id)
        return run.tokens if run else 0

    async def run_short(self, key, entry):
        request = make_request(key, prompt_tokens=2000, max_tokens=50)
        started_at = trio.current_time()
        placed = (await self.site.placers[entry].place(request)).ok
        engine = self.site.engines[placed.endpoint.address]
        run = (await engine.start_or_queue(request, placed, 'entry')).ok
        await run.first_token.wait()
        self.short_waits.append(trio.current_time() - started_at)
        await run.ended.wait()
        engine.remove(run.id)
        self.site.placers[entry].release(placed, AttemptOutcome.FINISHED)

    async def run_short_requests(self, per_second):
        async with trio.open_nursery() as nursery:
            for number in range(10**6):
                await trio.sleep(self.randomness.expovariate(per_second))
                nursery.start_soon(self.run_short, f's{number}', number % 3)

    async def run_all_huge(self, starts):
        async with trio.open_nursery() as requests:
            for number, pause in enumerate(starts):
                await trio.sleep(pause)
                requests.start_soon(self.run_huge, f'h{number}', number % 3)

    async def run_until_huge_finish(self, starts, per_second=15):
        async with trio.open_nursery() as nursery:
            self.site.start(nursery)
            nursery.start_soon(self.run_short_requests, per_second)
            await trio.sleep(2)
            with trio.fail_after(DEADLINE_SECONDS):
                await self.run_all_huge(starts)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()


@settings(max_examples=10)
@given(
    starts=st.lists(st.sampled_from((0, 0.01, 0.3, 4)), min_size=2, max_size=5),
    seed=st.integers(1, 50),
)
def test_competing_groups_and_short_requests_finish(starts, seed):
    load = Load(seed=seed)
    run_in_virtual_time(
        functools.partial(load.run_until_huge_finish, starts), seed=seed
    )
    assert len(load.finished) == len(starts)
    assert not load.lost
    waits = sorted(load.short_waits)
    assert waits[int(len(waits) * 0.95)] < 2
    assert max(waits) < 3


def test_groups_deadlock_without_order_and_timeout(monkeypatch):
    make_plan = engine_groups._make_plan
    randomness = random.Random(1)

    def make_shuffled_plan(*arguments):
        plan = make_plan(*arguments)
        members = [*plan.members, plan.leader]
        randomness.shuffle(members)
        return engine_groups.replace(
            plan, members=tuple(members[:-1]), leader=members[-1]
        )

    monkeypatch.setattr(engine_groups, '_make_plan', make_shuffled_plan)
    monkeypatch.setattr(
        engine_groups, 'GATHER_TIMEOUT_SECONDS', DEADLINE_SECONDS
    )
    with pytest.raises(ExceptionGroup) as raised:
        run_in_virtual_time(
            functools.partial(Load().run_until_huge_finish, (0, 0, 0, 0), 1),
        )
    assert raised.value.subgroup(trio.TooSlowError)
    assert not raised.value.split(trio.TooSlowError)[1]


@in_virtual_time
async def test_crashed_member_releases_whole_group():
    load = Load()
    site = load.site
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        request = make_request('huge', prompt_tokens=HUGE_TOKENS)
        placed = (await site.placers[0].place(request)).ok
        await trio.sleep(20)
        assert all(map(load.count_reserved_tokens, placed.group))
        member = placed.group[0].endpoint.address
        site.engines[member].crash()
        await trio.sleep(engine_groups.RENEWAL_INTERVAL_SECONDS + 1)
        assert not any(map(load.count_reserved_tokens, placed.group))
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_reservations_of_dead_owner_expire():
    load = Load()
    site = load.site
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        request = make_request('huge', prompt_tokens=HUGE_TOKENS)
        placed = (await site.placers[0].place(request)).ok
        assert all(map(load.count_reserved_tokens, placed.group))
        nursery.cancel_scope.cancel()
    await trio.sleep(engine_groups.RESERVATION_SECONDS)
    assert not any(map(load.count_reserved_tokens, placed.group))
