"""Connections stay within their account, and give way in a fixed order."""

from contextlib import suppress
from functools import partial

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from trio.testing import wait_all_tasks_blocked

from limpetdrift.transport.connection import ServerLimits
from limpetdrift.transport.connection_account import (
    CONNECTION_BYTES,
    AccountLimits,
    ConnectionAccount,
    make_accounts,
)
from limpetdrift.transport.messages import Response
from limpetdrift.transport.shedding import (
    LARGER_BY_BYTES,
    STALL_SECONDS,
    ConnectionUsage,
    Phase,
    choose_to_shed,
)
from server_harness import HEAD, ServerHarness, read_all
from virtual_time import in_virtual_time

LARGE_BYTES = 300_000
LIMITS = ServerLimits(body_bytes=1_000_000)
NOW = 100.0


def head_of_body(length):
    return HEAD[:-2] + b'Content-Length: %d\r\n\r\n' % length


def usage(phase, held_bytes=0, quiet_seconds=0.0):
    return ConnectionUsage(
        phase=phase,
        held_bytes=held_bytes,
        progress_at=NOW - quiet_seconds,
    )


STALLED = usage(Phase.RECEIVING, 10, STALL_SECONDS)
LARGER = usage(Phase.RECEIVING, 600 + LARGER_BY_BYTES)
IDLE = usage(Phase.IDLE, 0, 5.0)
LONGER_IDLE = usage(Phase.IDLE, 0, 6.0)
SERVING = usage(Phase.SERVING, 9000, 50.0)


@pytest.mark.parametrize(
    ('usages', 'closes_idle', 'chosen'),
    [
        ((SERVING, LARGER, IDLE, STALLED), True, 3),
        ((SERVING, LARGER, IDLE, LONGER_IDLE), True, 3),
        ((SERVING, LARGER, IDLE), False, 1),
        ((SERVING, IDLE), False, None),
        ((SERVING,), True, None),
        ((usage(Phase.IDLE),), True, None),
        ((usage(Phase.RECEIVING, 500 + LARGER_BY_BYTES),), False, None),
        ((usage(Phase.RECEIVING, 501 + LARGER_BY_BYTES), LARGER), False, 1),
    ],
)
def test_connections_give_way_in_order(usages, closes_idle, chosen):
    found = choose_to_shed(
        enumerate(usages), requested_bytes=500, closes_idle=closes_idle, now=NOW
    )
    assert found == chosen


@given(
    st.lists(
        st.builds(
            usage,
            st.sampled_from(Phase),
            st.integers(0, 1000),
            st.floats(0, 10),
        )
    ),
    st.booleans(),
)
def test_request_that_is_served_never_gives_way(usages, closes_idle):
    found = choose_to_shed(
        enumerate(usages), requested_bytes=0, closes_idle=closes_idle, now=NOW
    )
    assert found is None or usages[found].phase is not Phase.SERVING


class AccountSite:
    """A server with a small account, whose handler waits to be released."""

    def __init__(self, nursery, *, memory_bytes=680_000, connections=100):
        self.account = ConnectionAccount(
            limits=AccountLimits(
                memory_bytes=memory_bytes, connections=connections
            )
        )
        self.served = []
        self.released = trio.Event()
        harness = ServerHarness(
            nursery=nursery,
            handler=self.answer,
            limits=LIMITS,
            account=self.account,
        )
        self.connect = harness.connect

    async def answer(self, exchange):
        self.served.append(len(exchange.request.body))
        await self.released.wait()
        await exchange.respond(Response(status=200, body=b'ok'))

    async def send(self, *parts):
        stream = self.connect()
        for part in parts:
            await stream.send_all(part)
        await wait_all_tasks_blocked()
        return stream


def on_site(body, **limits):
    """Run a test on a site, which has to be empty at its end."""

    async def run():
        async with trio.open_nursery() as nursery:
            site = AccountSite(nursery, **limits)
            await body(site)
            site.released.set()
            nursery.cancel_scope.cancel()
        assert site.account.used_bytes == 0
        assert site.account.connections == 0

    in_virtual_time(run)()


def test_stalled_body_makes_room_for_another_one():
    async def body(site):
        first = await site.send(head_of_body(LARGE_BYTES), b'z' * 250_000)
        await trio.sleep(STALL_SECONDS)
        await site.send(head_of_body(LARGE_BYTES), b'z' * LARGE_BYTES)
        answer = await read_all(first)
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 2' in answer.lower()
        assert site.served == [LARGE_BYTES]

    on_site(body)


def test_body_that_trickles_makes_room_as_a_stalled_one():
    async def body(site):
        first = await site.send(head_of_body(LARGE_BYTES), b'z' * 100_000)
        for _ in range(5):
            await trio.sleep(STALL_SECONDS / 4)
            await first.send_all(b'z')
        await site.send(head_of_body(LARGE_BYTES), b'z' * LARGE_BYTES)
        assert (await read_all(first)).startswith(b'HTTP/1.1 503')
        assert site.served == [LARGE_BYTES]

    on_site(body)


def test_body_that_waited_for_its_turn_does_not_shed_itself():
    async def body(site):
        stream = await site.send(head_of_body(LARGE_BYTES), b'z' * 200_000)
        other = await site.send(head_of_body(LARGE_BYTES), b'z' * 190_000)
        async with site.account.parse_turn:
            await stream.send_all(b'z' * 100)
            await other.send_all(b'z' * 100)
            await trio.sleep(2 * STALL_SECONDS)
        await wait_all_tasks_blocked()
        await stream.send_all(b'z' * (LARGE_BYTES - 200_100))
        await wait_all_tasks_blocked()
        assert site.served == [LARGE_BYTES]

    on_site(body, memory_bytes=940_000)


def test_connections_close_while_the_account_is_crowded():
    async def body(site):
        site.released.set()
        streams = [await site.send(head_of_body(5)) for _ in range(3)]
        refused = await site.send()
        assert await read_all(refused) == b''
        await streams[0].send_all(b'hello' + HEAD)
        answer = await read_all(streams[0])
        assert b'connection: close' in answer.lower()
        assert answer.count(b'HTTP/1.1') == 1
        assert site.served == [5]
        assert await (await site.send(HEAD)).receive_some(8) == b'HTTP/1.1'

    on_site(body, connections=3)


def test_body_that_asks_is_refused_beside_smaller_ones():
    async def body(site):
        await site.send(head_of_body(LARGE_BYTES), b'z' * LARGE_BYTES)
        late = await site.send(head_of_body(LARGE_BYTES), b'z' * 250_000)
        assert (await read_all(late)).startswith(b'HTTP/1.1 503')
        assert site.served == [LARGE_BYTES]

    on_site(body)


def test_ordinary_request_is_served_beside_large_ones():
    async def body(site):
        for _ in range(4):
            await site.send(head_of_body(LARGE_BYTES), b'z' * 100_000)
        for _ in range(3):
            await site.send(head_of_body(5), b'hello')
        assert site.served == [5, 5, 5]

    on_site(body)


def test_ordinary_request_is_served_while_large_ones_fill_their_share():
    async def body(site):
        for _ in range(4):
            with suppress(trio.BrokenResourceError):
                await site.send(head_of_body(150_000), b'z' * 150_000)
        await site.send(head_of_body(5), b'hello')
        assert site.served == [150_000, 150_000, 5]

    on_site(body)


def test_idle_connections_make_room_for_the_share_of_bodies():
    async def body(site):
        idle = [await site.send() for _ in range(9)]
        await trio.sleep(1.5)
        await site.send(head_of_body(100_000), b'z' * 100_000)
        assert site.served == [100_000]
        assert await read_all(idle[0]) == b''
        assert site.account.connections < 9

    on_site(body)


def test_body_larger_than_the_account_is_refused_at_its_head():
    async def body(site):
        stream = await site.send(head_of_body(600_000))
        assert (await read_all(stream)).startswith(b'HTTP/1.1 413')

    on_site(body)


def test_idle_connection_gives_way_to_a_new_one():
    async def body(site):
        idle = [await site.send() for _ in range(3)]
        await trio.sleep(1.5)
        await site.send(HEAD)
        assert await read_all(idle[0]) == b''
        assert site.account.connections == 3

    on_site(body, connections=3)


def test_connection_beyond_the_served_ones_is_closed():
    async def body(site):
        for _ in range(3):
            await site.send(HEAD)
        assert await read_all(await site.send()) == b''
        assert site.served == [0, 0, 0]

    on_site(body, connections=3)


def test_rest_of_a_shed_request_is_no_request():
    async def body(site):
        first = await site.send(head_of_body(LARGE_BYTES), b'z' * 250_000)
        await trio.sleep(STALL_SECONDS)
        # Sheds the first, whose next bytes look like a request.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                site.send, head_of_body(LARGE_BYTES), b'z' * LARGE_BYTES
            )
            nursery.start_soon(partial(_send_late, first, HEAD))
        await wait_all_tasks_blocked()
        assert site.served == [LARGE_BYTES]

    on_site(body)


async def _send_late(stream, payload):
    try:
        await stream.send_all(payload)
    except trio.BrokenResourceError:
        return


def test_body_that_trickles_is_ended():
    async def body(site):
        stream = await site.send(head_of_body(1000))
        started_at = trio.current_time()
        with pytest.raises(trio.BrokenResourceError):
            while trio.current_time() - started_at < 60:
                await stream.send_all(b'z')
                await trio.sleep(9)
        answer = await read_all(stream)
        assert answer.startswith(b'HTTP/1.1 408')
        assert site.served == []

    on_site(body)


def test_slow_body_over_the_least_rate_is_served():
    async def body(site):
        stream = await site.send(head_of_body(LARGE_BYTES))
        for _ in range(30):
            await stream.send_all(b'z' * (LARGE_BYTES // 30))
            await trio.sleep(2)
        assert site.served == [LARGE_BYTES]

    on_site(body)


@given(
    st.lists(
        st.tuples(st.integers(0, 400_000), st.floats(0, 1), st.floats(0, 4)),
        max_size=12,
    )
)
def test_account_is_kept_and_empty_at_the_end(callers):
    async def body(site):
        for length, share, pause_seconds in callers:
            sent = b'z' * int(length * share)
            # Refused while the account is full of requests that are served.
            with suppress(trio.BrokenResourceError):
                await site.send(head_of_body(length), sent)
            assert site.account.used_bytes <= 680_000
            await trio.sleep(pause_seconds)

    on_site(body)


@pytest.mark.parametrize('memory_mb', [200, 300, 433, 552])
@pytest.mark.parametrize('descriptors', [4100, 4200, 8192, 10_250])
def test_machines_of_the_users_have_room_for_their_callers(
    memory_mb, descriptors
):
    accounts = make_accounts(
        memory_bytes=memory_mb * 1_000_000, descriptors=descriptors
    )
    total_bytes = 0
    for account in (accounts.callers, accounts.internal):
        limits = account.limits
        assert limits.memory_bytes >= 600 * CONNECTION_BYTES
        assert limits.connections >= 1400
        assert limits.largest_body > 6 * 4_194_304
        total_bytes += limits.memory_bytes
    assert total_bytes < 0.6 * memory_mb * 1_000_000
