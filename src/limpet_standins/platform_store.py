"""The users' platform's metadata store, in memory, with faults.

It speaks as much of the published protocol as the entry uses: rows, the feed
of changes and unconditional writes.
"""

import base64
from dataclasses import dataclass

import msgspec
import trio

from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange, Server

_GONE = 410
_MILLISECONDS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Row:
    table: str
    key: str
    version: int
    text: str
    dropped: bool = False


class StandinStore:
    """The rows, their history, and the status that every call gets."""

    def __init__(self) -> None:
        self.failing_status: int | None = None
        self._rows: dict[tuple[str, str], _Row] = {}
        self._history: list[_Row] = []
        self._version = 1
        self._oldest = 0
        self._changed = trio.Event()

    def make_server(self) -> Server:
        """Return the server of the store's calls."""
        routes = Routes()
        routes.add('GET', '/-/rows-get', self._guard(self._get))
        routes.add('GET', '/-/rows-feed', self._guard(self._feed))
        routes.add('POST', '/-/rows-tx', self._guard(self._write))
        return Server(handler=routes.handle)

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row of JSON, as operators and endpoints do."""
        payload = msgspec.json.encode(content)
        self._enter(table, key, base64.b64encode(payload).decode())

    def drop(self, table: str, key: str) -> None:
        """Drop a row."""
        if (table, key) in self._rows:
            self._enter(table, key, None)

    def truncate_changelog(self) -> None:
        """Let every feed begin anew."""
        self._oldest = self._version
        self._tell()

    def _enter(self, table: str, key: str, text: str | None) -> None:
        self._version += 1
        row = _Row(
            table=table,
            key=key,
            version=self._version,
            text=text or '',
            dropped=text is None,
        )
        self._history.append(row)
        if row.dropped:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _guard(self, handler):
        async def handle(exchange: Exchange, parameters: Parameters) -> None:
            if self.failing_status is not None:
                await exchange.respond(Response(status=self.failing_status))
                return
            await handler(exchange)

        return handle

    async def _get(self, exchange: Exchange) -> None:
        table = exchange.request.query.get('table', '')
        start = exchange.request.query.get('from', '')
        rows = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= start
        ]
        await exchange.respond(self._page(rows))

    async def _feed(self, exchange: Exchange) -> None:
        query = exchange.request.query
        after = int(query.get('afterRevision', '0'))
        wait = float(query.get('waitMs', '0')) / _MILLISECONDS
        with trio.move_on_after(wait):
            while not self._news(query.get('table', ''), after):
                if after < self._oldest or self.failing_status:
                    break
                await self._changed.wait()
        if after < self._oldest:
            await exchange.respond(Response(status=_GONE))
            return
        news = self._news(query.get('table', ''), after)
        await exchange.respond(self._page(news))

    async def _write(self, exchange: Exchange) -> None:
        entries = msgspec.json.decode(exchange.request.body)
        for row in entries.get('puts', ()):
            self._enter(row['table'], row['key'], row['value'])
        for dropped in entries.get('delete', ()):
            self.drop(dropped['table'], dropped['key'])
        await exchange.respond(self._page(()))

    def _news(self, table: str, after: int) -> list[_Row]:
        return [
            row
            for row in self._history
            if row.table == table and row.version > after
        ]

    def _page(self, rows) -> Response:
        return json_response(
            {
                'rows': [
                    {
                        'key': row.key,
                        'value': row.text,
                        'schemaVersion': row.version,
                        'tombstone': row.dropped,
                    }
                    for row in rows
                ],
                'schemaVersion': self._version,
                'truncated': False,
            },
        )
