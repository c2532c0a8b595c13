"""Parses the request options that callers send in headers.

An invalid header is a failure with the reason ``BAD_REQUEST``.
"""

from expression import Error, Ok, Result

from limpetdrift.protocol.openai import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REPEATABLE_HEADER,
)
from limpetdrift.transport.messages import Request
from limpetdrift.verdict import Failure, Reason, not_run

LONGEST_DEADLINE_SECONDS = 3600.0
LONGEST_KEY_CHARACTERS = 200
_BOOLEANS = {'true': True, 'false': False}


def read_repeatable(
    request: Request,
    default: bool,
) -> Result[bool, Failure]:
    """Return whether the request may run more than once.

    ``default`` applies to a request without the header.
    """
    given = request.header(REPEATABLE_HEADER).lower()
    repeatable = _BOOLEANS.get(given, None if given else default)
    if repeatable is None:
        return Error(not_run(Reason.BAD_REQUEST, REPEATABLE_HEADER))
    return Ok(repeatable)


def read_key(request: Request) -> Result[str, Failure]:
    """Return the idempotency key, or an empty text without one."""
    key = request.header(KEY_HEADER)
    if len(key) > LONGEST_KEY_CHARACTERS:
        return Error(not_run(Reason.BAD_REQUEST, KEY_HEADER))
    return Ok(key)


def read_deadline(
    request: Request,
    default_seconds: float,
) -> Result[float, Failure]:
    """Return the time in seconds within which the request must end."""
    given = request.header(DEADLINE_HEADER)
    if not given:
        return Ok(default_seconds)
    try:
        seconds = float(given)
    except ValueError:
        return Error(not_run(Reason.BAD_REQUEST, DEADLINE_HEADER))
    if 0 < seconds <= LONGEST_DEADLINE_SECONDS:
        return Ok(seconds)
    return Error(not_run(Reason.BAD_REQUEST, DEADLINE_HEADER))
