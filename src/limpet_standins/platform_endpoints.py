"""Endpoints of the users' platform: model engines and plain servers.

An engine reads a prompt at its rate, alone or with helpers, writes events
with ids and goes on from an id; it sets memory aside on order. Every run is
entered in a journal that checks read afterwards.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from limpet_standins.platform_store import StandinStore
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.transport.server import Exchange, Server

READ_TOKENS_PER_SECOND = 400_000.0
EVENT_SECONDS = 0.03
MEMORY_TOKENS = 300_000
_EVENT_TOKENS = 51
_UNAVAILABLE = 503
_MISDIRECTED = 421
_CONFLICT = 409
_OK = 200
_MILLISECONDS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that an endpoint began to run."""

    request_id: str
    endpoint: str
    at: float
    account: str
    path: str
    has_key: bool


@dataclass(kw_only=True)
class Journal:
    """What all endpoints saw."""

    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[str, str, float]] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)


class StandinEndpoint:
    """One lifetime of an endpoint.

    ``fail_next`` breaks off so many answers after their run, and ``hang``
    lets it take requests without ever answering.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: Address,
        journal: Journal,
        clock: Callable[[], float],
        slots: int = 8,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.fail_next = 0
        self.hang = False
        self.tickets: dict[str, tuple[int, float]] = {}
        self._journal = journal
        self._clock = clock
        self._slots = slots
        self._active = 0
        self._born = int(clock() * _MILLISECONDS)

    def make_server(self) -> Server:
        """Return the server of this lifetime."""
        return Server(handler=self.handle)

    def register(self, store: StandinStore, state: str = 'ready') -> None:
        """Write this endpoint's entry of the list."""
        if state == 'draining':
            self._journal.left_at.setdefault(self.name, self._clock())
        store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': str(self.address),
                'zone': 'zone-1',
                'version': 'v1',
                'slots': self._slots,
                'state': state,
                'born': self._born,
            },
        )

    def held_tokens(self) -> int:
        """Return the memory that reservations hold now."""
        now = self._clock()
        return sum(
            tokens for tokens, until in self.tickets.values() if until > now
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        at_once = self._answer_at_once(request)
        if at_once is None:
            await self._run_until_gone(exchange)
        else:
            await exchange.respond(at_once)

    def _answer_at_once(self, request: Request) -> Response | None:
        """Return the answer to what is not run."""
        if request.path == '/-/report':
            return json_response(self._report())
        if request.path == '/-/order':
            return self._order(request)
        if request.header('expect-instance', self.name) != self.name:
            return Response(status=_MISDIRECTED)
        if self._active >= self._slots:
            not_run = (('not-executed', '1'),)
            return Response(status=_UNAVAILABLE, headers=not_run)
        return None

    async def _run_until_gone(self, exchange: Exchange) -> None:
        self._active += 1
        try:
            async with trio.open_nursery() as nursery:

                async def watch() -> None:
                    await exchange.wait_closed()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(watch)
                await self._run(exchange)
                nursery.cancel_scope.cancel()
        finally:
            self._active -= 1

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.header('attempt-id')
        now = self._clock()
        self._journal.arrivals.append((request_id, self.name, now))
        if self.hang:
            await trio.sleep_forever()
        prompt, _, answer = request.header('token-usage').partition(',')
        if prompt:
            parts = 1 + len(request.header('helpers').split(','))
            await trio.sleep(int(prompt) / READ_TOKENS_PER_SECOND / parts)
        self._journal.runs.append(
            Run(
                request_id=request_id,
                endpoint=self.name,
                at=now,
                account=request.header('tenant'),
                path=request.target,
                has_key=bool(request.header('authorization')),
            ),
        )
        breaks = self.fail_next > 0
        self.fail_next = max(0, self.fail_next - 1)
        if prompt:
            await self._write(exchange, int(answer) // _EVENT_TOKENS, breaks)
            return
        await trio.sleep(EVENT_SECONDS)
        if breaks:
            await exchange.abort()
            return
        await exchange.respond(
            Response(
                status=_OK,
                headers=self._seal(request_id),
                body=request_id.encode(),
            ),
        )

    async def _write(
        self,
        exchange: Exchange,
        count: int,
        breaks: bool,
    ) -> None:
        request = exchange.request
        seen = int(request.header('last-event-id', '0') or '0')
        headers = self._seal(request.header('attempt-id'))
        await exchange.start(
            _OK,
            (*headers, ('content-type', 'text/event-stream')),
        )
        for number in range(seen + 1, count + 1):
            if breaks and number > count // 2:
                await exchange.send(b'id: 9')
                await exchange.abort()
                return
            await exchange.send(f'id: {number}\ndata: x\n\n'.encode())
            await trio.sleep(EVENT_SECONDS)
        await exchange.finish()

    def _seal(self, request_id: str) -> tuple[tuple[str, str], ...]:
        return (
            ('attempt-id', request_id),
            ('server-seal', f'{self.name}.{request_id}'),
            ('server-load', f'{self._active},0,{self._slots}'),
        )

    def _report(self) -> dict[str, object]:
        return {
            'stage': 'combined',
            'models': [],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': self._active,
            'kvUsed': self.held_tokens(),
            'kvTotal': MEMORY_TOKENS,
            'born': self._born,
        }

    def _order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body)
        if order['operation'] == 'release':
            self.tickets.pop(order['id'], None)
            return json_response({'free': MEMORY_TOKENS - self.held_tokens()})
        others = self.held_tokens()
        others -= self.tickets.get(order['id'], (0, 0))[0]
        if others + order['tokens'] > MEMORY_TOKENS:
            return Response(status=_CONFLICT)
        until = self._clock() + order['holdMs'] / _MILLISECONDS
        self.tickets[order['id']] = (order['tokens'], until)
        return json_response({'free': MEMORY_TOKENS - self.held_tokens()})
