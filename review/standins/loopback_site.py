"""A small site for the cases of the review, on loopback addresses.

It has a store, servers, an operator and clients in this process, and entries
as processes of their own, started with the command of the deploy file. The
stand-ins follow the users' pages and use the standard library only. Each entry
reaches the servers at ports of its own, so that a case can cut one off.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
from collections import defaultdict
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
ZONES = ('north', 'south', 'west')
METRICS_PORT = 9464
# A script's own errors end it with 1, so ``run.sh`` maps these.
BROKEN_EXIT = 3
CANNOT_RUN_EXIT = 2
# The bounds are those of the users' smaller deployments.
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'stretchMaxMs': 5000,
    'strictRevocation': True,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryBudgetSlack': 100,
    'recoveryS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'stall_ms': 1500,
    'holdMaxMs': 20000,
    'freeMs': 4000,
    'idleMaxMs': 9000,
    'ttl_max_s': 5,
}
ENGINE = {
    'slots': 8,
    'kvCapacity': 315000,
    'stride': 51,
    'step_ms': 0.85,
    'per_seq_ms': 0.00425,
    'context_per_k': 0.00285,
    'read_per_s': 177000,
    'pairs_per_m': 0.184,
    'chunk': 2048,
    'usual': {'prompt': 4960, 'answer': 1600},
}


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self.began_at = time.monotonic()

    def note(self, what: str, **fields: object) -> None:
        """Write a line with the time since the start of the case."""
        seconds = time.monotonic() - self.began_at
        words = ' '.join(f'{name}={text}' for name, text in fields.items())
        at = format(seconds, '9.3f')
        self._file.write(f'{at} {what} {words}\n')
        self._file.flush()


class Message:
    """A request or a response that was read from a connection."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Read a first line and the headers; names are in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).strip(), 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


def render(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [
        f'HTTP/1.1 {status} S',
        f'Content-Length: {len(body)}',
        *_header_lines(headers),
    ]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def render_json(document: object, **headers: str) -> bytes:
    """Return the bytes of a response with a JSON body."""
    named = {'Content-Type': 'application/json', **headers}
    return render(200, named, json.dumps(document).encode())


class Store:
    """The platform's metadata store: tables, a feed and transactions."""

    def __init__(self) -> None:
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        # Named in all answers, as long as it is not 0.
        self.era = 0
        self.is_away = False
        # Returns a server's entry as one machine sees it, by its name.
        self.show: Callable[[str, str], str] = lambda machine, text: text
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or delete it; this is the store's ack."""
        text = None if value is None else base64.b64encode(value).decode()
        self._put_text(table, key, text)

    async def open(self, host: str, machine: str) -> str:
        """Listen on a free port for one machine, and return the address."""
        server = await asyncio.start_server(
            partial(self._serve, machine), host, 0
        )
        return address_of(server)

    def take_copy(self) -> tuple[int, dict]:
        """Return a copy of the version and the rows."""
        return self.version, dict(self.rows)

    def go_away(self) -> None:
        """Turn all calls away, also those under way."""
        self.is_away = True
        self._wake()

    def return_from(self, copy: tuple[int, dict]) -> None:
        """Come back from a copy: versions go back, and the era rises."""
        version, rows = copy
        self.version = version
        self.rows = dict(rows)
        self.era += 1
        self.is_away = False
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _put_text(self, table: str, key: str, text: str | None) -> None:
        self.version += 1
        self.rows[(table, key)] = (self.version, text)
        self._wake()

    async def _serve(self, machine: str, reader, writer) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(0.004)
                rendered = await self._answer(machine, first, body)
                writer.write(self._with_era(rendered))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    def _with_era(self, answer: bytes) -> bytes:
        if not self.era:
            return answer
        head, _, body = answer.partition(b'\r\n\r\n')
        return head + f'\r\nStore-Era: {self.era}\r\n\r\n'.encode() + body

    async def _answer(self, machine: str, first: str, body: bytes) -> bytes:
        if self.is_away:
            return render(503, {})
        target = first.split(' ')[1]
        path, _, text = target.partition('?')
        query = dict(
            pair.split('=', 1) for pair in text.split('&') if '=' in pair
        )
        if path == '/-/rows-tx':
            return self._write(json.loads(body))
        table = query.get('table', '')
        if path == '/-/rows-get':
            start = query.get('from', '')
            return self._page(
                machine,
                table,
                [
                    (key, *row)
                    for (name, key), row in sorted(self.rows.items())
                    if name == table and key >= start and row[1] is not None
                ],
            )
        if path == '/-/rows-feed':
            return await self._feed(machine, table, query)
        return render(404, {})

    async def _feed(
        self, machine: str, table: str, query: dict[str, str]
    ) -> bytes:
        after = int(query.get('afterRevision', '0'))
        until = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        era = self.era
        while True:
            if self.is_away:
                return render(503, {})
            if self.era != era or after > self.version:
                return render(410, {})
            found = [
                (key, *row)
                for (name, key), row in self.rows.items()
                if name == table and row[0] > after
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                found.sort(key=lambda each: each[1])
                return self._page(machine, table, found)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, changes: dict) -> bytes:
        for expected in changes.get('expectedRevision', ()):
            row = self.rows.get((expected['table'], expected['key']), (0, None))
            current = 0 if row[1] is None else row[0]
            if current != expected['schemaVersion']:
                return render(412, {})
        for put in changes.get('puts', ()):
            self._put_text(put['table'], put['key'], put['value'])
        for gone in changes.get('delete', ()):
            self._put_text(gone['table'], gone['key'], None)
        return self._page('', '', [])

    def _page(self, machine: str, table: str, rows) -> bytes:
        if table == 'servers':
            rows = [
                (key, version, text and self.show(machine, text))
                for key, version, text in rows
            ]
        return render_json(
            {
                'rows': [
                    {
                        'key': key,
                        'part': '',
                        'schemaVersion': version,
                        'value': text or '',
                        **({'tombstone': True} if text is None else {}),
                    }
                    for key, version, text in rows
                ],
                'schemaVersion': self.version,
                'nowMs': int(time.monotonic() * 1000),
                'truncated': False,
            }
        )


class Server:
    """A server of a service; ``answer`` may replace what it does.

    ``answer`` gets the server, the request and the writer, and returns
    whether it has dealt with the request.
    """

    def __init__(self, site: 'Site', name: str, service: str, zone: str):
        self.site = site
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ''
        # The address at which each machine reaches this server.
        self.addresses: dict[str, str] = {}
        self.born = int(time.time() * 1000)
        self.active = 0
        self.slots = 8 if service == 'models' else 6
        self.work_seconds = 0.02
        self.answer: Callable[..., Awaitable[bool]] | None = None
        self._tickets: dict[str, tuple[int, float]] = {}

    async def open(self) -> None:
        """Listen on a port for each machine, and register in the store."""
        for entry in self.site.entries:
            server = await asyncio.start_server(
                partial(self._serve, entry), self.site.host(0), 0
            )
            self.addresses[entry.name] = address_of(server)
        self.address = next(iter(self.addresses.values()))
        self.site.by_address[self.address] = self
        self.register()

    def register(self, state: str = 'ready') -> None:
        """Write this server's entry."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.born,
        }
        self.site.store.put('servers', self.name, json.dumps(entry).encode())

    def report(self) -> dict[str, object]:
        """Return what the server says of its load."""
        now = time.monotonic()
        used = sum(n for n, until in self._tickets.values() if until > now)
        return {
            'stage': 'combined',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': 0,
            'queued': 0,
            'active': self.active,
            'kvUsed': used,
            'kvTotal': ENGINE['kvCapacity'],
            'handles': 0,
            'pace': 1.0,
            'born': self.born,
        }

    def own_headers(self, request: Message) -> dict[str, str]:
        """Return the headers of an answer to a request that ran."""
        attempt = request.headers.get('attempt-id', '')
        return {
            'Attempt-Id': attempt,
            'Server-Seal': f'{self.name}.{attempt}',
            'Server-Load': f'{self.active},0,{self.slots}',
        }

    async def _serve(self, entry: 'Entry', reader, writer) -> None:
        if entry in self.site.cut:
            reset(writer)
            return
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._handle(Message(first, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _handle(self, request: Message, writer) -> None:
        if self.answer and await self.answer(self, request, writer):
            return
        path = request.first.split(' ')[1]
        expected = request.headers.get('expect-instance', self.name)
        if path in {'/-/report', '/health'}:
            writer.write(self._tell(path))
        elif expected != self.name:
            writer.write(render(421, {}))
        elif path == '/-/order':
            writer.write(self._order(json.loads(request.body)))
        elif self.active >= self.slots + 24:
            writer.write(render(503, {'Not-Executed': '1'}))
        else:
            await self.run(request, writer)

    def _tell(self, path: str) -> bytes:
        if path == '/-/report':
            return render_json(self.report())
        return render(200, {'Instance-Id': self.name})

    def _order(self, order: dict) -> bytes:
        if order['operation'] == 'release':
            self._tickets.pop(order['id'], None)
        else:
            until = time.monotonic() + order['holdMs'] / 1000
            self._tickets[order['id']] = (order['tokens'], until)
        return render_json({'free': ENGINE['kvCapacity']})

    def note_run(self, request: Message) -> None:
        """Record that a request begins to run here."""
        attempt = request.headers.get('attempt-id', '')
        method, target, _ = request.first.split(' ')
        self.site.runs[attempt].append((self.name, method, target))
        self.site.record.note(
            'run', attempt=attempt, server=self.name, call=f'{method}-{target}'
        )

    async def run(self, request: Message, writer) -> None:
        """Run a request to its end."""
        self.active += 1
        try:
            if self.service == 'models':
                await self._stream(request, writer)
            else:
                self.note_run(request)
                writer.write(await self._work(request))
        finally:
            self.active -= 1

    async def _work(self, request: Message) -> bytes:
        """Work on a request until its end, or until its time limit."""
        limit = int(request.headers['deadline-ms']) / 1000
        await asyncio.sleep(min(limit, self.work_seconds))
        if limit < self.work_seconds:
            return render(504, self.own_headers(request), b'time limit')
        return render(200, self.own_headers(request), b'x' * 800)

    async def _stream(self, request: Message, writer) -> None:
        prompt, _, answer = request.headers['token-usage'].partition(',')
        await asyncio.sleep(int(prompt) / ENGINE['read_per_s'])
        self.note_run(request)
        head = {
            **self.own_headers(request),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        lines = ['HTTP/1.1 200 S', *_header_lines(head)]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        last = int(request.headers.get('last-event-id', '0'))
        for number in range(last + 1, int(answer) // 51 + 1):
            event = f'id: {number}\ndata: x\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b'0\r\n\r\n')


class Entry:
    """A machine of the system: its settings, and the process that runs."""

    def __init__(self, site: 'Site', number: int) -> None:
        self.site = site
        self.zone = ZONES[number % 3]
        self.name = f'edge-{self.zone}-{number}'
        self.host = site.host(10 + number)
        names = ('front', 'ready', 'control', 'directory')
        ports = free_ports(self.host, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.store = ''
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[float] = []
        self.is_stopping = False
        self._log = (site.folder / f'{self.name}.log').open('ab')

    def address(self, name: str) -> str:
        """Return the address of a listener."""
        return f'{self.host}:{self.ports[name]}'

    def write_settings(self) -> Path:
        """Write the settings file, and return its path."""
        settings = {
            'nodeName': self.name,
            'role': 'entry',
            'nodeClass': 'edge',
            'serves': ['edge', 'control', 'directory'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'kiambu',
            'zones': dict.fromkeys(ZONES, 'kiambu'),
            'listen': {name: self.address(name) for name in self.ports},
            'portRange': [7340, 7355],
            'seeds': [each.address('control') for each in self.site.entries][
                :3
            ],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': 300,
                'maxFds': 4200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'directory',
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': self.store,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
            },
        }
        path = self.site.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        return path

    async def keep_running(self) -> None:
        """Run the process, and start it again after each end."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = role['roles']['entry']
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'LIMPETDRIFT_BOOT': str(self.write_settings()),
            **role.get('env', {}),
        }
        while not self.is_stopping:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdout=self._log,
                stderr=self._log,
            )
            self.site.record.note(
                'start', entry=self.name, pid=self.process.pid
            )
            status = await self.process.wait()
            if not self.is_stopping:
                self.ends.append(time.monotonic())
                self.site.record.note('end', entry=self.name, status=status)
                await asyncio.sleep(0.5)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask the readiness probe."""
        try:
            answer = await asyncio.wait_for(
                call(self.address('ready'), 'GET', '/-/readiness'), 1
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200


class Site:
    """All parts of the site, and what its servers ran."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.network = free_network()
        self.store = Store()
        self.store.show = self.show_address
        self.by_address: dict[str, Server] = {}
        self.servers: list[Server] = []
        self.entries: list[Entry] = []
        # The server, the method and the target of each run of an attempt.
        self.runs: dict[str, list[tuple[str, str, str]]] = defaultdict(list)
        # Entries whose new channels to servers are reset.
        self.cut: list[Entry] = []
        self.version = 0
        self.config = b''
        self.keys = {KEY: TENANT}
        self.routes: list[dict[str, object]] = []
        self._tasks: list[asyncio.Task] = []

    def host(self, number: int) -> str:
        """Return a loopback address of this site."""
        last = number + 1
        return f'{self.network}.{last}'

    def show_address(self, machine: str, text: str) -> str:
        """Return a server's entry with the address for one machine."""
        try:
            entry = json.loads(base64.b64decode(text))
            server = self.by_address[entry['address']]
        except (ValueError, KeyError, TypeError, RecursionError):
            return text
        entry['address'] = server.addresses[machine]
        return base64.b64encode(json.dumps(entry).encode()).decode()

    def add_route(self, name: str, kind: str, service: str, **more) -> None:
        """Add a route to the desired state."""
        self.routes.append(
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'service': service,
                'timeoutMs': 10000,
                'targetLatencyMs': 300,
                'maxAttempts': 2,
                'priority': 1,
                'public': False,
                **more,
            }
        )

    def write_config(self) -> None:
        """Write the next version of the desired state."""
        self.version += 3
        document = {
            'version': self.version,
            'routes': self.routes,
            'services': [
                {'name': 'models', 'healthPath': '/health', 'engine': ENGINE},
                {'name': 'desk', 'healthPath': '/health'},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 4194304,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [
                {'name': tenant, 'apiKeys': [key]}
                for key, tenant in self.keys.items()
            ],
        }
        self.config = json.dumps(document).encode()
        self.store.put('op', 'config', self.config)

    def write_config_again(self) -> None:
        """Write the newest desired state once more."""
        self.store.put('op', 'config', self.config)

    async def open(self, entries: int, models: int, desks: int) -> None:
        """Start everything, and wait until all entries are ready."""
        for number in range(entries):
            self.entries.append(Entry(self, number))
        for entry in self.entries:
            entry.store = await self.store.open(self.host(1), entry.name)
        await self._open_servers('models', models)
        await self._open_servers('desk', desks)
        self.write_config()
        for entry in self.entries:
            self.spawn(entry.keep_running())
        until = time.monotonic() + 25
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > until:
                    raise CannotRunError('entries did not get ready')
                await asyncio.sleep(0.1)

    async def _open_servers(self, service: str, count: int) -> None:
        for number in range(count):
            zone = ZONES[number % 3]
            server = Server(self, f'i-{service}{number}', service, zone)
            self.servers.append(server)
            await server.open()

    def spawn(self, coroutine) -> asyncio.Task:
        """Run a coroutine beside the case, until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def close(self) -> None:
        """End all processes and tasks."""
        for entry in self.entries:
            entry.is_stopping = True
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
        for entry in self.entries:
            if entry.process is not None:
                await entry.process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class CannotRunError(Exception):
    """The case could not run."""


class Client:
    """A client that asks the directory, keeps a channel, and retries once."""

    def __init__(self, site: Site, zone: str, name: str) -> None:
        self._site = site
        self._zone = zone
        self._name = name
        self._number = 0
        self._addresses: list[str] = []
        self._until = 0.0
        self._choices = 0
        # When each attempt was sent, by its id.
        self.sent_at: dict[str, float] = {}

    async def send(
        self,
        path: str,
        headers: dict[str, str],
        *,
        limit_ms: int,
        entry: Entry | None = None,
        key: str = KEY,
    ) -> Message | None:
        """Send one client attempt; ``None`` if its channel broke.

        Without ``entry`` one is chosen as the directory says.
        """
        self._number += 1
        attempt = self.last_attempt
        address = entry.address('front') if entry else await self._choose()
        note = self._site.record.note
        self.sent_at[attempt] = time.monotonic()
        note('sent', attempt=attempt, to=address, path=path)
        try:
            answer = await asyncio.wait_for(
                call(
                    address,
                    'POST',
                    path,
                    {
                        'Host': HOST,
                        'Attempt-Id': attempt,
                        'Deadline-Ms': str(limit_ms),
                        'Authorization': f'Bearer {key}',
                        **headers,
                    },
                    b'hello',
                ),
                limit_ms / 1000 + 1,
            )
        except ConnectionRefusedError:
            note('refused', attempt=attempt)
            return None
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            note('broken', attempt=attempt, error=type(error).__name__)
            return None
        except TimeoutError:
            note('unanswered', attempt=attempt)
            return None
        note(
            'answered',
            attempt=attempt,
            status=answer.status,
            seal=answer.headers.get('server-seal', '-'),
            bytes=len(answer.body),
        )
        return answer

    @property
    def last_attempt(self) -> str:
        """The id of the attempt that was sent last."""
        return f'{self._name}x{self._number}'

    async def _choose(self) -> str:
        entries = [each for each in self._site.entries]
        if time.monotonic() > self._until:
            for entry in entries[:3]:
                target = f'/-/resolve?name={HOST}&region=kiambu&zone='
                try:
                    answer = await asyncio.wait_for(
                        call(
                            entry.address('directory'),
                            'GET',
                            target + self._zone,
                        ),
                        1,
                    )
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    continue
                if answer.status == 200:
                    document = json.loads(answer.body)
                    self._addresses = document['addresses']
                    self._until = time.monotonic() + document['ttlS']
                    break
        if not self._addresses:
            return entries[0].address('front')
        self._choices += 1
        return self._addresses[self._choices % len(self._addresses)]


class Channel:
    """A channel to an address, for one request after the other."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: tuple | None = None

    async def exchange(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Message:
        """Send a request, on a new channel if there is none, and its answer."""
        lines = [
            f'{method} {target} HTTP/1.1',
            f'Content-Length: {len(body)}',
            *_header_lines({'Host': 'x', **(headers or {})}),
        ]
        if self._streams is None:
            host, _, port = self._address.rpartition(':')
            self._streams = await asyncio.open_connection(host, int(port))
        reader, writer = self._streams
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        first, found = await read_head(reader)
        return Message(first, found, await read_body(reader, found))

    @property
    def is_open(self) -> bool:
        """Whether the next request goes out on a channel that was used."""
        return self._streams is not None

    def close(self) -> None:
        """Close the channel, if it is open."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> Message:
    """Send one request on a new channel, and read the whole answer."""
    channel = Channel(address)
    try:
        return await channel.exchange(method, target, headers, body)
    finally:
        channel.close()


def _header_lines(headers: dict[str, str]) -> list[str]:
    return [f'{name}: {text}' for name, text in headers.items()]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    linger = struct.pack('ii', 1, 0)
    found = writer.get_extra_info('socket')
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def address_of(server: asyncio.Server) -> str:
    """Return the address at which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free at an address, each another one."""
    with ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in found:
            each.bind((host, 0))
        return [each.getsockname()[1] for each in found]


def free_network() -> str:
    """Return a part of the loopback range that no other case uses."""
    for offset in range(200):
        second, third = 60 + offset % 100, os.getpid() % 250
        network = f'127.{second}.{third}'
        try:
            with socket.socket() as found:
                found.bind((f'{network}.11', METRICS_PORT))
        except OSError:
            continue
        return network
    raise CannotRunError('no free part of the loopback range')


def main(play: Callable[[Site, bool], Awaitable[bool]], folder: Path) -> None:
    """Play a case, and exit with one of the statuses above, or with 0.

    ``play`` gets the site, and whether there is trouble; it returns whether
    the rule held.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    record.note('case', folder=folder.name, trouble=has_trouble)

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(Path(temporary), record)
            try:
                async with asyncio.timeout(112):
                    return await play(site, has_trouble)
            finally:
                await site.close()
                keep_errors(Path(temporary), record)

    try:
        held = asyncio.run(run())
    except Exception:
        record.note('could not run', reason=traceback.format_exc())
        sys.exit(CANNOT_RUN_EXIT)
    record.note('result', rule='held' if held else 'broken')
    sys.exit(0 if held else BROKEN_EXIT)


def keep_errors(folder: Path, record: Record) -> None:
    """Copy the last lines that ended processes have left in their logs."""
    for log in sorted(folder.glob('*.log')):
        lines = log.read_text(errors='replace').splitlines()
        plain = [line for line in lines if not line.startswith('{')]
        for line in plain[-3:]:
            record.note('log', entry=log.stem, text=line[:300])
