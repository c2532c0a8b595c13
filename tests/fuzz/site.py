"""A running site, with what another writer and faulty endpoints send.

Entries run as processes under load while rows of the endpoint list, reports of
engines and bytes of callers are drawn at random. No process ends by itself, no
request that was read stays without an answer, and the plain ones are served.
"""

import time
from base64 import b64encode
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import trio
from hypothesis import strategies as st

from fuzz.decoders import REPORT
from fuzz.grammar import SentRequest, change_document, sent_requests
from limpet_standins.platform_endpoints import StandinEndpoint
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from platform_site import open_site, wait_ready
from server_harness import read_all
from soak.site import EntryProcess, Site
from test_rows_of_other_writers import (
    NOT_RUN_STATUSES,
    SERVED,
    SOUND_FIELDS,
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
READ_SECONDS = 3.0
KEY = 'key-0'
TARGET = '/twice/x'
UNUSED_ADDRESS = '127.0.0.1:4999'


@dataclass(frozen=True, kw_only=True)
class SpoiledRow:
    """A row of the endpoint list by another writer."""

    service: str
    payload: bytes


@dataclass(frozen=True, kw_only=True)
class SpoiledReport:
    """What engines answer when they are asked for a report."""

    payload: bytes


SpoiledInput = SpoiledRow | SpoiledReport | SentRequest

# Rows that name a sound address, though nobody listens there, are left out: an
# endpoint that is down costs requests.
_ROWS = (
    st.sampled_from(('engines', 'desk'))
    .flatmap(
        lambda service: st.builds(
            SpoiledRow,
            service=st.just(service),
            payload=change_document(
                SOUND_FIELDS | {'service': service, 'address': UNUSED_ADDRESS}
            ),
        )
    )
    .filter(lambda row: decode_endpoint('other', row.payload).is_error())
)
_REPORTS = st.builds(SpoiledReport, payload=change_document(REPORT))
INPUTS = st.lists(
    _ROWS | _REPORTS | sent_requests(0, KEY, TARGET),
    min_size=MIN_INPUTS,
    max_size=MAX_INPUTS,
)


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
    with _spoiled_reports(load.reports):
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
    hidden = [each for each in runs if each.startswith('inner')]
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
                    await _inject(site, load, number, spoiled)
            nursery.cancel_scope.cancel()
        return [run.request_id for run in site.journal.runs]


async def _inject(
    site: Site, load: _Load, number: int, spoiled: SpoiledInput
) -> None:
    if isinstance(spoiled, SpoiledRow):
        text = b64encode(spoiled.payload).decode()
        site.store.rows.write('servers', f'other-{number}', text)
    elif isinstance(spoiled, SpoiledReport):
        load.reports.append(spoiled.payload)
    else:
        entry = site.entries[number % len(site.entries)]
        with trio.move_on_after(READ_SECONDS):
            await _send_bytes(entry, spoiled.payload)


async def _send_bytes(entry: EntryProcess, payload: bytes) -> None:
    """Send bytes on a new connection, and read until it is closed."""
    try:
        stream = await trio.open_tcp_stream(entry.host, entry.port)
        async with stream:
            await stream.send_all(payload)
            await stream.send_eof()
            await read_all(stream)
    except (OSError, trio.BrokenResourceError):
        # The watch over the processes tells whether the entry has ended.
        return


@contextmanager
def _spoiled_reports(reports: list[bytes]):
    """Let every second engine answer with the last of ``reports``."""
    respond = StandinEndpoint._respond_without_running

    def spoil(endpoint, request, arrived_at):
        is_spoiled = endpoint.name.endswith(('1', '3', '5', '7', '9'))
        if reports and is_spoiled and request.path == '/-/report':
            return Response(status=SERVED, body=reports[-1])
        return respond(endpoint, request, arrived_at)

    StandinEndpoint._respond_without_running = spoil
    try:
        yield
    finally:
        StandinEndpoint._respond_without_running = respond
