"""A stand-in for the metadata store of the users' platform, in memory.

It implements the part of the published protocol that the entries use: reads
of tables, the change feed and unconditional writes. A fault can fail every
call, or truncate the changelog.
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
    revision: int
    text: str
    deleted: bool = False


class StandinStore:
    """The rows, their changelog, and the faults that are injected.

    While ``failing_status`` is set, every call gets it as HTTP status.
    """

    def __init__(self) -> None:
        self.failing_status: int | None = None
        self._rows: dict[tuple[str, str], _Row] = {}
        self._changelog: list[_Row] = []
        self._revision = 1
        self._oldest_revision = 0
        self._changed = trio.Event()

    def make_server(self) -> Server:
        """Return an HTTP server with the routes of the store."""
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
        return Server(handler=routes.handle)

    def put(self, table: str, key: str, content: object) -> None:
        """Write a row with JSON content, as operators and endpoints do."""
        payload = msgspec.json.encode(content)
        self._append_change(table, key, base64.b64encode(payload).decode())

    def delete(self, table: str, key: str) -> None:
        """Delete a row, if it exists."""
        if (table, key) in self._rows:
            self._append_change(table, key, None)

    def truncate_changelog(self) -> None:
        """Make polls from revisions before the current one get 410."""
        self._oldest_revision = self._revision
        self._notify_pollers()

    def _append_change(self, table: str, key: str, text: str | None) -> None:
        self._revision += 1
        row = _Row(
            table=table,
            key=key,
            revision=self._revision,
            text=text or '',
            deleted=text is None,
        )
        self._changelog.append(row)
        if row.deleted:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        self._notify_pollers()

    def _notify_pollers(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _with_failing_status(self, handler):
        async def handle(exchange: Exchange, parameters: Parameters) -> None:
            if self.failing_status is not None:
                await exchange.respond(Response(status=self.failing_status))
                return
            await handler(exchange)

        return handle

    async def _read_table(self, exchange: Exchange) -> None:
        table = exchange.request.query.get('table', '')
        first_key = exchange.request.query.get('from', '')
        rows = [
            row
            for (name, key), row in sorted(self._rows.items())
            if name == table and key >= first_key
        ]
        await exchange.respond(self._rows_response(rows))

    async def _poll_changes(self, exchange: Exchange) -> None:
        query = exchange.request.query
        after = int(query.get('afterRevision', '0'))
        wait_seconds = float(query.get('waitMs', '0')) / _MILLISECONDS
        with trio.move_on_after(wait_seconds):
            while not self._changes_after(query.get('table', ''), after):
                if after < self._oldest_revision or self.failing_status:
                    break
                await self._changed.wait()
        if after < self._oldest_revision:
            await exchange.respond(Response(status=_GONE))
            return
        changes = self._changes_after(query.get('table', ''), after)
        await exchange.respond(self._rows_response(changes))

    async def _write_rows(self, exchange: Exchange) -> None:
        writes = msgspec.json.decode(exchange.request.body)
        for row in writes.get('puts', ()):
            self._append_change(row['table'], row['key'], row['value'])
        for deleted in writes.get('delete', ()):
            self.delete(deleted['table'], deleted['key'])
        await exchange.respond(self._rows_response(()))

    def _changes_after(self, table: str, after: int) -> list[_Row]:
        return [
            row
            for row in self._changelog
            if row.table == table and row.revision > after
        ]

    def _rows_response(self, rows) -> Response:
        return json_response(
            {
                'rows': [
                    {
                        'key': row.key,
                        'value': row.text,
                        'schemaVersion': row.revision,
                        'tombstone': row.deleted,
                    }
                    for row in rows
                ],
                'schemaVersion': self._revision,
                'truncated': False,
            },
        )
