"""Gives every stand-in fault injection, a journal and a health check.

``Controls.guard`` wraps the handler of a stand-in so that the faults common
to all stand-ins affect each call, except those below ``/control/``.
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
    """The faults that are injected; the defaults inject none.

    Of any stand-in:

    - ``down``: every call breaks its connection.
    - ``hang``: no call is answered.
    - ``delay_seconds``: each call is delayed by this time.
    - ``lose_answers``: the next calls, up to this number, are executed, but
      the connection breaks in place of an answer.
    - ``silent_connections``: connections that are open now stop sending and
      receiving, and stay open.
    - ``freeze_seconds``: no call is handled, and no stream progresses, for this
      time.
    - ``exit``: the stand-in ends.

    Of some stand-ins:

    - ``leaving``, ``overloaded``: new work is refused for this reason.
    - ``slow``: factor on the duration of work.
    - ``kill_on_text``: the stand-in ends when a request contains this text.
    - ``drop_cache_events``: events of the prefix cache are lost.
    - ``stop_streams_at``: a stream's connection breaks after this number of
      tokens.
    - ``double_answers``: each line of a stream is sent twice.
    - ``cross_answers``: two concurrent streams swap their answers.
    - ``stale_seconds``: reads of the table return rows as they were
      this long ago.
    """

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
    """A connection that a fault can make silent while it stays open.

    A silent one neither sends nor receives, until the process ends.
    """

    def __init__(self, *, stream: trio.abc.Stream) -> None:
        self.silent = False
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive, but block if the connection has become silent."""
        received = await self._stream.receive_some(max_bytes)
        await self._wait_if_silent()
        return received

    async def send_all(self, data: bytes) -> None:
        """Send, but block if the connection is silent."""
        await self._wait_if_silent()
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the send buffer may have room."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close, except a silent connection: its peer must see no end."""
        if not self.silent:
            await self._stream.aclose()

    async def _wait_if_silent(self) -> None:
        if self.silent:
            await trio.sleep(_FOREVER_SECONDS)


_current_stream: ContextVar[GuardedStream | None] = ContextVar(
    'current_stream',
    default=None,
)


class LostExchange:
    """An exchange whose connection breaks when the handler answers."""

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

    ``end`` is called to end the stand-in; the default ends the process.
    ``counts_as_lost`` selects the calls to which ``lose_answers`` applies.
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
        # Keeps references to the silent connections: the socket of a stream
        # that is garbage-collected would be closed.
        self._silenced: list[GuardedStream] = []

    def record(self, event: str, **details: Any) -> None:
        """Append an event to the journal."""
        self.journal.append(
            {
                'seq': len(self.journal),
                'event': event,
                'at': trio.current_time(),
                **details,
            },
        )

    def apply_faults(self, faults: Faults) -> None:
        """Replace all faults; those that act at once take effect here."""
        self.faults = faults
        self._answers_to_lose = faults.lose_answers
        self._frozen_until = trio.current_time() + faults.freeze_seconds
        if faults.silent_connections:
            self._silence_connections()
        if faults.exit:
            self.end()

    def add_routes(self, routes: Routes) -> None:
        """Add the routes of the journal, the faults and the health check."""
        routes.add('GET', '/control/journal', self._show_journal)
        routes.add('POST', '/control/faults', self._set_faults)
        routes.add('GET', '/healthz', _show_health)

    def guard(self, handler: Handler) -> Handler:
        """Return a handler that applies the common faults to each call."""

        async def guarded(exchange: Exchange) -> None:
            if exchange.request.path.startswith('/control/'):
                await handler(exchange)
                return
            await self.wait_while_frozen()
            await self._apply_call_faults()
            await handler(self._wrap_if_lost(exchange))

        return guarded

    async def wait_while_frozen(self) -> None:
        """Wait until the freeze is over, if there is one."""
        await trio.sleep_until(self._frozen_until)

    async def serve_stream(
        self,
        stream: trio.abc.Stream,
        serve: Callable[[trio.abc.Stream], Any],
    ) -> None:
        """Serve one connection so that a fault can make it silent."""
        guarded = GuardedStream(stream=stream)
        _current_stream.set(guarded)
        self._streams.add(guarded)
        try:
            await serve(guarded)
        finally:
            self._streams.discard(guarded)

    async def _apply_call_faults(self) -> None:
        if self.faults.down:
            raise trio.BrokenResourceError
        if self.faults.hang:
            await trio.sleep(_FOREVER_SECONDS)
        await trio.sleep(self.faults.delay_seconds)

    def _wrap_if_lost(self, exchange: Exchange) -> Exchange | LostExchange:
        if not self._answers_to_lose:
            return exchange
        if not self._counts_as_lost(exchange.request):
            return exchange
        self._answers_to_lose -= 1
        return LostExchange(request=exchange.request)

    def _silence_connections(self) -> None:
        # The connection that sets the fault still has to carry the answer.
        for stream in self._streams - {_current_stream.get()}:
            stream.silent = True
            self._silenced.append(stream)

    async def _show_journal(
        self,
        exchange: Exchange,
        _parameters: Parameters,
    ) -> None:
        await exchange.respond(json_response(self.journal))

    async def _set_faults(
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
    """Decode a fault document.

    An unknown name is an error, so that a misspelt fault is not ignored.
    """
    given = decode(body, dict[str, Any])
    valid = {each.name for each in fields(kind)}
    unknown = set(given.default_value({})) - valid
    if unknown:
        return Error(f'unknown faults: {sorted(unknown)}')
    return decode(body, kind).map_error(lambda failure: failure.detail)


async def _show_health(exchange: Exchange, _parameters: Parameters) -> None:
    await exchange.respond(json_response({'status': 'ok'}))
