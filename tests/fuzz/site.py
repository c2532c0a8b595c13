"""A running site, with what another writer and faulty endpoints send.

Entries run as processes under load while rows of the endpoint list, reports of
engines and bytes of callers are drawn at random. No process ends by itself, no
request that was read stays without an answer, and the plain ones are served.
"""

import time
from dataclasses import dataclass, field
from pathlib import Path

import trio
from hypothesis import strategies as st

from fuzz.grammar import INNER_ID
from fuzz.inputs import (
    INPUT,
    SpoiledInput,
    send_input,
    spoiled_reports,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address
from platform_site import open_site, wait_ready
from test_rows_of_other_writers import (
    NOT_RUN_STATUSES,
    SERVED,
    Results,
    send_calls,
    watch_processes,
)

ENTRIES = 3
CALLERS = 4
STEP_SECONDS = 0.15
# Time for a second answer to each of the last inputs.
SETTLE_SECONDS = 2.0
MIN_INPUTS, MAX_INPUTS = 20, 40
MIN_SERVED_SHARE = 0.98
INPUTS = st.lists(INPUT, min_size=MIN_INPUTS, max_size=MAX_INPUTS)


@dataclass(kw_only=True)
class _Load:
    results: Results = field(default_factory=Results)
    reports: list[bytes] = field(default_factory=list)


def check_site(
    inputs: list[SpoiledInput], folder: Path, production: str = ''
) -> None:
    """Play inputs on a new site; raise ``AssertionError`` on a fault."""
    trio.run(_check_site, inputs, folder, production)


async def _check_site(
    inputs: list[SpoiledInput], folder: Path, production: str
) -> None:
    load = _Load()
    with spoiled_reports(load.reports):
        runs = await _play(inputs, folder, load, production)
    outcomes = load.results.outcomes
    assert not load.results.ended, 'processes have ended by themselves'
    lost = {
        request_id: outcome
        for request_id, outcome in outcomes.items()
        if outcome != SERVED
        and (outcome not in NOT_RUN_STATUSES or runs.count(request_id))
    }
    assert not lost, f'without an answer: {lost}'
    served = sum(outcome == SERVED for outcome in outcomes.values())
    assert served >= MIN_SERVED_SHARE * len(outcomes), 'too few are served'
    hidden = [each for each in runs if each.startswith(INNER_ID)]
    assert not hidden, f'no caller sent {hidden}'


async def _play(
    inputs: list[SpoiledInput], folder: Path, load: _Load, production: str
) -> list[str]:
    async with open_site(
        folder, ENTRIES, production=production, engines=4, desks=3
    ) as site:
        client = HttpClient()
        for entry in site.entries:
            ready = Address(host=entry.host, port=site.port + 1)
            await wait_ready(client, ready)
        seconds = STEP_SECONDS * len(inputs) + SETTLE_SECONDS
        until = time.monotonic() + seconds
        ended = load.results.ended
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_processes, site.entries, ended)
            async with trio.open_nursery() as senders:
                for number in range(CALLERS):
                    senders.start_soon(
                        send_calls, site, number, load.results, until
                    )
                for number, spoiled in enumerate(inputs):
                    await trio.sleep(STEP_SECONDS)
                    await send_input(site, load.reports, number, spoiled)
            nursery.cancel_scope.cancel()
        return [run.request_id for run in site.journal.runs]
