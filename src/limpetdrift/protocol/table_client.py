"""Calls the table service over HTTP, by the functions of ``TableCalls``.

A refused connection and the statuses 400, 429 and 503 prove that a call had no
effect. After a timeout, a broken connection or an unreadable answer the
outcome is unknown.

>>> calls = make_table_calls(client, parse_address('127.0.0.1:9400'))
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import TypeVar

from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.table import (
    Outcome,
    Page,
    Row,
    RowKey,
    Scan,
    TableCalls,
    Transaction,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

Reply = TypeVar('Reply')

CALL_TIMEOUT_SECONDS = 2.0
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_REFUSALS = MappingProxyType(
    {
        _BAD_REQUEST: Reason.BAD_REQUEST,
        _TOO_MANY_REQUESTS: Reason.STORE_RATE,
        _UNAVAILABLE: Reason.STORE_UNAVAILABLE,
    },
)


@dataclass(frozen=True, kw_only=True, slots=True)
class _BatchRequest:
    items: tuple[Transaction, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _BatchReply:
    outcomes: tuple[Outcome, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _ReadRequest:
    keys: tuple[RowKey, ...]
    stale_ok: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _ReadReply:
    rows: tuple[Row, ...]


def make_table_calls(
    client: HttpClient,
    address: Address,
    *,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> TableCalls:
    """Return the calls to the table service at an address over HTTP."""

    async def post(
        path: str,
        message: object,
        reply: type[Reply],
    ) -> Result[Reply, Failure]:
        answer = await client.fetch(
            address,
            json_request('POST', path, message),
            timeout_seconds=timeout_seconds,
        )
        return answer.bind(lambda response: _decode_answer(response, reply))

    async def transact(transaction: Transaction) -> Result[Outcome, Failure]:
        return await post('/v1/transactions', transaction, Outcome)

    async def batch(
        transactions: tuple[Transaction, ...],
    ) -> Result[tuple[Outcome, ...], Failure]:
        message = _BatchRequest(items=transactions)
        answer = await post('/v1/batches', message, _BatchReply)
        return answer.bind(
            lambda reply: _check_count(reply.outcomes, len(transactions)),
        )

    async def read(
        keys: tuple[RowKey, ...],
    ) -> Result[tuple[Row, ...], Failure]:
        answer = await post('/v1/reads', _ReadRequest(keys=keys), _ReadReply)
        return answer.bind(lambda reply: _check_count(reply.rows, len(keys)))

    async def scan(request: Scan) -> Result[Page, Failure]:
        return await post('/v1/scans', request, Page)

    return TableCalls(transact=transact, batch=batch, read=read, scan=scan)


def read_refusal(response: Response) -> Failure:
    """Return the failure for an answer with an error status.

    Its verdict is ``NOT_RUN`` for the statuses 400, 429 and 503, and
    ``MAY_HAVE_RUN`` for any other.
    """
    reason = _REFUSALS.get(response.status)
    if reason is None:
        return may_have_run(Reason.BAD_ANSWER, f'status {response.status}')
    return not_run(
        reason,
        f'status {response.status}',
        retry_after_seconds=_read_retry_after(response),
    )


def _decode_answer(
    response: Response,
    reply: type[Reply],
) -> Result[Reply, Failure]:
    if response.status not in {_OK, _CONFLICT}:
        return Error(read_refusal(response))
    return decode(response.body, reply).map_error(
        lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
    )


def _read_retry_after(response: Response) -> float | None:
    try:
        return float(response.header('retry-after'))
    except ValueError:
        return None


def _check_count(
    answers: tuple[Reply, ...],
    expected: int,
) -> Result[tuple[Reply, ...], Failure]:
    if len(answers) == expected:
        return Ok(answers)
    return Error(may_have_run(Reason.BAD_ANSWER, 'wrong number of answers'))
