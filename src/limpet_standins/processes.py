"""Starts and stops the named processes of a small site.

Everything that was started is ended when the ``with`` block ends:

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

READY_SECONDS = 20.0
STOP_SECONDS = 20.0
MOST_PROCESSES = 60
LOWEST_PORT = 16_000
PORT_LIMIT = 32_000
_RANDOM = random.SystemRandom()
_TERMINATED_STATUS = 143
_SOURCE_FOLDER = Path(limpetdrift.__file__).parents[1]


class StartError(Exception):
    """A process did not get ready; carries the end of its log."""


@dataclass(frozen=True, kw_only=True)
class RunningProcess:
    """A started process and the addresses that it announced."""

    name: str
    popen: subprocess.Popen[bytes]
    addresses: dict[str, str] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """Where others call it."""
        return self.addresses.get('address') or self.addresses['callers']

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None


class Processes:
    """The processes that were started here, by name."""

    def __init__(self, *, python: str = sys.executable) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='limpet-'))
        self._python = python
        self._running: dict[str, RunningProcess] = {}
        self._frozen: set[str] = set()

    def __enter__(self) -> Self:
        """Return itself; SIGTERM then ends the block in order."""
        if threading.current_thread() is threading.main_thread():
            signal.signal(signal.SIGTERM, _exit_in_order)
        return self

    def __exit__(self, *_error: object) -> None:
        """End all processes and remove their logs."""
        self.close()

    def __getitem__(self, name: str) -> RunningProcess:
        """Return the process last started under that name."""
        return self._running[name]

    def start(self, name: str, module: str, *arguments: str) -> RunningProcess:
        """Start a module as a program and wait until it is ready."""
        self.spawn(name, module, *arguments)
        return self.wait_ready(name)

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a program; ``wait_ready`` has to follow."""
        if len(self._running) >= MOST_PROCESSES:
            raise StartError('too many processes')
        command = (self._python, '-m', module, *arguments)
        popen = _spawn(command, self.folder / _log_name(name))
        self._running[name] = RunningProcess(name=name, popen=popen)

    def wait_ready(self, name: str) -> RunningProcess:
        """Wait until a spawned process has told its addresses."""
        spawned = self._running[name]
        line = _read_line(spawned.popen.stdout, READY_SECONDS)
        if not line:
            self.kill(name)
            raise StartError(f'{name} is not ready: {self.log(name)}')
        spawned.addresses.update(msgspec.json.decode(line))
        return spawned

    def stop(self, name: str) -> int:
        """End a process in order by SIGTERM; return its exit status."""
        self.wake(name)
        popen = self._running[name].popen
        popen.terminate()
        return popen.wait(STOP_SECONDS)

    def kill(self, name: str) -> None:
        """End a process at once."""
        popen = self._running[name].popen
        popen.kill()
        popen.wait(STOP_SECONDS)
        self._frozen.discard(name)

    def freeze(self, name: str) -> None:
        """Pause a process until it is woken."""
        self._running[name].popen.send_signal(signal.SIGSTOP)
        self._frozen.add(name)

    def wake(self, name: str) -> None:
        """Let a frozen process go on."""
        if name in self._frozen:
            self._running[name].popen.send_signal(signal.SIGCONT)
            self._frozen.discard(name)

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.folder / _log_name(name)).read_text('utf-8', 'replace')

    def write(self, name: str, content: str) -> Path:
        """Write a file, such as settings, that lives as long as this."""
        path = self.folder / name
        path.write_text(content, 'utf-8')
        return path

    def close(self) -> None:
        """End all processes and remove their logs."""
        for running in self._running.values():
            running.popen.kill()
        for running in self._running.values():
            running.popen.wait(STOP_SECONDS)
            if running.popen.stdout is not None:
                running.popen.stdout.close()
        self._running.clear()
        shutil.rmtree(self.folder, ignore_errors=True)


def _log_name(name: str) -> str:
    return f'{name}.log'


def _exit_in_order(_signal: int, _frame: object) -> None:
    sys.exit(_TERMINATED_STATUS)


def free_address() -> str:
    """Return a loopback address that nothing listens on at the moment.

    Its port is below those that the system gives to outgoing connections
    and to listeners on port zero, so that none of them takes it meanwhile.
    """
    while True:
        port = _RANDOM.randrange(LOWEST_PORT, PORT_LIMIT)
        with socket.socket() as probe:
            if probe.connect_ex(('127.0.0.1', port)):
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


def _read_line(output: IO[bytes] | None, seconds: float) -> bytes:
    """Return the first line, or nothing when there is none in time."""
    if output is None:
        return b''
    deadline = time.monotonic() + seconds
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
