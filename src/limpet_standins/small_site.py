"""Starts a small site of processes: platform, engines, services, entries.

A test or demo sets the number of each. The ``Processes`` that started them
ends them.
"""

import secrets
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import trio
import yaml

from limpet_standins.processes import Processes, StartError, free_address
from limpet_standins.remote import call, is_ready
from limpetdrift.callers.access import hash_key
from limpetdrift.operators.client import OperatorClient
from limpetdrift.operators.configuration import apply_files
from limpetdrift.operators.exits import ExitCode
from limpetdrift.operators.output import Output
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import parse_address

MODEL = 'drift-small'
ACCOUNT = 'dispatch'
SITE = 'small'
REGION = 'kiambu'
ADMISSION_TIMEOUT_SECONDS = 15.0
READY_POLL_INTERVAL_SECONDS = 0.1
OPERATOR_SECRET_FILE = 'operator-secret'
FAILURE_DOMAINS = ('thika-hall', 'ruiru-hall', 'limuru-hall')
SERVICE = 'kiosk-desk'


@dataclass(frozen=True, kw_only=True)
class SiteSizes:
    """Numbers of processes by kind, and command line options of engines.

    ``instance_lag_seconds`` is the delay of changes in the instance list.
    """

    entries: int = 3
    engines: int = 4
    services: int = 0
    engine_options: tuple[str, ...] = ()
    instance_lag_seconds: float = 0.5


@dataclass(kw_only=True)
class SmallSite:
    """A started site: an API key, names of processes, addresses of relays."""

    processes: Processes
    key: str
    engines: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    entries: list[str] = field(default_factory=list)
    relays: dict[str, str] = field(default_factory=dict)

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Addresses of the entries for callers."""
        return tuple(self.processes[name].address for name in self.entries)

    @property
    def engine_addresses(self) -> tuple[str, ...]:
        """Addresses of the engines that still run."""
        return tuple(
            self.processes[name].address
            for name in self.engines
            if self.processes[name].alive
        )

    def address(self, name: str) -> str:
        """Return the address of a process, or of its relay if it has one."""
        return self.relays.get(name) or self.processes[name].address


def start_site(processes: Processes, sizes: SiteSizes) -> SmallSite:
    """Start a whole site; the entries start last."""
    site = start_platform(processes, sizes.instance_lag_seconds)
    start_engines(site, sizes)
    start_services(site, sizes.services)
    publish_instances(site)
    start_entries(site, sizes.entries)
    return site


def start_platform(
    processes: Processes,
    instance_lag_seconds: float = 0.5,
) -> SmallSite:
    """Start the table, objects, weights and instance list of the platform."""
    for name in ('table', 'objects', 'weights'):
        processes.start(name, f'limpet_standins.{name}')
    processes.start(
        'instances',
        'limpet_standins.instances',
        '--lag',
        str(instance_lag_seconds),
    )
    return SmallSite(processes=processes, key=secrets.token_hex())


def start_engines(site: SmallSite, sizes: SiteSizes) -> None:
    """Start the engines, which fetch models from the weight store."""
    weights = site.processes['weights'].address
    for number in range(1, sizes.engines + 1):
        name = f'engine-{number}'
        site.processes.spawn(
            name,
            'limpet_standins.engine',
            '--name',
            name,
            '--weight-store',
            weights,
            *sizes.engine_options,
        )
        site.engines.append(name)
    _wait_ready(site, site.engines)


def start_services(site: SmallSite, services: int) -> None:
    """Start instances of the plain service."""
    for number in range(1, services + 1):
        name = f'{SERVICE}-{number}'
        module = 'limpet_standins.service'
        site.processes.spawn(name, module, '--name', name)
        site.services.append(name)
    _wait_ready(site, site.services)


def put_relay(site: SmallSite, name: str) -> None:
    """Start a relay that processes started later use to reach a process."""
    relay = site.processes.start(
        f'relay-{name}',
        'limpet_standins.relay',
        '--target',
        site.processes[name].address,
    )
    site.relays[name] = relay.address


def publish_instances(site: SmallSite, leaving: Iterable[str] = ()) -> None:
    """Replace the instance list by the site's engines and services.

    Those named in ``leaving`` are listed as leaving, all others as live.
    """
    leaving_names = frozenset(leaving)
    instances = [
        {
            **_endpoint(site, name),
            'state': 'leaving' if name in leaving_names else 'live',
        }
        for name in (*site.engines, *site.services)
    ]
    address = site.processes['instances'].address
    call(address, 'POST', '/control/instances', {'instances': instances})


def start_entries(
    site: SmallSite, entries: int, limits: dict[str, Any] | None = None
) -> None:
    """Start the entries with each other as seeds, and configure them.

    ``limits`` are those of each entry's machine, in place of the defaults.
    """
    nodes = [_node(number) for number in range(1, entries + 1)]
    peer_secret = site.processes.write('peer-secret', secrets.token_hex())
    operator_secret = site.processes.write(
        OPERATOR_SECRET_FILE,
        secrets.token_hex(),
    )
    for node in nodes:
        settings = {
            **_common_settings(site),
            'name': node['name'],
            'failure_domain': node['failure_domain'],
            'caller_listen': node['caller_address'],
            'peer_listen': node['peer_address'],
            'peer_secret': {'file': str(peer_secret)},
            'operator_secret': {'file': str(operator_secret)},
            'seeds': [each['peer_address'] for each in nodes],
            'limits': limits or {},
        }
        name = node['name']
        path = site.processes.write(f'{name}.yaml', yaml.safe_dump(settings))
        module = 'limpetdrift.programs.entry'
        site.processes.spawn(name, module, '--settings', str(path))
        site.entries.append(name)
    _wait_ready(site, site.entries)
    if site.entries:
        apply_configuration(site)
        wait_admitting(site)


def _wait_ready(site: SmallSite, names: Iterable[str]) -> None:
    for name in names:
        site.processes.wait_ready(name)


def wait_admitting(site: SmallSite) -> None:
    """Wait until every entry is ready to admit requests.

    Raises ``StartError`` if an entry is not ready in time.
    """
    deadline = time.monotonic() + ADMISSION_TIMEOUT_SECONDS
    waiting = list(site.entry_addresses)
    while waiting:
        if time.monotonic() > deadline:
            names = ', '.join(waiting)
            raise StartError(f'entries not ready in time: {names}')
        waiting = [each for each in waiting if not is_ready(each)]
        time.sleep(READY_POLL_INTERVAL_SECONDS)


def apply_configuration(site: SmallSite) -> None:
    """Apply the site's configuration documents as an operator."""
    paths = [
        site.processes.write(f'{name}.yaml', yaml.safe_dump(document))
        for name, document in _documents(site).items()
    ]
    secret_file = site.processes.folder / OPERATOR_SECRET_FILE
    client = OperatorClient(
        entries=tuple(map(parse_address, site.entry_addresses)),
        secret=secret_file.read_text('utf-8'),
        http=HttpClient(),
    )
    exit_code = trio.run(apply_files, client, Output(json=False), paths, {})
    if exit_code is not ExitCode.DONE:
        raise StartError(f'configuration not applied: {exit_code.name}')


def _common_settings(site: SmallSite) -> dict[str, Any]:
    platform = ('table', 'objects', 'instances', 'weights')
    return {
        'region': REGION,
        'site': SITE,
        'platform': {name: site.address(name) for name in platform},
        'endpoints': [
            _endpoint(site, name) for name in (*site.engines, *site.services)
        ],
    }


def _endpoint(site: SmallSite, name: str) -> dict[str, Any]:
    number = int(name.rpartition('-')[2])
    is_engine = name in site.engines
    return {
        'name': name,
        'role': 'engine' if is_engine else 'service',
        'address': site.address(name),
        'failure_domain': _failure_domain(number),
        'service': '' if is_engine else SERVICE,
        'model': MODEL if is_engine else '',
    }


def _node(number: int) -> dict[str, Any]:
    return {
        'name': f'entry-{number}',
        'incarnation': 0,
        'role': 'entry',
        'region': REGION,
        'failure_domain': _failure_domain(number),
        'caller_address': free_address(),
        'peer_address': free_address(),
    }


def _failure_domain(number: int) -> str:
    return FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]


def _documents(site: SmallSite) -> dict[str, dict[str, Any]]:
    return {
        'base': {
            'models': {MODEL: {'version': '1'}},
            'urgencies': {'normal': {'rank': 1}, 'urgent': {'rank': 0}},
            'default_urgency': 'normal',
        },
        SITE: {
            'site': SITE,
            'brand': SITE,
            'accounts': {ACCOUNT: {'key_hashes': [hash_key(site.key)]}},
            'services': {SERVICE: {}},
        },
    }
