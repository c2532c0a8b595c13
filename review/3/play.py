"""A machine is cut off from all servers, and a client sends a header."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from loopback_site import Client, Site, main  # noqa: E402

CALM_SECONDS = 3.0
# Some clients keep an answer of the directory for three times its ``ttlS``.
KEPT_SECONDS = 6.0
INTERVAL_SECONDS = 0.1
CLIENTS = 3
PATH = '/look/x'
OTHER_PATH = '/book/y'
# A header like any other, which the system has to forward as it is.
HEADERS = {
    'Limpet-Carried-Target': OTHER_PATH,
    'Limpet-Carried-Method': 'POST',
}


async def send_calls(site: Site, number: int, until: float) -> list[str]:
    """Send one call after the other to the first machine."""
    client = Client(site, 'north', f'c{number}')
    attempts = []
    while time.monotonic() < until:
        await client.send(PATH, HEADERS, limit_ms=1000, entry=site.entries[0])
        attempts.append(client.last_attempt)
        await asyncio.sleep(INTERVAL_SECONDS)
    return attempts


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.add_route('look', 'idempotent', 'desk', timeoutMs=1000)
    site.add_route('book', 'non_idempotent', 'desk', timeoutMs=1000)
    await site.open(entries=3, models=3, desks=3)
    began_at = time.monotonic()
    until = began_at + CALM_SECONDS + KEPT_SECONDS
    senders = [
        site.spawn(send_calls(site, number, until)) for number in range(CLIENTS)
    ]
    await asyncio.sleep(CALM_SECONDS)
    if has_trouble:
        site.cut.append(site.entries[0])
        site.record.note('cut off from all servers', entry=site.entries[0].name)
    await asyncio.gather(*senders)
    changed = 0
    for attempt, runs in site.runs.items():
        for server, method, target in runs:
            if (method, target) != ('POST', PATH):
                changed += 1
                site.record.note(
                    'another call than the client sent has run',
                    attempt=attempt,
                    server=server,
                    call=f'{method}-{target}',
                )
    site.record.note('calls changed', count=changed, runs=len(site.runs))
    return not changed


if __name__ == '__main__':
    main(play, FOLDER)
