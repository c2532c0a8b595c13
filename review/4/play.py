"""Some servers spoil some of their answers, reports among them."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from loopback_site import (  # noqa: E402
    ZONES,
    Client,
    Entry,
    Message,
    Server,
    Site,
    main,
    render,
)

LOAD_SECONDS = 60.0
TROUBLE_AT_SECONDS = 8.0
# Of the servers and their answers, as for `garble` on the users' days.
SPOILING_SHARE = 0.5
SPOILED_SHARE = 0.05
# A spoiled answer: from some point on one byte comes again and again.
SPOILED_BYTE = b'['
SPOILED_BYTES = 4096
SEED = 45
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


def make_spoiler(randomness: random.Random):
    """Return what spoils a share of a server's answers with wrong bytes."""

    async def spoil(server: Server, request: Message, writer) -> bool:
        if randomness.random() >= SPOILED_SHARE:
            return False
        path = request.first.split(' ')[1]
        site = server.site
        if path != '/-/report':
            # The answer of a run that is spoiled breaks off.
            writer.close()
            return True
        whole = json.dumps(server.report()).encode()
        begin = whole[: whole.index(b'[') + 1]
        site.record.note('spoiled a report', server=server.name)
        writer.write(render(200, {}, begin + SPOILED_BYTE * SPOILED_BYTES))
        return True

    return spoil


async def play(site: Site, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.add_route(
        'ask', 'streaming', 'models', resumable=True, gapTargetMs=250
    )
    await site.open(entries=4, models=18, desks=0)
    began_at = time.monotonic()
    senders = [
        site.spawn(send_prompts(site, number, began_at + LOAD_SECONDS))
        for number in range(6)
    ]
    await asyncio.sleep(TROUBLE_AT_SECONDS)
    if has_trouble:
        spoil = make_spoiler(random.Random(SEED))
        for server in site.servers[: round(len(site.servers) * SPOILING_SHARE)]:
            server.answer = spoil
            site.record.note('spoils answers', server=server.name)
    await asyncio.gather(*senders)
    for entry in site.entries:
        site.record.note(
            'ended by itself', entry=entry.name, times=len(entry.ends)
        )
    return len(fell_often(site.entries)) < MACHINES


if __name__ == '__main__':
    main(play, FOLDER)
