"""One entry of the servers' list, by another writer, has no usable address."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from loopback_site import ZONES, Client, Entry, Site, main  # noqa: E402

LOAD_SECONDS = 45.0
TROUBLE_AT_SECONDS = 8.0
# Written by another writer: the port can't be read as one.
BAD_ENTRY = {
    'service': 'models',
    'address': '127.0.0.1:80800',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 4,
}
# RULES.md, Faults: processes that end by themselves so often, on a tenth of
# the machines in use, two at least.
ENDS_OF_A_MACHINE = 3
MACHINES = 2


async def send_prompts(site: Site, number: int, until: float) -> None:
    """Send one prompt after the other, each with one more try."""
    client = Client(site, ZONES[number % 3], f'c{number}')
    headers = {
        'Model': 'm',
        'Token-Usage': '2000,1020',
        'Prompt-Prefix': f'5c1e07a2:40,b{number}:1960',
    }
    while time.monotonic() < until:
        answer = await client.send('/ask/x', headers, limit_ms=10000)
        if answer is None or answer.status != 200:
            await asyncio.sleep(0.3)
            await client.send('/ask/x', headers, limit_ms=10000)
        await asyncio.sleep(0.1)


def fell_often(entries: list[Entry]) -> list[Entry]:
    """Return the machines whose processes ended too often."""
    return [each for each in entries if len(each.ends) >= ENDS_OF_A_MACHINE]


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.add_route(
        'ask', 'streaming', 'models', resumable=True, gapTargetMs=250
    )
    await site.open(entries=4, models=6, desks=0)
    began_at = time.monotonic()
    senders = [
        site.spawn(send_prompts(site, number, began_at + LOAD_SECONDS))
        for number in range(6)
    ]
    await asyncio.sleep(TROUBLE_AT_SECONDS)
    if has_trouble:
        entry = json.dumps(BAD_ENTRY).encode()
        site.store.put('servers', 'i-other', entry)
        site.record.note('another writer wrote an entry', entry=BAD_ENTRY)
    await asyncio.gather(*senders)
    for entry in site.entries:
        site.record.note(
            'ended by itself', entry=entry.name, times=len(entry.ends)
        )
    return len(fell_often(site.entries)) < MACHINES


if __name__ == '__main__':
    main(play, FOLDER)
