"""Tests ``limpet-steward`` as real processes against the stand-ins."""

import time

import yaml

from limpet_standins.processes import Processes
from limpet_standins.remote import call
from limpet_standins.small_site import MODEL, start_platform

ENGINES = 3
TIMEOUT_SECONDS = 40.0
LEASE_KEY = {'table': 'leases', 'key': 'orders-0'}


def start_engine(processes, number):
    name = f'engine-{number}'
    options = ('--ignores-fencing',) if number == 1 else ()
    processes.start(
        name,
        'limpet_standins.engine',
        '--name',
        name,
        '--order-seconds',
        '0.2',
        *options,
    )
    return {
        'name': name,
        'role': 'engine',
        'address': processes[name].address,
        'failure_domain': 'thika-hall',
        'model': MODEL,
    }


def start_steward(processes, name, endpoints):
    site = {'models': {MODEL: {'version': '2', 'copies': 2}}}
    site_file = processes.write('site.yaml', yaml.safe_dump(site))
    settings = {
        'name': name,
        'listen': '127.0.0.1:0',
        'site_file': str(site_file),
        'endpoints': endpoints,
        'platform': {
            each: processes[each].address
            for each in ('table', 'objects', 'weights')
        },
    }
    path = processes.write(f'{name}.yaml', yaml.safe_dump(settings))
    module = 'limpetdrift.programs.steward'
    processes.start(name, module, '--settings', str(path))


def read_lease(processes):
    address = processes['table'].address
    rows = call(address, 'POST', '/v1/reads', {'keys': [LEASE_KEY]})
    return rows['rows'][0]['value'] or {'holder': '', 'fencing': 0}


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.2)


def test_rollout_completes_and_a_stopped_steward_releases_its_lease():
    with Processes() as processes:
        start_platform(processes)
        endpoints = [
            start_engine(processes, number + 1) for number in range(ENGINES)
        ]
        start_steward(processes, 'steward-1', endpoints)
        wait_until(lambda: read_lease(processes)['holder'])
        first = read_lease(processes)
        start_steward(processes, 'steward-2', endpoints)

        def is_rolled_out():
            states = [
                call(each['address'], 'GET', '/v1/state') for each in endpoints
            ]
            return {state['version'] for state in states} == {'2'}

        wait_until(is_rolled_out)
        assert read_lease(processes) == first
        assert processes.stop('steward-1') == 0
        wait_until(lambda: 'steward-2' in read_lease(processes)['holder'])
        assert read_lease(processes)['fencing'] > first['fencing']
