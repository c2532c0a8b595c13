"""The table service's adapter: which answers prove that nothing ran."""

import pytest
import trio

from limpetdrift.protocol.table import Check, Put, RowKey, Transaction
from limpetdrift.protocol.table_client import make_table_calls
from limpetdrift.protocol.verdict import Reason, Verdict
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import Server, bound_address, listen

INSERT = Transaction(
    checks=(Check(table='t', key='k', version=0),),
    puts=(Put(table='t', key='k', value={'n': 1}),),
)
CONFLICT = (
    b'{"committed": false, "conflicts": '
    b'[{"table": "t", "key": "k", "version": 3, "value": {"n": 2}}]}'
)
LOCAL = Address(host='127.0.0.1', port=0)


async def transact_against(handler):
    """Return what the adapter makes of one answer of a real server."""
    async with trio.open_nursery() as nursery:
        listeners = await listen(LOCAL)
        nursery.start_soon(Server(handler=handler).serve, listeners)
        calls = make_table_calls(
            HttpClient(),
            bound_address(listeners),
            timeout_seconds=0.2,
        )
        answer = await calls.transact(INSERT)
        nursery.cancel_scope.cancel()
    return answer


def answering(status, body=b'{}'):
    async def handle(exchange):
        await exchange.respond(Response(status=status, body=body))

    return handle


async def never_answer(exchange):
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ('handler', 'verdict', 'reason'),
    [
        (answering(429), Verdict.NOT_RUN, Reason.STORE_RATE),
        (answering(503), Verdict.NOT_RUN, Reason.STORE_UNAVAILABLE),
        (answering(500), Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER),
        (answering(200, b'{"com'), Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER),
        (never_answer, Verdict.MAY_HAVE_RUN, None),
    ],
)
def test_each_failure_says_whether_it_may_have_run(handler, verdict, reason):
    failure = trio.run(transact_against, handler).error
    assert failure.verdict is verdict
    assert reason is None or failure.reason is reason


def test_a_conflict_is_an_outcome_with_the_rows_in_the_way():
    outcome = trio.run(transact_against, answering(409, CONFLICT)).ok
    assert not outcome.committed
    assert outcome.conflicts[0].value == {'n': 2}


def test_a_refused_connection_proves_not_run():
    async def call_nobody():
        listeners = await listen(LOCAL)
        address = bound_address(listeners)
        await listeners[0].aclose()
        return await make_table_calls(HttpClient(), address).read(
            (RowKey(table='t', key='k'),),
        )

    failure = trio.run(call_nobody).error
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.reason is Reason.CONNECT_FAILED
