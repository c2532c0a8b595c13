"""Entry processes while another writer lists endpoints that can't be used.

Any process can write to the endpoint list. A row that names no endpoint ends
no process and costs no request: the sound endpoints serve all of them.
"""

import json
import time
from base64 import b64encode
from collections import Counter
from dataclasses import dataclass, field

import pytest
import trio

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from platform_site import open_site, wait_ready
from soak.connections import Connection, UnansweredError, connect
from soak.site import HOST, EntryProcess, Site

ENTRIES = 4
CALLERS = 6
STEP_SECONDS = 1.0
STEPS = 9
# Longer than the timeout of each route.
ANSWER_SECONDS = 10.0
SERVED = 200
# Statuses that state that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
EVENTS = 5
HEADERS = {
    'once': {'deadline-ms': '1500'},
    'twice': {'deadline-ms': '1500'},
    'text': {'deadline-ms': '8000', 'token-usage': '3000,255'},
}
SOUND_FIELDS = {
    'address': '127.0.0.1:9',
    'zone': 'zone-1',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'born': 1,
}
PORTS = (
    {'address': '127.0.0.1:80800'},
    {'address': '127.0.0.1:65536'},
    {'address': '127.0.0.1:0'},
)
HOSTS = (
    {'address': '10.1..9:80'},
    {'address': ''.join(('a' * 64, '.example:80'))},
    {'address': '127.0.0.1\x00:80'},
    {'address': 'not-an-address:80'},
    {'address': '[fe80::1%nowhere]:80'},
    {'address': '[::1:80'},
)
REFUSED = (
    {'born': 2**70},
    {'slots': 2**70},
    {'zone': b'\xff\xfe'},
    {'address': ''.join(('127.0.0.1:', '9' * 4400))},
)


@dataclass(kw_only=True)
class Results:
    """What callers and the watch over the processes saw.

    ``outcomes`` maps the id of each request to its status, or to the reason
    why it got no whole answer.
    """

    outcomes: dict[str, int | str] = field(default_factory=dict)
    ended: list[str] = field(default_factory=list)


def write_row(
    site: Site, key: str, service: str, changes: dict[str, object]
) -> None:
    """List an endpoint; a text as bytes goes into the row as it is."""
    raw = {
        name: text for name, text in changes.items() if isinstance(text, bytes)
    }
    content = SOUND_FIELDS | {'service': service} | changes
    payload = json.dumps(content | dict.fromkeys(raw, 'RAW')).encode()
    for text in raw.values():
        payload = payload.replace(b'RAW', text)
    site.store.rows.write('servers', key, b64encode(payload).decode())


async def send_calls(
    site: Site, number: int, results: Results, until: float
) -> None:
    """Send requests over one kept connection to each entry in turn."""
    connections: dict[str, Connection] = {}
    sent = 0
    while time.monotonic() < until:
        entry = site.entries[(number + sent) % len(site.entries)]
        route = ('text', 'once', 'text', 'twice')[sent % 4]
        request_id = f'{number}-{sent}-{route}'
        sent += 1
        connection = connections.pop(entry.name, None)
        results.outcomes[request_id] = 'no answer in time'
        with trio.move_on_after(ANSWER_SECONDS):
            try:
                connection = connection or await connect(
                    Address(host=entry.host, port=entry.port)
                )
                results.outcomes[request_id] = await read_answer(
                    connection, request_id, route
                )
            except (OSError, trio.TooSlowError):
                results.outcomes[request_id] = 'no connection'
            except UnansweredError as error:
                results.outcomes[request_id] = f'cut, unread: {error.is_unread}'
        if connection is not None and connection.is_reusable:
            connections[entry.name] = connection
        elif connection is not None:
            connection.close()
        await trio.sleep(0.05)
    for connection in connections.values():
        connection.close()


async def read_answer(
    connection: Connection, request_id: str, route: str
) -> int | str:
    headers = HEADERS[route] | {
        'host': HOST,
        'attempt-id': request_id,
        'authorization': 'Bearer key-0',
    }
    request = Request(
        method='POST',
        path=f'/{route}/x',
        headers=tuple(headers.items()),
        body=b'{}',
    )
    status, body = 0, b''
    async for part in connection.call(request):
        if isinstance(part, int):
            status = part
        else:
            body += part
    events = body.count(b'data:')
    if route == 'text' and status == SERVED and events != EVENTS:
        return f'{events} of {EVENTS} events'
    return status


async def watch_processes(
    entries: list[EntryProcess], ended: list[str]
) -> None:
    """Enter the names of entries whose processes ended by themselves."""
    while True:
        for entry in entries:
            status = entry.popen.poll()
            if status is not None and entry.name not in ended:
                ended.append(entry.name)
        await trio.sleep(0.05)


async def play_rows(
    folder, service: str, rows: tuple[dict[str, object], ...]
) -> tuple[Results, Counter[str]]:
    """List one row after the other under load, and a new configuration."""
    results = Results()
    async with open_site(folder, ENTRIES, engines=4, desks=3) as site:
        client = HttpClient()
        for entry in site.entries:
            await wait_ready(
                client, Address(host=entry.host, port=site.port + 1)
            )
        until = time.monotonic() + STEP_SECONDS * STEPS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_processes, site.entries, results.ended)
            async with trio.open_nursery() as senders:
                for number in range(CALLERS):
                    senders.start_soon(send_calls, site, number, results, until)
                for number, changes in enumerate(rows):
                    await trio.sleep(STEP_SECONDS)
                    write_row(site, f'other-{number}', service, changes)
                    site.publish_configuration()
            nursery.cancel_scope.cancel()
        return results, Counter(run.request_id for run in site.journal.runs)


@pytest.mark.parametrize('service', ['engines', 'desk'])
@pytest.mark.parametrize(
    'rows',
    [
        pytest.param(PORTS, id='ports'),
        pytest.param(HOSTS, id='hosts'),
        pytest.param(REFUSED, id='refused'),
    ],
)
def test_rows_of_another_writer_end_no_process(tmp_path, rows, service):
    """Guards against processes that a row's address ends, again and again."""
    results, runs = trio.run(play_rows, tmp_path, service, rows)
    unserved = {
        request_id: outcome
        for request_id, outcome in results.outcomes.items()
        if outcome != SERVED
    }
    # Lost: neither a whole answer nor a refusal as not run, which holds.
    lost = {
        request_id: outcome
        for request_id, outcome in unserved.items()
        if outcome not in NOT_RUN_STATUSES or runs[request_id]
    }
    assert not results.ended, f'lost {lost}'
    assert not lost
    assert not unserved
    assert results.outcomes
