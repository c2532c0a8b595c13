"""What another writer, engines and callers send that can't be taken as it is.

The inputs are drawn by hypothesis, and sent to a running site one by one.
"""

from base64 import b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio
from hypothesis import Phase
from hypothesis import strategies as st

from fuzz.decoders import REPORT
from fuzz.grammar import (
    SentRequest,
    change_document,
    play_seed,
    sent_requests,
)
from limpet_standins.platform_endpoints import StandinEndpoint
from limpetdrift.platform.endpoint_rows import decode_endpoint
from limpetdrift.transport.messages import Response
from server_harness import read_all
from soak.site import EntryProcess, Site
from test_platform_decoders import ROW

READ_SECONDS = 3.0
OK = 200
KEY = 'key-0'
TARGET = '/twice/x'
# Nobody listens there.
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
                ROW | {'service': service, 'address': UNUSED_ADDRESS}
            ),
        )
    )
    .filter(lambda row: decode_endpoint('other', row.payload).is_error())
)
_REPORTS = st.builds(SpoiledReport, payload=change_document(REPORT))
INPUT = _ROWS | _REPORTS | sent_requests(0, KEY, TARGET)


def draw_inputs(number: int, count: int) -> list[SpoiledInput]:
    """Return the inputs that a seed gives, up to ``count``."""
    found: list[SpoiledInput] = []
    play_seed(
        INPUT,
        found.append,
        number=number,
        count=count,
        phases=(Phase.generate,),
    )
    return found


async def send_input(
    site: Site, reports: list[bytes], number: int, spoiled: SpoiledInput
) -> None:
    """Send one input; engines answer with the last of ``reports``."""
    if isinstance(spoiled, SpoiledRow):
        text = b64encode(spoiled.payload).decode()
        site.store.rows.write('servers', f'other-{number}', text)
    elif isinstance(spoiled, SpoiledReport):
        reports.append(spoiled.payload)
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
def spoiled_reports(reports: list[bytes]) -> Iterator[None]:
    """Let every second engine answer with the last of ``reports``."""
    respond = StandinEndpoint._respond_without_running

    def spoil(endpoint, request, arrived_at):
        is_spoiled = endpoint.name.endswith(('1', '3', '5', '7', '9'))
        if reports and is_spoiled and request.path == '/-/report':
            return Response(status=OK, body=reports[-1])
        return respond(endpoint, request, arrived_at)

    StandinEndpoint._respond_without_running = spoil
    try:
        yield
    finally:
        StandinEndpoint._respond_without_running = respond
