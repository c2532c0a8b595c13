"""A machine that is cut off from the servers goes back to an older version.

Its peers carry its requests by their own desired state. One of them is
partitioned from the store, so that it learns of a new version later. Without
trouble no machine is cut off from anything.
"""

import asyncio
import math
import time
from dataclasses import dataclass
from pathlib import Path

from standins_2 import BROKEN, HELD, UNUSABLE, Site, ask, run_case

OLD_SERVICE, NEW_SERVICE = 'kiosk-desk', 'status-desk'
JOIN_SECONDS = 5.0
CUT_SECONDS = 3.0
CHANGE_AFTER_SECONDS = 0.1
PLAY_SECONDS = 1.9
INTERVAL_SECONDS = 0.05
WAIT_SECONDS = 1.0
ROLLBACK_SLACK_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True)
class Sent:
    """A request of a client to the machine, and when it was sent."""

    name: str
    at: float


async def send_all(site: Site, seconds: float, sent: list[Sent]) -> None:
    """Send requests to the first machine for a time, one each interval."""
    ends_at = time.monotonic() + seconds
    calls = []
    while time.monotonic() < ends_at:
        request = Sent(name=f'request-{len(sent)}', at=time.monotonic())
        sent.append(request)
        call = call_once(site, request.name)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.gather(*calls)


async def call_once(site: Site, name: str) -> None:
    """Send one request to the first machine."""
    site.record.write(name, 'sent to the first machine')
    status = await ask(site.entries[0], name, '/status-check/x', WAIT_SECONDS)
    site.record.write(name, 'answered', status)


def find_runs(site: Site, service: str) -> dict[str, float]:
    """Return when requests ran at a service, by their ids."""
    servers = [each for each in site.servers if each.service == service]
    return {name: at for each in servers for name, at in each.runs.items()}


def count_regressions(site: Site, sent: list[Sent]) -> int:
    """Return how many requests ran as only the older version allows.

    They were sent more than the slack after a server saw the newer version, by
    a request that was sent to the same machine.
    """
    moved = find_runs(site, NEW_SERVICE)
    others = find_runs(site, OLD_SERVICE)
    seen_at = min(moved.values(), default=math.inf)
    back = [
        f'{each.name} after {each.at - seen_at:.3f} s'
        for each in sent
        if each.at > seen_at + ROLLBACK_SLACK_SECONDS and each.name in others
    ]
    site.record.write('requests run:', len(moved) + len(others))
    site.record.write('ran at the new service:', len(moved))
    site.record.write('ran at the old service after that:', back)
    return len(back)


async def play(site: Site, has_trouble: bool) -> int:
    """Return whether the machine went back to an older version."""
    services = {OLD_SERVICE: 3, NEW_SERVICE: 3}
    if not await site.open(entries=3, services=services):
        return UNUSABLE
    site.write_configuration(2, {})
    await asyncio.sleep(JOIN_SECONDS)
    first, second, _ = site.entries
    if has_trouble:
        site.record.write('the first machine is cut off from all servers')
        for server in site.servers:
            server.cut.entries.add(first)
    sent: list[Sent] = []
    await send_all(site, CUT_SECONDS, sent)
    if has_trouble:
        site.record.write('the second machine is partitioned from the store')
        site.store.cut.entries.add(second)
    await asyncio.sleep(CHANGE_AFTER_SECONDS)
    site.write_configuration(3, {'status-check': NEW_SERVICE})
    site.record.write('the store has acknowledged version 3')
    await send_all(site, PLAY_SECONDS, sent)
    return BROKEN if count_regressions(site, sent) else HELD


if __name__ == '__main__':
    run_case(str(Path(__file__).parent), play)
