"""An entry's process whose background tasks fail, from the first one on."""

import json
import os
import signal
import subprocess
import sys

import trio

from limpetdrift.platform.background_tasks import (
    CALLER_SERVER,
    MAX_FAILING_SECONDS,
)
from limpetdrift.programs.exits import FAILED_EXIT
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request
from limpetdrift.verdict import Verdict
from platform_site import READY_SECONDS, open_site, send_calls, wait_ready
from soak.site import HOST, EntryProcess, Site

# Starts an entry of which two tasks fail at each of their starts, and whose
# listener for callers fails once the file in the first argument exists.
FAILING_ENTRY = """
import sys
from pathlib import Path
from limpetdrift.coordination.planning import engine_report_poller
from limpetdrift.platform import program, registration
from limpetdrift.transport import accepting

async def fail(self):
    raise OverflowError('connect(): port must be 0-65535.')

engine_report_poller.EngineReportPoller.run = fail
registration.Registration.run = fail
breaks, port = Path(sys.argv[1]), int(sys.argv[2])
accept = accepting.SharedListener.accept

async def accept_or_fail(self):
    stream = await accept(self)
    own_port = self._listener.socket.getsockname()[1]
    if own_port == port and breaks.exists():
        await stream.aclose()
        raise OSError(9, 'listener is broken')
    return stream

accepting.SharedListener.accept = accept_or_fail
sys.argv = sys.argv[:1]
program.run()
"""


def start_failing(entry: EntryProcess, breaks) -> None:
    """Start the program above in place of an entry's process."""
    entry.end()
    environment = os.environ | {
        'LIMPETDRIFT_BOOT': str(entry.settings_file),
        'PYTHONPATH': entry.choose_source(),
    }
    with entry.log.open('wb') as log:
        entry.popen = subprocess.Popen(
            [sys.executable, '-c', FAILING_ENTRY, breaks, str(entry.port)],
            env=environment,
            stdout=log,
            stderr=log,
        )


def lines_of(entry: EntryProcess) -> list[dict[str, object]]:
    return [json.loads(line) for line in entry.log.read_text().splitlines()]


async def wait_ended(entry: EntryProcess) -> int:
    return await trio.to_thread.run_sync(entry.popen.wait, READY_SECONDS)


def run_failing(folder, body) -> None:
    """Run a function of a site whose entry has failing tasks."""
    breaks = folder / 'breaks'

    async def run_site() -> None:
        async with open_site(folder, engines=0, desks=2) as site:
            entry = site.entries[0]
            start_failing(entry, breaks)
            await wait_ready(
                HttpClient(), Address(host=entry.host, port=entry.port + 1)
            )
            await body(site, breaks)

    trio.run(run_site)


def test_error_of_a_background_task_ends_the_process(tmp_path):
    async def body(site: Site, breaks) -> None:
        entry = site.entries[0]
        for name in ('a', 'b'):
            answers = await send_calls(
                site, (f'{name}-{each}' for each in range(10))
            )
            assert {answer.status for answer in answers} == {200}
            await trio.sleep(0.5)
        entry.signal(signal.SIGTERM)
        assert await wait_ended(entry) == 0
        failed = [
            line
            for line in lines_of(entry)
            if line['message'] == 'background task failed'
        ]
        assert {line['task'] for line in failed} == {
            'engine-reports',
            'registration',
        }
        assert {line['error_type'] for line in failed} == {'OverflowError'}
        assert all('in fail\n' in line['error'] for line in failed)

    run_failing(tmp_path, body)


def test_entry_that_accepts_nobody_ends_with_requests_unanswered(tmp_path):
    """It leaves the directory and drains first, and then ends with an error."""

    async def body(site: Site, breaks) -> None:
        entry = site.entries[0]
        client = HttpClient()
        address = Address(host=entry.host, port=entry.port)
        statuses: list[int] = []

        async def call(number: int) -> bool:
            """Send a request; return whether the connection goes on."""
            answer = await client.fetch(
                address,
                Request(
                    method='GET',
                    path='/twice/x',
                    headers=(
                        ('host', HOST),
                        ('attempt-id', f'a{number}'),
                        ('authorization', 'Bearer key-0'),
                        ('deadline-ms', '1500'),
                    ),
                ),
                timeout_seconds=5,
            )
            if answer.is_error():
                assert answer.error.verdict is Verdict.NOT_RUN
                return False
            statuses.append(answer.ok.status)
            return answer.ok.header('connection') != 'close'

        assert await call(0)
        breaks.touch()
        began = trio.current_time()
        for number in range(1, 400):
            # Other callers find a listener that fails.
            await HttpClient().fetch(
                address, Request(method='GET', path='/'), timeout_seconds=1
            )
            if not await call(number):
                break
            await trio.sleep(0.02)
        assert set(statuses) == {200}
        assert trio.current_time() - began >= MAX_FAILING_SECONDS[CALLER_SERVER]
        ready = await HttpClient().fetch(
            Address(host=entry.host, port=entry.port + 1),
            Request(method='GET', path='/-/readiness'),
            timeout_seconds=1,
        )
        assert ready.ok.status == 503
        assert await wait_ended(entry) == FAILED_EXIT
        lines = lines_of(entry)
        messages = [line['message'] for line in lines]
        leaving = messages.index('task keeps failing, leaving')
        assert lines[leaving]['task'] == 'caller-server'
        assert messages.index('draining') > leaving
        assert messages.index('stopped') > leaving
        assert lines[-1]['message'] == 'ended by an error'
        assert lines[-1]['error_type'] == 'TaskFailingError'

    run_failing(tmp_path, body)
