"""Tests of the table client: which answers prove that a call had no effect."""

import pytest
import trio

from limpetdrift.protocol.table import Check, Put, RowKey, Transaction
from limpetdrift.protocol.table_client import make_table_calls
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.transport.server import Server, bound_address, listen
from limpetdrift.verdict import Reason, Verdict

INSERT = Transaction(
    checks=(Check(table='t', key='k', version=0),),
    puts=(Put(table='t', key='k', value={'n': 1}),),
)
CONFLICT_BODY = (
    b'{"committed": false, "conflicts": '
    b'[{"table": "t", "key": "k", "version": 3, "value": {"n": 2}}]}'
)
LOCALHOST = Address(host='127.0.0.1', port=0)


async def transact_with_server(handler):
    """Return the result of a transaction for one answer of a real server."""
    async with trio.open_nursery() as nursery:
        listeners = await listen(LOCALHOST)
        nursery.start_soon(Server(handler=handler).serve, listeners)
        calls = make_table_calls(
            HttpClient(),
            bound_address(listeners),
            timeout_seconds=0.2,
        )
        answer = await calls.transact(INSERT)
        nursery.cancel_scope.cancel()
    return answer


def answer_with(status, body=b'{}'):
    async def handle(exchange):
        await exchange.respond(Response(status=status, body=body))

    return handle


async def never_answer(exchange):
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ('handler', 'verdict', 'reason'),
    [
        (answer_with(429), Verdict.NOT_RUN, Reason.STORE_RATE),
        (answer_with(503), Verdict.NOT_RUN, Reason.STORE_UNAVAILABLE),
        (answer_with(500), Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER),
        (answer_with(200, b'{"com'), Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER),
        (never_answer, Verdict.MAY_HAVE_RUN, None),
    ],
)
def test_failed_transaction_has_the_verdict_that_its_answer_proves(
    handler, verdict, reason
):
    failure = trio.run(transact_with_server, handler).error
    assert failure.verdict is verdict
    assert reason is None or failure.reason is reason


def test_conflict_returns_an_uncommitted_outcome_with_conflicting_rows():
    outcome = trio.run(transact_with_server, answer_with(409, CONFLICT_BODY)).ok
    assert not outcome.committed
    assert outcome.conflicts[0].value == {'n': 2}


def test_refused_connection_fails_with_verdict_not_run():
    async def call_closed_port():
        listeners = await listen(LOCALHOST)
        address = bound_address(listeners)
        await listeners[0].aclose()
        return await make_table_calls(HttpClient(), address).read(
            (RowKey(table='t', key='k'),),
        )

    failure = trio.run(call_closed_port).error
    assert failure.verdict is Verdict.NOT_RUN
    assert failure.reason is Reason.CONNECT_FAILED
