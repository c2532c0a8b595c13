"""A stand-in for the metadata store of the users' platform, in memory.

It implements the part of the published protocol that the entries use: reads
of tables, the change feed and unconditional writes. A fault can fail every
call, or truncate the changelog. The store can also come back from an older
copy: the rows and versions are then those of the copy, and its era has risen.

>>> store = StandinStore()
>>> store.put('op', 'config', {'version': 1})
>>> copy = store.rows.take_copy()
>>> store.put('op', 'config', {'version': 2})
>>> store.rows.return_to(copy)
>>> store.rows.era, store.rows.version
(2, 2)
"""

import base64
from dataclasses import replace

import msgspec
import trio

from limpet_standins.versioned_rows import RowsCopy, VersionedRows
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange, Server

_GONE = 410
_UNAVAILABLE = 503
_MILLISECONDS = 1000.0


class StandinStore:
    """The rows, their changelog, and the faults that are injected.

    While ``failing_status`` is set, every call gets it as HTTP status. Every
    response names the era of the rows, or ``era_text`` if that is set; an
    empty text leaves the header out.
    """

    def __init__(self) -> None:
        self.rows = VersionedRows()
        self.failing_status: int | None = None
        self.era_text: str | None = None

    def make_server(self) -> Server:
        """Return an HTTP server with the routes of the store."""
        return Server(handler=self.make_routes().handle)

    def make_routes(self) -> Routes:
        """Return the routes of the store."""
        routes = Routes()
        routes.add(
            'GET', '/-/rows-get', self._with_failing_status(self._read_table)
        )
        routes.add(
            'GET', '/-/rows-feed', self._with_failing_status(self._poll_changes)
        )
        routes.add(
            'POST', '/-/rows-tx', self._with_failing_status(self._write_rows)
        )
        return routes

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row with JSON content, as operators and endpoints do."""
        payload = msgspec.json.encode(content)
        self.rows.write(table, key, base64.b64encode(payload).decode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row, if it exists."""
        self.rows.write(table, key, None)

    def truncate_changelog(self) -> None:
        """Make polls from revisions before the current one get 410."""
        self.rows.truncate()

    async def restore(self, copy: RowsCopy, *, away_seconds: float) -> None:
        """Be unavailable for a time, then go on from a copy.

        Open long polls end at once.
        """
        self.failing_status = _UNAVAILABLE
        self.rows.notify()
        await trio.sleep(away_seconds)
        self.rows.return_to(copy)
        self.failing_status = None

    def _with_failing_status(self, handler):
        async def handle(exchange: Exchange, parameters: Parameters) -> None:
            if self.failing_status is None:
                response = await handler(exchange)
            else:
                response = Response(status=self.failing_status)
            await exchange.respond(self._with_era(response))

        return handle

    def _with_era(self, response: Response) -> Response:
        text = str(self.rows.era) if self.era_text is None else self.era_text
        if not text:
            return response
        headers = (*response.headers, ('store-era', text))
        return replace(response, headers=headers)

    async def _read_table(self, exchange: Exchange) -> Response:
        query = exchange.request.query
        return self._rows_response(
            self.rows.read(query.get('table', ''), query.get('from', ''))
        )

    async def _poll_changes(self, exchange: Exchange) -> Response:
        query = exchange.request.query
        table = query.get('table', '')
        after = int(query.get('afterRevision', '0'))
        wait_seconds = float(query.get('waitMs', '0')) / _MILLISECONDS
        era = self.rows.era
        with trio.move_on_after(wait_seconds):
            while not self.rows.changes_after(table, after):
                has_ended = self.failing_status or self.rows.era != era
                if has_ended or self.rows.lacks(after):
                    break
                await self.rows.changed.wait()
        if self.rows.lacks(after):
            return Response(status=_GONE)
        return self._rows_response(self.rows.changes_after(table, after))

    async def _write_rows(self, exchange: Exchange) -> Response:
        writes = msgspec.json.decode(exchange.request.body)
        for row in writes.get('puts', ()):
            self.rows.write(row['table'], row['key'], row['value'])
        for deleted in writes.get('delete', ()):
            self.delete(deleted['table'], deleted['key'])
        return self._rows_response(())

    def _rows_response(self, rows) -> Response:
        return json_response(
            {
                'rows': [
                    {
                        'key': row.key,
                        'value': row.text,
                        'schemaVersion': row.version,
                        'tombstone': row.deleted,
                    }
                    for row in rows
                ],
                'schemaVersion': self.rows.version,
                'truncated': False,
            },
        )
