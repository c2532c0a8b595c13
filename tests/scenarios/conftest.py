"""The vocabulary of the scripted scenarios with real processes."""

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

POLL_SECONDS = 0.1
KIND = r'(?P<kind>entry|engine|kiosk-desk|relay)'
PROCESS = rf'{KIND} (?P<number>\d+)'


@pytest.fixture
def plan():
    """What the Given steps ask for; the first other step starts it."""
    return {'sizes': {}, 'options': [], 'relayed': []}


@pytest.fixture
def processes():
    with Processes() as running:
        yield running


@pytest.fixture
def site(plan, processes):
    sizes = SiteSizes(engine_options=tuple(plan['options']), **plan['sizes'])
    started = start_platform(processes, sizes.instance_lag_seconds)
    start_engines(started, sizes)
    start_services(started, sizes.services)
    for name in plan['relayed']:
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
def plan_site(plan, entries, engines):
    plan['sizes'].update(entries=entries, engines=engines)


@given(parsers.parse('{services:d} instances of kiosk-desk'))
def plan_services(plan, services):
    plan['sizes'].update(services=services)


@given(parsers.parse('engines with the options "{options}"'))
def plan_options(plan, options):
    plan['options'] += options.split()


@given(parsers.parse('an instance list that lags by {seconds:g} seconds'))
def plan_lag(plan, seconds):
    plan['sizes'].update(instance_lag_seconds=seconds)


@given(parsers.re(rf'a relay before {PROCESS}'))
def plan_relay(plan, kind, number):
    plan['relayed'].append(f'{kind}-{number}')


@when(parsers.parse('{count:d} callers send prompts of {tokens:d} tokens'))
def send_prompts(site, callers, count, tokens):
    for _ in range(count):
        callers.ask(site, tokens)


@when(parsers.parse('{count:d} callers send prompts not to be run twice'))
def send_once(site, callers, count):
    for number in range(count):
        key = f'once-{number}'
        callers.ask(site, 500, repeatable=False, idempotency_key=key)


@when(parsers.parse('{count:d} callers read from engine {number:d} directly'))
def read_directly(site, callers, count, number):
    for _ in range(count):
        callers.ask_engine(site.address(f'engine-{number}'))


@when(parsers.parse('{seconds:g} seconds pass'))
def let_time_pass(seconds):
    time.sleep(seconds)


@when(parsers.re(rf'{PROCESS} is killed'))
def kill(processes, site, kind, number):
    processes.kill(f'{kind}-{number}')


@when(parsers.re(rf'{PROCESS} is told to stop'))
def tell_to_stop(processes, site, kind, number):
    processes[f'{kind}-{number}'].popen.terminate()


@when(parsers.re(rf'{PROCESS} is frozen for (?P<seconds>[\d.]+) seconds'))
def freeze(processes, site, kind, number, seconds):
    processes.freeze(f'{kind}-{number}')
    time.sleep(float(seconds))
    processes.unfreeze(f'{kind}-{number}')


@when(parsers.re(rf'{PROCESS} is leaving'))
def leave(processes, site, kind, number):
    name = f'{kind}-{number}'
    set_faults(processes[name].address, leaving=True)
    publish_instances(site, leaving=(name,))


@when(parsers.re(rf'connections to {PROCESS} go silent'))
def silence(processes, site, kind, number):
    relay = processes[f'relay-{kind}-{number}']
    set_faults(relay.addresses['control'], silent_connections=True)


@when(
    parsers.re(
        rf'bytes (?P<direction>to|from|to and from) {PROCESS} are held back',
    ),
)
def cut(processes, site, direction, kind, number):
    relay = processes[f'relay-{kind}-{number}']
    set_faults(
        relay.addresses['control'],
        cut_to_target='to' in direction,
        cut_to_caller='from' in direction,
    )


@when(parsers.re(rf'the relay before {PROCESS} heals'))
def heal(processes, site, kind, number):
    set_faults(processes[f'relay-{kind}-{number}'].addresses['control'])


@when(parsers.re(r'(?P<name>\S+) has the faults (?P<faults>\{.*\})'))
def make_faulty(processes, site, name, faults):
    set_faults(processes[name].address, **json.loads(faults))


@then('every answer is whole')
def check_whole(callers):
    asked = callers.wait()
    assert asked
    broken = [each.failure or each for each in asked if not each.whole]
    assert not broken


@then('every answer is whole or a clear failure')
def check_settled(callers):
    asked = callers.wait()
    assert asked
    open_ends = [
        each for each in asked if not each.whole and each.failure is None
    ]
    assert not open_ends


@then('some streams were started a second time')
def check_restarted(site):
    attempts = [
        entry['attempt']
        for address in site.engine_addresses
        for entry in fetch_journal(address)
        if entry['event'] == 'started'
    ]
    assert max(attempts) > 1


@then('some streams were resumed')
def check_resumed(callers):
    assert any(each.resumptions for each in callers.wait())


@then(parsers.parse('within {seconds:g} seconds no engine holds memory'))
def check_memory(site, seconds):
    deadline = time.monotonic() + seconds
    held = {'not read': 1}
    while any(held.values()) and time.monotonic() < deadline:
        time.sleep(POLL_SECONDS)
        held = {each: fetch_held_tokens(each) for each in site.engine_addresses}
    assert not any(held.values()), held


@then(parsers.parse('no stream was started more than {times:d} times'))
def check_starts(site, times):
    started = {}
    for address in site.engine_addresses:
        for entry in fetch_journal(address):
            if entry['event'] == 'started':
                key = entry['journal_key'] or entry['request_key']
                started[key] = started.get(key, 0) + 1
    assert started
    assert max(started.values()) <= times


@then(
    parsers.re(rf'{PROCESS} ends in order within (?P<seconds>[\d.]+) seconds'),
)
def check_ended(processes, kind, number, seconds):
    popen = processes[f'{kind}-{number}'].popen
    assert popen.wait(float(seconds)) == 0
