"""A site of entry processes and stand-ins for the users' platform.

Each entry connects to the store through a relay, and callers and entries
connect to each endpoint through another. Faults are injected at these relays.
Only processes that were started here are signalled or ended.
"""

import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import trio

from limpet_standins.platform_endpoints import Journal, StandinEndpoint
from limpet_standins.platform_store import StandinStore
from limpet_standins.relay import Relay, RelayFaults
from limpetdrift.transport.messages import Address
from limpetdrift.transport.server import bound_address, listen
from soak.builds import ChooseSource, choose_present, make_choice

HOST = 'shop.example'
HEARTBEAT_INTERVAL_SECONDS = 0.4
STOP_GRACE_SECONDS = 8
# Time in which a revoked API key must stop working.
REVOCATION_BOUND_SECONDS = 5.0
# Time in which entries must stop sending requests to a draining endpoint.
DRAIN_BOUND_SECONDS = 2.0
# Kind, service, timeout in milliseconds and attempts of each route.
ROUTES = {
    'once': ('non_idempotent', 'desk', 1500, 1),
    'twice': ('idempotent', 'desk', 1500, 2),
    'text': ('streaming', 'engines', 8000, 2),
}
# Changes of the configuration: routes that another service of the same kind
# takes over, factors of their timeouts, and limits of the callers' connections.
MOVABLE_ROUTES = ('once', 'twice')
OTHER_SERVICE = 'bureau'
TIMEOUT_FACTORS = (1.0, 1.5, 3.0)
IDLE_TIMEOUTS_MS = (1000, 3000, 15000)
# Each entry has its own loopback address, in 127.0.1.0/24 and the following
# networks.
_ENTRIES_PER_SUBNET = 200


@dataclass(kw_only=True)
class EntryProcess:
    """An entry's process, and the relay between it and the store."""

    name: str
    host: str
    port: int
    relay: Relay
    settings_file: Path
    log: Path
    choose_source: ChooseSource = choose_present
    popen: subprocess.Popen[bytes] | None = None
    # When the last fault of this entry ended, in seconds of the monotonic
    # clock; infinite while a fault lasts.
    fault_until: float = 0.0
    # When processes of this entry were killed or suspended, as pairs of the
    # start and the end; and when each got its first SIGTERM, by its id.
    breaks: list[tuple[float, float]] = field(default_factory=list)
    stops: dict[int, float] = field(default_factory=dict)
    # Exit statuses of processes that have ended by themselves.
    own_ends: list[int] = field(default_factory=list)

    def start(self, *, logs_to_file: bool = True) -> None:
        """Start a process, unless one runs.

        Unless ``logs_to_file``, its standard output is a pipe that is never
        read.
        """
        if self.popen is not None and self.popen.poll() is None:
            return
        self.note_own_end()
        environment = os.environ | {
            'LIMPETDRIFT_BOOT': str(self.settings_file),
            'PYTHONPATH': self.choose_source(),
        }
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'limpetdrift.platform'],
                env=environment,
                stdout=log if logs_to_file else subprocess.PIPE,
                stderr=log,
            )

    def note_own_end(self) -> None:
        """Record the last process if an error of its own has ended it."""
        if self.popen is not None and (self.popen.poll() or 0) > 0:
            self.own_ends.append(self.popen.returncode)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process, also if it is suspended, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def crash(self) -> None:
        """End the process as a fault, which excuses what it breaks off."""
        since = time.monotonic()
        if self.popen is not None and self.popen.poll() is None:
            self.end()
            self.breaks.append((since, time.monotonic()))


@dataclass(kw_only=True)
class RunningEndpoint:
    """An endpoint, its relay, and the cancel scopes of both servers."""

    endpoint: StandinEndpoint
    relay: Relay
    scopes: tuple[trio.CancelScope, trio.CancelScope]


@dataclass(kw_only=True)
class Site:
    """All processes and stand-ins of a site.

    ``port`` is the first of the site's range of ports, which lets several
    sites run side by side. ``keys`` maps each valid API key to its client
    account. ``revoked_at`` holds when each revoked key was revoked, by the
    monotonic clock in seconds. Entries start on the sources in ``production``,
    if it names an earlier build. ``limits`` are those of each entry's machine.
    """

    folder: Path
    port: int
    nursery: trio.Nursery
    store: StandinStore = field(default_factory=StandinStore)
    journal: Journal = field(default_factory=Journal)
    entries: list[EntryProcess] = field(default_factory=list)
    endpoints: dict[str, RunningEndpoint] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    # When each endpoint was cut off or hung, as for ``EntryProcess.breaks``.
    endpoint_breaks: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list),
    )
    configuration: dict[str, object] = field(default_factory=dict)
    configuration_version: int = 0
    endpoint_count: int = 0
    production: str = ''
    limits: dict[str, int] = field(default_factory=dict)

    async def open(self, entries: int, engines: int, desks: int) -> None:
        """Start the store, the endpoints of both services and the entries."""
        self.keys = {f'key-{number}': f'acme-{number}' for number in range(6)}
        self.publish_configuration()
        store = await self._listen(self.store.make_server().handle_stream)
        for _ in range(engines):
            await self.add_endpoint('engines')
        for _ in range(desks):
            await self.add_endpoint('desk')
            await self.add_endpoint(OTHER_SERVICE)
        for number in range(entries):
            relay = Relay(target=store)
            address = await self._listen(relay.serve)
            self.entries.append(self._make_entry(number, relay, address))
        for entry in self.entries:
            entry.start()

    async def add_endpoint(self, service: str) -> str:
        """Start an endpoint behind a relay, list it and return its name."""
        self.endpoint_count += 1
        scopes = (trio.CancelScope(), trio.CancelScope())
        endpoint = StandinEndpoint(
            name=f'i-{self.endpoint_count}',
            service=service,
            address=Address(host='127.0.0.1', port=1),
            journal=self.journal,
            clock=time.monotonic,
        )
        target = await self._listen(
            endpoint.make_server().handle_stream,
            scopes[0],
        )
        relay = Relay(target=target)
        endpoint.address = await self._listen(relay.serve, scopes[1])
        self.endpoints[endpoint.name] = RunningEndpoint(
            endpoint=endpoint,
            relay=relay,
            scopes=scopes,
        )
        endpoint.register(self.store)
        return endpoint.name

    async def retire_endpoint(self, name: str) -> None:
        """Drain an endpoint, and end it after the drain bound and a margin."""
        running = self.endpoints.get(name)
        if running is None:
            # It has crashed meanwhile.
            return
        running.endpoint.register(self.store, 'draining')
        await trio.sleep(DRAIN_BOUND_SECONDS + 1.5)
        self.store.delete('servers', name)
        self.crash_endpoint(name)

    def crash_endpoint(self, name: str) -> None:
        """End an endpoint and its connections, and unlist it a little later."""
        running = self.endpoints.pop(name, None)
        if running is not None:
            running.relay.apply(RelayFaults(down=True))
            for scope in running.scopes:
                scope.cancel()
            self.nursery.start_soon(self._unlist_crashed, name)

    def publish_configuration(self) -> None:
        """Write the configuration to the store under a new version.

        ``configuration`` replaces some of its fields.
        """
        self.configuration_version += 1
        document = _configuration(self.configuration_version, self.keys)
        self.store.put('op', 'config', document | self.configuration)

    def change_configuration(self, randomness: random.Random) -> None:
        """Move routes, change timeouts and limits, and publish that."""
        limits = {'idleTimeoutMs': randomness.choice(IDLE_TIMEOUTS_MS)}
        factor = randomness.choice(TIMEOUT_FACTORS)
        services = ('desk', OTHER_SERVICE)
        moves = {name: randomness.choice(services) for name in MOVABLE_ROUTES}
        self.configuration = {
            'limits': limits,
            'routes': _routes(factor, moves),
        }
        self.publish_configuration()

    def write_rows_again(self) -> None:
        """Write what an older copy of the store lacks, as its writers do."""
        self.publish_configuration()
        for row in self.store.rows.read('servers'):
            if row.key not in self.endpoints:
                self.store.delete('servers', row.key)
        for name, running in self.endpoints.items():
            state = 'draining' if name in self.journal.left_at else 'ready'
            running.endpoint.register(self.store, state)

    def revoke_key(self, key: str) -> None:
        """Revoke a key, as of the time at which the store has the change."""
        self.keys.pop(key, None)
        self.publish_configuration()
        self.revoked_at[key] = time.monotonic()

    def close(self) -> None:
        """End the processes of all entries."""
        for entry in self.entries:
            entry.end()

    async def _unlist_crashed(self, name: str) -> None:
        # The list keeps a crashed endpoint for three heartbeat intervals.
        await trio.sleep(3 * HEARTBEAT_INTERVAL_SECONDS)
        self.store.delete('servers', name)

    async def _listen(self, handler, *scopes: trio.CancelScope) -> Address:
        listeners = await listen(Address(host='127.0.0.1', port=0))

        async def serve() -> None:
            with ExitStack() as stack:
                for scope in scopes:
                    stack.enter_context(scope)
                await trio.serve_listeners(handler, listeners)

        self.nursery.start_soon(serve)
        return bound_address(listeners)

    def _make_entry(
        self,
        number: int,
        relay: Relay,
        store: Address,
    ) -> EntryProcess:
        name = f'entry-{number}'
        subnet, host_number = divmod(number, _ENTRIES_PER_SUBNET)
        host = '.'.join(('127.0', str(1 + subnet), str(1 + host_number)))
        settings = self.folder / f'{name}.json'
        document = _settings(name, host, self.port, store)
        settings.write_text(json.dumps(document | {'limits': self.limits}))
        return EntryProcess(
            name=name,
            host=host,
            port=self.port,
            relay=relay,
            settings_file=settings,
            log=self.folder / f'{name}.log',
            choose_source=self._make_choice(name),
        )

    def _make_choice(self, name: str) -> ChooseSource:
        if not self.production:
            return choose_present
        return make_choice(self.production, random.Random(name))


def _settings(name: str, host: str, port: int, store: Address) -> dict:
    def listen_on(offset: int) -> str:
        return str(Address(host=host, port=port + offset))

    seeds = [
        Address(host=f'127.0.1.{number}', port=port + 2)
        for number in range(1, 4)
    ]
    return {
        'nodeName': name,
        'zone': 'zone-1',
        'region': 'region-1',
        'zones': {'zone-1': 'region-1'},
        'listen': {
            'front': listen_on(0),
            'ready': listen_on(1),
            'control': listen_on(2),
            'directory': listen_on(3),
        },
        'seeds': [str(seed) for seed in seeds],
        'bounds': {
            'drainMs': DRAIN_BOUND_SECONDS * 1000,
            'graceS': STOP_GRACE_SECONDS,
            'configApplyMs': 2000,
            'revokeMs': REVOCATION_BOUND_SECONDS * 1000,
            'retryBudgetRatio': 0.2,
            'retryBudgetSlack': 100,
            'ttl_max_s': 5,
        },
        'platform': {'address': str(store)},
    }


def _routes(timeout_factor: float, moves: dict[str, str]) -> list[dict]:
    """Return the routes; ``moves`` maps some of them to another service."""
    return [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'service': moves.get(name, service),
            'timeoutMs': timeout * timeout_factor,
            'targetLatencyMs': 300,
            'maxAttempts': attempts,
            'resumable': kind == 'streaming',
            'gapTargetMs': 250,
        }
        for name, (kind, service, timeout, attempts) in ROUTES.items()
    ]


def _configuration(version: int, keys: dict[str, str]) -> dict:
    return {
        'version': version,
        'routes': _routes(1.0, {}),
        'services': [
            {'name': 'desk'},
            {'name': OTHER_SERVICE},
            {
                'name': 'engines',
                'engine': {
                    'slots': 8,
                    'kvCapacity': 300000,
                    'stride': 51,
                    'step_ms': 0.6,
                    'read_per_s': 400000,
                    'chunk': 2048,
                },
            },
        ],
        'tenants': [
            {'name': account, 'apiKeys': [key]} for key, account in keys.items()
        ],
    }
