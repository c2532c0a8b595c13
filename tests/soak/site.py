"""Entries as processes before stand-ins of the users' platform.

Each entry reaches the store, and each caller and entry an endpoint, through
a relay that faults are injected at. Only processes started here are ended.
"""

import json
import os
import signal
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

import trio

import limpetdrift
from limpet_standins.platform_endpoints import Journal, StandinEndpoint
from limpet_standins.platform_store import StandinStore
from limpet_standins.relay import Relay, RelayFaults
from limpetdrift.transport.messages import Address
from limpetdrift.transport.server import bound_address, listen

HOST = 'shop.example'
BEAT_SECONDS = 0.4
STOP_SECONDS = 4
REVOKE_SECONDS = 5.0
LEAVING_SECONDS = 2.0
ROUTES = {
    'once': ('non_idempotent', 'desk', 1500, 1),
    'twice': ('idempotent', 'desk', 1500, 2),
    'text': ('streaming', 'engines', 8000, 2),
}
_ENTRIES_OF_A_NET = 200
_SOURCE = str(Path(limpetdrift.__file__).parents[1])


@dataclass(kw_only=True)
class EntryProcess:
    """One entry: its addresses, its relay to the store, its process."""

    name: str
    host: str
    port: int
    relay: Relay
    settings: Path
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    # Times between which its own faults excuse what it does.
    fault_until: float = 0.0

    def start(self, *, is_read: bool = True) -> None:
        """Start a process, unless one runs.

        Its output goes to the log, or into a pipe that nobody reads.
        """
        if self.popen is not None and self.popen.poll() is None:
            return
        environment = os.environ | {
            'LIMPETDRIFT_BOOT': str(self.settings),
            'PYTHONPATH': _SOURCE,
        }
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', 'limpetdrift.platform'],
                env=environment,
                stdout=log if is_read else subprocess.PIPE,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that was started here."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()


@dataclass(kw_only=True)
class RunningEndpoint:
    """An endpoint with its relay and the scopes of both listeners."""

    endpoint: StandinEndpoint
    relay: Relay
    scopes: tuple[trio.CancelScope, trio.CancelScope]


@dataclass(kw_only=True)
class Site:
    """All parts; ``port`` keeps sites that run side by side apart."""

    folder: Path
    port: int
    nursery: trio.Nursery
    store: StandinStore = field(default_factory=StandinStore)
    journal: Journal = field(default_factory=Journal)
    entries: list[EntryProcess] = field(default_factory=list)
    endpoints: dict[str, RunningEndpoint] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    version: int = 0
    count: int = 0

    async def open(self, entries: int, engines: int, desks: int) -> None:
        """Start everything."""
        self.keys = {f'key-{number}': f'acme-{number}' for number in range(6)}
        self.publish()
        store = await self._listen(self.store.make_server().handle_stream)
        for _ in range(engines):
            await self.add_endpoint('engines')
        for _ in range(desks):
            await self.add_endpoint('desk')
        for number in range(entries):
            relay = Relay(target=store)
            address = await self._listen(relay.serve)
            self.entries.append(self._make_entry(number, relay, address))
        for entry in self.entries:
            entry.start()

    async def add_endpoint(self, service: str) -> str:
        """Start an endpoint behind a relay, and list it."""
        self.count += 1
        scopes = (trio.CancelScope(), trio.CancelScope())
        endpoint = StandinEndpoint(
            name=f'i-{self.count}',
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
        """Drain an endpoint and end it some seconds later."""
        served = self.endpoints[name]
        served.endpoint.register(self.store, 'draining')
        await trio.sleep(LEAVING_SECONDS + 1.5)
        self.store.delete('servers', name)
        self.crash_endpoint(name)

    def crash_endpoint(self, name: str) -> None:
        """End an endpoint with all its connections; its entry lapses."""
        served = self.endpoints.pop(name, None)
        if served is not None:
            served.relay.apply(RelayFaults(down=True))
            for scope in served.scopes:
                scope.cancel()
            self.nursery.start_soon(self._lapse, name)

    def publish(self) -> None:
        """Write a new configuration."""
        self.version += 1
        self.store.put('op', 'config', _configuration(self.version, self.keys))

    def revoke(self, key: str) -> None:
        """Take a key away; the store's answer is the acknowledgement."""
        self.keys.pop(key, None)
        self.publish()
        self.revoked_at[key] = time.monotonic()

    def close(self) -> None:
        """End the processes that were started here."""
        for entry in self.entries:
            entry.end()

    async def _lapse(self, name: str) -> None:
        await trio.sleep(3 * BEAT_SECONDS)
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
        net, last = divmod(number, _ENTRIES_OF_A_NET)
        host = '.'.join(('127.0', str(1 + net), str(1 + last)))
        settings = self.folder / f'{name}.json'
        settings.write_text(
            json.dumps(_settings(name, host, self.port, store)),
        )
        return EntryProcess(
            name=name,
            host=host,
            port=self.port,
            relay=relay,
            settings=settings,
            log=self.folder / f'{name}.log',
        )


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
            'drainMs': LEAVING_SECONDS * 1000,
            'graceS': STOP_SECONDS,
            'configApplyMs': 2000,
            'revokeMs': REVOKE_SECONDS * 1000,
            'retryBudgetRatio': 0.2,
            'retryBudgetSlack': 100,
            'ttl_max_s': 5,
        },
        'platform': {'address': str(store)},
    }


def _configuration(version: int, keys: dict[str, str]) -> dict:
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'service': service,
                'timeoutMs': timeout,
                'targetLatencyMs': 300,
                'maxAttempts': attempts,
                'resumable': kind == 'streaming',
                'gapTargetMs': 250,
            }
            for name, (kind, service, timeout, attempts) in ROUTES.items()
        ],
        'services': [
            {'name': 'desk'},
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
