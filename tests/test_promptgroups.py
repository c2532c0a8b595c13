"""Groups for prompts larger than an engine: no deadlock, no starvation."""

import functools
import random

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetdrift.coordination import engine_groups
from limpetdrift.protocol.placement import AttemptOutcome
from placement_site import Site, make_request
from virtual_time import in_virtual_time, run_in_virtual_time

MEMORY_TOKENS = 100_000
ENGINES = 4
HUGE_TOKENS = 250_000
STREAM_SECONDS = 6.0
DEADLINE_SECONDS = 200.0


class Load:
    """Huge and short requests against one site."""

    def __init__(self, *, seed=1):
        self.site = Site(
            entries=3, engines=ENGINES, memory_tokens=MEMORY_TOKENS, seed=seed
        )
        self.random = random.Random(seed)
        self.finished = []
        self.short_waits = []
        self.lost = []

    async def run_huge(self, key, entry):
        """Hold a group for a stream's time; check its memory on the way."""
        request = make_request(
            key, prompt_tokens=HUGE_TOKENS, deadline_in_seconds=DEADLINE_SECONDS
        )
        placed = (await self.site.placers[entry].place(request)).ok
        engine = self.site.engines[placed.endpoint.address]
        held = sum(self.hold_tokens(member) for member in placed.group)
        tokens = HUGE_TOKENS + request.max_tokens - held
        part = make_request(key, prompt_tokens=tokens - 100)
        run = (await engine.start(part, placed, f'entry-{entry}')).ok
        for _ in range(int(STREAM_SECONDS)):
            await trio.sleep(1)
            if not all(map(self.hold_tokens, placed.group)):
                self.lost.append(key)
                break
        engine.remove(run.id)
        self.site.placers[entry].release(placed, AttemptOutcome.FINISHED)
        self.finished.append(key)

    def hold_tokens(self, member):
        engine = self.site.engines[member.endpoint.address]
        engine.expire()
        run = engine.runs.get(member.hold_id)
        return run.tokens if run else 0

    async def run_short(self, key, entry):
        request = make_request(key, prompt_tokens=2000, max_tokens=50)
        asked_at = trio.current_time()
        placed = (await self.site.placers[entry].place(request)).ok
        engine = self.site.engines[placed.endpoint.address]
        run = (await engine.start_or_queue(request, placed, 'entry')).ok
        await run.first_token.wait()
        self.short_waits.append(trio.current_time() - asked_at)
        await run.ended.wait()
        engine.remove(run.id)
        self.site.placers[entry].release(placed, AttemptOutcome.FINISHED)

    async def short_work(self, per_second):
        async with trio.open_nursery() as nursery:
            for number in range(10**6):
                await trio.sleep(self.random.expovariate(per_second))
                nursery.start_soon(self.run_short, f's{number}', number % 3)

    async def run_all_huge(self, starts):
        async with trio.open_nursery() as asking:
            for number, pause in enumerate(starts):
                await trio.sleep(pause)
                asking.start_soon(self.run_huge, f'h{number}', number % 3)

    async def until_huge_end(self, starts, per_second=15):
        async with trio.open_nursery() as nursery:
            self.site.start(nursery)
            nursery.start_soon(self.short_work, per_second)
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
def test_competing_groups_all_finish_and_short_work_goes_on(starts, seed):
    load = Load(seed=seed)
    run_in_virtual_time(
        functools.partial(load.until_huge_end, starts), seed=seed
    )
    assert len(load.finished) == len(starts)
    assert not load.lost
    waits = sorted(load.short_waits)
    assert waits[int(len(waits) * 0.95)] < 2
    assert max(waits) < 3


def test_without_the_global_order_and_expiry_groups_deadlock(monkeypatch):
    make_plan = engine_groups._make_plan
    shuffled = random.Random(1)

    def unordered(*arguments):
        plan = make_plan(*arguments)
        members = [*plan.members, plan.leader]
        shuffled.shuffle(members)
        return engine_groups.replace(
            plan, members=tuple(members[:-1]), leader=members[-1]
        )

    monkeypatch.setattr(engine_groups, '_make_plan', unordered)
    monkeypatch.setattr(engine_groups, 'GATHER_SECONDS', DEADLINE_SECONDS)
    with pytest.raises(ExceptionGroup) as raised:
        run_in_virtual_time(
            functools.partial(Load().until_huge_end, (0, 0, 0, 0), 1),
        )
    assert raised.value.subgroup(trio.TooSlowError)
    assert not raised.value.split(trio.TooSlowError)[1]


@in_virtual_time
async def test_a_dead_member_frees_the_rest():
    load = Load()
    site = load.site
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        request = make_request('huge', prompt_tokens=HUGE_TOKENS)
        placed = (await site.placers[0].place(request)).ok
        await trio.sleep(20)
        assert all(map(load.hold_tokens, placed.group))
        member = placed.group[0].endpoint.address
        site.engines[member].crash()
        await trio.sleep(engine_groups.RENEW_SECONDS + 1)
        assert not any(map(load.hold_tokens, placed.group))
        nursery.cancel_scope.cancel()


@in_virtual_time
async def test_holds_of_a_dead_owner_expire():
    load = Load()
    site = load.site
    async with trio.open_nursery() as nursery:
        site.start(nursery)
        await trio.sleep(2)
        request = make_request('huge', prompt_tokens=HUGE_TOKENS)
        placed = (await site.placers[0].place(request)).ok
        assert all(map(load.hold_tokens, placed.group))
        nursery.cancel_scope.cancel()
    await trio.sleep(engine_groups.HOLD_SECONDS)
    assert not any(map(load.hold_tokens, placed.group))
