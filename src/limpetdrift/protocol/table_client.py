"""The table service over HTTP, as the four functions of ``TableCalls``.

A refused connection, 429 and 503 prove that a call had no effect. A timeout,
a broken connection or an answer that can't be read leaves it unknown.

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
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response

Reply = TypeVar('Reply')

CALL_TIMEOUT_SECONDS = 2.0
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_TOO_MANY = 429
_UNAVAILABLE = 503
_REFUSALS = MappingProxyType(
    {
        _BAD_REQUEST: Reason.BAD_REQUEST,
        _TOO_MANY: Reason.STORE_RATE,
        _UNAVAILABLE: Reason.STORE_UNAVAILABLE,
    },
)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Batch:
    items: tuple[Transaction, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Outcomes:
    outcomes: tuple[Outcome, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reads:
    keys: tuple[RowKey, ...]
    stale_ok: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Rows:
    rows: tuple[Row, ...]


def make_table_calls(
    client: HttpClient,
    address: Address,
    *,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> TableCalls:
    """Return the calls to the table service at an address."""

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
        return answer.bind(lambda response: _read_answer(response, reply))

    async def transact(transaction: Transaction) -> Result[Outcome, Failure]:
        return await post('/v1/transactions', transaction, Outcome)

    async def batch(
        transactions: tuple[Transaction, ...],
    ) -> Result[tuple[Outcome, ...], Failure]:
        message = _Batch(items=transactions)
        answer = await post('/v1/batches', message, _Outcomes)
        return answer.bind(
            lambda reply: _whole(reply.outcomes, len(transactions)),
        )

    async def read(
        keys: tuple[RowKey, ...],
    ) -> Result[tuple[Row, ...], Failure]:
        answer = await post('/v1/reads', _Reads(keys=keys), _Rows)
        return answer.bind(lambda reply: _whole(reply.rows, len(keys)))

    async def scan(wanted: Scan) -> Result[Page, Failure]:
        return await post('/v1/scans', wanted, Page)

    return TableCalls(transact=transact, batch=batch, read=read, scan=scan)


def read_refusal(response: Response) -> Failure:
    """Return the failure that an unexpected status stands for."""
    reason = _REFUSALS.get(response.status)
    if reason is None:
        return may_have_run(Reason.BAD_ANSWER, f'status {response.status}')
    return not_run(
        reason,
        f'status {response.status}',
        retry_after_seconds=_read_retry_after(response),
    )


def _read_answer(
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


def _whole(
    answers: tuple[Reply, ...],
    expected: int,
) -> Result[tuple[Reply, ...], Failure]:
    if len(answers) == expected:
        return Ok(answers)
    return Error(may_have_run(Reason.BAD_ANSWER, 'wrong number of answers'))
