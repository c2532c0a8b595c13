"""Transfers KV cache from one stand-in engine to another.

An export keeps the memory of a stream until it is deleted, also when the
stream's own allocation is freed. Another engine imports it into a reservation.
"""

from dataclasses import replace
from itertools import count

import trio
from expression import Error, Ok, Result

from limpet_standins.allocations import Allocation
from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import (
    ExportStart,
    ExportState,
    ImportStart,
)
from limpet_standins.serving import read_body, refuse
from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.transport.messages import Request, parse_address
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

_EXPORT = 'export'
_OK = 200
_NOT_FOUND = 404
_GONE = 410


class ExportHandlers:
    """The handlers below ``/v1/exports`` and ``/v1/imports``."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._numbers = count(1)

    async def begin(self, exchange: Exchange, _params: Parameters) -> None:
        """Export a stream: keep its memory under a new id."""
        start = await read_body(exchange, ExportStart)
        if start is None:
            return
        stream = self._core.allocations.find('stream', start.stream_id)
        if stream is None:
            await refuse(exchange, _NOT_FOUND, 'stream-unknown')
            return
        export = self._pin(stream, start.expires_in_seconds)
        answer = {'export_id': export.id, 'tokens': export.footprint.tokens}
        await exchange.respond(json_response(answer))

    async def show(self, exchange: Exchange, params: Parameters) -> None:
        """Respond with an export, for the engine that imports it."""
        export = self._core.allocations.find(_EXPORT, params['export'])
        if export is None:
            await refuse(exchange, _NOT_FOUND, 'export-unknown')
            return
        state = ExportState(
            export_id=export.id,
            tokens=export.footprint.tokens,
            blocks=tuple(export.footprint.blocks),
        )
        await exchange.respond(json_response(state))

    async def free(self, exchange: Exchange, params: Parameters) -> None:
        """Free an export; one that is already gone is no error."""
        freed = self._core.allocations.free(_EXPORT, params['export'])
        await exchange.respond(json_response({'freed_tokens': freed}))

    async def fetch(self, exchange: Exchange, _params: Parameters) -> None:
        """Import another engine's export into a reservation of this one.

        Takes as long as the transfer would.
        """
        start = await read_body(exchange, ImportStart)
        if start is None:
            return
        export = await self._fetch_export(start)
        if export.is_error():
            await refuse(exchange, _NOT_FOUND, export.error)
            return
        tokens_per_second = self._core.settings.transfer_tokens_per_second
        slowdown = self._core.controls.faults.slow
        await trio.sleep(export.ok.tokens / tokens_per_second * slowdown)
        reservation = self._core.allocations.find('hold', start.hold_id)
        if reservation is None:
            await refuse(exchange, _GONE, 'hold-unknown')
            return
        self._core.memory.store(reservation.footprint, export.ok.blocks)
        answer = {'hold_id': reservation.id, 'tokens': export.ok.tokens}
        await exchange.respond(json_response(answer))

    def _pin(self, stream: Allocation, lifetime_seconds: float) -> Allocation:
        stream.footprint.references += 1
        now = trio.current_time()
        number = next(self._numbers)
        name = self._core.settings.name
        export = replace(
            stream,
            id=f'{name}-export-{number}',
            kind=_EXPORT,
            taken_at=now,
            expires_at=now + lifetime_seconds,
        )
        self._core.allocations.add(export)
        return export

    async def _fetch_export(
        self,
        start: ImportStart,
    ) -> Result[ExportState, str]:
        answer = await self._core.fetch(
            parse_address(start.address),
            Request(method='GET', path=f'/v1/exports/{start.export_id}'),
        )
        if answer.is_error():
            return Error('engine-unreachable')
        if answer.ok.status != _OK:
            return Error('export-unknown')
        state = decode(answer.ok.body, ExportState)
        return Ok(state.ok) if state.is_ok() else Error('export-unknown')
