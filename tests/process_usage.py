"""Measures the memory and the open descriptors of a process."""

import os
from dataclasses import dataclass
from pathlib import Path

import trio

SAMPLE_SECONDS = 0.1
_KILOBYTE = 1024
_SOCKET_LINK = 'socket:['
# Columns of /proc/PID/net/tcp.
_QUEUES_COLUMN = 4
_INODE_COLUMN = 9


def resident_bytes(pid: int, field: str = 'VmRSS') -> int:
    """Return the resident memory, or with ``VmHWM`` its peak."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1]) * _KILOBYTE
    raise ProcessLookupError(f'process {pid} has ended')


def unread_bytes(pid: int) -> int:
    """Return the bytes that its sockets have received and it has not read."""
    inodes = _socket_inodes(pid)
    lines = Path(f'/proc/{pid}/net/tcp').read_text().splitlines()[1:]
    total = 0
    for columns in map(str.split, lines):
        if columns[_INODE_COLUMN] in inodes:
            total += int(columns[_QUEUES_COLUMN].partition(':')[2], 16)
    return total


def count_descriptors(pid: int) -> int:
    """Return the number of open descriptors."""
    return len(os.listdir(f'/proc/{pid}/fd'))


def _socket_inodes(pid: int) -> set[str]:
    inodes = set()
    for entry in os.scandir(f'/proc/{pid}/fd'):
        try:
            link = os.readlink(entry.path)
        except FileNotFoundError:
            continue
        if link.startswith(_SOCKET_LINK):
            inodes.add(link.removeprefix(_SOCKET_LINK).rstrip(']'))
    return inodes


@dataclass(kw_only=True)
class Usage:
    """The peaks of what a process was seen to hold.

    ``memory_bytes`` counts resident memory and bytes that were not read.
    """

    pid: int
    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self) -> None:
        """Take the present figures into the peaks."""
        resident = resident_bytes(self.pid)
        self.memory_bytes = max(
            self.memory_bytes,
            resident + unread_bytes(self.pid),
            resident_bytes(self.pid, 'VmHWM'),
        )
        self.descriptors = max(self.descriptors, count_descriptors(self.pid))

    async def watch(self) -> None:
        """Sample until cancelled, or until the process has ended."""
        while True:
            try:
                self.sample()
            except (FileNotFoundError, ProcessLookupError):
                return
            await trio.sleep(SAMPLE_SECONDS)
