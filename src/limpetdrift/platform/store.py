"""The client of the platform's metadata store.

Rows are read whole, or followed by a feed that answers as soon as a row has
changed. Every call says in its failure whether it may have been performed.
"""

import base64
import binascii
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    OK,
    UNAVAILABLE,
    Address,
    Request,
    Response,
)

# The store answers in a few milliseconds; a slow one takes some fifty times
# as long. What takes longer is asked anew on another connection.
CALL_SECONDS = 1.0
_HISTORY_GONE = 410
_TOO_MANY = 429
_CONDITION_FAILED = 412
_JSON = (('content-type', 'application/json'),)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row as read or fed; ``value`` is ``None`` where it was dropped."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RowPage:
    """Rows as of ``version``, the newest version of the whole store."""

    rows: tuple[StoredRow, ...]
    version: int
    truncated: bool = False


class _WireRow(msgspec.Struct, kw_only=True):
    key: str
    # Counts all transactions of the store, not changes of this row's format.
    version: int = msgspec.field(default=0, name='schemaVersion')
    text: str = msgspec.field(default='', name='value')
    tombstone: bool = False


class _WirePage(msgspec.Struct, kw_only=True):
    rows: list[_WireRow] = []
    version: int = msgspec.field(name='schemaVersion')
    truncated: bool = False


class StoreClient:
    """Calls to one store."""

    def __init__(self, *, client: HttpClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def read(
        self,
        table: str,
        *,
        start: str = '',
    ) -> Result[RowPage, Failure]:
        """Return a table's rows in order of their keys, from one on."""
        query = {'table': table, 'part': ''}
        if start:
            query['from'] = start
        return await self._page('/-/rows-get', query, CALL_SECONDS)

    async def poll_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
    ) -> Result[RowPage, Failure]:
        """Return the rows that changed after a version, once there are any.

        After the wait the page is empty. A failure with ``CONFLICT`` says
        that the store no longer knows what happened since; read anew then.
        """
        query = {
            'table': table,
            'afterRevision': str(after),
            'waitMs': str(int(wait_seconds * 1000)),
        }
        return await self._page(
            '/-/rows-feed',
            query,
            wait_seconds + CALL_SECONDS,
        )

    async def put(
        self,
        table: str,
        key: str,
        content: bytes,
    ) -> Result[int, Failure]:
        """Write one row whatever it held; return the store's version."""
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode('ascii'),
        }
        return await self._transact({'puts': [row]})

    async def delete(self, table: str, key: str) -> Result[int, Failure]:
        """Drop one row; return the store's version."""
        return await self._transact(
            {'delete': [{'table': table, 'part': '', 'key': key}]},
        )

    async def _transact(self, entries: dict) -> Result[int, Failure]:
        answer = await self._call(
            Request(
                method='POST',
                path='/-/rows-tx',
                headers=_JSON,
                body=encode(
                    {'expectedRevision': [], 'puts': [], 'delete': []}
                    | entries,
                ),
            ),
            CALL_SECONDS,
        )
        return answer.bind(
            lambda response: decode(response.body, _WirePage).map(
                lambda page: page.version,
            ),
        )

    async def _page(
        self,
        path: str,
        query: dict[str, str],
        timeout_seconds: float,
    ) -> Result[RowPage, Failure]:
        answer = await self._call(
            Request(method='GET', path=path, query=query),
            timeout_seconds,
        )
        return answer.bind(_read_page)

    async def _call(
        self,
        request: Request,
        timeout_seconds: float,
    ) -> Result[Response, Failure]:
        answer = await self._client.fetch(
            self._address,
            request,
            timeout_seconds=timeout_seconds,
        )
        checked = answer.bind(_check_status)
        outcome = 'answered' if checked.is_ok() else checked.error.reason
        telemetry.count('store_calls', path=request.path, outcome=outcome)
        return checked


def _check_status(response: Response) -> Result[Response, Failure]:
    status = response.status
    if status == OK:
        return Ok(response)
    if status == _TOO_MANY:
        return Error(not_run(Reason.STORE_RATE, 'store is at its rate'))
    if status == UNAVAILABLE:
        return Error(not_run(Reason.STORE_UNAVAILABLE, 'store turns us away'))
    if status in {_HISTORY_GONE, _CONDITION_FAILED}:
        return Error(not_run(Reason.CONFLICT, f'status {status}'))
    return Error(may_have_run(Reason.BAD_ANSWER, f'status {status}'))


def _read_page(response: Response) -> Result[RowPage, Failure]:
    return decode(response.body, _WirePage).map(
        lambda page: RowPage(
            rows=tuple(_read_row(row) for row in page.rows),
            version=page.version,
            truncated=page.truncated,
        ),
    )


def _read_row(row: _WireRow) -> StoredRow:
    content: bytes | None = None
    if not row.tombstone:
        try:
            content = base64.b64decode(row.text, validate=True)
        except binascii.Error:
            # An unreadable value is kept as it came; its reader rejects it.
            content = row.text.encode()
    return StoredRow(key=row.key, version=row.version, value=content)
