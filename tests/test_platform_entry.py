"""Tests of an entry that runs as a process with stand-ins of the platform."""

import json
import signal
import subprocess
import sys
import time
from contextlib import suppress

import trio

from limpetdrift.platform.carrying import CARRY_PATH
from limpetdrift.platform.entry_wiring import DRAIN_GRACE_SHARE
from limpetdrift.platform.header_names import (
    CARRIED_METHOD_HEADER,
    CARRIED_TARGET_HEADER,
)
from limpetdrift.platform.limit_rows import TABLE as LIMITS_TABLE
from limpetdrift.platform.limit_rows import WRITE_BATCH_SECONDS
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from platform_site import READY_SECONDS, open_site, send_calls, wait_ready
from soak.site import HOST, STOP_GRACE_SECONDS, EntryProcess, Site

# Time of the first write of a limit, and a margin for a busy machine.
LIMIT_WRITTEN_SECONDS = WRITE_BATCH_SECONDS + 3.0


def test_entry_serves_while_no_process_reads_its_log(tmp_path):
    """Guards against blocking on a full pipe, which holds about 250 lines.

    Each of the requests is for an unknown route and logs a line.
    """
    statuses: list[int] = []

    async def run_site() -> None:
        async with open_site(tmp_path, engines=1, desks=1) as site:
            site.entries[0].end()
            site.entries[0].start(logs_to_file=False)
            await send_requests(site)

    async def send_requests(site: Site) -> None:
        host = site.entries[0].host
        client = HttpClient()
        await wait_ready(client, Address(host=host, port=site.port + 1))
        for number in range(1200):
            answer = await client.fetch(
                Address(host=host, port=site.port),
                Request(
                    method='GET',
                    path='/nowhere',
                    headers=(('host', HOST), ('attempt-id', f'a{number}')),
                ),
                timeout_seconds=10,
            )
            statuses.append(answer.ok.status if answer.is_ok() else 0)

    trio.run(run_site)
    assert len(statuses) == 1200
    assert set(statuses) <= {404, 503}


def run_with_endpoints(folder, body, **counts: int) -> None:
    """Run a function of a site with one entry that is ready."""

    async def run_site() -> None:
        all_counts = {'engines': 0, 'desks': 0} | counts
        async with open_site(folder, **all_counts) as site:
            entry = site.entries[0]
            await wait_ready(
                HttpClient(), Address(host=entry.host, port=entry.port + 1)
            )
            await body(site)

    trio.run(run_site)


def test_callers_reach_no_path_of_peers(tmp_path):
    forged = {CARRIED_METHOD_HEADER: 'GET', CARRIED_TARGET_HEADER: '/twice/x'}

    async def body(site: Site) -> None:
        await send_calls(site, ['known'])
        for path in (CARRY_PATH, f'/{CARRY_PATH}', '/peer/gossip'):
            answers = await send_calls(site, [f'to-{path}'], path, **forged)
            assert [answer.status for answer in answers] == [404]
        assert {run.request_id for run in site.journal.runs} == {'known'}

    run_with_endpoints(tmp_path, body, desks=1)


def test_desk_that_says_it_leaves_in_an_answer_gets_no_more_calls(tmp_path):
    async def body(site: Site) -> None:
        first = next(iter(site.endpoints.values())).endpoint
        await send_calls(site, (f'before-{each}' for each in range(20)))
        assert first.name in {run.endpoint for run in site.journal.runs}
        first.leaving = True
        site.journal.runs.clear()
        answers = await send_calls(
            site, (f'after-{each}' for each in range(20))
        )
        assert {answer.status for answer in answers} == {200}
        assert not any(answer.header('server-leaving') for answer in answers)
        at_first = [
            run for run in site.journal.runs if run.endpoint == first.name
        ]
        assert len(at_first) <= 1

    run_with_endpoints(tmp_path, body, desks=2)


def test_desk_that_asked_for_a_back_off_is_left_alone_until_its_end(tmp_path):
    async def body(site: Site) -> None:
        first = next(iter(site.endpoints.values())).endpoint
        started = time.monotonic()
        first.busy_until = started + 3.0
        names = (f'during-{each}' for each in range(20))
        answers = await send_calls(site, names)
        assert time.monotonic() < first.busy_until
        assert {answer.status for answer in answers} == {200}
        assert len(site.journal.turned_away) == 1
        await trio.sleep(first.busy_until - time.monotonic() + 0.1)
        await send_calls(site, (f'after-{each}' for each in range(20)))
        assert first.name in {run.endpoint for run in site.journal.runs}

    run_with_endpoints(tmp_path, body, desks=2)


def test_engine_that_asked_for_a_back_off_gets_no_prompt_and_no_poll(tmp_path):
    prompt = {'token-usage': '4000,510', 'deadline-ms': '8000'}

    async def body(site: Site) -> None:
        first = next(iter(site.endpoints.values())).endpoint
        first.busy_until = time.monotonic() + 3.0
        names = (f'during-{each}' for each in range(5))
        answers = await send_calls(site, names, '/text/x', **prompt)
        assert {answer.status for answer in answers} == {200}
        await trio.sleep(first.busy_until - time.monotonic() - 0.1)
        # A poll and a prompt may be on their way at once.
        assert 1 <= len(site.journal.turned_away) <= 2

    run_with_endpoints(tmp_path, body, engines=2)


def test_call_is_refused_at_once_if_all_desks_asked_for_a_back_off(tmp_path):
    async def body(site: Site) -> None:
        endpoints = [
            each.endpoint
            for each in site.endpoints.values()
            if each.endpoint.service == 'desk'
        ]
        assert len(endpoints) == 2
        started = time.monotonic()
        for endpoint in endpoints:
            endpoint.busy_until = started + 10.0
        answers = await send_calls(site, (f'a-{each}' for each in range(20)))
        seconds = time.monotonic() - started
        assert seconds < 5.0
        assert {answer.status for answer in answers} == {503}
        least = 10.0 - seconds
        retry_times = {float(each.header('retry-after')) for each in answers}
        assert min(retry_times) >= least
        assert len(retry_times) > 10
        assert len(site.journal.turned_away) == len(endpoints)
        assert not site.journal.runs

    run_with_endpoints(tmp_path, body, desks=2)


def test_entry_that_starts_again_uses_no_server_that_left_and_no_old_key(
    tmp_path,
):
    """A key is revoked and a desk leaves while the entry doesn't run."""

    async def body(site: Site) -> None:
        entry = site.entries[0]
        name, running = next(iter(site.endpoints.items()))
        await send_calls(site, (f'before-{each}' for each in range(10)))
        assert name in {run.endpoint for run in site.journal.runs}
        entry.end()
        site.revoke_key('key-0')
        running.endpoint.register(site.store, 'draining')
        entry.start()
        await wait_ready(
            HttpClient(), Address(host=entry.host, port=entry.port + 1)
        )
        site.journal.runs.clear()
        answers = await send_calls(site, (f'old-{each}' for each in range(5)))
        assert {answer.status for answer in answers} == {401}
        answers = await send_calls(
            site,
            (f'after-{each}' for each in range(20)),
            authorization='Bearer key-1',
        )
        assert {answer.status for answer in answers} == {200}
        assert name not in {run.endpoint for run in site.journal.runs}

    run_with_endpoints(tmp_path, body, desks=2)


def test_endpoint_that_names_a_rate_limit_gets_no_more(tmp_path):
    async def body(site: Site) -> None:
        first = next(iter(site.endpoints.values())).endpoint
        first.rate_limit = 1
        answers = await send_calls(site, (f'a-{each}' for each in range(100)))
        assert {answer.status for answer in answers} == {200}
        times = [
            at for _, name, at in site.journal.arrivals if name == first.name
        ]
        assert times
        assert len(times) <= 1.5 * (max(times) - min(times)) + 5

    run_with_endpoints(tmp_path, body, desks=2)


def test_check_prints_valid_settings_and_rejects_invalid_ones(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text(
        json.dumps(
            {
                'nodeName': 'entry-1',
                'zone': 'd-1',
                'region': 'r',
                'listen': {'front': '127.0.0.1:1'},
                'platform': {'address': '127.0.0.1:2'},
                'unknown': {'field': 1},
            },
        ),
    )

    def check(name: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [
                sys.executable,
                '-m',
                'limpetdrift.platform',
                '--check',
                '--settings',
                name,
            ],
            capture_output=True,
            timeout=60,
            check=False,
        )

    valid = check(str(path))
    assert valid.returncode == 0
    settings = json.loads(valid.stdout)
    assert settings['instance'] == 'entry-1'
    assert settings['failure_domain'] == 'd-1'
    path.write_text('{"nodeName": 7}')
    invalid = check(str(path))
    assert invalid.returncode == 2
    assert b'node.json' in invalid.stderr
    assert check(str(tmp_path / 'missing.json')).returncode == 2


# Runs the entry's command line, and sends itself SIGHUP as the first large
# library is loaded.
HANGUP_AT_IMPORT = """
import builtins, os, runpy, signal, sys
load = builtins.__import__
sent = []
def load_and_hang_up(name, *arguments, **options):
    if name == 'trio' and not sent:
        sent.append(name)
        os.kill(os.getpid(), signal.SIGHUP)
    return load(name, *arguments, **options)
builtins.__import__ = load_and_hang_up
sys.argv = ['entry', '--check', '--settings', 'missing.json']
runpy.run_module('limpetdrift.platform', run_name='__main__')
"""


def test_signal_to_read_settings_does_not_end_a_process_that_starts():
    """Replays settings that change while machines are started in turn."""
    ended = subprocess.run(
        [sys.executable, '-c', HANGUP_AT_IMPORT],
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == BAD_SETTINGS_EXIT
    assert b'missing.json' in ended.stderr


def test_entry_that_is_terminated_ends_with_exit_code_zero(tmp_path):
    exit_codes: list[int] = []

    async def stop(entry: EntryProcess) -> int:
        address = Address(host=entry.host, port=entry.port + 1)
        await wait_ready(HttpClient(), address)
        entry.popen.terminate()
        return await trio.to_thread.run_sync(entry.popen.wait)

    async def run_site() -> None:
        async with open_site(tmp_path, engines=1, desks=1) as site:
            exit_codes.append(await stop(site.entries[0]))

    trio.run(run_site)
    assert exit_codes == [0]


def test_signals_in_series_cut_off_no_admitted_stream(tmp_path):
    bodies: list[bytes | None] = []
    exit_codes: list[int] = []

    async def open_stream(entry: EntryProcess, key: str) -> None:
        answer = await HttpClient().fetch(
            Address(host=entry.host, port=entry.port),
            Request(
                method='POST',
                path='/text/x',
                headers=(
                    ('host', HOST),
                    ('attempt-id', 'a1'),
                    ('authorization', f'Bearer {key}'),
                    ('token-usage', '2000,2000'),
                ),
            ),
            timeout_seconds=10,
        )
        bodies.append(answer.ok.body if answer.is_ok() else None)

    async def stop_in_series(entry: EntryProcess) -> None:
        for number in (
            signal.SIGHUP,
            signal.SIGTERM,
            signal.SIGTERM,
            signal.SIGHUP,
            signal.SIGTERM,
        ):
            await trio.sleep(0.15)
            entry.signal(number)
        exit_codes.append(await trio.to_thread.run_sync(entry.popen.wait))

    async def run_site() -> None:
        async with open_site(tmp_path, engines=1, desks=1) as site:
            await stop_during_a_stream(site.entries[0])

    async def stop_during_a_stream(entry: EntryProcess) -> None:
        address = Address(host=entry.host, port=entry.port + 1)
        await wait_ready(HttpClient(), address)
        await trio.sleep(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(open_stream, entry, 'key-0')
            nursery.start_soon(stop_in_series, entry)

    trio.run(run_site)
    events = [
        line
        for line in (bodies[0] or b'').splitlines()
        if line.startswith(b'id: ')
    ]
    assert len(events) == 39
    assert exit_codes == [0]


def test_request_half_read_at_the_end_of_a_drain_is_refused(tmp_path):
    answers: list[bytes] = []

    async def post_slowly(entry: EntryProcess) -> None:
        """Send the rest of a body just after the grace period has ended."""
        stream = await trio.open_tcp_stream(entry.host, entry.port)
        head = f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: a1\r\n'
        await stream.send_all(f'{head}Content-Length: 4\r\n\r\nha'.encode())
        await trio.sleep(DRAIN_GRACE_SHARE * STOP_GRACE_SECONDS + 0.2)
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b'lf')
            answers.append(await stream.receive_some(4096))

    async def run_site() -> None:
        async with open_site(tmp_path, engines=1, desks=1) as site:
            await stop_during_a_request(site.entries[0])

    async def stop_during_a_request(entry: EntryProcess) -> None:
        address = Address(host=entry.host, port=entry.port + 1)
        await wait_ready(HttpClient(), address)
        entry.signal(signal.SIGTERM)
        await post_slowly(entry)
        await trio.to_thread.run_sync(entry.popen.wait)

    trio.run(run_site)
    assert answers[0].startswith(b'HTTP/1.1 503 ')


def test_entry_terminated_as_it_begins_to_listen_drains(tmp_path):
    exit_codes: list[int] = []

    async def terminate_once_it_listens(entry: EntryProcess) -> int:
        with trio.fail_after(READY_SECONDS):
            while True:
                with suppress(OSError):
                    await trio.open_tcp_stream(entry.host, entry.port)
                    break
                await trio.sleep(0.001)
        entry.popen.terminate()
        return await trio.to_thread.run_sync(entry.popen.wait)

    async def run_site() -> None:
        async with open_site(tmp_path, engines=1, desks=1) as site:
            exit_codes.append(await terminate_once_it_listens(site.entries[0]))

    trio.run(run_site)
    assert exit_codes == [0]


def test_limit_that_was_heard_before_a_restart_holds_after_it(tmp_path):
    """The entry is the only one, so no peer can tell it."""

    async def body(site: Site) -> None:
        entry = site.entries[0]
        name, running = next(iter(site.endpoints.items()))
        running.endpoint.rate_limit = '0'
        await send_calls(site, (f'before-{each}' for each in range(10)))
        await trio.sleep(LIMIT_WRITTEN_SECONDS)
        assert site.store.rows.read(LIMITS_TABLE)
        entry.end()
        site.journal.runs.clear()
        entry.start()
        await wait_ready(
            HttpClient(), Address(host=entry.host, port=entry.port + 1)
        )
        answers = await send_calls(
            site, (f'after-{each}' for each in range(20))
        )
        assert {answer.status for answer in answers} == {200}
        at_limited = [run for run in site.journal.runs if run.endpoint == name]
        # One may tell whether the limit has ended.
        assert len(at_limited) <= 1

    run_with_endpoints(tmp_path, body, desks=2)
