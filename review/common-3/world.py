"""Stand-ins of the third review: a store, servers, relays, clients, entries.

Only the standard library is used. Everything listens on loopback addresses.
The stand-ins follow PROTOCOL.md and PAGES-NEWS.md; entries are started with
the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
START = time.monotonic()
READ_TOKENS_PER_S = 177_000


def now() -> float:
    """Return the seconds since the script began, on the steady clock."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: str) -> None:
        self._file = open(path, 'w', encoding='utf-8')
        self.lines: list[dict] = []

    def add(self, what: str, **fields: object) -> dict:
        """Write one line, and return it."""
        line = {'t': round(now(), 4), 'what': what, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()
        return line

    def of(self, what: str) -> list[dict]:
        """Return the lines of one kind."""
        return [each for each in self.lines if each['what'] == what]


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, target, headers, body) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        split = urlsplit(target)
        self.path = split.path
        self.query = dict(parse_qsl(split.query))

    def get(self, name: str, default: str = '') -> str:
        """Return the value of a header."""
        return self.headers.get(name, default)


async def read_request(reader) -> Request | None:
    """Read a request; return ``None`` at the end of a connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, target, headers, body)


def render(status: int, headers, body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'content-length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def reset(writer) -> None:
    """Close a connection with a reset, as a killed process does."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
    writer.transport.abort()


class HttpServer:
    """Listens on an address; ``handle`` gets a request and the writer."""

    def __init__(self, handle, host='127.0.0.1', port=0) -> None:
        self._handle = handle
        self.host = host
        self.port = port
        self._server = None
        self.writers = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen, on the port of the last time if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._handle(
                    request, reader, writer
                ):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: tables of rows, a feed, an era."""

    def __init__(self, record: Record, history_s: float = 20.0) -> None:
        self.record = record
        self.version = 1
        self.era = 1
        self.rows: dict[tuple, tuple[int, str]] = {}
        self.log: list[tuple] = []
        self.changed = asyncio.Event()
        self.away = False
        self.calls: list[tuple] = []

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row with JSON content."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self._write(table, key, text)

    def _write(self, table, key, text) -> int:
        self.version += 1
        if text is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, text)
        self.log.append((self.version, table, key, text))
        self._wake()
        return self.version

    def delete(self, table: str, key: str) -> None:
        """Delete a row, if it exists."""
        if (table, key) in self.rows:
            self._write(table, key, None)

    def copy(self):
        """Return a copy of all rows, to which the store may return."""
        return dict(self.rows), list(self.log), self.version

    def return_to(self, copy) -> None:
        """Go on from a copy, in a new era."""
        rows, log, version = copy
        self.rows, self.log, self.version = dict(rows), list(log), version
        self.era += 1
        self._wake()

    def _page(self, rows, status=200) -> tuple[int, dict]:
        return status, {
            'rows': rows,
            'schemaVersion': self.version,
            'nowMs': int(now() * 1000),
            'truncated': False,
        }

    @staticmethod
    def _row(table, key, version, text) -> dict:
        row = {'table': table, 'part': '', 'key': key, 'schemaVersion': version}
        if text is None:
            row['tombstone'] = True
        else:
            row['value'] = text
        return row

    async def handle(self, request, reader, writer) -> bool:
        """Answer a call."""
        await asyncio.sleep(0.004)
        if self.away:
            status, page = 503, {}
        else:
            status, page = await self.answer(request)
        return await self.send(writer, status, page)

    async def send(self, writer, status: int, page: dict) -> bool:
        """Send a page with the era."""
        writer.write(
            render(
                status,
                [
                    ('content-type', 'application/json'),
                    ('Store-Era', str(self.era)),
                ],
                json.dumps(page).encode(),
            )
        )
        await writer.drain()
        return True

    async def answer(self, request) -> tuple[int, dict]:
        """Return the status and the page for a call."""
        query = request.query
        if request.path == '/-/rows-get':
            table = query['table']
            start = query.get('from', '')
            return self._page(
                [
                    self._row(table, key, version, text)
                    for (name, key), (version, text) in sorted(
                        self.rows.items()
                    )
                    if name == table and key >= start
                ]
            )
        if request.path == '/-/rows-feed':
            table = query['table']
            after = int(query['afterRevision'])
            until = now() + int(query['waitMs']) / 1000
            while True:
                if after > self.version:
                    return self._page([], 410)
                found = {}
                for version, name, key, text in self.log:
                    if name == table and version > after:
                        found.pop(key, None)
                        found[key] = self._row(table, key, version, text)
                left = until - now()
                if found or left <= 0 or self.away:
                    if self.away:
                        return 503, {}
                    return self._page(list(found.values()))
                changed = self.changed
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        if request.path == '/-/rows-tx':
            call = json.loads(request.body)
            for row in call.get('expectedRevision', ()):
                held = self.rows.get((row['table'], row['key']), (0, ''))[0]
                if held != row['schemaVersion']:
                    return self._page([], 412)
            for row in call.get('puts', ()):
                self._write(row['table'], row['key'], row['value'])
            for row in call.get('delete', ()):
                self.delete(row['table'], row['key'])
            return self._page([])
        return self._page([], 404)


class Relay:
    """Passes connections on; those that are open can fall silent for good."""

    def __init__(self, target: str, host='127.0.0.1') -> None:
        self.target = target
        self.host = host
        self.port = 0
        self._server = None
        self._deaf = None
        self._fillers: list[socket.socket] = []
        self._pairs: set = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen, on the port of the last time if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> int:
        """Pass on nothing more on the connections that are open now."""
        count = 0
        for pair in self._pairs:
            count += not pair['silent'].is_set()
            pair['silent'].set()
        return count

    def reset(self) -> None:
        """Reset the connections that are open."""
        for pair in list(self._pairs):
            for writer in pair['writers']:
                reset(writer)

    async def refuse(self, *, resets: bool = True) -> None:
        """Refuse new connections, and reset those that are open."""
        await self.close_listener()
        if resets:
            self.reset()

    async def hang(self) -> None:
        """Let new connections hang; silence those that are open.

        The queue of the listening socket is full, so that the system drops
        the first packet of a connection, as a partition does.
        """
        self.silence()
        await self.close_listener()
        self._deaf = socket.socket()
        self._deaf.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._deaf.bind((self.host, self.port))
        self._deaf.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)

    async def close_listener(self) -> None:
        """Stop listening, so that new connections are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept(self) -> None:
        """Accept connections again after ``refuse`` or ``hang``."""
        for each in (self._deaf, *self._fillers):
            if each is not None:
                each.close()
        self._deaf = None
        self._fillers.clear()
        if self._server is None:
            await self.start()

    async def _serve(self, reader, writer) -> None:
        host, port = self.target.rsplit(':', 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            reset(writer)
            return
        pair = _Pair(
            silent=asyncio.Event(),
            rejected=asyncio.Event(),
            writers=(writer, far_writer),
        )
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, pair),
                self._pump(far_reader, writer, pair),
            )
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._pairs.discard(pair)
            writer.close()
            far_writer.close()

    async def reject(self) -> None:
        """Answer each packet with a reset: refuse new connections.

        Those that are open are reset once anything is sent on them.
        """
        await self.close_listener()
        for pair in self._pairs:
            pair['rejected'].set()

    async def _pump(self, reader, writer, pair) -> None:
        while True:
            part = await reader.read(65536)
            if pair['rejected'].is_set():
                for each in pair['writers']:
                    reset(each)
                return
            if pair['silent'].is_set():
                if not part:
                    # The end that gives up its side is told nothing either.
                    return
                continue
            if not part:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(part)
            await writer.drain()


class _Pair(dict):
    __hash__ = object.__hash__

    def __eq__(self, other) -> bool:
        return self is other


class LinkedStore:
    """The store as one entry sees it: each server behind a relay of its own.

    The relays stand for the links between this machine and the servers.
    """

    def __init__(self, world) -> None:
        self.world = world
        self.relays: dict[str, Relay] = {}
        self.http = HttpServer(self.handle)

    async def relay_for(self, address: str) -> Relay:
        """Return the relay to a server's address."""
        if address not in self.relays:
            relay = Relay(address)
            self.relays[address] = relay
            await relay.start()
        return self.relays[address]

    async def handle(self, request, reader, writer) -> bool:
        """Answer a call with the relays' addresses."""
        store = self.world.store
        await asyncio.sleep(0.004)
        status, page = (503, {}) if store.away else await store.answer(request)
        for row in page.get('rows', ()):
            if row['table'] == 'servers' and 'value' in row:
                text = json.loads(base64.b64decode(row['value']))
                relay = await self.relay_for(text['address'])
                text['address'] = relay.address
                row['value'] = base64.b64encode(
                    json.dumps(text).encode()
                ).decode()
        return await store.send(writer, status, page)


class Backend:
    """A server of one service: one lifetime under one id."""

    def __init__(self, world, name, service, zone, **options) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = options.get('slots', 8)
        self.work_s = options.get('work_s', 0.03)
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.active = 0
        self.extra_headers = []
        self.crash_part = None
        self.on_request = None
        self.http = HttpServer(self.handle)
        # Each entry may reach the server by a relay of its own.
        self.is_up = False
        self.tickets: dict[str, tuple[int, float]] = {}

    async def start(self) -> None:
        """Start to listen."""
        await self.http.start()
        self.is_up = True

    def row(self, state='ready') -> dict:
        """Return the server's entry in the list."""
        return {
            'service': self.service,
            'address': self.http.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': self.born,
        }

    def list(self, state='ready') -> None:
        """Write the entry to the store."""
        self.world.store.put('servers', self.name, self.row(state))

    def crash(self) -> None:
        """Stop listening, and reset all connections."""
        self.is_up = False
        self.http.stop()
        self.world.record.add('server-crash', server=self.name)

    async def restart(self) -> None:
        """Start again under the same id and address; a new lifetime."""
        self.born = int(time.time() * 1000)
        self.active = 0
        self.leaving = False
        self.tickets.clear()
        await self.http.start()
        self.is_up = True
        self.list()

    def _signals(self) -> list:
        found = list(self.extra_headers)
        if self.leaving:
            found.append(('Server-Leaving', '1'))
        return found

    async def handle(self, request, reader, writer) -> bool:
        """Answer one request."""
        if request.path == '/-/report':
            body = {
                'stage': 'combined',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'active': self.active,
                'kvUsed': 0,
                'kvTotal': 300000,
                'handles': 0,
                'pace': 1.0,
                'born': self.born,
                'tickets': [],
            }
            return await self._send(writer, 200, [], json.dumps(body).encode())
        if request.path == '/-/order':
            return await self._order(request, writer)
        if request.path == '/health':
            status = 503 if self.leaving else 200
            return await self._send(
                writer, status, [('Instance-Id', self.name)], b''
            )
        return await self._run(request, reader, writer)

    async def _order(self, request, writer) -> bool:
        order = json.loads(request.body)
        if request.get('expect-instance', self.name) != self.name:
            return await self._send(writer, 421, [], b'')
        if order['operation'] == 'release':
            self.tickets.pop(order['id'], None)
        elif order['operation'] == 'reserve':
            self.tickets[order['id']] = (
                order['tokens'],
                now() + order['holdMs'] / 1000,
            )
        return await self._send(writer, 200, [], b'{"free":300000}')

    async def _send(self, writer, status, headers, body) -> bool:
        writer.write(render(status, [*headers, *self._signals()], body))
        await writer.drain()
        return True

    async def _run(self, request, reader, writer) -> bool:
        attempt = request.get('attempt-id')
        line = {
            'server': self.name,
            'id': attempt,
            'path': request.target,
            'tenant': request.get('tenant'),
            'key': request.get('authorization'),
            'deadline': request.get('deadline-ms'),
        }
        if request.get('expect-instance', self.name) != self.name:
            self.world.record.add('misdirected', **line)
            return await self._send(writer, 421, [('Not-Executed', '1')], b'')
        if self.active >= self.slots:
            self.world.record.add('full', **line)
            return await self._send(writer, 503, [('Not-Executed', '1')], b'')
        self.world.record.add('run', **line)
        if self.on_request is not None:
            handled = await self.on_request(self, request, writer)
            if handled is not None:
                return handled
        self.active += 1
        work = asyncio.ensure_future(self._work(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                {work, gone}, return_when=asyncio.FIRST_COMPLETED
            )
            if gone.done() and not gone.cancelled():
                gone.exception()
            if not work.done():
                self.world.record.add('caller-left', **line)
                work.cancel()
                return False
            gone.cancel()
            return work.result() and False
        finally:
            self.active -= 1

    async def _work(self, request, writer) -> bool:
        attempt = request.get('attempt-id')
        headers = [
            ('Attempt-Id', attempt),
            ('Server-Seal', f'{self.name}.{attempt}'),
            ('Server-Load', f'{self.active},0,{self.slots}'),
            ('Connection', 'close'),
        ]
        usage = request.get('token-usage')
        if not usage:
            await asyncio.sleep(self.work_s)
            await self._send(writer, 200, headers, f'ok {attempt}'.encode())
            return True
        prompt, _, answer = usage.partition(',')
        readers = 1 + len(list(filter(None, request.get('helpers').split(','))))
        await asyncio.sleep(min(5.0, int(prompt) / READ_TOKENS_PER_S / readers))
        head = [
            'HTTP/1.1 200 OK',
            'content-type: text/event-stream',
            'transfer-encoding: chunked',
            *(f'{a}: {b}' for a, b in [*headers, *self._signals()]),
        ]
        writer.write(('\r\n'.join(head) + '\r\n\r\n').encode())
        first = int(request.get('last-event-id') or '0') + 1
        for number in range(first, max(2, int(answer) // 51) + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Entry:
    """A process of the deploy file's program, on a loopback address."""

    def __init__(self, world, number, zone, store_address) -> None:
        self.world = world
        self.number = number
        self.host = f'127.0.{1 + world.network}.{1 + number}'
        self.zone = zone
        self.name = f'edge-{zone}-{number}'
        self.store_address = store_address
        self.settings = Path(world.folder) / f'{self.name}.json'
        self.log = Path(world.folder) / f'{self.name}.log'
        self.process = None
        self.write_settings()

    def at(self, offset: int) -> str:
        """Return the address of one of the listeners."""
        return f'{self.host}:{self.world.port + offset}'

    def write_settings(self) -> None:
        """Write the settings file."""
        world = self.world
        seeds = [
            f'127.0.{1 + world.network}.{1 + each}:{world.port + 9}'
            for each in range(min(3, world.entry_count))
        ]
        zones = {zone: 'kiambu' for zone in world.zones}
        document = {
            'nodeName': self.name,
            'role': 'entry',
            'nodeClass': 'edge',
            'serves': ['edge', 'control', 'directory'],
            'ip': self.host,
            'zone': self.zone,
            'region': 'kiambu',
            'zones': zones,
            'listen': {
                'front': self.at(7),
                'ready': self.at(0),
                'control': self.at(9),
                'directory': self.at(4),
            },
            'portRange': [world.port + 20, world.port + 35],
            'seeds': seeds,
            'bootstrap': False,
            'faultCounted': False,
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
            'bounds': world.bounds,
            'platform': {
                'address': self.store_address,
                'form': 'table',
                'writesPerS': 400,
                'readsPerS': 2000,
                'txMs': 5.0,
                'partWritesS': 200,
                'rowBytes': 65536,
                'across': False,
                'historyS': 20,
                'blobBytes': 8388608,
                'blobMs': 25.0,
                'blobMbS': 80.0,
            },
        }
        self.settings.write_text(json.dumps(document))

    def start(self) -> None:
        """Start a process."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'LIMPETDRIFT_BOOT': str(self.settings),
            'LIMPET_METRICS_PORT': str(self.world.port + 40),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'limpetdrift.platform'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record.add('entry-start', entry=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record.add(
                'entry-signal', entry=self.name, signal=int(number)
            )

    def end(self) -> None:
        """Kill the process, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1000
        return 0.0


class World:
    """A small deployment: a store, servers, entries with a relay each."""

    def __init__(self, record_path: str, entries=3, **options) -> None:
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix='review-3-')
        self.randomness = random.Random(options.get('seed'))
        self.network = options.get('network') or random.randrange(20, 200)
        self.zones = options.get('zones', ('thika-hall',))
        self.entry_count = entries
        self.bounds = {
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
        } | options.get('bounds', {})
        self.store = Store(self.record)
        self.store_http = HttpServer(self.store.handle)
        self.relays: list[Relay] = []
        self.entries: list[Entry] = []
        self.backends: dict[str, Backend] = {}
        self.port = self._find_ports()
        self.version = 0
        self.keys = {'key-0': 'acme', 'key-1': 'bolt'}
        self.attempts = 0
        # Whether each machine has links of its own to the servers.
        self.has_links = options.get('has_links', False)
        self.links: list[LinkedStore] = []

    def _find_ports(self) -> int:
        for _ in range(200):
            port = random.randrange(20000, 30000)
            hosts = [
                f'127.0.{1 + self.network}.{1 + number}'
                for number in range(self.entry_count)
            ]
            with contextlib.ExitStack() as stack:
                try:
                    for host in hosts:
                        for offset in (0, 4, 7, 9, 40):
                            sock = stack.enter_context(socket.socket())
                            sock.bind((host, port + offset))
                except OSError:
                    continue
            return port
        raise SystemExit(2)

    def configuration(self, **changes) -> dict:
        """Return the next desired state."""
        self.version += 3
        routes = [
            {
                'name': name,
                'host': HOST,
                'pathPrefix': f'/{name}/',
                'kind': kind,
                'service': service,
                'timeoutMs': timeout,
                'targetLatencyMs': target,
                'maxAttempts': attempts,
                'resumable': kind == 'streaming',
                'gapTargetMs': 250,
                'sticky': kind == 'streaming',
                'priority': 1,
            }
            for name, kind, service, timeout, target, attempts in (
                ('once', 'non_idempotent', 'kiosk-desk', 1000, 125, 1),
                ('twice', 'idempotent', 'kiosk-desk', 1000, 125, 2),
                ('text', 'streaming', 'drift-models', 10000, 300, 2),
            )
        ]
        engine = {
            'slots': 8,
            'kvCapacity': 315000,
            'stride': 51,
            'step_ms': 0.85,
            'per_seq_ms': 0.00425,
            'context_per_k': 0.00285,
            'read_per_s': READ_TOKENS_PER_S,
            'pairs_per_m': 0.0,
            'chunk': 2048,
            'usual': {'prompt': 4960, 'answer': 1600},
        }
        return {
            'version': self.version,
            'routes': routes,
            'services': [
                {'name': 'kiosk-desk', 'healthPath': '/health'},
                {'name': 'drift-models', 'engine': engine},
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
        } | changes

    def publish(self, **changes) -> None:
        """Write the next desired state."""
        self.store.put('op', 'config', self.configuration(**changes))
        self.record.add('config', version=self.version, keys=list(self.keys))

    async def add_backend(self, name, service, zone=None, **options):
        """Start a server, and list it."""
        backend = Backend(self, name, service, zone or self.zones[0], **options)
        await backend.start()
        self.backends[name] = backend
        backend.list()
        self.record.add('listed', server=name)
        return backend

    async def open(self, desks=3, engines=0) -> None:
        """Start everything, and wait until the entries are ready."""
        await self.store_http.start()
        self.publish()
        for number in range(desks):
            zone = self.zones[number % len(self.zones)]
            await self.add_backend(f'd-{number}', 'kiosk-desk', zone, slots=6)
        for number in range(engines):
            zone = self.zones[number % len(self.zones)]
            await self.add_backend(f'm-{number}', 'drift-models', zone)
        for number in range(self.entry_count):
            target = self.store_http.address
            if self.has_links:
                linked = LinkedStore(self)
                await linked.http.start()
                self.links.append(linked)
                target = linked.http.address
            relay = Relay(target)
            await relay.start()
            self.relays.append(relay)
            zone = self.zones[number % len(self.zones)]
            self.entries.append(Entry(self, number, zone, relay.address))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)

    async def wait_ready(self, entry, seconds=30.0) -> None:
        """Wait until an entry says that it is ready."""
        until = now() + seconds
        while now() < until:
            answer = await fetch(entry.at(0), 'GET', '/-/readiness', [], b'', 1)
            if answer['status'] == 200:
                self.record.add('ready', entry=entry.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{entry.name} was not ready')

    async def call(self, entry, path, key='key-0', seconds=2.0, **options):
        """Send a request; return its id, when it was sent, and its answer."""
        self.attempts += 1
        attempt = options.get('attempt') or f'a-{self.attempts:05d}'
        headers = [
            ('Host', HOST),
            ('Attempt-Id', attempt),
            ('Deadline-Ms', str(options.get('deadline_ms', 1000))),
            ('Authorization', f'Bearer {key}'),
            *options.get('headers', ()),
        ]
        sent = self.record.add(
            'sent', id=attempt, entry=entry.name, path=path, key=key
        )
        answer = await fetch(
            entry.at(7),
            options.get('method', 'POST'),
            path,
            headers,
            options.get('body', b''),
            seconds,
        )
        self.record.add(
            'answered',
            id=attempt,
            entry=entry.name,
            status=answer['status'],
            error=answer['error'],
            body=answer['body'][:60].decode('latin-1'),
        )
        return attempt, sent['t'], answer

    def close(self) -> None:
        """End all processes, and remove their files."""
        for entry in self.entries:
            entry.end()
        self.store_http.stop()
        for backend in self.backends.values():
            backend.http.stop()
        if os.environ.get('KEEP_LOGS') != '1':
            for path in Path(self.folder).iterdir():
                path.unlink()
            Path(self.folder).rmdir()


class CannotRunError(Exception):
    """The case could not run."""


async def fetch(address, method, path, headers, body, seconds) -> dict:
    """Send one request on a new connection; status 0 if it gets no answer."""
    result = {'status': 0, 'headers': [], 'body': b'', 'error': ''}
    host, port = address.rsplit(':', 1)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {path} HTTP/1.1']
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                lines.append(f'Host: {address}')
            lines += [f'{name}: {value}' for name, value in headers]
            lines.append(f'Content-Length: {len(body)}')
            writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.split('\r\n')
            result['headers'] = [
                (name.lower(), value.strip())
                for name, _, value in (line.partition(':') for line in rest)
                if name
            ]
            found = dict(result['headers'])
            if 'content-length' in found:
                data = await reader.readexactly(int(found['content-length']))
            elif found.get('transfer-encoding') == 'chunked':
                data = b''
                while True:
                    size = int(await reader.readuntil(b'\r\n'), 16)
                    part = await reader.readexactly(size + 2)
                    if not size:
                        break
                    data += part[:-2]
            else:
                data = await reader.read()
            result['body'] = data
            result['status'] = int(first.split(' ')[1])
    except TimeoutError:
        result['error'] = 'timeout'
    except (OSError, asyncio.IncompleteReadError) as error:
        result['error'] = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return result


def run_case(play, record_path: str, **options) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if unable.

    ``play`` gets the world and whether there is trouble, and returns the list
    of what broke the rule.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main() -> int:
        world = World(record_path, **options)
        playing = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            # The processes that were started are ended then, too.
            loop.add_signal_handler(number, playing.cancel)
        try:
            async with asyncio.timeout(110):
                broken = await play(world, trouble)
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            world.record.add('cannot-run', reason=repr(error))
            print('cannot run:', repr(error))
            return 2
        finally:
            world.close()
        for each in broken:
            world.record.add('broken', **each)
            print('broken:', json.dumps(each))
        print(f'{len(broken)} times broken, trouble: {trouble}')
        return 1 if broken else 0

    try:
        status = asyncio.run(main())
    except Exception as error:  # the case could not run
        print('cannot run:', repr(error))
        sys.exit(2)
    sys.exit(status)
