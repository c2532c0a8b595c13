"""Steps and fixtures of the scenarios, which run a site of real processes."""

import json
import time

import pytest
from pytest_bdd import given, parsers, then, when
from scenario_callers import Callers

from limpet_standins.processes import Processes
from limpet_standins.remote import fetch_held_tokens, fetch_journal, set_faults
from limpet_standins.small_site import (
    SiteSizes,
    publish_instances,
    put_relay,
    start_engines,
    start_entries,
    start_platform,
    start_services,
)

POLL_INTERVAL_SECONDS = 0.1
ANSWER_BEGIN_SECONDS = 20.0
KIND = r'(?P<kind>entry|engine|kiosk-desk|relay)'
PROCESS = rf'{KIND} (?P<number>\d+)'


@pytest.fixture
def site_spec():
    """The site that the Given steps describe.

    The first other step requests the fixture ``site``, which starts it.
    """
    return {'sizes': {}, 'options': [], 'relayed': []}


@pytest.fixture
def processes():
    with Processes() as running:
        yield running


@pytest.fixture
def site(site_spec, processes):
    sizes = SiteSizes(
        engine_options=tuple(site_spec['options']), **site_spec['sizes']
    )
    started = start_platform(processes, sizes.instance_lag_seconds)
    start_engines(started, sizes)
    start_services(started, sizes.services)
    for name in site_spec['relayed']:
        put_relay(started, name)
    publish_instances(started)
    start_entries(started, sizes.entries)
    return started


@pytest.fixture
def callers():
    started = Callers()
    yield started
    started.wait(0)


@given(parsers.parse('a site with {entries:d} entries and {engines:d} engines'))
def set_entries_and_engines(site_spec, entries, engines):
    site_spec['sizes'].update(entries=entries, engines=engines)


@given(parsers.parse('{services:d} instances of kiosk-desk'))
def set_services(site_spec, services):
    site_spec['sizes'].update(services=services)


@given(parsers.parse('engines with the options "{options}"'))
def set_engine_options(site_spec, options):
    site_spec['options'] += options.split()


@given(parsers.parse('an instance list that lags by {seconds:g} seconds'))
def set_instance_list_lag(site_spec, seconds):
    site_spec['sizes'].update(instance_lag_seconds=seconds)


@given(parsers.re(rf'a relay before {PROCESS}'))
def request_relay(site_spec, kind, number):
    site_spec['relayed'].append(f'{kind}-{number}')


@when(parsers.parse('{count:d} callers send prompts of {tokens:d} tokens'))
def send_prompts(site, callers, count, tokens):
    for _ in range(count):
        callers.send_prompt(site, tokens)


@when(parsers.parse('{count:d} callers send non-idempotent prompts'))
def send_non_idempotent_prompts(site, callers, count):
    for number in range(count):
        key = f'once-{number}'
        callers.send_prompt(site, 500, repeatable=False, idempotency_key=key)


@when(parsers.parse('{count:d} callers read from engine {number:d} directly'))
def read_from_engine(site, callers, count, number):
    for _ in range(count):
        callers.read_from_engine(site.address(f'engine-{number}'))


@when(parsers.parse('{seconds:g} seconds pass'))
def wait_seconds(seconds):
    time.sleep(seconds)


@when(parsers.parse('engine {number:d} has begun an answer'))
def wait_for_answer(site, number):
    address = site.address(f'engine-{number}')
    deadline = time.monotonic() + ANSWER_BEGIN_SECONDS
    while not _fetch_started(address):
        assert time.monotonic() < deadline
        time.sleep(POLL_INTERVAL_SECONDS / 10)


@when(parsers.re(rf'{PROCESS} is killed'))
def kill(processes, site, kind, number):
    processes.kill(f'{kind}-{number}')


@when(parsers.re(rf'{PROCESS} is sent SIGTERM'))
def send_sigterm(processes, site, kind, number):
    processes[f'{kind}-{number}'].popen.terminate()


@when(parsers.re(rf'{PROCESS} is suspended for (?P<seconds>[\d.]+) seconds'))
def suspend(processes, site, kind, number, seconds):
    processes.freeze(f'{kind}-{number}')
    time.sleep(float(seconds))
    processes.unfreeze(f'{kind}-{number}')


@when(parsers.re(rf'{PROCESS} is leaving'))
def report_leaving(processes, site, kind, number):
    name = f'{kind}-{number}'
    set_faults(processes[name].address, leaving=True)
    publish_instances(site, leaving=(name,))


@when(parsers.re(rf'connections to {PROCESS} go silent'))
def silence_connections(processes, site, kind, number):
    relay = processes[f'relay-{kind}-{number}']
    set_faults(relay.addresses['control'], silent_connections=True)


@when(
    parsers.re(
        rf'bytes (?P<direction>to|from|to and from) {PROCESS} are held back',
    ),
)
def hold_back_bytes(processes, site, direction, kind, number):
    relay = processes[f'relay-{kind}-{number}']
    set_faults(
        relay.addresses['control'],
        cut_to_target='to' in direction,
        cut_to_caller='from' in direction,
    )


@when(parsers.re(rf'the faults of the relay before {PROCESS} are cleared'))
def clear_relay_faults(processes, site, kind, number):
    set_faults(processes[f'relay-{kind}-{number}'].addresses['control'])


@when(parsers.re(r'(?P<name>\S+) has the faults (?P<faults>\{.*\})'))
def inject_faults(processes, site, name, faults):
    set_faults(processes[name].address, **json.loads(faults))


@then('every answer is complete')
def check_answers_complete(callers):
    results = callers.wait()
    assert results
    incomplete = [
        each.failure or each for each in results if not each.is_complete
    ]
    assert not incomplete


@then('every caller gets a complete answer or a failure')
def check_callers_answered(callers):
    results = callers.wait()
    assert results
    unanswered = [
        each
        for each in results
        if not each.is_complete and each.failure is None
    ]
    assert not unanswered


@then('some prompts took a second attempt')
def check_second_attempt(site):
    attempts = [
        entry['attempt']
        for address in site.engine_addresses
        for entry in _fetch_started(address)
    ]
    assert max(attempts) > 1


@then('some streams were resumed')
def check_resumed(callers):
    assert any(each.resumptions for each in callers.wait())


@then(parsers.parse('within {seconds:g} seconds all engine memory is released'))
def check_memory_released(site, seconds):
    deadline = time.monotonic() + seconds
    # Not zero, so that the engines are read at least once.
    held_tokens = {'not read': 1}
    while any(held_tokens.values()) and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_SECONDS)
        held_tokens = {
            each: fetch_held_tokens(each) for each in site.engine_addresses
        }
    assert not any(held_tokens.values()), held_tokens


@then(parsers.parse('no stream was started more than {times:d} times'))
def check_starts(site, times):
    started = {}
    for address in site.engine_addresses:
        for entry in _fetch_started(address):
            key = entry['journal_key'] or entry['request_key']
            started[key] = started.get(key, 0) + 1
    assert started
    assert max(started.values()) <= times


@then(
    parsers.re(
        rf'{PROCESS} exits with status 0 within (?P<seconds>[\d.]+) seconds'
    ),
)
def check_exited(processes, kind, number, seconds):
    popen = processes[f'{kind}-{number}'].popen
    assert popen.wait(float(seconds)) == 0


def _fetch_started(address):
    return [
        entry for entry in fetch_journal(address) if entry['event'] == 'started'
    ]
