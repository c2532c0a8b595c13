"""Starts and stops the named processes of a small site.

All started processes are killed when the ``with`` block ends:

>>> with Processes() as processes:  # doctest: +SKIP
...     engine = processes.start('engine-1', 'limpet_standins.engine')
...     processes.freeze('engine-1')
"""

import os
import random
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Self

import msgspec

import limpetdrift

READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
MAX_PROCESSES = 60
# Range of listening ports, below the system's ephemeral ports and those of the
# soak.
LOWEST_PORT = 16_000
PORT_LIMIT = 21_000
_RANDOMNESS = random.SystemRandom()
# Sockets that reserve the ports of this process's sites until it ends.
_RESERVATIONS: list[socket.socket] = []
# Exit status that shells report for SIGTERM: 128 + 15.
_SIGTERM_EXIT_STATUS = 143
_SOURCE_FOLDER = Path(limpetdrift.__file__).parents[1]


class StartError(Exception):
    """A process or site did not start; the message says why."""


@dataclass(frozen=True, kw_only=True)
class RunningProcess:
    """A started process and the addresses that it printed, by name."""

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """The address that other processes call."""
        return self.addresses.get('address') or self.addresses['callers']

    @property
    def alive(self) -> bool:
        """Whether the process still runs."""
        return self.popen.poll() is None


class Processes:
    """Processes by name, in a temporary folder with their logs.

    At most ``MAX_PROCESSES`` names can be in use.
    """

    def __init__(self, *, python: str = sys.executable) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='limpet-'))
        self._python = python
        self._running: dict[str, RunningProcess] = {}
        self._frozen: set[str] = set()

    def __enter__(self) -> Self:
        """Return itself; SIGTERM then exits through the end of the block."""
        if threading.current_thread() is threading.main_thread():
            signal.signal(signal.SIGTERM, _exit_on_sigterm)
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill all processes and remove the folder."""
        self.close()

    def __getitem__(self, name: str) -> RunningProcess:
        """Return the process last started under a name."""
        return self._running[name]

    def start(self, name: str, module: str, *arguments: str) -> RunningProcess:
        """Start a module as a program and wait until it is ready.

        Raises ``StartError`` if it is not ready in time.
        """
        self.spawn(name, module, *arguments)
        return self.wait_ready(name)

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a program; call ``wait_ready`` afterwards."""
        if len(self._running) >= MAX_PROCESSES:
            raise StartError('limit of MAX_PROCESSES processes reached')
        command = (self._python, '-m', module, *arguments)
        popen = _spawn(command, self.folder / _log_name(name))
        self._running[name] = RunningProcess(name=name, popen=popen)

    def wait_ready(self, name: str) -> RunningProcess:
        """Wait until a spawned process has printed its addresses.

        A process that does not print them in time is killed, and
        ``StartError`` is raised with its log.
        """
        spawned = self._running[name]
        line = _read_line(spawned.popen.stdout, READY_TIMEOUT_SECONDS)
        if not line:
            self.kill(name)
            raise StartError(f'{name} is not ready: {self.log(name)}')
        spawned.addresses.update(msgspec.json.decode(line))
        return spawned

    def stop(self, name: str) -> int:
        """Terminate a process by SIGTERM; return its exit status.

        Raises ``subprocess.TimeoutExpired`` if it runs on.
        """
        self.unfreeze(name)
        popen = self._running[name].popen
        popen.terminate()
        return popen.wait(STOP_TIMEOUT_SECONDS)

    def kill(self, name: str) -> None:
        """Kill a process by SIGKILL."""
        popen = self._running[name].popen
        popen.kill()
        popen.wait(STOP_TIMEOUT_SECONDS)
        self._frozen.discard(name)

    def freeze(self, name: str) -> None:
        """Pause a process by SIGSTOP until ``unfreeze``."""
        self._running[name].popen.send_signal(signal.SIGSTOP)
        self._frozen.add(name)

    def unfreeze(self, name: str) -> None:
        """Continue a process that ``freeze`` paused."""
        if name in self._frozen:
            self._running[name].popen.send_signal(signal.SIGCONT)
            self._frozen.discard(name)

    def log(self, name: str) -> str:
        """Return the standard error output of a process."""
        return (self.folder / _log_name(name)).read_text('utf-8', 'replace')

    def write(self, name: str, content: str) -> Path:
        """Write a file to the folder that ``close`` removes."""
        path = self.folder / name
        path.write_text(content, 'utf-8')
        return path

    def close(self) -> None:
        """Kill all processes and remove the folder."""
        for running in self._running.values():
            running.popen.kill()
        for running in self._running.values():
            running.popen.wait(STOP_TIMEOUT_SECONDS)
            if running.popen.stdout is not None:
                running.popen.stdout.close()
        self._running.clear()
        shutil.rmtree(self.folder, ignore_errors=True)


def _log_name(name: str) -> str:
    return f'{name}.log'


def _exit_on_sigterm(_signal: int, _frame: object) -> None:
    sys.exit(_SIGTERM_EXIT_STATUS)


def free_address() -> str:
    """Reserve a loopback address for a process that is started later.

    Its port is below the ports that the system assigns to outgoing
    connections and to listeners on port zero, so that none of them occupies
    it before the process listens on it. Other callers, also in other
    processes, don't get it while this process runs.
    """
    while True:
        port = _RANDOMNESS.randrange(LOWEST_PORT, PORT_LIMIT)
        reservation = socket.socket()
        try:
            reservation.bind(('127.0.0.1', port))
        except OSError:
            reservation.close()
            continue
        # Allows a listener that sets this option, too, beside this socket,
        # but none of those that try to reserve the port.
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _RESERVATIONS.append(reservation)
        return f'127.0.0.1:{port}'


def _spawn(command: tuple[str, ...], log_path: Path) -> subprocess.Popen[bytes]:
    environment = {**os.environ, 'PYTHONPATH': str(_SOURCE_FOLDER)}
    with log_path.open('ab') as log:
        return subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
            env=environment,
        )


def _read_line(output: IO[bytes] | None, timeout_seconds: float) -> bytes:
    """Return the first line, or nothing at the end of output or timeout."""
    if output is None:
        return b''
    deadline = time.monotonic() + timeout_seconds
    received = b''
    with selectors.DefaultSelector() as selector:
        selector.register(output, selectors.EVENT_READ)
        while not received.endswith(b'\n'):
            remaining = deadline - time.monotonic()
            if remaining <= 0 or not selector.select(remaining):
                return b''
            chunk = os.read(output.fileno(), 1)
            if not chunk:
                return b''
            received += chunk
    return received
