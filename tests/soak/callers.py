"""Callers that resolve entries, send random requests and record the results.

Like clients of the platform they get the addresses of the entries from the
directory, and cache them for the time to live that it returns. Each caller
keeps one open connection to each entry and uses it until it is closed, also
after the directory has ceased to name that entry.
"""

import random
import time
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass

import msgspec
import trio

from limpetdrift.coordination.forwarding.event_relay import split_events
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, parse_address
from soak.connections import Connection, UnansweredError, connect
from soak.site import HOST, ROUTES, Site

# Answer tokens for each event of a stream, as the stand-in engines send them.
EVENT_TOKENS = 51
DIRECTORY_TIMEOUT_SECONDS = 1.0
_OK = 200
# Share of the requests for which any open connection is chosen.
_OPEN_CONNECTION_SHARE = 0.5
# Lengths of prompts in tokens, each with its weight in the random choice.
_PROMPT_SIZES = ((3000, 60), (20000, 30), (60000, 6), (450000, 2))


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request and its result as seen by the caller.

    ``sent_at`` and ``ended_at`` are read from the monotonic clock, in
    seconds. ``status`` is 0 if no response arrived. ``is_complete`` is set if
    the response ended without an error. ``event_ids`` are those that a
    stream's caller received, and ``expected_events`` is the number of events
    of the whole stream. ``is_unread`` is set if the entry had not read the
    request: it refused or closed the connection before.
    ``has_disconnected`` is set if the caller was to disconnect early.
    """

    request_id: str
    route: str
    key: str
    account: str
    entry: str
    sent_at: float
    ended_at: float
    deadline_seconds: float
    status: int = 0
    is_complete: bool = False
    event_ids: tuple[int | None, ...] = ()
    expected_events: int = 0
    is_unread: bool = False
    has_disconnected: bool = False


class Caller:
    """A caller with its own cache of the entries' addresses."""

    def __init__(self, *, site: Site, number: int, seed: int) -> None:
        self.calls: list[Call] = []
        self._site = site
        self._number = number
        self._randomness = random.Random(f'{seed}/{number}')
        self._client = HttpClient()
        self._addresses: list[Address] = []
        self._connections: dict[Address, Connection] = {}
        self._cache_expires_at = 0.0

    async def run(self, find_end: Callable[[], float]) -> None:
        """Send requests until the monotonic clock reaches ``find_end()``."""
        while time.monotonic() < find_end():
            await trio.sleep(self._randomness.expovariate(6))
            address = await self._choose_entry()
            if address is not None:
                await self._call(address)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def _choose_entry(self) -> Address | None:
        if time.monotonic() > self._cache_expires_at:
            await self._resolve()
        self._drop_closed()
        addresses = self._addresses
        uses_open = self._randomness.random() < _OPEN_CONNECTION_SHARE
        if self._connections and uses_open:
            addresses = list(self._connections)
        if not addresses:
            await trio.sleep(0.1)
            return None
        return self._randomness.choice(addresses)

    def _drop_closed(self) -> None:
        for address, connection in tuple(self._connections.items()):
            if connection.is_closed:
                connection.close()
                del self._connections[address]

    async def _resolve(self) -> None:
        for entry in self._randomness.sample(self._site.entries, 3):
            answer = await self._client.fetch(
                Address(host=entry.host, port=entry.port + 3),
                Request(
                    method='GET',
                    path='/-/resolve',
                    query={'name': HOST, 'zone': 'zone-1'},
                ),
                timeout_seconds=DIRECTORY_TIMEOUT_SECONDS,
            )
            if answer.is_ok() and answer.ok.status == _OK:
                found = msgspec.json.decode(answer.ok.body)
                self._addresses = list(map(parse_address, found['addresses']))
                self._cache_expires_at = time.monotonic() + found['ttlS']
                return

    async def _call(self, address: Address) -> None:
        route = self._randomness.choice(('text', 'text', 'once', 'twice'))
        key = self._randomness.choice(sorted(self._site.keys) or ['none'])
        number = len(self.calls)
        request_id = f'{self._number}-{number}-{route}'
        seconds = ROUTES[route][2] / 1000
        prompt_tokens, event_count = (
            self._randomness.choices(
                [size for size, _ in _PROMPT_SIZES],
                [weight for _, weight in _PROMPT_SIZES],
            )[0],
            self._randomness.randint(5, 30),
        )
        headers = [
            ('host', HOST),
            ('attempt-id', request_id),
            ('deadline-ms', str(int(seconds * 1000))),
            ('authorization', ' '.join(('Bearer', key))),
            # Forged: the entry must replace it by the account of the key.
            ('tenant', 'mallory'),
        ]
        if route == 'text':
            answer_tokens = event_count * EVENT_TOKENS
            headers.append(('token-usage', f'{prompt_tokens},{answer_tokens}'))
        time_limit = seconds + 2
        disconnects = self._randomness.random() < 0.05
        if disconnects:
            time_limit = self._randomness.uniform(0.05, 0.5)
        request_fields = {
            'request_id': request_id,
            'route': route,
            'key': key,
            'account': self._site.keys.get(key, ''),
            'entry': address.host,
            'sent_at': time.monotonic(),
            'deadline_seconds': seconds,
            'expected_events': event_count if route == 'text' else 0,
        }
        request = Request(
            method='POST',
            path=f'/{route}/x',
            headers=tuple(headers),
            body=b'{}',
        )
        result_fields: dict[str, object] = {}
        with trio.move_on_after(time_limit):
            await self._send(address, request, result_fields)
        if 'status' not in result_fields and not disconnects:
            # The entry may be gone: resolve again before the next request.
            self._cache_expires_at = 0.0
        self.calls.append(
            Call(
                **request_fields,
                **result_fields,
                ended_at=time.monotonic(),
                has_disconnected=disconnects,
            ),
        )

    async def _send(
        self,
        address: Address,
        request: Request,
        result_fields: dict[str, object],
    ) -> None:
        connection = self._connections.pop(address, None)
        try:
            if connection is None:
                connection = await connect(address)
            await _read_answer(connection, request, result_fields)
        except (OSError, trio.TooSlowError):
            # No connection was opened, so that nothing was sent on it.
            result_fields['is_unread'] = True
        except UnansweredError as error:
            result_fields['is_unread'] = error.is_unread
        finally:
            if connection is not None and connection.is_reusable:
                self._connections[address] = connection
            elif connection is not None:
                connection.close()


async def _read_answer(
    connection: Connection, request: Request, result_fields: dict[str, object]
) -> None:
    body = b''
    async with aclosing(connection.call(request)) as answer:
        async for part in answer:
            if isinstance(part, int):
                result_fields['status'] = part
                continue
            body += part
            result_fields['event_ids'] = _event_ids(body)
    result_fields['is_complete'] = True


def _event_ids(body: bytes) -> tuple[int | None, ...]:
    events, _ = split_events(body)
    return tuple(event.number for event in events)
