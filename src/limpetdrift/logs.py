"""Logs as JSON lines by ``absl.logging``.

Each line holds the time, the level, the program, the message and, within a
request, the request's id.
"""

import logging as standard_logging
from contextvars import ContextVar

import msgspec
from absl import flags, logging

request_id: ContextVar[str] = ContextVar('request_id', default='')


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
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def set_up(program: str, level: str = 'info') -> None:
    """Send the process's logs to standard error as JSON lines."""
    # The logger asks for parsed flags, which our programs do not use.
    flags.FLAGS([program])
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(program=program))
    logging.use_absl_handler()
    logging.set_verbosity(level)
