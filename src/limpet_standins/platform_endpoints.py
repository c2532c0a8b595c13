"""Stand-ins for endpoints of the users' platform: engines and plain servers.

An engine prefills a prompt at a fixed rate for each engine that shares the
prefill; a request without helpers counts as one with a single helper. It
streams events with ids, and a request can resume after the last event id that
it received. An engine also reserves and releases memory on request. Every run
is recorded in a journal that tests check afterwards.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from math import inf

import msgspec
import trio

from limpet_standins.platform_store import StandinStore
from limpetdrift.protocol.codec import json_response
from limpetdrift.transport.messages import Address, Headers, Request, Response
from limpetdrift.transport.server import Exchange, Server

PREFILL_TOKENS_PER_SECOND = 400_000.0
EVENT_INTERVAL_SECONDS = 0.03
# KV memory of each endpoint, in tokens.
MEMORY_TOKENS = 300_000
_TOKENS_PER_EVENT = 51
_UNAVAILABLE = 503
_MISDIRECTED = 421
_CONFLICT = 409
_OK = 200
_MILLISECONDS = 1000.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request whose prefill ended at an engine, or that a server began.

    ``at`` is the time of its arrival by the endpoint's clock, in seconds.
    """

    request_id: str
    endpoint: str
    at: float
    account: str
    path: str
    has_key: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class TurnedAway:
    """A request answered with a time to retry, which ends at ``until``.

    The id is empty for reports and orders. Times are as in ``Run``.
    """

    request_id: str
    path: str
    endpoint: str
    at: float
    until: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimit:
    """A limit that an endpoint named, in requests a second, and its time."""

    endpoint: str
    rate: float
    since: float
    until: float


@dataclass(kw_only=True)
class Journal:
    """What all endpoints recorded; times are in seconds of their clock.

    ``runs`` are the requests that ran; ``arrivals`` has a request id, an
    endpoint and a time for each request that was not refused; ``left_at``
    maps an endpoint to the time at which it first registered as draining;
    ``broken`` holds the requests whose answers an endpoint broke off.
    ``turned_away`` are the requests that were answered with a time to retry;
    ``told_leaving`` has a request id and an endpoint for each run whose answer
    says that the endpoint leaves. ``limits`` are the rate limits of endpoints.
    """

    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[str, str, float]] = field(default_factory=list)
    left_at: dict[str, float] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)
    turned_away: list[TurnedAway] = field(default_factory=list)
    told_leaving: list[tuple[str, str]] = field(default_factory=list)
    limits: list[RateLimit] = field(default_factory=list)


class StandinEndpoint:
    """One lifetime of an endpoint, which runs ``slots`` requests at once.

    ``fail_next`` is the number of next runs whose connection is aborted
    before the response is complete. While ``hang`` is set, requests are
    accepted but neither run nor answered. While ``leaving`` is set, all
    answers say that the endpoint leaves. ``rate_limit`` is the limit that all
    answers name, in requests a second. Until ``busy_until`` it turns all but
    releases away, with a time to retry or ``busy_text``. ``reservations`` maps
    the id of a reservation to its tokens and its expiry time.
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
        self.leaving = False
        self.rate_limit: float | str | None = None
        self.busy_until = float('-inf')
        self.busy_text: str | None = None
        self.reservations: dict[str, tuple[int, float]] = {}
        self.journal = journal
        self._clock = clock
        self.slots = slots
        self._active = 0
        self.lifetime = int(clock() * _MILLISECONDS)
        self._silent_until = 0.0

    def make_server(self) -> Server:
        """Return an HTTP server for the requests of this lifetime."""
        return Server(handler=self.handle)

    def fall_silent(self, seconds: float) -> None:
        """Keep all connections, but serve nothing for a time, then go on."""
        self._silent_until = self._clock() + seconds

    def register(self, store: StandinStore, state: str = 'ready') -> None:
        """Write this endpoint's row in the list of endpoints."""
        if state == 'draining':
            self.journal.left_at.setdefault(self.name, self._clock())
        store.put(
            'servers',
            self.name,
            {
                'service': self.service,
                'address': str(self.address),
                'zone': 'zone-1',
                'version': 'v1',
                'slots': self.slots,
                'state': state,
                'born': self.lifetime,
            },
        )

    def held_tokens(self) -> int:
        """Return the memory of the unexpired reservations, in tokens."""
        now = self._clock()
        return sum(
            tokens
            for tokens, expires_at in self.reservations.values()
            if expires_at > now
        )

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request; a run ends when its caller disconnects."""
        arrived_at = self._clock()
        await self._wait_silence()
        request = exchange.request
        immediate_response = self._respond_without_running(request, arrived_at)
        if immediate_response is None:
            await self._run_until_disconnect(exchange, arrived_at)
        else:
            headers = (*immediate_response.headers, *_signal_headers(self))
            await exchange.respond(replace(immediate_response, headers=headers))

    def _respond_without_running(
        self, request: Request, arrived_at: float
    ) -> Response | None:
        """Return a report, reservation or refusal; None if it has to run."""
        if self._clock() < self.busy_until and not _is_release(request):
            return _turn_away(self, request, arrived_at)
        if request.path == '/-/report':
            return json_response(self._report())
        if request.path == '/-/order':
            return self._handle_order(request)
        if request.header('expect-instance', self.name) != self.name:
            return Response(status=_MISDIRECTED)
        if self._active >= self.slots:
            not_run = (('not-executed', '1'),)
            return Response(status=_UNAVAILABLE, headers=not_run)
        return None

    async def _run_until_disconnect(
        self, exchange: Exchange, arrived_at: float
    ) -> None:
        self._active += 1
        try:
            async with trio.open_nursery() as nursery:

                async def cancel_on_disconnect() -> None:
                    await exchange.wait_closed()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(cancel_on_disconnect)
                await self._run(exchange, arrived_at)
                nursery.cancel_scope.cancel()
        finally:
            if trio.current_effective_deadline() == -inf:
                # The endpoint ends, not only its caller's connection.
                self.journal.broken.add(exchange.request.header('attempt-id'))
            self._active -= 1

    async def _run(self, exchange: Exchange, arrived_at: float) -> None:
        request = exchange.request
        request_id = request.header('attempt-id')
        self.journal.arrivals.append((request_id, self.name, arrived_at))
        if self.hang:
            await trio.sleep_forever()
        prompt_tokens, _, answer_tokens = request.header(
            'token-usage'
        ).partition(',')
        if prompt_tokens:
            prefilling_engines = 1 + len(request.header('helpers').split(','))
            await trio.sleep(
                int(prompt_tokens)
                / PREFILL_TOKENS_PER_SECOND
                / prefilling_engines
            )
        self.journal.runs.append(
            Run(
                request_id=request_id,
                endpoint=self.name,
                at=arrived_at,
                account=request.header('tenant'),
                path=request.target,
                has_key=bool(request.header('authorization')),
            ),
        )
        breaks_off = self.fail_next > 0
        self.fail_next = max(0, self.fail_next - 1)
        if breaks_off:
            self.journal.broken.add(request_id)
        if prompt_tokens:
            await self._stream_events(
                exchange, int(answer_tokens) // _TOKENS_PER_EVENT, breaks_off
            )
            return
        await trio.sleep(EVENT_INTERVAL_SECONDS)
        await self._wait_silence()
        await _send_answer(
            exchange, partial(self._run_headers, request_id), breaks_off
        )

    async def _stream_events(
        self,
        exchange: Exchange,
        event_count: int,
        breaks_off: bool,
    ) -> None:
        request = exchange.request
        last_event_id = int(request.header('last-event-id', '0') or '0')
        await self._wait_silence()
        headers = self._run_headers(request.header('attempt-id'))
        await exchange.start(
            _OK,
            (*headers, ('content-type', 'text/event-stream')),
        )
        for number in range(last_event_id + 1, event_count + 1):
            await self._wait_silence()
            if breaks_off and number > event_count // 2:
                # An event without its end, as from a crash while writing.
                await exchange.send(b'id: 9')
                await exchange.abort()
                return
            await exchange.send(f'id: {number}\ndata: x\n\n'.encode())
            await trio.sleep(EVENT_INTERVAL_SECONDS)
        await exchange.finish()

    async def _wait_silence(self) -> None:
        remaining_seconds = self._silent_until - self._clock()
        if remaining_seconds > 0:
            await trio.sleep(remaining_seconds)

    def _run_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        if self.leaving:
            self.journal.told_leaving.append((request_id, self.name))
        return (
            ('attempt-id', request_id),
            ('server-seal', f'{self.name}.{request_id}'),
            ('server-load', f'{self._active},0,{self.slots}'),
            *_signal_headers(self),
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
            'born': self.lifetime,
        }

    def _handle_order(self, request: Request) -> Response:
        order = msgspec.json.decode(request.body)
        if order['operation'] == 'release':
            self.reservations.pop(order['id'], None)
            return json_response({'free': MEMORY_TOKENS - self.held_tokens()})
        other_tokens = self.held_tokens()
        other_tokens -= self.reservations.get(order['id'], (0, 0))[0]
        if other_tokens + order['tokens'] > MEMORY_TOKENS:
            return Response(status=_CONFLICT)
        expires_at = self._clock() + order['holdMs'] / _MILLISECONDS
        self.reservations[order['id']] = (order['tokens'], expires_at)
        return json_response({'free': MEMORY_TOKENS - self.held_tokens()})


def _signal_headers(endpoint: StandinEndpoint) -> Headers:
    signals = []
    if endpoint.leaving:
        signals.append(('server-leaving', '1'))
    if endpoint.rate_limit is not None:
        signals.append(('server-limit', str(endpoint.rate_limit)))
    return tuple(signals)


def _turn_away(
    endpoint: StandinEndpoint, request: Request, arrived_at: float
) -> Response:
    endpoint.journal.turned_away.append(
        TurnedAway(
            request_id=request.header('attempt-id'),
            path=request.path,
            endpoint=endpoint.name,
            at=arrived_at,
            until=endpoint.busy_until,
        ),
    )
    text = endpoint.busy_text or str(endpoint.busy_until - arrived_at)
    return Response(
        status=_UNAVAILABLE,
        headers=(('not-executed', '1'), ('retry-after', text)),
    )


def _is_release(request: Request) -> bool:
    if request.path != '/-/order':
        return False
    return msgspec.json.decode(request.body)['operation'] == 'release'


async def _send_answer(
    exchange: Exchange, make_headers: Callable[[], Headers], breaks_off: bool
) -> None:
    if breaks_off:
        # Nothing is sent, so the caller is told nothing by headers either.
        await exchange.abort()
        return
    body = exchange.request.header('attempt-id').encode()
    # A caller may ask for a longer answer.
    padding = b'z' * int(exchange.request.header('answer-bytes', '0'))
    await exchange.respond(
        Response(status=_OK, headers=make_headers(), body=body + padding)
    )
