"""Logs as JSON lines by ``absl.logging``.

Each line holds the time, the level, the program, the message and, within a
request, the request's id. ``note`` adds the inputs of a decision by name:

>>> note('store lost', table='config', reason='silent')

Lines pass through a bounded queue to a thread of their own, so that a reader
that stops reading stops nothing; what didn't fit is counted and told in a
line of its own as soon as there is room.
"""

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

# Lines that wait for the reader; at some 300 bytes each they stay under 1 MB.
QUEUED_LINES = 3000
# Written in one call at most, under the size of a pipe.
_BATCH_LINES = 100
_FLUSH_STEP_SECONDS = 0.01
# One request in so many is logged though it went well.
SAMPLED_EVERY = 8
_FIELDS = 'limpet_fields'


def note(message: str, **fields: object) -> None:
    """Log a decision or a change of belief with what decided it."""
    logging.get_absl_logger().info(message, extra={_FIELDS: fields})


def warn(message: str, **fields: object) -> None:
    """Log a failure with what is known of it."""
    logging.get_absl_logger().warning(message, extra={_FIELDS: fields})


def is_sampled(request: str) -> bool:
    """Return whether a request that goes well is logged too.

    All processes choose the same requests, so that their lines fit together.
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
        return msgspec.json.encode(line, enc_hook=str).decode()


class LineQueue:
    """Lines on their way to a file descriptor, oldest first.

    ``put`` never waits. ``write_forever`` is the thread's body.
    """

    def __init__(self, *, descriptor: int, size: int = QUEUED_LINES) -> None:
        self._descriptor = descriptor
        self._size = size
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._ready = threading.Event()

    @property
    def dropped(self) -> int:
        """The number of lines dropped since the last that was told."""
        return self._dropped

    def put(self, line: str) -> None:
        """Queue a line, or count it as dropped where there is no room."""
        if len(self._lines) >= self._size:
            self._dropped += 1
            return
        if self._dropped:
            told = {'message': 'lines dropped', 'count': self._dropped}
            self._dropped = 0
            self._lines.append(msgspec.json.encode(told).decode())
        self._lines.append(line)
        self._ready.set()

    def write_forever(self) -> None:
        """Write lines as they come; ends with the process or the reader."""
        while self._write_some():
            self._ready.wait()
            self._ready.clear()

    def flush(self, seconds: float = 0.2) -> None:
        """Give the thread so long to write what is queued."""
        done = threading.Event()
        while self._lines and seconds > 0:
            done.wait(_FLUSH_STEP_SECONDS)
            seconds -= _FLUSH_STEP_SECONDS

    def _write_some(self) -> bool:
        while self._lines:
            count = min(len(self._lines), _BATCH_LINES)
            lines = [self._lines.popleft() for _ in range(count)]
            if not _write_all(self._descriptor, '\n'.join((*lines, ''))):
                return False
        return True


class QueueHandler(standard_logging.Handler):
    """Hands formatted records to a ``LineQueue``."""

    def __init__(self, *, queue: LineQueue) -> None:
        super().__init__()
        self._queue = queue

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue one record."""
        self._queue.put(self.format(record))


def set_up(program: str, level: str = 'info') -> None:
    """Send the process's logs to standard error as JSON lines."""
    # The logger asks for parsed flags, which our programs do not use.
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
    """Send logs through a queue to standard output, or another stream."""
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
    left = memoryview(text.encode())
    while left:
        try:
            written = os.write(descriptor, left)
        except OSError:
            # The reader is gone for good; nobody is left to tell.
            return False
        left = left[written:]
    return True
