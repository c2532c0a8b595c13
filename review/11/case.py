"""DRAIN: a server leaves 3 s after open channels to the store fell silent."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

from world import now, run_case

CONTACT_S = 3.0
DRAIN_S = 2.0
LEAVER = 'd-0'
# The leaver serves on for DRAIN_S and a little longer, and then exits.
EXIT_S = 2.35
# Time of a job at a server, within the largest of the site's sheet.
WORK_S = 0.2


async def play(world, trouble: bool) -> list[dict]:
    """Play the case; return what broke the rule."""
    await world.open(desks=3)
    for backend in world.backends.values():
        backend.work_s = WORK_S
    # A steady state, in which all entries serve.
    for number in range(24):
        await world.call(world.entries[number % 6], '/twice/warm')
        await asyncio.sleep(0.25)
    # A release: the new server is listed, the old one leaves 3.6 s later.
    await world.add_backend('d-3', 'kiosk-desk', slots=6)
    await asyncio.sleep(0.5)
    silent_at = now()
    if trouble:
        count = sum(relay.silence() for relay in world.relays)
        world.record.add('channels to the store fall silent', count=count)
    # The machines are in touch again after this time.
    await asyncio.sleep(CONTACT_S + 0.1)
    leaver = world.backends[LEAVER]
    leaver.leaving = True
    world.store.delete('servers', LEAVER)
    acked = world.record.add('row removed', server=LEAVER)['t']
    await asyncio.sleep(DRAIN_S + 0.06)
    asyncio.get_running_loop().call_later(acked + EXIT_S - now(), leaver.crash)
    tasks = []
    while now() < acked + DRAIN_S + 1.5:
        for entry in world.entries:
            tasks.append(asyncio.ensure_future(world.call(entry, '/once/job')))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    sent = {each['id']: each for each in world.record.of('sent')}
    answers = {each['id']: each for each in world.record.of('answered')}
    late = [
        {
            'rule': 'DRAIN',
            'id': run['id'],
            'entry': sent[run['id']]['entry'],
            'after_ack_s': round(run['t'] - acked, 3),
            'after_silence_s': round(run['t'] - silent_at, 3),
            'status': answers[run['id']]['status'],
        }
        for run in world.record.of('run')
        if run['server'] == LEAVER
        and sent[run['id']]['t'] > acked + DRAIN_S + 0.05
    ]
    return late


if __name__ == '__main__':
    run_case(play, str(Path(__file__).with_name('record.txt')), entries=6)
