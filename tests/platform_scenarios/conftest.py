"""Steps of the scenarios with stand-ins of the platform and real entries.

The site runs in a thread of its own, so that it lives on between steps.
"""

import threading
import time
from functools import partial

import pytest
import trio
from pytest_bdd import given, parsers, then, when

from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Response
from platform_site import open_site, send_calls, wait_ready
from soak.site import EntryProcess

# The stand-in of an engine sends an event for each 51 tokens of an answer.
EVENTS = 40
ANSWER_TOKENS = EVENTS * 51
PROMPT_HEADERS = {
    'token-usage': f'4000,{ANSWER_TOKENS}',
    'deadline-ms': '8000',
}


class SiteThread:
    """A site in its own thread, and what its callers were answered.

    ``answers`` are those to the calls that were sent last, from ``sent_at`` on.
    """

    def __init__(self, folder, **counts: int) -> None:
        self.answers: list[Response] = []
        self.prompt_answers: list[Response] = []
        self.prompts_sent = 0
        self.copy = None
        self.sent_at = 0.0
        self._calls = 0
        self._started = threading.Event()
        self._thread = threading.Thread(
            target=trio.run, args=(self._run, folder, counts)
        )
        self._thread.start()
        self._started.wait()
        self.run(self._wait_ready)

    def run(self, function, *arguments):
        """Run an async function in the site's thread, and return its value."""
        return trio.from_thread.run(
            function, *arguments, trio_token=self._token
        )

    def run_sync(self, function, *arguments):
        """Run a function in the site's thread, and return its value."""
        return trio.from_thread.run_sync(
            function, *arguments, trio_token=self._token
        )

    def close(self) -> None:
        """End the site and its processes."""
        self.run_sync(self._closing.set)
        self._thread.join()

    def endpoint(self, service: str, number: int):
        """Return the stand-in of an endpoint, by its service and number."""
        endpoints = [
            each.endpoint
            for each in self.site.endpoints.values()
            if each.endpoint.service == service
        ]
        return endpoints[number - 1]

    def runs(self, desk: int) -> list[float]:
        """Return when calls ran at a desk."""
        name = self.endpoint('desk', desk).name
        return sorted(
            run.at for run in self.site.journal.runs if run.endpoint == name
        )

    def count_last_runs(self, desk: int) -> int:
        """Return how many of the calls that were sent last ran at a desk."""
        return sum(at >= self.sent_at for at in self.runs(desk))

    def send(self, count: int, key: str) -> None:
        """Send calls one after the other, to all entries by turns."""
        self.answers.clear()
        self.sent_at = time.monotonic()
        for number in range(count):
            self._calls += 1
            send = partial(
                send_calls,
                entry=number % len(self.site.entries),
                authorization=f'Bearer {key}',
            )
            self.answers += self.run(send, self.site, (f'c-{self._calls}',))

    def send_prompts(self, count: int) -> None:
        """Send prompts side by side, without waiting for their answers."""
        self.prompts_sent = count
        for number in range(count):
            self.run(self._start_prompt, f'p-{number}')

    def restart_entries(self) -> None:
        """Kill all entries, and start them again at once."""
        for entry in self.site.entries:
            entry.end()
        for entry in self.site.entries:
            entry.start()
        self.run(self._wait_ready)

    async def _run(self, folder, counts) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._closing = trio.Event()
        async with (
            open_site(folder, **counts) as site,
            trio.open_nursery() as nursery,
        ):
            self.site = site
            self._nursery = nursery
            self._started.set()
            await self._closing.wait()
            nursery.cancel_scope.cancel()

    async def _wait_ready(self) -> None:
        for entry in self.site.entries:
            await wait_ready(HttpClient(), _readiness_address(entry))

    async def _start_prompt(self, name: str) -> None:
        async def send() -> None:
            self.prompt_answers += await send_calls(
                self.site, (name,), '/text/x', **PROMPT_HEADERS
            )

        self._nursery.start_soon(send)


def _readiness_address(entry: EntryProcess) -> Address:
    return Address(host=entry.host, port=entry.port + 1)


@pytest.fixture
def start_site(tmp_path):
    sites = []

    def start(**counts: int) -> SiteThread:
        site = SiteThread(tmp_path, **counts)
        sites.append(site)
        return site

    yield start
    for each in sites:
        each.close()


@given(
    parsers.parse('a site with {entries:d} entries and {desks:d} desks'),
    target_fixture='site',
)
def site_with_desks(start_site, entries, desks):
    return start_site(entries=entries, engines=0, desks=desks)


@given(
    parsers.parse('a site with {entries:d} entry and {engines:d} engines'),
    target_fixture='site',
)
def site_with_engines(start_site, entries, engines):
    return start_site(entries=entries, engines=engines, desks=0)


@when(parsers.re(r'(?P<seconds>[\d.]+) seconds? pass(es)?'))
def wait_seconds(seconds):
    time.sleep(float(seconds))


@when(parsers.parse('{count:d} calls are sent with {key}'))
def send_calls_with_key(site: SiteThread, count, key):
    site.send(count, key)


@when(parsers.parse('{count:d} prompts are sent'))
def send_prompts(site: SiteThread, count):
    site.send_prompts(count)


@when(parsers.parse('desk {number:d} says in its answers that it leaves'))
def announce_leaving(site: SiteThread, number):
    site.endpoint('desk', number).leaving = True


@when(
    parsers.parse(
        'desk {number:d} turns all requests away for {seconds:g} seconds'
    )
)
def turn_requests_away(site: SiteThread, number, seconds):
    site.endpoint('desk', number).busy_until = time.monotonic() + seconds


@when(
    parsers.parse(
        'desk {number:d} limits its rate to {rate:g} requests a second'
    )
)
def limit_rate(site: SiteThread, number, rate):
    site.endpoint('desk', number).rate_limit = rate


@when(parsers.parse('engine {number:d} falls silent for {seconds:g} seconds'))
def silence_engine(site: SiteThread, number, seconds):
    site.endpoint('engines', number).fall_silent(seconds)


@when('all entries are killed and start again')
def restart_entries(site: SiteThread):
    site.restart_entries()


@when('the store is copied')
def copy_store(site: SiteThread):
    site.copy = site.site.store.rows.take_copy()


@when('the store comes back from its copy')
def return_store(site: SiteThread):
    site.run(partial(site.site.store.restore, site.copy, away_seconds=0.2))


@when(parsers.parse('{key} is revoked'))
def revoke_key(site: SiteThread, key):
    site.run_sync(site.site.revoke_key, key)


@when('the operator writes its rows again')
def write_rows_again(site: SiteThread):
    site.run_sync(site.site.write_rows_again)


@then(parsers.parse('each call is answered with status {status:d}'))
def check_statuses(site: SiteThread, status):
    assert {answer.status for answer in site.answers} == {status}


@then('no call ran')
def check_no_runs(site: SiteThread):
    assert not any(run.at >= site.sent_at for run in site.site.journal.runs)
    assert {answer.status for answer in site.answers} <= {401, 503}


@then(parsers.parse('desk {number:d} ran at most {count:d} calls'))
def check_most_runs(site: SiteThread, number, count):
    assert site.count_last_runs(number) <= count


@then(parsers.parse('desk {number:d} ran at least {count:d} call'))
def check_least_runs(site: SiteThread, number, count):
    assert site.count_last_runs(number) >= count


@then(
    parsers.parse(
        'desk {number:d} ran at most {count:d} calls in any {seconds:g} seconds'
    )
)
def check_rate(site: SiteThread, number, count, seconds):
    times = site.runs(number)
    assert all(
        sum(first <= at < first + seconds for at in times) <= count
        for first in times
    )


@then(parsers.parse('desk {number:d} turned at most {count:d} calls away'))
def check_turned_away(site: SiteThread, number, count):
    name = site.endpoint('desk', number).name
    turned_away = site.site.journal.turned_away
    assert sum(each.endpoint == name for each in turned_away) <= count


@then('each prompt is answered whole')
def check_prompts(site: SiteThread):
    deadline = time.monotonic() + 10
    while len(site.prompt_answers) < site.prompts_sent:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    assert site.prompts_sent
    for answer in site.prompt_answers:
        assert answer.status == 200
        assert answer.body.count(b'id: ') == EVENTS
