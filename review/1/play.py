"""The operator shortens a time-out, and answers come as it passes."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from loopback_site import HOST, KEY, Channel, Site, main  # noqa: E402

CALM_SECONDS = 3.0
LOAD_SECONDS = 30.0
CLIENTS = 12
PAUSE_SECONDS = 0.03
LIMIT_MS = 1000
WORK_SECONDS = 0.5
# The time-outs before and after the change of the desired state.
LONG_MS = 1000
SHORT_MS = 300
# RULES.md, LOST: more than so many channels closed without an answer.
MOST_CLOSED = 3


class Caller:
    """A client that sends one request after the other on one channel."""

    def __init__(self, site: Site, number: int) -> None:
        self._site = site
        self._number = number
        entry = site.entries[number % len(site.entries)]
        self._address = entry.address('front')
        self._channel = Channel(self._address)
        self._sent = 0
        # Attempts on a kept channel that was closed without an answer.
        self.closed: list[str] = []

    async def run(self, until: float) -> None:
        """Send requests until a time."""
        while time.monotonic() < until:
            await self._send()
            await asyncio.sleep(PAUSE_SECONDS)
        self._channel.close()

    async def _send(self) -> None:
        self._sent += 1
        attempt = f'c{self._number}x{self._sent}'
        is_kept = self._channel.is_open
        note = self._site.record.note
        note('sent', attempt=attempt, to=self._address, kept=is_kept)
        headers = {
            'Host': HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(LIMIT_MS),
            'Authorization': f'Bearer {KEY}',
        }
        try:
            answer = await self._channel.exchange(
                'POST', '/book/x', headers, b'hello'
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            received = len(getattr(error, 'partial', b''))
            note('closed', attempt=attempt, kept=is_kept, bytes=received)
            self._channel.close()
            if is_kept and not received:
                self.closed.append(attempt)
            return
        seal = answer.headers.get('server-seal', '-')
        note('answered', attempt=attempt, status=answer.status, seal=seal)


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.add_route('book', 'non_idempotent', 'desk', timeoutMs=LONG_MS)
    await site.open(entries=3, models=3, desks=3)
    for server in site.servers:
        server.work_seconds = WORK_SECONDS
    callers = [Caller(site, number) for number in range(CLIENTS)]
    until = time.monotonic() + CALM_SECONDS + LOAD_SECONDS
    tasks = [site.spawn(caller.run(until)) for caller in callers]
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        site.routes[0]['timeoutMs'] = SHORT_MS
        site.write_config()
        site.record.note('ack of the shorter time-out', timeout_ms=SHORT_MS)
    await asyncio.gather(*tasks)
    closed = [each for caller in callers for each in caller.closed]
    passed_on = [each for each in closed if site.runs.get(each)]
    for attempt in passed_on:
        name = site.runs[attempt][0][0]
        site.record.note('no answer', attempt=attempt, server=name)
    site.record.note(
        'kept channels closed without an answer',
        count=len(passed_on),
        requests=len(site.runs),
    )
    return len(passed_on) <= MOST_CLOSED


if __name__ == '__main__':
    main(play, FOLDER)
