"""Reserves an engine's memory for a limited time, as a part of a group.

On the wire a reservation is called a hold.
"""

import trio

from limpet_standins.allocations import Allocation
from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import HoldStart, HoldState, Renewal
from limpet_standins.kv_memory import Footprint
from limpet_standins.serving import read_body, refuse
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.routing import Parameters
from limpetdrift.transport.server import Exchange

EXPIRY_CHECK_SECONDS = 0.1
_HOLD = 'hold'
_GONE = 410
_TOO_MANY = 429


class HoldHandlers:
    """The handlers below ``/v1/holds``."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core

    async def begin(self, exchange: Exchange, _params: Parameters) -> None:
        """Reserve memory; confirm a reservation that exists already."""
        start = await read_body(exchange, HoldStart)
        if start is None:
            return
        if self._core.allocations.find(_HOLD, start.hold_id) is None:
            footprint = self._core.memory.reserve(start.tokens)
            if footprint is None:
                free = self._core.memory.free_tokens
                await refuse(
                    exchange,
                    _TOO_MANY,
                    'no-memory',
                    free_tokens=free,
                )
                return
            self._allocate(start, footprint)
        await exchange.respond(json_response({'hold_id': start.hold_id}))

    async def show(self, exchange: Exchange, params: Parameters) -> None:
        """Respond with the size and remaining time of a reservation."""
        reservation = self._core.allocations.find(_HOLD, params['hold'])
        if reservation is None:
            await refuse(exchange, _GONE, 'hold-unknown')
            return
        state = HoldState(
            hold_id=reservation.id,
            tokens=reservation.footprint.tokens,
            expires_in_seconds=reservation.expires_at - trio.current_time(),
        )
        await exchange.respond(json_response(state))

    async def renew(self, exchange: Exchange, params: Parameters) -> None:
        """Set a reservation's time to live, counted from now."""
        renewal = await read_body(exchange, Renewal)
        if renewal is None:
            return
        reservation = self._core.allocations.find(_HOLD, params['hold'])
        if reservation is None:
            await refuse(exchange, _GONE, 'hold-unknown')
            return
        reservation.expires_at = (
            trio.current_time() + renewal.expires_in_seconds
        )
        await exchange.respond(json_response({'hold_id': reservation.id}))

    async def free(self, exchange: Exchange, params: Parameters) -> None:
        """Free a reservation; one that is already gone is no error."""
        freed = self._core.allocations.free(_HOLD, params['hold'])
        await exchange.respond(json_response({'freed_tokens': freed}))

    async def expire(self) -> None:
        """Free reservations that have expired, periodically, for ever."""
        while True:
            await trio.sleep(EXPIRY_CHECK_SECONDS)
            now = trio.current_time()
            for reservation in self._core.allocations.of_kind(_HOLD):
                if reservation.expires_at <= now:
                    self._core.allocations.free(_HOLD, reservation.id)

    def _allocate(self, start: HoldStart, footprint: Footprint) -> None:
        now = trio.current_time()
        self._core.allocations.add(
            Allocation(
                id=start.hold_id,
                kind=_HOLD,
                footprint=footprint,
                taken_at=now,
                expires_at=now + start.expires_in_seconds,
                request_key=start.request_key,
                attempt=start.attempt,
                holder=start.holder,
                incarnation=start.incarnation,
            ),
        )
