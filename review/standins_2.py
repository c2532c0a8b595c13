"""Stand-ins of the platform for the scripts of the second review.

A store with tables and a feed, servers of plain services, entries as processes
of their own, and clients. They do what PROTOCOL.md and DEPLOY.md say, with the
standard library alone, and listen on loopback addresses at free ports.
"""

import asyncio
import base64
import json
import os
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO
from urllib.parse import parse_qs, urlsplit

HOST = 'shop.example'
KEY = 'key-0'
ZONES = ('thika-hall', 'ruiru-hall', 'limuru-hall')
STORE_ANSWER_SECONDS = 0.004
READY_SECONDS = 30.0
HELD, BROKEN, UNUSABLE = range(3)
OK = 200
MISDIRECTED = 421
_WORK_SECONDS = 0.02
_LONGEST_PLAY_SECONDS = 110
_HEXADECIMAL = 16
_CUT_CHECK_SECONDS = 0.02
# The longest cut.
_CUT_CHECKS = 1000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_READ_LIMIT = 4_194_304
_ROOT = Path(__file__).resolve().parent.parent
_JSON = (('Content-Type', 'application/json'),)
_CLOSED = (ConnectionError, asyncio.IncompleteReadError, OSError)
_NO_ANSWER = (TimeoutError, *_CLOSED)

Headers = dict[str, str]


class Cut:
    """The entries that are cut off from what listens here, by number.

    The owner of a channel is found by the process of an entry that has its
    other end; loopback channels tell it by no address.
    """

    def __init__(self) -> None:
        # Of type Entry, which comes below.
        self.entries: set = set()

    def holds(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a channel comes from an entry that is cut off."""
        if not self.entries:
            return False
        address = writer.get_extra_info('peername')
        return any(each.owns(address) for each in self.entries)


class Record:
    """The lines of ``record.txt``, with seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def write(self, *words: object) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began_at
        self._file.write(f'{seconds:8.3f}  {" ".join(map(str, words))}\n')
        self._file.flush()


@dataclass(kw_only=True)
class Message:
    """The first line, the headers and the body of a request or an answer."""

    first_line: str
    headers: Headers
    body: bytes = b''

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length, or comes in chunks."""
    head = await reader.readuntil(b'\r\n\r\n')
    first_line, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    message = Message(first_line=first_line, headers=headers)
    if headers.get('transfer-encoding') == 'chunked':
        message.body = await _read_chunks(reader)
    else:
        length = int(headers.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        length = int(await reader.readline(), _HEXADECIMAL)
        parts.append(await reader.readexactly(length))
        await reader.readline()
        if not length:
            return b''.join(parts)


def encode_answer(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Return an answer whose body has a length."""
    lines = [f'{name}: {text}' for name, text in headers]
    lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join((f'HTTP/1.1 {status} -', *lines, '', ''))
    return head.encode('latin-1') + body


class Store:
    """The platform's store: tables in memory, reads, writes and the feed."""

    def __init__(self) -> None:
        self.address = ''
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._changed = asyncio.Event()
        # The entries that get no answers.
        self.cut = Cut()

    async def start(self) -> None:
        """Listen."""
        self.address = await listen(self._serve)

    def put(self, table: str, key: str, content: dict | None) -> None:
        """Write a row, or delete it, as the operator and the servers do."""
        text = None
        if content is not None:
            text = base64.b64encode(json.dumps(content).encode()).decode()
        self._write({(table, key): text})

    def _write(self, changes: dict[tuple[str, str], str | None]) -> None:
        self._version += 1
        for identity, text in changes.items():
            self._rows[identity] = (self._version, text)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader)
            await asyncio.sleep(STORE_ANSWER_SECONDS)
            rows = await self._rows_for(request)
            page = {
                'rows': [
                    {
                        'table': table,
                        'part': '',
                        'key': key,
                        'value': text or '',
                        'schemaVersion': version,
                        'tombstone': text is None,
                    }
                    for (table, key), (version, text) in rows
                ],
                'schemaVersion': self._version,
                'nowMs': int(time.monotonic() * 1000),
                'truncated': False,
            }
            body = json.dumps(page).encode()
            await self._wait_uncut(writer)
            writer.write(encode_answer(OK, body, *_JSON, ('Store-Era', '1')))
            await writer.drain()

    async def _wait_uncut(self, writer: asyncio.StreamWriter) -> None:
        for _ in range(_CUT_CHECKS):
            if not self.cut.holds(writer):
                return
            await asyncio.sleep(_CUT_CHECK_SECONDS)

    async def _rows_for(self, request: Message) -> list:
        parts = urlsplit(request.target)
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        if parts.path == '/-/rows-get':
            return [
                each
                for each in self._changes_after(query['table'], 0)
                if each[1][1] is not None
            ]
        if parts.path == '/-/rows-feed':
            seconds = int(query['waitMs']) / 1000
            return await self._poll(
                query['table'], int(query['afterRevision']), seconds
            )
        changes = json.loads(request.body)
        found = {
            (row['table'], row['key']): row['value'] for row in changes['puts']
        }
        found |= {(row['table'], row['key']): None for row in changes['delete']}
        self._write(found)
        return []

    async def _poll(self, table: str, after: int, seconds: float) -> list:
        ends_at = time.monotonic() + seconds
        while not self._changes_after(table, after):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            await wait_at_most(self._changed, left)
        return self._changes_after(table, after)

    def _changes_after(self, table: str, after: int) -> list:
        found = [
            each
            for each in self._rows.items()
            if each[0][0] == table and each[1][0] > after
        ]
        return sorted(found, key=lambda each: each[1][0])


# Answers one request that has run.
Answer = Callable[['Server', Message, asyncio.StreamWriter], Awaitable[None]]


async def answer_plainly(
    server: 'Server', request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer with a short body after some work."""
    await asyncio.sleep(_WORK_SECONDS)
    writer.write(server.encode(request, server.name.encode()))


@dataclass(kw_only=True)
class Server:
    """One lifetime of a server of a plain service.

    ``runs`` has the times at which requests began to run, by their ids.
    """

    name: str
    service: str
    zone: str
    record: Record
    answer: Answer = answer_plainly
    address: str = ''
    born: int = 0
    runs: dict[str, float] = field(default_factory=dict)
    # The entries whose channels are reset.
    cut: Cut = field(default_factory=Cut)
    # Headers of all answers to requests, beside those that each has.
    signals: tuple[tuple[str, str], ...] = ()

    async def start(self, store: Store) -> None:
        """Listen, and write the row of the list."""
        self.born = int(time.time() * 1000)
        self.address = await listen(self._serve)
        row = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': self.born,
        }
        store.put('servers', self.name, row)

    def encode(self, request: Message, body: bytes) -> bytes:
        """Return the answer with a body to a request that has run."""
        name = request.headers['attempt-id']
        return encode_answer(
            OK,
            body,
            ('Attempt-Id', name),
            ('Server-Seal', f'{self.name}.{name}'),
            *self.signals,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not self.cut.holds(writer):
            request = await read_message(reader)
            expected = request.headers.get('expect-instance', self.name)
            if request.target == '/health':
                named = ('Instance-Id', self.name)
                writer.write(encode_answer(OK, b'', named))
            elif expected == self.name:
                name = request.headers['attempt-id']
                self.runs[name] = time.monotonic()
                self.record.write(self.name, 'runs', name)
                await self.answer(self, request, writer)
            else:
                writer.write(encode_answer(MISDIRECTED, b''))
            await writer.drain()
        reset(writer)


class Entry:
    """A machine with one process of the deploy file's program."""

    def __init__(
        self, *, number: int, store: str, folder: Path, memory_mb: int
    ) -> None:
        self.host = f'127.0.1.{number + 1}'
        self.memory_bytes = memory_mb * 1024 * 1024
        self.process: subprocess.Popen | None = None
        self._log = folder / f'entry-{number}.log'
        self._file = folder / f'node-{number}.json'
        roles = ('front', 'ready', 'control', 'directory', 'metrics')
        self.ports = {role: _free_port(self.host) for role in roles}
        self.settings = self._make_settings(number, store, memory_mb)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self._file.write_text(json.dumps(self.settings), encoding='utf-8')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment |= {
            'LIMPETDRIFT_BOOT': str(self._file),
            'LIMPET_METRICS_PORT': str(self.ports['metrics']),
            'PYTHONPATH': str(_ROOT / 'target' / 'deps'),
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'limpetdrift.platform'],
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def end(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def has_ended(self) -> bool:
        """Return whether the process ended by itself."""
        return self.process is None or self.process.poll() is not None

    def owns(self, address: tuple[str, int]) -> bool:
        """Return whether a channel's other end is this process's."""
        host, port = address
        packed = int.from_bytes(socket.inet_aton(host), sys.byteorder)
        wanted = f'{packed:08X}:{port:04X}'
        table = Path('/proc/net/tcp').read_text(encoding='utf-8')
        nodes = [
            fields[9]
            for fields in map(str.split, table.splitlines())
            if fields[1] == wanted
        ]
        names = {f'socket:[{node}]' for node in nodes}
        return any(name in names for name in self._open_files())

    def _open_files(self) -> Iterator[str]:
        folder = Path(f'/proc/{self.process.pid}/fd')
        for each in folder.iterdir():
            # A file may be closed meanwhile.
            with suppress(OSError):
                yield str(each.readlink())

    def used_bytes(self) -> int:
        """Return the memory that the process has in use."""
        status = Path(f'/proc/{self.process.pid}/status')
        lines = status.read_text(encoding='utf-8').splitlines()
        used = [line.split()[1] for line in lines if line.startswith('VmRSS')]
        return int(used[0]) * 1024 if used else 0

    async def connect(
        self, role: str = 'front'
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a channel."""
        return await asyncio.open_connection(
            self.host, self.ports[role], limit=_READ_LIMIT
        )

    async def is_ready(self) -> bool:
        """Ask the question of the platform, with one second for it."""
        try:
            return await asyncio.wait_for(self._ask_ready(), 1)
        except _NO_ANSWER:
            return False

    async def wait_ready(self) -> bool:
        """Wait until the machine is ready; return whether it is."""
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at and not self.has_ended():
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def _ask_ready(self) -> bool:
        reader, writer = await self.connect('ready')
        try:
            writer.write(b'GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n')
            return (await read_message(reader)).status == OK
        finally:
            writer.close()

    def _make_settings(self, number: int, store: str, memory_mb: int) -> dict:
        listen_on = {
            role: f'{self.host}:{self.ports[role]}'
            for role in ('front', 'ready', 'control', 'directory')
        }
        zone = ZONES[number % len(ZONES)]
        return {
            'nodeName': f'edge-{zone}-{number}',
            'role': 'entry',
            'nodeClass': 'edge',
            'serves': ['edge', 'control', 'directory'],
            'ip': self.host,
            'zone': zone,
            'region': 'kiambu',
            'zones': {each: 'kiambu' for each in ZONES},
            'listen': listen_on,
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cores': 2,
                'memoryMb': memory_mb,
                'maxFds': 4200,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatMs': 1200,
            'bounds': {
                'contactMs': 3000,
                'drainMs': 2000,
                'graceS': 8,
                'configApplyMs': 2000,
                'rollbackSlackMs': 250,
                'strictRevocation': True,
                'revokeMs': 5000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'retryBudgetSlack': 100,
                'holdMaxMs': 20000,
                'ttl_max_s': 5,
            },
            'platform': {
                'address': store,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
            },
        }


@dataclass(kw_only=True)
class Site:
    """A store, servers and entries; ``folder`` is a temporary one."""

    record: Record
    folder: Path
    store: Store = field(default_factory=Store)
    servers: list[Server] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)

    async def open(
        self, entries: int, services: dict[str, int], memory_mb: int = 300
    ) -> bool:
        """Start all of it; return whether all entries are ready."""
        await self.store.start()
        self.write_configuration(1, {'job-confirm': 'kiosk-desk'})
        for service, count in services.items():
            for number in range(count):
                server = Server(
                    name=f'i-{service}-{number}',
                    service=service,
                    zone=ZONES[number % len(ZONES)],
                    record=self.record,
                )
                await server.start(self.store)
                self.servers.append(server)
        for number in range(entries):
            entry = Entry(
                number=number,
                store=self.store.address,
                folder=self.folder,
                memory_mb=memory_mb,
            )
            self.entries.append(entry)
        seeds = [
            f'{each.host}:{each.ports["control"]}' for each in self.entries
        ]
        for each in self.entries:
            each.settings['seeds'] = seeds[:3]
            each.start()
        ready = [await each.wait_ready() for each in self.entries]
        self.record.write('entries ready:', ready)
        return all(ready)

    def write_configuration(self, version: int, moved: dict[str, str]) -> None:
        """Write the desired state; ``moved`` maps routes to services."""
        kinds = {'job-confirm': 'non_idempotent', 'status-check': 'idempotent'}
        attempts = {'job-confirm': 1, 'status-check': 2}
        routes = [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'service': moved.get(name, 'kiosk-desk'),
                'timeoutMs': 1000,
                'targetLatencyMs': 125,
                'priority': 2,
                'maxAttempts': attempts[name],
            }
            for name, kind in kinds.items()
        ]
        services = sorted({route['service'] for route in routes})
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': routes,
                'services': [
                    {'name': name, 'healthPath': '/health'} for name in services
                ],
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 3000,
                    'idleTimeoutMs': 15000,
                },
                'tenants': [{'name': 'owners', 'apiKeys': [KEY]}],
            },
        )

    def close(self) -> None:
        """End all processes that were started."""
        for each in self.entries:
            each.end()


def make_head(
    name: str,
    target: str,
    *,
    length: int = 0,
    lines: tuple[str, ...] = (),
    key: str = KEY,
) -> bytes:
    """Return the head of a client's request; ``lines`` are further headers."""
    method = 'POST' if target.startswith('/job-confirm') else 'GET'
    fixed = (
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {name}',
        'Deadline-Ms: 1000',
        f'Authorization: Bearer {key}',
        f'Content-Length: {length}',
    )
    return '\r\n'.join((*fixed, *lines, '', '')).encode('latin-1')


async def ask(entry: Entry, name: str, target: str, seconds: float) -> int:
    """Send one request on a new channel; return the status, 0 for none."""
    try:
        return await asyncio.wait_for(_ask(entry, name, target), seconds)
    except _NO_ANSWER:
        return 0


async def _ask(entry: Entry, name: str, target: str) -> int:
    reader, writer = await entry.connect()
    try:
        writer.write(make_head(name, target))
        return (await read_message(reader)).status
    finally:
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a channel."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


async def wait_at_most(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event, at most for a time."""
    with suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), seconds)


async def listen(serve: Callable) -> str:
    """Listen on a free port of loopback; return the address."""
    tasks = set()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except _CLOSED:
            # The other side has closed the channel.
            writer.close()

    def begin(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A task of its own, which asyncio doesn't report at the end.
        task = asyncio.create_task(handle(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await asyncio.start_server(
        begin, '127.0.0.1', 0, limit=_READ_LIMIT, backlog=1024
    )
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


def run_case(folder: str, play: Callable[[Site, bool], Awaitable[int]]) -> None:
    """Play a case, end what it started, and exit with its outcome.

    ``play`` gets the site and whether the trouble is to be played.
    """
    record = Record(Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    temporary = Path(tempfile.mkdtemp(prefix='review-'))
    site = Site(record=record, folder=temporary)
    outcome = UNUSABLE
    try:
        outcome = asyncio.run(
            asyncio.wait_for(play(site, has_trouble), _LONGEST_PLAY_SECONDS)
        )
    except Exception as error:
        record.write('the case could not run:', repr(error))
    finally:
        site.close()
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = ('the rule held', 'the rule was broken', 'could not run')[outcome]
    record.write('trouble:', has_trouble, '-', verdict)
    sys.stdout.write(f'{verdict}\n')
    sys.exit(outcome)


def _free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
