"""Answers for whose bodies the process has no memory left."""

from dataclasses import replace

import pytest
import trio

from forward_harness import FakeExchange, ForwardHarness, make_route
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.protocol.route_table import RequestKind
from limpetdrift.transport.connection_account import (
    CONNECTION_BYTES,
    AccountLimits,
    ConnectionAccount,
)
from limpetdrift.transport.holding import AnswerMemory, Holding
from limpetdrift.transport.shedding import (
    SLOW_WRITE_SECONDS,
    ConnectionUsage,
    Phase,
    choose_to_shed,
)
from virtual_time import in_virtual_time

CHUNK = b'x' * 16_000
CHUNKS = 20
MEMORY_BYTES = 1_000_000


class LimitedExchange(FakeExchange):
    """The response to a caller of an entry with a small account."""

    def make_answer_memory(self) -> AnswerMemory:
        limits = AccountLimits(memory_bytes=MEMORY_BYTES)
        self.account = ConnectionAccount(limits=limits)
        self.holding = Holding(account=self.account, drop=lambda: None)
        self.holding.open()
        self.account.reserve(self.holding, self.used_bytes)
        self.memory = AnswerMemory(holding=self.holding)
        return self.memory


async def relay(*, used_bytes: int, **changes):
    """Relay a long answer; return the exchange and the sizes of its reads."""
    sizes = []
    held = []
    exchange = LimitedExchange()
    exchange.used_bytes = used_bytes

    async def body():
        for _ in range(CHUNKS):
            held.append(exchange.holding.kept_bytes)
            yield CHUNK

    answer = EndpointResponse(
        status=200,
        headers=(('content-length', str(len(CHUNK) * CHUNKS)),),
        chunks=body,
        expect_bytes=sizes.append,
    )
    harness = ForwardHarness(replace(answer, **changes))
    await harness.serve(make_route(kind=RequestKind.IDEMPOTENT), exchange)
    return exchange, sizes, held


@in_virtual_time
async def test_answer_with_room_is_kept_until_it_is_whole():
    exchange, _, held = await relay(used_bytes=0)
    assert exchange.response.body == CHUNK * CHUNKS
    assert max(held) >= len(CHUNK) * (CHUNKS - 1)
    assert exchange.account.used_bytes == CONNECTION_BYTES


@in_virtual_time
async def test_answer_without_room_is_passed_on_as_it_arrives():
    """Guards against answers of slow readers that fill the memory (review/8).

    The rest is read in small parts, each once the caller has the one before.
    """
    exchange, sizes, held = await relay(used_bytes=600_000)
    assert exchange.response is None
    assert exchange.payload == CHUNK * CHUNKS
    assert exchange.finished
    assert max(held) <= MEMORY_BYTES - 600_000
    assert sizes[-1] <= len(CHUNK) + 1000
    assert exchange.holding.kept_bytes == 0


@in_virtual_time
async def test_failure_without_room_is_not_passed_on_in_part():
    exchange, _, _ = await relay(used_bytes=600_000, status=500)
    assert not exchange.payload
    assert exchange.response.status >= 500
    assert exchange.holding.kept_bytes == 0


def usage(phase: Phase, *, since: float, held_bytes: int = CONNECTION_BYTES):
    return ConnectionUsage(
        phase=phase, held_bytes=held_bytes, progress_at=9.9, phase_since=since
    )


def test_slow_reader_makes_room_for_a_new_connection_only():
    """Guards against slow readers that shut a ready machine (review/9)."""
    now = 10.0
    usages = [
        ('fast', usage(Phase.ANSWERING, since=now - SLOW_WRITE_SECONDS / 2)),
        ('slow', usage(Phase.ANSWERING, since=now - SLOW_WRITE_SECONDS)),
        ('slowest', usage(Phase.ANSWERING, since=1.0)),
        ('serving', usage(Phase.SERVING, since=1.0)),
    ]
    chosen = [
        choose_to_shed(
            usages, requested_bytes=1, closes_idle=closes_idle, now=now
        )
        for closes_idle in (True, False)
    ]
    assert chosen == ['slowest', None]


@pytest.mark.parametrize('is_shed', [False, True])
def test_memory_of_an_answer_is_released_once(is_shed):
    async def main():
        account = ConnectionAccount(
            limits=AccountLimits(memory_bytes=MEMORY_BYTES)
        )
        holding = Holding(account=account, drop=lambda: None)
        assert holding.open()
        memory = AnswerMemory(holding=holding)
        assert memory.reserve(200_000)
        assert memory.reserve(100_000)
        assert account.used_bytes == CONNECTION_BYTES + 200_000
        assert not memory.reserve(2 * MEMORY_BYTES)
        if is_shed:
            holding.shed()
            account.close(holding, holding.usage().held_bytes)
        memory.release()
        memory.release()
        holding.leave()
        assert not account.used_bytes

    trio.run(main)
