"""Logs JSON lines through ``absl.logging``.

Each line holds the time, the level, the program, the message and, within a
request, the request's id. ``note`` and ``warn`` add named fields:

>>> note('store lost', table='config', reason='silent')

With ``set_up_queue``, a thread writes the lines from a bounded queue, so that
a log reader that stops reading does not block the process. Lines that do not
fit are dropped, and a line reports their number as soon as there is room.
"""

import json
import logging as standard_logging
import os
import sys
import threading
from collections import deque
from contextvars import ContextVar
from typing import TextIO
from zlib import crc32

import msgspec
from absl import flags, logging

request_id: ContextVar[str] = ContextVar('request_id', default='')

# Capacity of the queue: under 1 MB with lines of some 300 bytes.
MAX_QUEUED_LINES = 3000
# Lines in one write call at most; at that size they fit in a pipe's buffer.
_BATCH_LINES = 100
_FLUSH_POLL_SECONDS = 0.01
# One successful request out of this number is logged.
SAMPLED_EVERY = 8
_FIELDS = 'limpet_fields'


def note(message: str, **fields: object) -> None:
    """Log a decision or a change of state, with its causes as fields."""
    logging.get_absl_logger().info(message, extra={_FIELDS: fields})


def warn(message: str, **fields: object) -> None:
    """Log a failure, with its details as fields."""
    logging.get_absl_logger().warning(message, extra={_FIELDS: fields})


def fail(message: str, error: BaseException, **fields: object) -> None:
    """Log an unexpected error with its traceback, all in one line."""
    logging.get_absl_logger().error(
        message, exc_info=error, extra={_FIELDS: fields}
    )


def is_sampled(request: str) -> bool:
    """Return whether a request is logged even if it succeeds.

    This depends only on its id, so that all processes log the same requests.
    """
    return crc32(request.encode()) % SAMPLED_EVERY == 0


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as one line of JSON."""

    def __init__(self, *, program: str) -> None:
        super().__init__()
        self._program = program

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as JSON."""
        line = {
            'time': round(record.created, 3),
            'level': record.levelname.lower(),
            'program': self._program,
            'request': request_id.get(),
            'message': record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        try:
            return msgspec.json.encode(line, enc_hook=str).decode()
        except UnicodeEncodeError:
            # An undecodable text from outside, which json escapes.
            return json.dumps(line, default=str)


class LineQueue:
    """A bounded queue of lines to be written to a file descriptor.

    ``size`` is the maximum number of queued lines. ``put`` never blocks.
    ``write_forever`` runs in a thread of its own.
    """

    def __init__(
        self, *, descriptor: int, size: int = MAX_QUEUED_LINES
    ) -> None:
        self._descriptor = descriptor
        self._size = size
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._ready = threading.Event()
        self._is_writing = False

    @property
    def dropped(self) -> int:
        """The number of dropped lines that no line has reported yet."""
        return self._dropped

    def put(self, line: str) -> None:
        """Queue a line, or drop and count it if the queue is full."""
        if len(self._lines) >= self._size:
            self._dropped += 1
            return
        if self._dropped:
            report = {'message': 'lines dropped', 'count': self._dropped}
            self._dropped = 0
            self._lines.append(msgspec.json.encode(report).decode())
        self._lines.append(line)
        self._ready.set()

    def write_forever(self) -> None:
        """Write queued lines until writing fails, as for a closed pipe."""
        while self._write_some():
            self._ready.wait()
            self._ready.clear()

    def flush(self, timeout_seconds: float = 0.2) -> None:
        """Wait until the thread has written all lines, or for the timeout."""
        never_set = threading.Event()
        while self._has_unwritten() and timeout_seconds > 0:
            never_set.wait(_FLUSH_POLL_SECONDS)
            timeout_seconds -= _FLUSH_POLL_SECONDS

    def _has_unwritten(self) -> bool:
        return bool(self._lines) or self._is_writing

    def _write_some(self) -> bool:
        self._is_writing = True
        try:
            return self._write_queued()
        finally:
            self._is_writing = False

    def _write_queued(self) -> bool:
        while self._lines:
            count = min(len(self._lines), _BATCH_LINES)
            lines = [self._lines.popleft() for _ in range(count)]
            if not _write_all(self._descriptor, '\n'.join((*lines, ''))):
                return False
        return True


class QueueHandler(standard_logging.Handler):
    """Formats records and puts them into a ``LineQueue``."""

    def __init__(self, *, queue: LineQueue) -> None:
        super().__init__()
        self._queue = queue

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue one record."""
        self._queue.put(self.format(record))


def set_up(program: str, level: str = 'info') -> None:
    """Send the process's logs to standard error as JSON lines."""
    # absl.logging needs parsed flags; the programs define none.
    flags.FLAGS([program])
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(program=program))
    logging.use_absl_handler()
    logging.set_verbosity(level)


def set_up_queue(
    program: str,
    level: str = 'info',
    stream: TextIO | None = None,
) -> LineQueue:
    """Send logs through a queue to ``stream``, by default standard output."""
    flags.FLAGS([program])
    target = stream or sys.stdout
    queue = LineQueue(descriptor=target.fileno())
    handler = QueueHandler(queue=queue)
    handler.setFormatter(JsonFormatter(program=program))
    logger = logging.get_absl_logger()
    logger.handlers = [handler]
    logger.propagate = False
    logging.set_verbosity(level)
    writer = threading.Thread(target=queue.write_forever, daemon=True)
    writer.start()
    return queue


def _write_all(descriptor: int, text: str) -> bool:
    remaining = memoryview(text.encode())
    while remaining:
        try:
            written = os.write(descriptor, remaining)
        except OSError:
            # The reader has closed its end, so the error can't be logged.
            return False
        remaining = remaining[written:]
    return True
