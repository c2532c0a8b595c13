"""A client of the platform's metadata store.

Tables are read as a whole, or by long polls of a change feed, which reply as
soon as a row has changed. The verdict of a failed call says whether the store
may have performed it.
"""

import base64
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.platform.header_names import STORE_ERA_HEADER
from limpetdrift.protocol.bounded import Version
from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.routing_sync import UNKNOWN_ERA
from limpetdrift.state.store_era import EraOrder, StoreEra
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import (
    OK,
    UNAVAILABLE,
    Address,
    Request,
    Response,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

# Timeout of a call, in addition to the long-poll timeout. The store responds
# within a few milliseconds, and a slow one takes about fifty times as long. A
# call that takes longer is given up, to be retried on another connection.
CALL_TIMEOUT_SECONDS = 1.0
# Most rows that one call of ``write`` may change.
MAX_CHANGES = 100
_CHANGELOG_TRUNCATED = 410
_TOO_MANY = 429
_CONDITION_FAILED = 412
_JSON = (('content-type', 'application/json'),)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredRow:
    """A row as read or from the change feed; deleted if ``value`` is None."""

    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class RowPage:
    """Rows as of ``version``, the newest version of the whole store.

    Versions are only comparable within one ``era`` of the store. A
    ``truncated`` page ends before the last row of the table.
    """

    rows: tuple[StoredRow, ...]
    version: int
    era: int = UNKNOWN_ERA
    truncated: bool = False


class _WireRow(msgspec.Struct, kw_only=True):
    key: str
    # Counts the transactions of the whole store; not the version of a schema.
    version: Version = msgspec.field(default=0, name='schemaVersion')
    # In base64.
    text: str = msgspec.field(default='', name='value')
    tombstone: bool = False


class _WirePage(msgspec.Struct, kw_only=True):
    rows: list[_WireRow] = []
    # The newest version of the whole store, counted as in the rows.
    version: Version = msgspec.field(name='schemaVersion')
    truncated: bool = False


class StoreClient:
    """Calls one metadata store; failures are returned, not raised.

    ``era`` follows the store's era. An answer of an earlier one is a failure.
    """

    def __init__(self, *, client: HttpClient, address: Address) -> None:
        self.era = StoreEra()
        self._client = client
        self._address = address

    async def read(
        self,
        table: str,
        *,
        start: str = '',
    ) -> Result[RowPage, Failure]:
        """Return a table's rows in order of their keys, from ``start`` on."""
        query = {'table': table, 'part': ''}
        if start:
            query['from'] = start
        return await self._fetch_page(
            '/-/rows-get', query, CALL_TIMEOUT_SECONDS
        )

    async def poll_changes(
        self,
        table: str,
        after_version: int,
        long_poll_seconds: float,
    ) -> Result[RowPage, Failure]:
        """Return the rows that changed after a version, once there are any.

        After the long-poll timeout the page is empty. A failure with the
        reason ``CONFLICT`` means that the store's changelog doesn't reach back
        to ``after_version``, or that the store came back from a copy without
        this version; the whole table must be read then.
        """
        query = {
            'table': table,
            'afterRevision': str(after_version),
            'waitMs': str(int(long_poll_seconds * 1000)),
        }
        return await self._fetch_page(
            '/-/rows-feed',
            query,
            long_poll_seconds + CALL_TIMEOUT_SECONDS,
        )

    async def put(
        self,
        table: str,
        key: str,
        content: bytes,
    ) -> Result[int, Failure]:
        """Write one row unconditionally; return the store's new version."""
        return await self.write(table, {key: content})

    async def write(
        self,
        table: str,
        contents: Mapping[str, bytes],
        deleted: Iterable[str] = (),
    ) -> Result[int, Failure]:
        """Write and delete rows at once; return the store's new version.

        There may be ``MAX_CHANGES`` of both together.
        """
        return await self._transact(
            {
                'puts': [
                    _describe_row(table, key, content)
                    for key, content in contents.items()
                ],
                'delete': [
                    {'table': table, 'part': '', 'key': key} for key in deleted
                ],
            }
        )

    async def delete(self, table: str, key: str) -> Result[int, Failure]:
        """Delete one row; return the store's new version."""
        return await self.write(table, {}, (key,))

    async def _transact(self, changes: dict) -> Result[int, Failure]:
        result = await self._call(
            Request(
                method='POST',
                path='/-/rows-tx',
                headers=_JSON,
                body=encode(
                    {'expectedRevision': [], 'puts': [], 'delete': []}
                    | changes,
                ),
            ),
            CALL_TIMEOUT_SECONDS,
        )
        return result.bind(
            lambda response: decode(response.body, _WirePage).map(
                lambda page: page.version,
            ),
        )

    async def _fetch_page(
        self,
        path: str,
        query: dict[str, str],
        timeout_seconds: float,
    ) -> Result[RowPage, Failure]:
        result = await self._call(
            Request(method='GET', path=path, query=query),
            timeout_seconds,
        )
        return result.bind(
            lambda response: _decode_page(response, self.era.known)
        )

    async def _call(
        self,
        request: Request,
        timeout_seconds: float,
    ) -> Result[Response, Failure]:
        result = await self._client.fetch(
            self._address,
            request,
            timeout_seconds=timeout_seconds,
        )
        checked = result.bind(
            lambda response: self._check_era(request.path, response)
        ).bind(_check_status)
        outcome = 'answered' if checked.is_ok() else checked.error.reason
        telemetry.count('store_calls', path=request.path, outcome=outcome)
        return checked

    def _check_era(
        self, path: str, response: Response
    ) -> Result[Response, Failure]:
        order = self.era.observe(response.header(STORE_ERA_HEADER), path)
        if order is EraOrder.OLDER:
            return Error(
                may_have_run(Reason.BAD_ANSWER, 'answer from an earlier era')
            )
        return Ok(response)


async def read_all(store: StoreClient, table: str) -> Result[RowPage, Failure]:
    """Return all rows of a table, as of the version of the first page."""
    pages: list[RowPage] = []
    start = ''
    while True:
        result = await store.read(table, start=start)
        if result.is_error():
            return result
        page = result.ok
        if pages and page.era != pages[0].era:
            # The pages read so far are of an earlier era.
            pages.clear()
            start = ''
            continue
        pages.append(page)
        if not page.truncated or not page.rows:
            break
        last = page.rows[-1].key
        start = f'{last}\0'
    return Ok(
        RowPage(
            rows=tuple(row for each in pages for row in each.rows),
            version=pages[0].version,
            era=pages[0].era,
        )
    )


def _describe_row(table: str, key: str, content: bytes) -> dict[str, str]:
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(content).decode('ascii'),
    }


def _check_status(response: Response) -> Result[Response, Failure]:
    status = response.status
    if status == OK:
        return Ok(response)
    if status == _TOO_MANY:
        return Error(not_run(Reason.STORE_RATE, 'store is at its rate'))
    if status == UNAVAILABLE:
        return Error(not_run(Reason.STORE_UNAVAILABLE, 'store turns us away'))
    if status in {_CHANGELOG_TRUNCATED, _CONDITION_FAILED}:
        return Error(not_run(Reason.CONFLICT, f'status {status}'))
    return Error(may_have_run(Reason.BAD_ANSWER, f'status {status}'))


def _decode_page(response: Response, era: int) -> Result[RowPage, Failure]:
    return decode(response.body, _WirePage).map(
        lambda page: RowPage(
            rows=tuple(_decode_row(row) for row in page.rows),
            version=page.version,
            era=era,
            truncated=page.truncated,
        ),
    )


def _decode_row(row: _WireRow) -> StoredRow:
    content: bytes | None = None
    if not row.tombstone:
        try:
            content = base64.b64decode(row.text, validate=True)
        except ValueError:
            # An invalid value is passed on as received; its decoder rejects it.
            content = row.text.encode()
    return StoredRow(key=row.key, version=row.version, value=content)
