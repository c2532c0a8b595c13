"""What every stand-in has for tests: faults, a journal and its health.

``Controls.guard`` wraps the handler of a stand-in so that the common faults
act on each call; calls below ``/control/`` are never hindered.
"""

import os
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass, fields
from typing import Any, TypeVar

import trio
from expression import Error, Result

from limpetdrift.protocol.codec import decode, json_response
from limpetdrift.transport.messages import Request, Response
from limpetdrift.transport.routing import Parameters, Routes
from limpetdrift.transport.server import Exchange, Handler

Document = TypeVar('Document')

_BAD_INPUT = 400
_EXIT_STATUS = 70
_FOREVER_SECONDS = 1e9


@dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """A fault document; the defaults are no fault at all."""

    down: bool = False
    hang: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0
    silent_connections: bool = False
    leaving: bool = False
    slow: float = 1
    freeze_seconds: float = 0
    exit: bool = False
    kill_on_text: str = ''
    drop_cache_events: bool = False
    stop_streams_at: int = 0
    double_answers: bool = False
    cross_answers: bool = False
    overloaded: bool = False
    stale_seconds: float = 0


class GuardedStream(trio.abc.Stream):
    """A connection that can be made silent for good, without closing it."""

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.silent = False
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive, unless the connection is silent by then."""
        received = await self._stream.receive_some(max_bytes)
        await self._hold()
        return received

    async def send_all(self, data: bytes) -> None:
        """Send, unless the connection is silent."""
        await self._hold()
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait for room to send."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close; a silent connection stays open, so that no byte tells."""
        if not self.silent:
            await self._stream.aclose()

    async def _hold(self) -> None:
        if self.silent:
            await trio.sleep(_FOREVER_SECONDS)


_current_stream: ContextVar[GuardedStream | None] = ContextVar(
    'current_stream',
    default=None,
)


class LostExchange:
    """An exchange whose answer never leaves: the connection breaks."""

    def __init__(self, *, request: Request) -> None:
        self.request = request
        self.started = False

    async def respond(self, _response: Response) -> None:
        """Break the connection in place of answering."""
        raise trio.BrokenResourceError

    async def start(self, _status: int, _headers: object = ()) -> None:
        """Break the connection in place of answering."""
        raise trio.BrokenResourceError


def _end_process() -> None:
    os._exit(_EXIT_STATUS)  # noqa: WPS437


def _every_call(_request: Request) -> bool:
    return True


class Controls:
    """The faults and the journal of one stand-in.

    ``end`` ends the process; ``counts_as_lost`` says which calls use up
    ``lose_answers``.
    """

    def __init__(
        self,
        *,
        end: Callable[[], None] = _end_process,
        counts_as_lost: Callable[[Request], bool] = _every_call,
    ) -> None:
        self.faults = Faults()
        self.journal: list[dict[str, Any]] = []
        self.end = end
        self._counts_as_lost = counts_as_lost
        self._answers_to_lose = 0
        self._frozen_until = 0.0
        self._streams: set[GuardedStream] = set()
        self._silent: list[GuardedStream] = []

    def record(self, event: str, **details: Any) -> None:
        """Add an entry to the journal."""
        self.journal.append(
            {
                'seq': len(self.journal),
                'event': event,
                'at': trio.current_time(),
                **details,
            },
        )

    def apply_faults(self, faults: Faults) -> None:
        """Replace all faults."""
        self.faults = faults
        self._answers_to_lose = faults.lose_answers
        self._frozen_until = trio.current_time() + faults.freeze_seconds
        if faults.silent_connections:
            self._silence()
        if faults.exit:
            self.end()

    def add_routes(self, routes: Routes) -> None:
        """Serve the journal, the faults and the health."""
        routes.add('GET', '/control/journal', self._show_journal)
        routes.add('POST', '/control/faults', self._take_faults)
        routes.add('GET', '/healthz', _show_health)

    def guard(self, handler: Handler) -> Handler:
        """Return the handler with the common faults before it."""

        async def guarded(exchange: Exchange) -> None:
            if exchange.request.path.startswith('/control/'):
                await handler(exchange)
                return
            await self.wait_while_frozen()
            await self._hinder()
            await handler(self._maybe_lost(exchange))

        return guarded

    async def wait_while_frozen(self) -> None:
        """Do nothing until a freeze is over."""
        await trio.sleep_until(self._frozen_until)

    async def serve_stream(
        self,
        stream: trio.abc.Stream,
        serve: Callable[[trio.abc.Stream], Any],
    ) -> None:
        """Serve one connection, which a fault can make silent."""
        guarded = GuardedStream(stream=stream)
        _current_stream.set(guarded)
        self._streams.add(guarded)
        try:
            await serve(guarded)
        finally:
            self._streams.discard(guarded)

    async def _hinder(self) -> None:
        if self.faults.down:
            raise trio.BrokenResourceError
        if self.faults.hang:
            await trio.sleep(_FOREVER_SECONDS)
        await trio.sleep(self.faults.delay_seconds)

    def _maybe_lost(self, exchange: Exchange) -> Exchange | LostExchange:
        if not self._answers_to_lose:
            return exchange
        if not self._counts_as_lost(exchange.request):
            return exchange
        self._answers_to_lose -= 1
        return LostExchange(request=exchange.request)

    def _silence(self) -> None:
        for stream in self._streams - {_current_stream.get()}:
            stream.silent = True
            self._silent.append(stream)

    async def _show_journal(
        self,
        exchange: Exchange,
        _parameters: Parameters,
    ) -> None:
        await exchange.respond(json_response(self.journal))

    async def _take_faults(
        self,
        exchange: Exchange,
        _parameters: Parameters,
    ) -> None:
        faults = read_faults(exchange.request.body, Faults)
        if faults.is_error():
            detail = {'error': faults.error}
            await exchange.respond(json_response(detail, status=_BAD_INPUT))
            return
        self.apply_faults(faults.ok)
        await exchange.respond(json_response({}))


def read_faults(body: bytes, kind: type[Document]) -> Result[Document, str]:
    """Read a fault document; a misspelt fault is an error, not nothing."""
    named = decode(body, dict[str, Any])
    known = {each.name for each in fields(kind)}
    unknown = set(named.default_value({})) - known
    if unknown:
        return Error(f'unknown faults: {sorted(unknown)}')
    return decode(body, kind).map_error(lambda failure: failure.detail)


async def _show_health(exchange: Exchange, _parameters: Parameters) -> None:
    await exchange.respond(json_response({'status': 'ok'}))
