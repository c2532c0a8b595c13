"""Decodes what endpoints signal about themselves in the headers of answers."""

import re

from limpetdrift.coordination.endpoints.endpoint_gate import EndpointSignals
from limpetdrift.logs import warn
from limpetdrift.platform.header_names import (
    COLD_HEADER,
    INSTANCE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    RETRY_AFTER_HEADER,
)
from limpetdrift.protocol.bounded import MAX_RATE
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_limits import UNLIMITED
from limpetdrift.transport.messages import UNAVAILABLE, Headers

MISDIRECTED = 421
_SET = '1'
_MILLISECONDS = 1000.0
# A number that is not negative. One beyond the range of floating point is
# infinite.
_NUMBER = re.compile(r'(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?', flags=re.ASCII)
# Characters of the longest number that is parsed. Each digit of a longer one
# costs time, and a head may be nothing but digits.
_MAX_LENGTH = 64


def decode_signals(
    endpoint: ListedEndpoint, status: int, headers: Headers
) -> EndpointSignals:
    """Decode the signals in an answer to a request sent to ``endpoint``.

    An answer of another process at its address signals nothing about it.
    """
    by_name = dict(headers)
    instance = by_name.get(INSTANCE_HEADER, endpoint.name)
    if status == MISDIRECTED or instance != endpoint.name:
        return EndpointSignals()
    return EndpointSignals(
        leaving=by_name.get(LEAVING_HEADER, '').strip() == _SET,
        back_off_seconds=_decode_back_off(endpoint, status, by_name),
        rate_limit=_decode_rate_limit(endpoint, headers),
        cold_seconds=_decode_cold_seconds(endpoint, by_name.get(COLD_HEADER)),
    )


def parse_decimal(text: str) -> float | None:
    """Parse a number that is not negative; return ``None`` if it is invalid.

    >>> parse_decimal(' 0.25 '), parse_decimal('-1'), parse_decimal('nan')
    (0.25, None, None)
    """
    number = text.strip()
    if len(number) > _MAX_LENGTH or not _NUMBER.fullmatch(number):
        return None
    return float(number)


def _decode_back_off(
    endpoint: ListedEndpoint, status: int, headers: dict[str, str]
) -> float:
    text = headers.get(RETRY_AFTER_HEADER)
    if status != UNAVAILABLE or text is None:
        return 0.0
    seconds = parse_decimal(text)
    if seconds is None:
        warn(
            'back-off is no number of seconds',
            endpoint=endpoint.name,
            value=text[:_MAX_LENGTH],
        )
        return 0.0
    return seconds


def _decode_cold_seconds(endpoint: ListedEndpoint, text: str | None) -> float:
    if text is None:
        return 0.0
    milliseconds = parse_decimal(text)
    if milliseconds is None:
        warn(
            'remaining cold time is no number',
            endpoint=endpoint.name,
            value=text[:_MAX_LENGTH],
        )
        return 0.0
    return milliseconds / _MILLISECONDS


def _decode_rate_limit(
    endpoint: ListedEndpoint, headers: Headers
) -> float | None:
    """Return the limit in requests a second, ``None`` if it is invalid.

    Of several in one head the lowest valid one holds.
    """
    texts = [text for name, text in headers if name == LIMIT_HEADER]
    if not texts:
        return UNLIMITED
    rates = [parse_decimal(text) for text in texts]
    valid = [rate for rate in rates if rate is not None]
    if len(valid) != 1:
        warn(
            'rate limit is no single number',
            endpoint=endpoint.name,
            value=', '.join(texts)[:_MAX_LENGTH],
        )
    lowest = min(valid, default=None)
    return UNLIMITED if lowest is not None and lowest > MAX_RATE else lowest
