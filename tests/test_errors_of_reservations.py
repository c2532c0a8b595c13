"""Errors of our own in the renewal and the release of reserved memory."""

import pytest
import trio

from limpetdrift.protocol.work import DispatchPlan
from test_reservations import ENGINE, SilentEngine, reserve
from virtual_time import in_virtual_time


class FaultyEngine(SilentEngine):
    """An engine to which some orders fail with an error, by their number."""

    def __init__(self, *faulty: int) -> None:
        super().__init__()
        self._faulty = faulty
        self.orders = 0

    async def fetch(self, *arguments, **options):
        self.orders += 1
        if self.orders in self._faulty:
            await trio.sleep(0.01)
            raise OverflowError('an error of our own')
        await trio.sleep(0.05)
        return await super().fetch(*arguments, **options)


@in_virtual_time
async def test_error_in_a_renewal_does_not_end_the_answer_under_way():
    engine = FaultyEngine(2)
    is_answered = False
    async with reserve(engine):
        for _ in range(60):
            await trio.sleep(0.1)
            assert engine.endpoint.held_tokens() == 1000
        is_answered = True
    assert is_answered


@pytest.mark.parametrize('faulty', [3, 4])
@in_virtual_time
async def test_error_in_a_release_leaves_no_other_memory_reserved(faulty):
    engine = FaultyEngine(faulty)
    two = DispatchPlan(
        endpoint=ENGINE, reserved=((ENGINE, 1000), (ENGINE, 500))
    )
    async with reserve(engine, two):
        assert engine.endpoint.held_tokens() == 1500
    await trio.sleep(0.5)
    assert engine.orders == 4
    assert engine.endpoint.held_tokens() in {500, 1000}
