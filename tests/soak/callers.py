"""Callers that ask the directory, keep its answers, and note all they get."""

import random
import time
from dataclasses import dataclass

import msgspec
import trio

from limpetdrift.coordination.event_relay import split_events
from limpetdrift.protocol.verdict import FailureError
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, parse_address
from soak.site import HOST, ROUTES, Site

EVENT_TOKENS = 51
DIRECTORY_SECONDS = 1.0
_OK = 200
_SIZES = ((3000, 60), (20000, 30), (60000, 6), (450000, 2))


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One request as its caller saw it; ``status`` 0 is no answer.

    ``numbers`` are the ids of a stream's events, and ``is_whole`` tells that
    the answer ended as complete.
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
    is_whole: bool = False
    numbers: tuple[int | None, ...] = ()
    expected: int = 0
    has_left: bool = False


class Caller:
    """One caller with its own view of the entries."""

    def __init__(self, *, site: Site, number: int, seed: int) -> None:
        self.calls: list[Call] = []
        self._site = site
        self._number = number
        self._random = random.Random(f'{seed}/{number}')
        self._client = HttpClient()
        self._addresses: list[Address] = []
        self._kept_until = 0.0

    async def run(self, until: float) -> None:
        """Make calls until a time."""
        while time.monotonic() < until:
            await trio.sleep(self._random.expovariate(6))
            address = await self._choose()
            if address is not None:
                await self._call(address)

    async def _choose(self) -> Address | None:
        if time.monotonic() > self._kept_until:
            await self._resolve()
        if not self._addresses:
            await trio.sleep(0.1)
            return None
        return self._random.choice(self._addresses)

    async def _resolve(self) -> None:
        for entry in self._random.sample(self._site.entries, 3):
            answer = await self._client.fetch(
                Address(host=entry.host, port=entry.port + 3),
                Request(
                    method='GET',
                    path='/-/resolve',
                    query={'name': HOST, 'zone': 'zone-1'},
                ),
                timeout_seconds=DIRECTORY_SECONDS,
            )
            if answer.is_ok() and answer.ok.status == _OK:
                found = msgspec.json.decode(answer.ok.body)
                self._addresses = list(map(parse_address, found['addresses']))
                self._kept_until = time.monotonic() + found['ttlS']
                return

    async def _call(self, address: Address) -> None:
        route = self._random.choice(('text', 'text', 'once', 'twice'))
        key = self._random.choice(sorted(self._site.keys) or ['none'])
        number = len(self.calls)
        request_id = f'{self._number}-{number}-{route}'
        seconds = ROUTES[route][2] / 1000
        prompt, count = (
            self._random.choices(
                [size for size, _ in _SIZES],
                [weight for _, weight in _SIZES],
            )[0],
            self._random.randint(5, 30),
        )
        headers = [
            ('host', HOST),
            ('attempt-id', request_id),
            ('deadline-ms', str(int(seconds * 1000))),
            ('authorization', ' '.join(('Bearer', key))),
            ('tenant', 'mallory'),
        ]
        if route == 'text':
            answer = count * EVENT_TOKENS
            headers.append(('token-usage', f'{prompt},{answer}'))
        patience = seconds + 2
        leaves = self._random.random() < 0.05
        if leaves:
            patience = self._random.uniform(0.05, 0.5)
        noted = {
            'request_id': request_id,
            'route': route,
            'key': key,
            'account': self._site.keys.get(key, ''),
            'entry': address.host,
            'sent_at': time.monotonic(),
            'deadline_seconds': seconds,
            'expected': count if route == 'text' else 0,
        }
        request = Request(
            method='POST',
            path=f'/{route}/x',
            headers=tuple(headers),
            body=b'{}',
        )
        seen: dict[str, object] = {}
        with trio.move_on_after(patience):
            await self._send(address, request, seen)
        if 'status' not in seen and not leaves:
            self._kept_until = 0.0
        self.calls.append(
            Call(
                **noted,
                **seen,
                ended_at=time.monotonic(),
                has_left=leaves,
            ),
        )

    async def _send(
        self,
        address: Address,
        request: Request,
        seen: dict[str, object],
    ) -> None:
        body = b''
        try:
            async with self._client.stream(
                address,
                request,
                idle_timeout_seconds=30.0,
            ) as stream:
                seen['status'] = stream.status
                async for chunk in stream.chunks():
                    body += chunk
                    seen['numbers'] = _numbers(body)
                seen['is_whole'] = True
        except FailureError:
            return


def _numbers(body: bytes) -> tuple[int | None, ...]:
    events, _ = split_events(body)
    return tuple(event.number for event in events)
