"""Machines that are cut off from all servers don't use their peers.

The servers of the service name a limit that no traffic comes near. Without
trouble they name it as well, and no machine is cut off.
"""

import asyncio
import time
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from standins_2 import BROKEN, HELD, OK, UNUSABLE, Entry, Site, ask, run_case

MACHINES = 4
CUT_MACHINES = 2
# Requests a second that each server takes; all together get 40.
LIMIT = '200'
JOIN_SECONDS = 4.0
CALM_SECONDS = 4.0
CUT_SECONDS = 12.0
CONTACT_SECONDS = 3.0
INTERVAL_SECONDS = 0.2
WAIT_SECONDS = 1.5
KINDS = ('job-confirm', 'status-check')
# From the rule: less than two thirds of the others' share, and more than 10 +
# 1 in 50 of the first tries.
LEAST_SHARE = 2 / 3
FAILED_BASE = 10
FAILED_SHARE = 1 / 50
# Each request has an id of its own.
numbers = count()


@dataclass(frozen=True, kw_only=True)
class FirstTry:
    """A client's first try at a machine, and how it ended."""

    at: float
    entry: Entry
    status: int


async def send_all(site: Site, ends_at: float, tries: list[FirstTry]) -> None:
    """Send requests of each kind to each machine until a time."""
    calls = []
    while time.monotonic() < ends_at:
        for entry in site.entries:
            for kind in KINDS:
                name = f'{kind}-{next(numbers)}'
                call = call_once(site, entry, name, f'/{kind}/x', tries)
                calls.append(asyncio.create_task(call))
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.gather(*calls)


async def call_once(
    site: Site, entry: Entry, name: str, target: str, tries: list[FirstTry]
) -> None:
    """Send one request to one machine."""
    at = time.monotonic()
    status = await ask(entry, name, target, WAIT_SECONDS)
    site.record.write(name, 'at', entry.host, 'answered', status)
    tries.append(FirstTry(at=at, entry=entry, status=status))


def is_broken(site: Site, cut: list[FirstTry], others: list[FirstTry]) -> bool:
    """Return whether the rule was broken by these first tries."""
    served = sum(each.status == OK for each in cut)
    served_elsewhere = sum(each.status == OK for each in others)
    site.record.write('at machines cut off:', served, 'of', len(cut))
    site.record.write('at the others:', served_elsewhere, 'of', len(others))
    share = served / len(cut)
    share_elsewhere = served_elsewhere / len(others)
    failed = len(cut) - served
    is_worse = share < LEAST_SHARE * share_elsewhere
    return is_worse and failed > FAILED_BASE + FAILED_SHARE * len(cut)


async def play(site: Site, has_trouble: bool) -> int:
    """Return whether the machines that are cut off served their clients."""
    if not await site.open(entries=MACHINES, services={'kiosk-desk': 3}):
        return UNUSABLE
    for server in site.servers:
        server.signals = (('Server-Limit', LIMIT),)
    await asyncio.sleep(JOIN_SECONDS)
    await send_all(site, time.monotonic() + CALM_SECONDS, [])
    cut_machines = set(site.entries[:CUT_MACHINES])
    if has_trouble:
        site.record.write('two machines are cut off from all servers')
        for server in site.servers:
            server.cut.entries.update(cut_machines)
    cut_at = time.monotonic()
    tries: list[FirstTry] = []
    await send_all(site, cut_at + CUT_SECONDS, tries)
    counted = [each for each in tries if each.at > cut_at + CONTACT_SECONDS]
    cut = [each for each in counted if each.entry in cut_machines]
    others = [each for each in counted if each.entry not in cut_machines]
    return BROKEN if is_broken(site, cut, others) else HELD


if __name__ == '__main__':
    run_case(str(Path(__file__).parent), play)
